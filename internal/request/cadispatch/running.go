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
	// idempotent attempt is given up in favour of another, within the budgets.
	softTimeoutFactor = 20
	// minSoftTimeout is the time before which no attempt is given up.
	minSoftTimeout = 500 * time.Millisecond
)

// runningAttempt is one attempt that may be given up for another.
type runningAttempt struct {
	d            *Dispatcher
	call         *call
	softDeadline time.Time
	cancel       context.CancelFunc
	// canceled is set under the lock of the dispatcher when the attempt has been
	// given up, which has used the budgets of its retry.
	canceled bool
}

// watch registers an attempt and gives its context the deadline. Only an idempotent one whose body can be sent
// again is watched.
func (d *Dispatcher) watch(ctx context.Context, c *call, route *caroute.Route) (context.Context, *runningAttempt) {
	ctx, cancel := context.WithTimeout(ctx, c.deadline.Sub(d.config.Timer.Now()))
	r := &runningAttempt{d: d, call: c, cancel: cancel}
	if !c.retryableAfter(cakind.KindUnknown) {
		return ctx, r
	}
	softTimeout := max(softTimeoutFactor*route.Expected, minSoftTimeout)
	r.softDeadline = route.Taken.Add(min(softTimeout, c.deadline.Sub(route.Taken)/2))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watched[r] = struct{}{}
	return ctx, r
}

// unwatch ends the watch: what answers is not given up.
func (r *runningAttempt) unwatch() {
	if r.softDeadline.IsZero() {
		return
	}
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	delete(r.d.watched, r)
}

func (r *runningAttempt) end() {
	r.unwatch()
	r.cancel()
}

// wasCanceled reports whether the attempt was given up, after the watch has ended.
func (r *runningAttempt) wasCanceled() bool {
	r.unwatch()
	return r.canceled
}

func (r *runningAttempt) verdict(ctx context.Context, err error) caroute.Verdict {
	if r.wasCanceled() {
		return caroute.VerdictFailed
	}
	return verdictOfError(ctx, err)
}

func (r *runningAttempt) wrapError(err error) error {
	if r.wasCanceled() {
		return &retryError{err}
	}
	return err
}

// retryTargets returns the upstreams whose budget allows a retry.
func (d *Dispatcher) retryTargets(now time.Time) []cawork.UpstreamID {
	targets := d.router.Startable(now)
	exhausted := d.budgets.Exhausted(targets)
	return slices.DeleteFunc(targets, func(id cawork.UpstreamID) bool { return slices.Contains(exhausted, id) })
}

// cancelLate gives up attempts that are late. The caller holds the lock.
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
		if d.budgets.Retry(r.call.team, targets) {
			r.canceled = true
			delete(d.watched, r)
			r.cancel()
		}
	}
}
