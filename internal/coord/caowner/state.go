package caowner

import (
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/cacheck"
	"celeryarch.example/celeryarch/internal/coord/carendezvous"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// State is the state machine of ownership. It performs no I/O: the caller passes
// in the time, makes the calls that Tick returns and reports their outcomes with
// HandleCallResult. It is not safe for concurrent use.
type State struct {
	cfg       Config
	self      cawork.VMID
	zone      cawork.ZoneName
	check     *cacheck.Checker
	startedAt time.Time

	entries []Entry
	// desiredStale is set when the desired owners must be recomputed.
	desiredStale        bool
	upstreams           map[cawork.UpstreamID]*upstream
	ids                 []cawork.UpstreamID
	draining            bool
	openCalls           int
	lastCallID          int64
	openClaimsAndProbes int
	events              []Event
}

// NewState returns the state of the entry self, which owns no upstream yet.
func NewState(cfg Config, self cawork.VMID, zone cawork.ZoneName, now time.Time, check *cacheck.Checker) *State {
	return &State{
		cfg: cfg, self: self, zone: zone, startedAt: now, check: check,
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

// SetEntries replaces the live entries of the zone, including this one. The next
// Tick updates the desired owners.
func (s *State) SetEntries(entries []Entry) {
	s.desiredStale = s.desiredStale || !slices.EqualFunc(s.entries, entries, Entry.isSameCandidate)
	s.entries = slices.Clone(entries)
}

// SetUpstreams applies the VM list. An upstream that is missing from the list is
// treated as leaving while it is owned or being released, or while a call to it
// is open. The first list without it after that removes it.
func (s *State) SetUpstreams(now time.Time, vms []caplatform.VM) {
	listed := make(map[cawork.UpstreamID]bool, len(vms))
	for _, vm := range vms {
		if vm.Role != caplatform.VMRoleUpstream || vm.Zone != s.zone {
			continue
		}
		listed[cawork.UpstreamID(vm.ID)] = true
		s.updateUpstream(now, vm)
	}
	for _, id := range slices.Clone(s.ids) {
		if u := s.upstreams[id]; !listed[id] {
			s.markUnlisted(u)
		}
	}
}

func (s *State) updateUpstream(now time.Time, vm caplatform.VM) {
	id := cawork.UpstreamID(vm.ID)
	u, ok := s.upstreams[id]
	switch {
	case !ok && vm.State == caplatform.VMStateGone:
		return
	case !ok:
		s.addUpstream(now, vm)
		return
	case vm.State == caplatform.VMStateGone:
		u.vm = vm
		s.removeUpstream(u, ReasonGone)
		return
	}
	oldState := u.vm.State
	s.desiredStale = s.desiredStale || u.unlisted
	u.vm, u.unlisted = vm, false
	switch {
	case oldState == vm.State:
	case vm.State == caplatform.VMStateLeaving:
		s.emit(u, Event{Kind: EventKindLeaving})
	default:
		s.emit(u, Event{Kind: EventKindListed})
	}
}

func (s *State) markUnlisted(u *upstream) {
	if u.phase == phaseIdle && !u.callOpen {
		s.removeUpstream(u, ReasonNone)
		return
	}
	s.desiredStale = s.desiredStale || !u.unlisted
	u.unlisted = true
	if u.vm.State == caplatform.VMStateLive {
		u.vm.State = caplatform.VMStateLeaving
		s.emit(u, Event{Kind: EventKindLeaving})
	}
}

func (s *State) addUpstream(now time.Time, vm caplatform.VM) {
	u := newUpstream(vm, s.cfg)
	u.nextCall, u.lastAnswer = now, now
	u.renewalOffset = time.Duration(carendezvous.Key(vm.ID) % uint64(s.cfg.Period))
	s.upstreams[u.id] = u
	index, _ := slices.BinarySearch(s.ids, u.id)
	s.ids = slices.Insert(s.ids, index, u.id)
	s.emit(u, Event{Kind: EventKindListed})
	if vm.State == caplatform.VMStateLeaving {
		s.emit(u, Event{Kind: EventKindLeaving})
	}
	s.desiredStale = true
}

func (s *State) removeUpstream(u *upstream, r Reason) {
	if u.phase == phaseOwned {
		s.endOwnership(u, r)
	}
	delete(s.upstreams, u.id)
	s.desiredStale = true
	s.ids = slices.DeleteFunc(s.ids, func(id cawork.UpstreamID) bool { return id == u.id })
	s.emit(u, Event{Kind: EventKindUnlisted, Reason: r})
}

// Drain makes the entry release all upstreams and claim none.
func (s *State) Drain() { s.draining = true }

// Drained reports whether Drain was called, all upstreams are released and no
// call is open.
func (s *State) Drained() bool {
	for _, u := range s.upstreams {
		if u.phase != phaseIdle || u.callOpen {
			return false
		}
	}
	return s.draining
}

// Lease returns the lease of the upstream and reports whether this entry may
// send starts under it now.
func (s *State) Lease(now time.Time, id cawork.UpstreamID) (Lease, bool) {
	u, ok := s.upstreams[id]
	if !ok || u.phase != phaseOwned || !now.Before(u.validUntil) {
		return Lease{}, false
	}
	return Lease{Epoch: u.epoch, ValidUntil: u.validUntil, FormerRequests: u.formerRequests}, true
}

// TimeSinceAnswer returns the time since the agent of the upstream last answered a call,
// zero for an unknown upstream. Before the first answer it counts from the time
// at which the upstream was listed.
func (s *State) TimeSinceAnswer(now time.Time, id cawork.UpstreamID) time.Duration {
	u, ok := s.upstreams[id]
	if !ok {
		return 0
	}
	return now.Sub(u.lastAnswer)
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

// AllUpstreams stands for all upstreams. It replaces a list of unreachable
// upstreams that is longer than Config.MaxUnreachable.
const AllUpstreams cawork.UpstreamID = "*"

// Unreachable returns the upstreams that this entry cannot reach. The caller
// must announce them to the other entries, which then own them.
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

// Tick advances the state to now: it updates the desired owners if they are
// stale, ends expired leases and begins releases. It returns the calls that are
// due, first those for the leases that expire soonest.
func (s *State) Tick(now time.Time) []Call {
	if s.desiredStale {
		s.assignDesired(now)
	}
	for _, id := range s.ids {
		s.updateOwnership(now, s.upstreams[id])
	}
	var due []*upstream
	for _, id := range s.ids {
		u := s.upstreams[id]
		if u.callOpen || now.Before(u.nextCall) {
			continue
		}
		if _, ok := s.nextCallKind(now, u); ok {
			due = append(due, u)
		}
	}
	slices.SortStableFunc(due, func(a, b *upstream) int { return callOrder(a).Compare(callOrder(b)) })
	var calls []Call
	for _, u := range due {
		if c, ok := s.startCall(now, u); ok {
			calls = append(calls, c)
		}
	}
	return calls
}

// callOrder is the sort key of due calls: owned upstreams come first, by the end
// of their lease, then the others by the time at which their call is due.
func callOrder(u *upstream) time.Time {
	const unownedDelay = time.Hour
	if u.phase == phaseOwned {
		return u.validUntil
	}
	return u.nextCall.Add(unownedDelay)
}

// updateOwnership ends an expired lease. It begins a release when this entry
// drains or when the desired owner is another entry that has settled.
func (s *State) updateOwnership(now time.Time, u *upstream) {
	if u.phase != phaseOwned {
		return
	}
	switch {
	case !now.Before(u.validUntil):
		s.endOwnership(u, ReasonLapsed)
		u.nextCall = now
	case s.draining:
		s.startRelease(now, u, ReasonDraining)
	case u.desired != s.self && s.isSettled(now, u.desired):
		s.startRelease(now, u, ReasonMoved)
	}
}

// isSettled reports whether the entry has been live for Config.Settle.
func (s *State) isSettled(now time.Time, vm cawork.VMID) bool {
	for _, e := range s.entries {
		if e.VM == vm {
			return now.Sub(e.Since) >= s.cfg.Settle
		}
	}
	return false
}

func (s *State) endOwnership(u *upstream, r Reason) {
	u.phase = phaseIdle
	s.emit(u, Event{Kind: EventKindLost, Epoch: u.epoch, Reason: r})
}

func (s *State) startRelease(now time.Time, u *upstream, r Reason) {
	u.phase = phaseReleasing
	u.nextCall, u.releaseDeadline = now, u.validUntil
	s.emit(u, Event{Kind: EventKindReleased, Epoch: u.epoch, Reason: r})
}
