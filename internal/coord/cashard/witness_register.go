package cashard

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// registerState is the state of the witness register at one upstream, as far as
// this member knows it from its own reads and swaps.
type registerState struct {
	inFlight bool
	// maybeWritten reports that this member may have written the register.
	maybeWritten bool
	// confirmed reports that this member has read its own value from the register.
	confirmed bool
	nextRead  time.Time
	lastOK    time.Time
	// failingSince is the time of the first of the consecutive failures. It is zero
	// if the last operation succeeded.
	failingSince time.Time
	// unusable reports that the register has a value that this member must not
	// overwrite, or has lost the value that this member wrote.
	unusable bool
}

// isUnhealthy reports whether another witness should replace this one: its
// register is unusable, or its operations have failed for the timeout.
func (r *registerState) isUnhealthy(now time.Time, timeout time.Duration) bool {
	return r.unusable || !r.failingSince.IsZero() && now.Sub(r.failingSince) >= timeout
}

// updateHealth records the end of an operation and whether it failed.
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

// provesNoEffect reports whether the error proves that a swap has not taken
// effect and never will.
func provesNoEffect(err error) bool {
	kind := cakind.Of(err)
	return kind == cakind.KindUnavailable || kind == cakind.KindNotStarted
}

// registerResult is the result of a registerEffect.
type registerResult struct {
	witness cawork.UpstreamID
	swap    *caplatform.RegisterSwap
	value   caplatform.Register
	err     error
}

// newSwap returns a swap that writes the view if the register has the expected
// version.
func newSwap(v View, expected int64) (*caplatform.RegisterSwap, error) {
	value, err := v.Encode()
	if err != nil {
		return nil, err
	}
	return &caplatform.RegisterSwap{Name: RegisterName(v.Shard), Expected: expected, Value: value}, nil
}
