package cadispatch

import (
	"context"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/request/caroute"
)

const (
	// softTimeoutFactor is the multiple of the expected latency after which an
	// idempotent attempt is canceled and retried, if the retry budgets allow it.
	softTimeoutFactor = 20
	// minSoftTimeout is the minimum time before an attempt is canceled as late,
	// unless half of the time to its deadline is shorter.
	minSoftTimeout = 500 * time.Millisecond
)

// runningAttempt is an attempt in progress, which may be canceled in favor of a
// retry.
type runningAttempt struct {
	d    *Dispatcher
	call *call
	// softDeadline is the time from which the attempt is late, zero if the
	// attempt cannot be retried.
	softDeadline time.Time
	cancel       context.CancelFunc
	// canceled is set when the attempt was late and has been canceled. Its retry
	// is then already charged to the retry budgets. It is guarded by d.mu while
	// the attempt is watched.
	canceled bool
}

// watch returns a context with the deadline of the request for an attempt. It
// also registers the attempt to be canceled when it is late, if the request may
// be retried then: it is idempotent, its body can be sent again and the maximum
// of attempts is not reached.
func (d *Dispatcher) watch(ctx context.Context, c *call, route *caroute.Route) (context.Context, *runningAttempt) {
	ctx, cancel := context.WithTimeout(ctx, c.deadline.Sub(d.config.Timer.Now()))
	r := &runningAttempt{d: d, call: c, cancel: cancel}
	if !c.retryableAfter(cakind.KindUnknown) {
		return ctx, r
	}
	softTimeout := max(softTimeoutFactor*route.ExpectedLatency, minSoftTimeout)
	r.softDeadline = route.TakenAt.Add(min(softTimeout, c.deadline.Sub(route.TakenAt)/2))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watched[r] = struct{}{}
	return ctx, r
}

// unwatch ensures that the attempt is no longer canceled as late, for example
// because its response has started.
func (r *runningAttempt) unwatch() {
	if r.softDeadline.IsZero() {
		return
	}
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	delete(r.d.watched, r)
}

// end unregisters the attempt and releases its context.
func (r *runningAttempt) end() {
	r.unwatch()
	r.cancel()
}

// wasCanceled unregisters the attempt and reports whether it was canceled as
// late.
func (r *runningAttempt) wasCanceled() bool {
	r.unwatch()
	return r.canceled
}

// verdict returns the verdict on the attempt, which ended with err. A late
// attempt counts as failed.
func (r *runningAttempt) verdict(ctx context.Context, err error) caroute.Verdict {
	if r.wasCanceled() {
		return caroute.VerdictFailed
	}
	return verdictOfError(ctx, err)
}

// wrapError returns err, as a retryError if the attempt was canceled as late.
func (r *runningAttempt) wrapError(err error) error {
	if r.wasCanceled() {
		return &retryError{err}
	}
	return err
}

// retryTargets returns the upstreams whose budget allows a retry.
func (d *Dispatcher) retryTargets(now time.Time) []cawork.UpstreamID {
	targets := d.router.EligibleUpstreams(now)
	exhausted := d.budgets.Exhausted(targets)
	return slices.DeleteFunc(targets, func(id cawork.UpstreamID) bool { return slices.Contains(exhausted, id) })
}

// cancelLate cancels late attempts whose retry the budgets allow. The caller
// holds d.mu.
func (d *Dispatcher) cancelLate(now time.Time) {
	var targets []cawork.UpstreamID
	for r := range d.watched {
		if now.Before(r.softDeadline) {
			continue
		}
		if targets == nil {
			targets = d.retryTargets(now)
		}
		if len(targets) == 0 {
			return
		}
		if d.budgets.AllowRetry(r.call.team, targets) {
			r.canceled = true
			delete(d.watched, r)
			r.cancel()
		}
	}
}
