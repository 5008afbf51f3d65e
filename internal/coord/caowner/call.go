package caowner

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/coord/cacheck"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

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
		u.succeeded(now)
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
	s.stale = s.stale || was != u.unreachable
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
	u.former = a.Claim.FormerRequests
	s.renew(u, a.Call.Sent)
	u.phase, u.next = phaseOwned, now
	switch {
	case !now.Before(u.until):
		u.phase = phaseIdle
	case s.draining || u.desired != s.self:
		u.phase, u.releaseUntil = phaseReleasing, u.until
	default:
		s.emit(u, Event{Kind: EventKindGained, Epoch: u.epoch, Tasks: a.Claim.Tasks, FormerRequests: u.former})
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
	if a.Heartbeat.FormerRequests != u.former {
		u.former = a.Heartbeat.FormerRequests
		s.emit(u, Event{Kind: EventKindRequestsEnded, Epoch: u.epoch, FormerRequests: u.former})
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
