package cashard

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// register is what a member knows of the witness register at one upstream.
type register struct {
	busy bool
	// sent reports that this member may have written the register.
	sent bool
	// confirmed reports that this member has seen its own value there.
	confirmed bool
	nextRead  time.Time
	lastOK    time.Time
	// failing is when the present run of failures began, zero when there is none.
	failing time.Time
	// unusable reports that the register holds what this member must not
	// overwrite, or lost what it held.
	unusable bool
}

// bad reports whether the register should be replaced.
func (r *register) bad(now time.Time, after time.Duration) bool {
	return r.unusable || !r.failing.IsZero() && now.Sub(r.failing) >= after
}

// note folds whether an operation was answered.
func (r *register) note(now time.Time, err error) {
	r.busy = false
	if err == nil {
		r.lastOK = now
		r.failing = time.Time{}
		return
	}
	if r.failing.IsZero() {
		r.failing = now
	}
}

// knownWithoutEffect reports whether the error proves that a swap did not and
// will not take effect.
func knownWithoutEffect(err error) bool {
	k := cakind.Of(err)
	return k == cakind.KindUnavailable || k == cakind.KindNotStarted
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
