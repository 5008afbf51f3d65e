package caowner

import (
	"time"

	"github.com/cenkalti/backoff/v5"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// phase is the state of one upstream at this entry.
type phase int

const (
	// phaseIdle means that this entry does not own the upstream.
	phaseIdle phase = iota
	phaseOwned
	// phaseReleasing means that this entry has given up ownership and tells the
	// agent.
	phaseReleasing
)

// upstream is what a State keeps of one upstream.
type upstream struct {
	id    cawork.UpstreamID
	vm    caplatform.VM
	phase phase
	// open tells that a call is under way; its answer is awaited before the
	// next call.
	open  bool
	call  int64
	asked time.Time
	next  time.Time

	desired  cawork.VMID
	epoch    caplatform.Epoch
	highest  caplatform.Epoch
	until    time.Time
	sequence int64
	// former is the number of requests of former owners.
	former int
	// renewed tells that the lease was renewed since the claim. The second
	// renewal comes after spread, so that those of many upstreams do not
	// coincide.
	renewed bool
	spread  time.Duration

	unlisted bool
	failing  time.Time
	// answered is the time of the last answer of the agent, or that at which the
	// upstream became known.
	answered     time.Time
	unreachable  bool
	releaseUntil time.Time
	pause        *backoff.ExponentialBackOff
}

func newUpstream(vm caplatform.VM, cfg Config) *upstream {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = cfg.CallRetry, cfg.MaxRetry
	return &upstream{id: cawork.UpstreamID(vm.ID), vm: vm, pause: pause}
}

// succeeded notes that the agent answered.
func (u *upstream) succeeded(now time.Time) {
	u.answered = now
	u.failing, u.unreachable = time.Time{}, false
	u.pause.Reset()
}

// failed notes that a call failed and sets the time of the next one. An owner
// retries fast, because its lease runs out.
func (u *upstream) failed(now time.Time, cfg Config) {
	if u.failing.IsZero() {
		u.failing = now
	}
	wait := u.pause.NextBackOff()
	if u.phase == phaseOwned {
		wait = min(wait, cfg.CallRetry)
	}
	u.next = now.Add(wait)
	if u.phase == phaseIdle && now.Sub(u.failing) >= cfg.UnreachableAfter {
		u.unreachable = true
		u.next = now.Add(cfg.UnreachableProbe)
	}
}
