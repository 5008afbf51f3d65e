package caowner

import (
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/cacheck"
	"celeryarch.example/celeryarch/internal/coord/carendezvous"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// State is the core of ownership. It performs no I/O; the caller passes the
// time in, makes the calls that Tick returns and reports their answers. It is
// not safe for concurrent use.
type State struct {
	cfg   Config
	self  cawork.VMID
	zone  cawork.ZoneName
	check *cacheck.Checker
	since time.Time

	entries []Entry
	// stale tells that the desired owners are to be chosen again.
	stale     bool
	upstreams map[cawork.UpstreamID]*upstream
	ids       []cawork.UpstreamID
	draining  bool
	calls     int
	lastCall  int64
	searches  int
	events    []Event
}

// NewState returns the state of the entry self that owns nothing.
func NewState(cfg Config, self cawork.VMID, zone cawork.ZoneName, now time.Time, check *cacheck.Checker) *State {
	return &State{
		cfg: cfg, self: self, zone: zone, since: now, check: check,
		upstreams: map[cawork.UpstreamID]*upstream{},
	}
}

// TakeEvents returns the events since the last call.
func (s *State) TakeEvents() []Event {
	events := s.events
	s.events = nil
	return events
}

func (s *State) emit(u *upstream, e Event) {
	e.Upstream, e.VM = u.id, u.vm
	s.events = append(s.events, e)
}

// SetEntries takes over the live entries of the zone, the own one included.
// Desired owners follow with the next Tick.
func (s *State) SetEntries(entries []Entry) {
	s.stale = s.stale || !slices.EqualFunc(s.entries, entries, Entry.competesLike)
	s.entries = slices.Clone(entries)
}

// SetUpstreams takes over the VM list. An upstream that is missing from it is
// treated as leaving, and dropped once it is not owned.
func (s *State) SetUpstreams(now time.Time, vms []caplatform.VM) {
	listed := make(map[cawork.UpstreamID]bool, len(vms))
	for _, vm := range vms {
		if vm.Role != caplatform.VMRoleUpstream || vm.Zone != s.zone {
			continue
		}
		listed[cawork.UpstreamID(vm.ID)] = true
		s.setUpstream(now, vm)
	}
	for _, id := range slices.Clone(s.ids) {
		if u := s.upstreams[id]; !listed[id] {
			s.setMissing(u)
		}
	}
}

func (s *State) setUpstream(now time.Time, vm caplatform.VM) {
	id := cawork.UpstreamID(vm.ID)
	u, ok := s.upstreams[id]
	switch {
	case !ok && vm.State == caplatform.VMStateGone:
		return
	case !ok:
		s.add(now, vm)
		return
	case vm.State == caplatform.VMStateGone:
		u.vm = vm
		s.drop(u, ReasonGone)
		return
	}
	was := u.vm.State
	s.stale = s.stale || u.unlisted
	u.vm, u.unlisted = vm, false
	switch {
	case was == vm.State:
	case vm.State == caplatform.VMStateLeaving:
		s.emit(u, Event{Kind: EventKindLeaving})
	default:
		s.emit(u, Event{Kind: EventKindListed})
	}
}

func (s *State) setMissing(u *upstream) {
	if u.phase == phaseIdle && !u.open {
		s.drop(u, ReasonNone)
		return
	}
	s.stale = s.stale || !u.unlisted
	u.unlisted = true
	if u.vm.State == caplatform.VMStateLive {
		u.vm.State = caplatform.VMStateLeaving
		s.emit(u, Event{Kind: EventKindLeaving})
	}
}

func (s *State) add(now time.Time, vm caplatform.VM) {
	u := newUpstream(vm, s.cfg)
	u.next, u.answered = now, now
	u.spread = time.Duration(carendezvous.Key(vm.ID) % uint64(s.cfg.Period))
	s.upstreams[u.id] = u
	at, _ := slices.BinarySearch(s.ids, u.id)
	s.ids = slices.Insert(s.ids, at, u.id)
	s.emit(u, Event{Kind: EventKindListed})
	if vm.State == caplatform.VMStateLeaving {
		s.emit(u, Event{Kind: EventKindLeaving})
	}
	s.stale = true
}

func (s *State) drop(u *upstream, r Reason) {
	if u.phase == phaseOwned {
		s.lose(u, r)
	}
	delete(s.upstreams, u.id)
	s.stale = true
	s.ids = slices.DeleteFunc(s.ids, func(id cawork.UpstreamID) bool { return id == u.id })
	s.emit(u, Event{Kind: EventKindUnlisted, Reason: r})
}

// Drain makes the entry release all and claim nothing more.
func (s *State) Drain() { s.draining = true }

// Drained reports whether a draining entry holds nothing any more.
func (s *State) Drained() bool {
	for _, u := range s.upstreams {
		if u.phase != phaseIdle || u.open {
			return false
		}
	}
	return s.draining
}

// Lease returns the lease of the upstream and reports whether this entry may
// send starts under it now.
func (s *State) Lease(now time.Time, id cawork.UpstreamID) (Lease, bool) {
	u, ok := s.upstreams[id]
	if !ok || u.phase != phaseOwned || !now.Before(u.until) {
		return Lease{}, false
	}
	return Lease{Epoch: u.epoch, ValidUntil: u.until, FormerRequests: u.former}, true
}

// Silence returns the time for which no call to the agent of the upstream was
// answered, zero for an upstream that is not known.
func (s *State) Silence(now time.Time, id cawork.UpstreamID) time.Duration {
	u, ok := s.upstreams[id]
	if !ok {
		return 0
	}
	return now.Sub(u.answered)
}

// Owned returns the upstreams that this entry owns now, ordered by id.
func (s *State) Owned(now time.Time) []cawork.UpstreamID {
	var owned []cawork.UpstreamID
	for _, id := range s.ids {
		if _, ok := s.Lease(now, id); ok {
			owned = append(owned, id)
		}
	}
	return owned
}

// AllUpstreams stands for all upstreams in a list of unreachable ones that
// would be too long.
const AllUpstreams cawork.UpstreamID = "*"

// Unreachable returns the upstreams that this entry leaves to others, which
// the others must be told.
func (s *State) Unreachable() []cawork.UpstreamID {
	var ids []cawork.UpstreamID
	for _, id := range s.ids {
		if s.upstreams[id].unreachable {
			ids = append(ids, id)
		}
	}
	if len(ids) > s.cfg.MaxUnreachable {
		return []cawork.UpstreamID{AllUpstreams}
	}
	return ids
}

// Tick advances time: it chooses the desired owners anew if need be, ends leases that lapsed, gives up what is not desired
// and returns the calls that are due, those of the leases nearest to their end
// first.
func (s *State) Tick(now time.Time) []Call {
	if s.stale {
		s.choose(now)
	}
	for _, id := range s.ids {
		s.review(now, s.upstreams[id])
	}
	var due []*upstream
	for _, id := range s.ids {
		u := s.upstreams[id]
		if u.open || now.Before(u.next) {
			continue
		}
		if _, ok := s.dueKind(now, u); ok {
			due = append(due, u)
		}
	}
	slices.SortStableFunc(due, func(a, b *upstream) int { return urgency(a).Compare(urgency(b)) })
	var calls []Call
	for _, u := range due {
		if c, ok := s.call(now, u); ok {
			calls = append(calls, c)
		}
	}
	return calls
}

// urgency orders calls: leases by their end, then the others by their due time
// a while later.
func urgency(u *upstream) time.Time {
	const later = time.Hour
	if u.phase == phaseOwned {
		return u.until
	}
	return u.next.Add(later)
}

// review ends a lease that lapsed, and begins a release when another entry is
// desired and settled, or this one drains.
func (s *State) review(now time.Time, u *upstream) {
	if u.phase != phaseOwned {
		return
	}
	switch {
	case !now.Before(u.until):
		s.lose(u, ReasonLapsed)
		u.next = now
	case s.draining:
		s.release(now, u, ReasonDraining)
	case u.desired != s.self && s.settled(now, u.desired):
		s.release(now, u, ReasonMoved)
	}
}

func (s *State) settled(now time.Time, vm cawork.VMID) bool {
	for _, e := range s.entries {
		if e.VM == vm {
			return now.Sub(e.Since) >= s.cfg.Settle
		}
	}
	return false
}

func (s *State) lose(u *upstream, r Reason) {
	u.phase = phaseIdle
	s.emit(u, Event{Kind: EventKindLost, Epoch: u.epoch, Reason: r})
}

func (s *State) release(now time.Time, u *upstream, r Reason) {
	u.phase = phaseReleasing
	u.next, u.releaseUntil = now, u.until
	s.emit(u, Event{Kind: EventKindReleased, Epoch: u.epoch, Reason: r})
}
