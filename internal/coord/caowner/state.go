package caowner

import (
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
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

	entries   []Entry
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
func (s *State) SetEntries(now time.Time, entries []Entry) {
	s.entries = slices.Clone(entries)
	for _, id := range s.ids {
		s.choose(now, s.upstreams[id])
	}
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
	u.unlisted = true
	if u.vm.State == caplatform.VMStateLive {
		u.vm.State = caplatform.VMStateLeaving
		s.emit(u, Event{Kind: EventKindLeaving})
	}
}

func (s *State) add(now time.Time, vm caplatform.VM) {
	u := newUpstream(vm, s.cfg)
	u.next = now
	u.spread = time.Duration(carendezvous.Key(vm.ID) % uint64(s.cfg.Period))
	s.upstreams[u.id] = u
	at, _ := slices.BinarySearch(s.ids, u.id)
	s.ids = slices.Insert(s.ids, at, u.id)
	s.emit(u, Event{Kind: EventKindListed})
	if vm.State == caplatform.VMStateLeaving {
		s.emit(u, Event{Kind: EventKindLeaving})
	}
	s.choose(now, u)
}

func (s *State) drop(u *upstream, r Reason) {
	if u.phase == phaseOwned {
		s.lose(u, r)
	}
	delete(s.upstreams, u.id)
	s.ids = slices.DeleteFunc(s.ids, func(id cawork.UpstreamID) bool { return id == u.id })
	s.emit(u, Event{Kind: EventKindUnlisted, Reason: r})
}

// choose sets the desired owner of the upstream: the first of the ranking that
// reaches it, or the first of all when nobody does.
func (s *State) choose(now time.Time, u *upstream) {
	var all, able []cawork.VMID
	for _, e := range s.entries {
		all = append(all, e.VM)
		reaches := !slices.Contains(e.Unreachable, u.id) && !slices.Contains(e.Unreachable, AllUpstreams)
		if e.VM == s.self {
			reaches = !u.unreachable
		}
		if reaches {
			able = append(able, e.VM)
		}
	}
	if len(able) == 0 {
		able = all
	}
	desired, _ := carendezvous.First(string(u.id), able)
	if desired != u.desired && desired == s.self && !u.unreachable {
		u.next = now
	}
	u.desired = desired
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
	return Lease{Epoch: u.epoch, ValidUntil: u.until}, true
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

// Tick advances time: it ends leases that lapsed, gives up what is not desired
// and returns the calls that are due, those of the leases nearest to their end
// first.
func (s *State) Tick(now time.Time) []Call {
	for _, id := range s.ids {
		s.review(now, s.upstreams[id])
	}
	due := make([]*upstream, 0, len(s.ids))
	for _, id := range s.ids {
		if u := s.upstreams[id]; !u.open && !now.Before(u.next) {
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

// call returns the call that is due to the upstream, if there is room for it.
func (s *State) call(now time.Time, u *upstream) (Call, bool) {
	kind, ok := s.dueKind(now, u)
	search := kind == CallKindClaim || kind == CallKindProbe
	if !ok || s.calls >= s.cfg.Concurrency || search && s.searches >= s.cfg.Concurrency/2 {
		return Call{}, false
	}
	s.check.Assert(!u.open, cacheck.RuleOneCall, "second call to %s", u.id)
	u.open, u.asked = true, now
	s.calls++
	s.lastCall++
	u.call = s.lastCall
	if search {
		s.searches++
	}
	c := Call{ID: u.call, Kind: kind, Upstream: u.id, Address: u.vm.Address, Sent: now}
	switch kind {
	case CallKindClaim:
		c.Claim = caplatform.Claim{Holder: s.self, TTL: s.cfg.TTL}
	case CallKindHeartbeat:
		c.Heartbeat = caplatform.Heartbeat{
			Holder: s.self, Epoch: u.epoch, TTL: s.cfg.TTL, TaskTTL: s.cfg.TaskTTL, Since: u.sequence,
		}
	case CallKindRelease:
		c.Release = caplatform.Ownership{Holder: s.self, Epoch: u.epoch}
	case CallKindProbe:
	}
	return c, true
}

func (s *State) dueKind(now time.Time, u *upstream) (CallKind, bool) {
	switch {
	case u.phase == phaseOwned:
		return CallKindHeartbeat, true
	case u.phase == phaseReleasing:
		return CallKindRelease, true
	case s.draining || u.unlisted:
		return 0, false
	case u.desired == s.self && now.Sub(s.since) >= s.cfg.Settle:
		return CallKindClaim, true
	case u.unreachable:
		return CallKindProbe, true
	}
	return 0, false
}

// HandleAnswer takes over the answer to a call.
func (s *State) HandleAnswer(now time.Time, a Answer) {
	s.calls--
	if a.Call.Kind == CallKindClaim || a.Call.Kind == CallKindProbe {
		s.searches--
	}
	u, ok := s.upstreams[a.Call.Upstream]
	if !ok || !u.open || a.Call.ID != u.call {
		return
	}
	u.open = false
	was := u.unreachable
	if answered(a.Err) {
		u.succeeded()
	}
	switch a.Call.Kind {
	case CallKindClaim:
		s.handleClaim(now, u, a)
	case CallKindHeartbeat:
		s.handleHeartbeat(now, u, a)
	case CallKindRelease:
		s.handleRelease(now, u, a)
	case CallKindProbe:
		if a.Err != nil {
			u.next = now.Add(s.cfg.UnreachableProbe)
		}
	}
	if was != u.unreachable {
		s.choose(now, u)
	}
}

// answered reports whether the agent itself gave the error, or none.
func answered(err error) bool {
	if err == nil {
		return true
	}
	k := cakind.Of(err)
	return k == cakind.KindFenced || k == cakind.KindConflict || k == cakind.KindNotFound
}

func (s *State) handleClaim(now time.Time, u *upstream, a Answer) {
	if a.Err != nil {
		u.failed(now, s.cfg)
		return
	}
	o := a.Claim.Ownership
	if !a.Claim.Granted {
		u.highest = max(u.highest, o.Epoch)
		u.next = now.Add(min(s.cfg.ClaimRetry, max(o.Remaining, s.cfg.CallRetry)))
		return
	}
	s.check.Assert(o.Epoch > u.highest, cacheck.RuleEpochGrows,
		"%s granted epoch %d after %d", u.id, o.Epoch, u.highest)
	u.highest, u.epoch, u.sequence, u.renewed = o.Epoch, o.Epoch, 0, false
	s.renew(u, a.Call.Sent)
	u.phase, u.next = phaseOwned, now
	switch {
	case !now.Before(u.until):
		u.phase = phaseIdle
	case s.draining || u.desired != s.self:
		u.phase, u.releaseUntil = phaseReleasing, u.until
	default:
		s.emit(u, Event{Kind: EventKindGained, Epoch: u.epoch, Tasks: a.Claim.Tasks})
	}
}

// renew sets the end of the lease as this entry sees it, counted from the time
// at which the renewal was sent.
func (s *State) renew(u *upstream, sent time.Time) {
	u.until = sent.Add(s.cfg.validFor())
	trusted := u.until.Sub(u.asked)
	s.check.Assert(trusted <= s.cfg.validFor() && trusted < s.cfg.TTL, cacheck.RuleLeaseBounded,
		"lease of %s taken for valid until %v after its renewal was sent", u.id, trusted)
}

func (s *State) handleHeartbeat(now time.Time, u *upstream, a Answer) {
	if u.phase != phaseOwned || a.Call.Heartbeat.Epoch != u.epoch {
		return
	}
	switch {
	case cakind.Of(a.Err) == cakind.KindFenced && a.Err != nil:
		s.lose(u, ReasonFenced)
		u.next = now
		return
	case a.Err != nil:
		u.failed(now, s.cfg)
		return
	}
	s.renew(u, a.Call.Sent)
	u.sequence = a.Heartbeat.Sequence
	u.next = a.Call.Sent.Add(s.cfg.Period)
	if !u.renewed {
		u.renewed, u.next = true, a.Call.Sent.Add(u.spread)
	}
	if len(a.Heartbeat.Changed) > 0 {
		s.emit(u, Event{Kind: EventKindTasksChanged, Epoch: u.epoch, Tasks: a.Heartbeat.Changed})
	}
}

// handleRelease retries a release whose fate is unknown while the lease may
// still stand; after that the agent ends it by itself.
func (s *State) handleRelease(now time.Time, u *upstream, a Answer) {
	if answered(a.Err) || !now.Before(u.releaseUntil) {
		u.phase, u.next = phaseIdle, now
		return
	}
	u.next = now.Add(s.cfg.CallRetry)
}
