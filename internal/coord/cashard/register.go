package cashard

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// registerState is what a member knows of the witness register at one upstream.
type registerState struct {
	inFlight bool
	// maybeWritten reports that this member may have written the register.
	maybeWritten bool
	// confirmed reports that this member has seen its own value there.
	confirmed bool
	nextRead  time.Time
	lastOK    time.Time
	// failingSince is when the present run of failures began, zero when there is none.
	failingSince time.Time
	// unusable reports that the register holds what this member must not
	// overwrite, or lost what it held.
	unusable bool
}

// isUnhealthy reports whether the register should be replaced.
func (r *registerState) isUnhealthy(now time.Time, timeout time.Duration) bool {
	return r.unusable || !r.failingSince.IsZero() && now.Sub(r.failingSince) >= timeout
}

// updateHealth folds whether an operation was answered.
func (r *registerState) updateHealth(now time.Time, err error) {
	r.inFlight = false
	if err == nil {
		r.lastOK = now
		r.failingSince = time.Time{}
		return
	}
	if r.failingSince.IsZero() {
		r.failingSince = now
	}
}

// provesNoEffect reports whether the error proves that a swap did not and
// will not take effect.
func provesNoEffect(err error) bool {
	kind := cakind.Of(err)
	return kind == cakind.KindUnavailable || kind == cakind.KindNotStarted
}

// registerResult is the outcome of a registerEffect.
type registerResult struct {
	witness cawork.UpstreamID
	swap    *caplatform.RegisterSwap
	value   caplatform.Register
	err     error
}

// newSwap returns a swap of the register to the view.
func newSwap(v View, expected int64) (*caplatform.RegisterSwap, error) {
	value, err := v.Encode()
	if err != nil {
		return nil, err
	}
	return &caplatform.RegisterSwap{Name: RegisterName(v.Shard), Expected: expected, Value: value}, nil
}
