package caowner

import (
	"time"

	"github.com/cenkalti/backoff/v5"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// phase is the state of ownership of one upstream at this entry.
type phase int

const (
	// phaseIdle means that this entry does not own the upstream.
	phaseIdle phase = iota
	phaseOwned
	// phaseReleasing means that this entry no longer uses its lease and sends
	// releases to the agent.
	phaseReleasing
)

// upstream is the state of one upstream in a State.
type upstream struct {
	id    cawork.UpstreamID
	vm    caplatform.VM
	phase phase
	// callOpen is set while a call is in flight. The next call is made only
	// after its outcome was reported.
	callOpen bool
	callID   int64
	callSent time.Time
	nextCall time.Time

	desired      cawork.VMID
	epoch        caplatform.Epoch
	highestEpoch caplatform.Epoch
	validUntil   time.Time
	taskSequence int64
	// formerRequests is as in Event.
	formerRequests int
	// renewed is set once the lease was renewed after the claim. The second
	// renewal comes renewalOffset after the first, which staggers the heartbeats
	// of upstreams that were claimed together.
	renewed       bool
	renewalOffset time.Duration

	unlisted     bool
	failingSince time.Time
	// lastAnswer is the time of the agent's last answer, before the first one
	// the time at which the upstream was listed.
	lastAnswer      time.Time
	unreachable     bool
	releaseDeadline time.Time
	retryBackoff    *backoff.ExponentialBackOff
}

func newUpstream(vm caplatform.VM, cfg Config) *upstream {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval, retryBackoff.MaxInterval = cfg.CallRetry, cfg.MaxRetry
	return &upstream{id: cawork.UpstreamID(vm.ID), vm: vm, retryBackoff: retryBackoff}
}

// markAnswered records that the agent answered and resets the backoff.
func (u *upstream) markAnswered(now time.Time) {
	u.lastAnswer = now
	u.failingSince, u.unreachable = time.Time{}, false
	u.retryBackoff.Reset()
}

// markFailed records a failed call and schedules the next one. An owner waits at
// most CallRetry, because its lease is about to expire.
func (u *upstream) markFailed(now time.Time, cfg Config) {
	if u.failingSince.IsZero() {
		u.failingSince = now
	}
	wait := u.retryBackoff.NextBackOff()
	if u.phase == phaseOwned {
		wait = min(wait, cfg.CallRetry)
	}
	u.nextCall = now.Add(wait)
	if u.phase == phaseIdle && now.Sub(u.failingSince) >= cfg.UnreachableAfter {
		u.unreachable = true
		u.nextCall = now.Add(cfg.UnreachableProbe)
	}
}
