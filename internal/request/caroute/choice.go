package caroute

import (
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Choose takes a slot of an upstream, after the way of placement. It returns
// nil when no slot is free for the request.
func (r *Router) Choose(now time.Time, a Ask) *Route {
	if s := r.probe(now, a); s != nil {
		r.health[s.upstream].probing = true
		return r.take(now, s, true)
	}
	if !r.canStart(now, a.Exclude) {
		// Nothing else is left: an upstream that failed before is better than
		// none.
		a.Exclude = nil
	}
	best := r.best(now, a)
	if best == nil {
		return nil
	}
	r.turn++
	return r.take(now, best, false)
}

// best returns the usable source of the lowest rank, nil for none.
func (r *Router) best(now time.Time, a Ask) *source {
	var best *source
	var least rank
	for i := range r.sources {
		s := r.sources[(r.turn+i)%len(r.sources)]
		if !r.usable(now, s, a) {
			continue
		}
		if k := r.rank(now, s); best == nil || k.below(least) {
			best, least = s, k
		}
	}
	return best
}

// rank orders sources. The lowest is chosen.
type rank struct {
	free     int
	expected time.Duration
}

func (k rank) below(o rank) bool {
	if k.free != o.free {
		return k.free < o.free
	}
	return k.expected < o.expected
}

func (r *Router) rank(now time.Time, s *source) rank {
	k := rank{expected: r.expected(now, s)}
	if r.placement == cawork.PlacementPack {
		k.free = s.free(r.limitOf(s))
	}
	return k
}

func (r *Router) usable(now time.Time, s *source, a Ask) bool {
	h := r.health[s.upstream]
	return s.startsAt(now) &&
		!h.ejected &&
		!now.Before(h.pausedTo) &&
		s.free(r.limitOf(s)) > 0 &&
		(s.useEnd.IsZero() || !a.Deadline.After(s.useEnd)) &&
		!slices.Contains(a.Exclude, s.upstream)
}

// expected is the expected latency of one more request: the mean latency,
// raised by the load and by the failures of the upstream, and the crossing to
// another zone.
func (r *Router) expected(now time.Time, s *source) time.Duration {
	h := r.health[s.upstream]
	h.decay(now)
	load := 1 + float64(s.used())/float64(max(s.slots, 1))
	success := max(1-h.risk(), 0.1)
	e := time.Duration(float64(h.latencyAt(now, r.service)) * load / success)
	if s.zone != r.config.Zone {
		e += r.config.CrossingDelay
	}
	return e
}

func (r *Router) take(now time.Time, s *source, probe bool) *Route {
	e := r.expected(now, s)
	s.inUse++
	s.lastUsed = now
	assertSlots(s)
	return &Route{
		Upstream:    s.upstream,
		Zone:        s.zone,
		Address:     s.address,
		Epoch:       s.epoch,
		Connections: s.connections(),
		Grant:       s.grant,
		Probe:       probe,
		Expected:    e,
		Taken:       now,
		source:      s,
	}
}
