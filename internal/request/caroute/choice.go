package caroute

import (
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Choose takes a slot of the upstream that ranks first under the placement
// policy, or of an ejected upstream that is due for a probe. It returns nil
// when no slot is free for the request.
func (r *Router) Choose(now time.Time, req SlotRequest) *Route {
	if s := r.probeTarget(now, req); s != nil {
		r.health[s.upstream].probeInFlight = true
		return r.takeSlot(now, s, true)
	}
	if !r.hasEligibleExcept(now, req.Exclude) {
		// All eligible upstreams are excluded. An upstream that failed for this
		// request before is better than none.
		req.Exclude = nil
	}
	best := r.bestPool(now, req)
	if best == nil {
		return nil
	}
	r.rotation++
	return r.takeSlot(now, best, false)
}

// bestPool returns the usable pool of the lowest rank, nil if there is none.
// The start of the scan rotates, so that equal pools are chosen in turn.
func (r *Router) bestPool(now time.Time, req SlotRequest) *slotPool {
	var best *slotPool
	var bestRank rank
	for i := range r.pools {
		s := r.pools[(r.rotation+i)%len(r.pools)]
		if !r.usable(now, s, req) {
			continue
		}
		if k := r.rank(now, s); best == nil || k.less(bestRank) {
			best, bestRank = s, k
		}
	}
	return best
}

// rank orders pools. The lowest is chosen.
type rank struct {
	free            int
	expectedLatency time.Duration
}

func (k rank) less(o rank) bool {
	if k.free != o.free {
		return k.free < o.free
	}
	return k.expectedLatency < o.expectedLatency
}

func (r *Router) rank(now time.Time, s *slotPool) rank {
	k := rank{expectedLatency: r.expectedLatency(now, s)}
	if r.placement == cawork.PlacementPack {
		k.free = s.free(r.limitOf(s))
	}
	return k
}

func (r *Router) usable(now time.Time, s *slotPool, req SlotRequest) bool {
	h := r.health[s.upstream]
	return s.acceptsAt(now) &&
		!h.ejected &&
		!now.Before(h.pausedUntil) &&
		s.free(r.limitOf(s)) > 0 &&
		(s.useUntil.IsZero() || !req.Deadline.After(s.useUntil)) &&
		!slices.Contains(req.Exclude, s.upstream)
}

// expectedLatency estimates the latency of one more request: the mean latency,
// raised by the load and by the failure rate of the upstream, plus the round
// trip if the upstream is in another availability zone.
func (r *Router) expectedLatency(now time.Time, s *slotPool) time.Duration {
	h := r.health[s.upstream]
	h.decay(now)
	load := 1 + float64(s.used())/float64(max(s.slots, 1))
	success := max(1-h.expectedFailureRate(), 0.1)
	e := time.Duration(float64(h.latencyAt(now, r.meanServiceTime)) * load / success)
	if s.zone != r.config.Zone {
		e += r.config.CrossZoneRTT
	}
	return e
}

func (r *Router) takeSlot(now time.Time, s *slotPool, probe bool) *Route {
	e := r.expectedLatency(now, s)
	s.inUse++
	s.lastUsed = now
	assertSlots(s)
	return &Route{
		Upstream:        s.upstream,
		Zone:            s.zone,
		Address:         s.address,
		Epoch:           s.epoch,
		Connections:     s.connections(),
		Grant:           s.grant,
		Probe:           probe,
		ExpectedLatency: e,
		TakenAt:         now,
		pool:            s,
	}
}
