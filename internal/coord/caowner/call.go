package caowner

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/coord/cacheck"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// startCall returns the next call to the upstream and records it as open. It
// returns false when no call is needed or too many are open.
func (s *State) startCall(now time.Time, u *upstream) (Call, bool) {
	kind, ok := s.nextCallKind(now, u)
	claimOrProbe := kind == CallKindClaim || kind == CallKindProbe
	if !ok || s.openCalls >= s.cfg.Concurrency || claimOrProbe && s.openClaimsAndProbes >= s.cfg.Concurrency/2 {
		return Call{}, false
	}
	s.check.Assert(!u.callOpen, cacheck.RuleOneCall, "second call to %s while one is open", u.id)
	u.callOpen, u.callSent = true, now
	s.openCalls++
	s.lastCallID++
	u.callID = s.lastCallID
	if claimOrProbe {
		s.openClaimsAndProbes++
	}
	c := Call{ID: u.callID, Kind: kind, Upstream: u.id, Address: u.vm.Address, Sent: now}
	switch kind {
	case CallKindClaim:
		c.Claim = caplatform.Claim{Holder: s.self, TTL: s.cfg.TTL}
	case CallKindHeartbeat:
		c.Heartbeat = caplatform.Heartbeat{
			Holder: s.self, Epoch: u.epoch, TTL: s.cfg.TTL, TaskTTL: s.cfg.TaskTTL, Since: u.taskSequence,
		}
	case CallKindRelease:
		c.Release = caplatform.Ownership{Holder: s.self, Epoch: u.epoch}
	case CallKindProbe:
	}
	return c, true
}

// nextCallKind returns the kind of call that the upstream needs next, if any.
func (s *State) nextCallKind(now time.Time, u *upstream) (CallKind, bool) {
	switch {
	case u.phase == phaseOwned:
		return CallKindHeartbeat, true
	case u.phase == phaseReleasing:
		return CallKindRelease, true
	case s.draining || u.unlisted:
		return 0, false
	case u.desired == s.self && now.Sub(s.startedAt) >= s.cfg.Settle:
		return CallKindClaim, true
	case u.unreachable:
		return CallKindProbe, true
	}
	return 0, false
}

// HandleCallResult applies the outcome of a call. Each call that Tick returned
// needs exactly one. An answer to an earlier listing of the upstream only
// releases its place among the open calls.
func (s *State) HandleCallResult(now time.Time, a CallResult) {
	s.openCalls--
	if a.Call.Kind == CallKindClaim || a.Call.Kind == CallKindProbe {
		s.openClaimsAndProbes--
	}
	u, ok := s.upstreams[a.Call.Upstream]
	if !ok || !u.callOpen || a.Call.ID != u.callID {
		return
	}
	u.callOpen = false
	wasUnreachable := u.unreachable
	if isAgentAnswer(a.Err) {
		u.markAnswered(now)
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
			u.nextCall = now.Add(s.cfg.UnreachableProbe)
		}
	}
	s.desiredStale = s.desiredStale || wasUnreachable != u.unreachable
}

// isAgentAnswer reports whether the agent answered the call, with a result or
// an error of its own, as opposed to a timeout or a transport error.
func isAgentAnswer(err error) bool {
	if err == nil {
		return true
	}
	k := cakind.Of(err)
	return k == cakind.KindFenced || k == cakind.KindConflict || k == cakind.KindNotFound
}

func (s *State) handleClaim(now time.Time, u *upstream, a CallResult) {
	if a.Err != nil {
		u.markFailed(now, s.cfg)
		return
	}
	o := a.Claim.Ownership
	if !a.Claim.Granted {
		u.highestEpoch = max(u.highestEpoch, o.Epoch)
		u.nextCall = now.Add(min(s.cfg.ClaimRetry, max(o.Remaining, s.cfg.CallRetry)))
		return
	}
	s.check.Assert(o.Epoch > u.highestEpoch, cacheck.RuleEpochGrows,
		"%s granted epoch %d after %d", u.id, o.Epoch, u.highestEpoch)
	u.highestEpoch, u.epoch, u.taskSequence, u.renewed = o.Epoch, o.Epoch, 0, false
	u.formerRequests = a.Claim.FormerRequests
	s.setLeaseEnd(u, a.Call.Sent)
	u.phase, u.nextCall = phaseOwned, now
	switch {
	case !now.Before(u.validUntil):
		u.phase = phaseIdle
	case s.draining || u.desired != s.self:
		u.phase, u.releaseDeadline = phaseReleasing, u.validUntil
	default:
		s.emit(u, Event{Kind: EventKindGained, Epoch: u.epoch, Tasks: a.Claim.Tasks, FormerRequests: u.formerRequests})
	}
}

// setLeaseEnd sets the time until which this entry trusts the lease, counted
// from the sending of the call that granted or renewed it.
func (s *State) setLeaseEnd(u *upstream, sent time.Time) {
	u.validUntil = sent.Add(s.cfg.validFor())
	validity := u.validUntil.Sub(u.callSent)
	s.check.Assert(validity <= s.cfg.validFor() && validity < s.cfg.TTL, cacheck.RuleLeaseBounded,
		"lease of %s is trusted for %v after its renewal was sent", u.id, validity)
}

func (s *State) handleHeartbeat(now time.Time, u *upstream, a CallResult) {
	if u.phase != phaseOwned || a.Call.Heartbeat.Epoch != u.epoch {
		return
	}
	switch {
	case cakind.Of(a.Err) == cakind.KindFenced && a.Err != nil:
		s.endOwnership(u, ReasonFenced)
		u.nextCall = now
		return
	case a.Err != nil:
		u.markFailed(now, s.cfg)
		return
	}
	s.setLeaseEnd(u, a.Call.Sent)
	u.taskSequence = a.Heartbeat.Sequence
	u.nextCall = a.Call.Sent.Add(s.cfg.Period)
	if !u.renewed {
		u.renewed, u.nextCall = true, a.Call.Sent.Add(u.renewalOffset)
	}
	if len(a.Heartbeat.Changed) > 0 {
		s.emit(u, Event{Kind: EventKindTasksChanged, Epoch: u.epoch, Tasks: a.Heartbeat.Changed})
	}
	if a.Heartbeat.FormerRequests != u.formerRequests {
		u.formerRequests = a.Heartbeat.FormerRequests
		s.emit(u, Event{Kind: EventKindRequestsEnded, Epoch: u.epoch, FormerRequests: u.formerRequests})
	}
}

// handleRelease retries a release with an unknown outcome until the lease has
// expired at this entry. After that it is left to expire at the agent.
func (s *State) handleRelease(now time.Time, u *upstream, a CallResult) {
	if isAgentAnswer(a.Err) || !now.Before(u.releaseDeadline) {
		u.phase, u.nextCall = phaseIdle, now
		return
	}
	u.nextCall = now.Add(s.cfg.CallRetry)
}
