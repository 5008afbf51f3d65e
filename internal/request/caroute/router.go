package caroute

import (
	"fmt"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

//go:generate go tool enumer -type=Verdict -trimprefix=Verdict -transform=snake -text -output=verdict_names.go
//go:generate go tool enumer -type=ChangeKind -trimprefix=Change -transform=snake -text -output=changekind_names.go

// Verdict is the result of an attempt as it counts for the health of the
// upstream.
type Verdict int

// The verdicts.
const (
	// VerdictServed means that the upstream served the request.
	VerdictServed Verdict = iota
	// VerdictFailed means that the upstream failed or sent no response.
	VerdictFailed
	// VerdictRefused means that the upstream refused the request without
	// starting it.
	VerdictRefused
	// VerdictAbandoned means that the caller canceled the request, or that the
	// attempt was never sent.
	VerdictAbandoned
)

// ChangeKind is the kind of a change of the health of an upstream.
type ChangeKind int

// The kinds of changes.
const (
	ChangeEjected ChangeKind = iota
	ChangeRestored
)

// Change is a change of the health of an upstream, for the log.
type Change struct {
	Kind            ChangeKind
	Upstream        cawork.UpstreamID
	FailureRate     float64
	PeerFailureRate float64
	Latency         time.Duration
}

// SlotRequest describes a request that needs a slot.
type SlotRequest struct {
	Idempotent bool
	Deadline   time.Time
	// Exclude lists the upstreams at which the request has been tried.
	Exclude []cawork.UpstreamID
}

// Route is a slot that is taken for one attempt. Release or ReleaseInterrupted returns
// it.
type Route struct {
	Upstream cawork.UpstreamID
	Zone     cawork.ZoneName
	Address  string
	Epoch    caplatform.Epoch
	// Connections bounds the connections of this entry to the upstream.
	Connections int
	// Grant is set when the slot is borrowed.
	Grant GrantID
	// Probe is set when the attempt probes an ejected upstream.
	Probe bool
	// ExpectedLatency is the latency expected when the upstream was chosen.
	ExpectedLatency time.Duration
	TakenAt         time.Time

	pool *slotPool
}

// Config holds the settings of a router.
type Config struct {
	// Zone is the availability zone of this entry.
	Zone cawork.ZoneName
	// CrossZoneRTT is the round trip to another availability zone.
	CrossZoneRTT time.Duration
}

// Router chooses the upstreams of requests.
type Router struct {
	config Config
	owned  map[cawork.UpstreamID]*slotPool
	grants map[GrantID]*slotPool
	health map[cawork.UpstreamID]*health
	loans  map[GrantID]*loan
	pools  []*slotPool
	// interrupted holds the slots of interrupted attempts, ordered by freeAt.
	interrupted     []interruptedSlot
	rotation        int
	placement       cawork.Placement
	meanServiceTime time.Duration
	lastGrantID     int64
}

// NewRouter returns a router without upstreams.
func NewRouter(c Config) *Router {
	return &Router{
		config:          c,
		owned:           map[cawork.UpstreamID]*slotPool{},
		grants:          map[GrantID]*slotPool{},
		health:          map[cawork.UpstreamID]*health{},
		loans:           map[GrantID]*loan{},
		meanServiceTime: initialLatency,
		placement:       cawork.PlacementSpread,
	}
}

// SetPlacement replaces the placement policy. Spreading chooses the upstream
// with the least expected latency. Packing chooses the one with the fewest free
// slots, and among equals the one with the least expected latency.
func (r *Router) SetPlacement(p cawork.Placement) { r.placement = p }

// Put adds or replaces an owned upstream. Requests in progress keep their
// slots.
func (r *Router) Put(now time.Time, u Upstream) {
	s, ok := r.owned[u.ID]
	if !ok {
		s = &slotPool{upstream: u.ID}
		r.owned[u.ID] = s
		r.pools = append(r.pools, s)
	}
	s.removed = false
	s.zone = u.Zone
	s.address = u.Address
	s.setFormerRequests(u)
	s.epoch = u.Epoch
	s.slots = min(u.Slots, u.Connections)
	s.draining = u.Draining
	s.startUntil = u.LeaseEnd
	r.healthOf(now, u.ID, s.slots).limit.resize(s.slots)
}

// setFormerRequests sets the number of requests that still run under former
// epochs. Within an epoch the number only falls, so that a report with a higher
// number is outdated and ignored.
func (s *slotPool) setFormerRequests(u Upstream) {
	if u.Epoch == s.epoch {
		s.formerRequests = min(s.formerRequests, u.FormerRequests)
		return
	}
	s.formerRequests = u.FormerRequests
}

// Remove removes an owned upstream. While requests or loans still use its
// slots, they stay counted, in case the upstream is added again.
func (r *Router) Remove(id cawork.UpstreamID) {
	s, ok := r.owned[id]
	if !ok {
		return
	}
	s.removed = true
	r.removeIfUnused(s)
}

func (r *Router) removeIfUnused(s *slotPool) {
	if !s.removed || s.inUse > 0 || s.lent > 0 {
		return
	}
	delete(r.owned, s.upstream)
	r.removePool(s)
}

// limitOf returns the adaptive limit of the upstream. Borrowed slots have no
// limit of their own, because the owner applies its limit when it lends them.
func (r *Router) limitOf(s *slotPool) int {
	if s.grant != "" {
		return s.slots
	}
	return r.health[s.upstream].limit.current()
}

// Slots returns the number of owned and borrowed slots that requests of this
// entry may use now, whether they are free or in use already.
func (r *Router) Slots(now time.Time) int {
	n := 0
	for _, s := range r.pools {
		h := r.health[s.upstream]
		if s.acceptsAt(now) && !h.ejected {
			n += max(min(s.slots, r.limitOf(s))-s.lent-s.formerRequests, 0)
		}
	}
	return n
}

// FreeSlots returns the number of free slots of the owned upstreams.
func (r *Router) FreeSlots(now time.Time) int {
	n := 0
	for _, s := range r.owned {
		if s.acceptsAt(now) && !r.health[s.upstream].ejected {
			n += max(s.free(r.limitOf(s)), 0)
		}
	}
	return n
}

// SlotsInUse returns the number of slots of owned upstreams that are in use by this
// entry or lent.
func (r *Router) SlotsInUse() int {
	n := 0
	for _, s := range r.owned {
		n += s.inUse + s.lent
	}
	return n
}

// MeanServiceTime returns the mean time for which a request holds a slot.
func (r *Router) MeanServiceTime() time.Duration { return r.meanServiceTime }

// Release returns the slot of an attempt and updates the health of its upstream
// with the result. It returns the resulting ejection or restoration, if any.
func (r *Router) Release(now time.Time, route *Route, v Verdict) []Change {
	s := route.pool
	s.inUse--
	assertSlots(s)
	s.lastUsed = now
	h, ok := r.health[route.Upstream]
	if !ok {
		return nil
	}
	defer r.removeIfUnused(s)
	latency := now.Sub(route.TakenAt)
	h.lastUsed = now
	h.record(now, v, latency, r.meanServiceTime)
	if v == VerdictServed || v == VerdictFailed {
		// The clip keeps one request that ran into its deadline from raising the
		// mean so far that the queues refuse requests.
		sample := min(latency, serviceTimeClip*r.meanServiceTime)
		r.meanServiceTime += time.Duration(serviceTimeWeight * float64(sample-r.meanServiceTime))
	}
	if route.Probe {
		return r.finishProbe(now, route.Upstream, h, v, latency)
	}
	return r.ejectIfOutlier(now, route.Upstream, h)
}

// EligibleUpstreams returns the upstreams that accept new requests, even if none of
// their slots is free now.
func (r *Router) EligibleUpstreams(now time.Time) []cawork.UpstreamID {
	var ids []cawork.UpstreamID
	for _, s := range r.pools {
		if s.acceptsAt(now) && !r.health[s.upstream].ejected && !slices.Contains(ids, s.upstream) {
			ids = append(ids, s.upstream)
		}
	}
	return ids
}

// HasEligibleUpstream reports whether any upstream accepts new requests, even if none of
// its slots is free now.
func (r *Router) HasEligibleUpstream(now time.Time) bool { return r.hasEligibleExcept(now, nil) }

// hasEligibleExcept is HasEligibleUpstream without the upstreams in exclude.
func (r *Router) hasEligibleExcept(now time.Time, exclude []cawork.UpstreamID) bool {
	for _, s := range r.pools {
		if s.acceptsAt(now) && !r.health[s.upstream].ejected && !slices.Contains(exclude, s.upstream) {
			return true
		}
	}
	return false
}

func (r *Router) healthOf(now time.Time, id cawork.UpstreamID, slots int) *health {
	h, ok := r.health[id]
	if !ok {
		h = newHealth(now, slots)
		r.health[id] = h
	}
	return h
}

func (r *Router) removePool(s *slotPool) {
	r.pools = slices.DeleteFunc(r.pools, func(other *slotPool) bool { return other == s })
	if _, ok := r.owned[s.upstream]; ok {
		return
	}
	for _, g := range r.grants {
		if g.upstream == s.upstream {
			return
		}
	}
	delete(r.health, s.upstream)
}

// assertSlots panics when a count of used slots is negative, which means that a
// slot was freed twice.
func assertSlots(s *slotPool) {
	if s.inUse < 0 || s.lent < 0 {
		panic(cakind.New(cakind.KindInternal, "negative slot count of %s: %d in use, %d lent", s.upstream, s.inUse, s.lent))
	}
}

// newGrantID returns a unique ID: an owner numbers its grants from one, and the
// epoch differs between the owners of an upstream.
func newGrantID(s *slotPool, n int64) GrantID {
	return GrantID(fmt.Sprintf("%s/%d/%d", s.upstream, s.epoch, n))
}
