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
	// lateFactor is the multiple of the expected latency after which an
	// idempotent attempt is given up in favour of another, within the budgets.
	lateFactor = 20
	// lateFloor is the time before which no attempt is given up.
	lateFloor = 500 * time.Millisecond
)

// running is one attempt that may be given up for another.
type running struct {
	d      *Dispatcher
	call   *call
	lateAt time.Time
	cancel context.CancelFunc
	// cut is set under the lock of the dispatcher when the attempt has been
	// given up, which has used the budgets of its retry.
	cut bool
}

// begin registers an attempt and gives its context the deadline. Only an idempotent one whose body can be sent
// again is watched.
func (d *Dispatcher) begin(ctx context.Context, c *call, route *caroute.Route) (context.Context, *running) {
	ctx, cancel := context.WithTimeout(ctx, c.deadline.Sub(d.config.Timer.Now()))
	r := &running{d: d, call: c, cancel: cancel}
	if !c.repeatable(cakind.KindUnknown) {
		return ctx, r
	}
	patience := max(lateFactor*route.Expected, lateFloor)
	r.lateAt = route.Taken.Add(min(patience, c.deadline.Sub(route.Taken)/2))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watched[r] = struct{}{}
	return ctx, r
}

// answers ends the watch: what answers is not given up.
func (r *running) answers() {
	if r.lateAt.IsZero() {
		return
	}
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	delete(r.d.watched, r)
}

func (r *running) end() {
	r.answers()
	r.cancel()
}

// given reports whether the attempt was given up, after the watch has ended.
func (r *running) given() bool {
	r.answers()
	return r.cut
}

func (r *running) verdict(ctx context.Context, err error) caroute.Verdict {
	if r.given() {
		return caroute.VerdictFailed
	}
	return verdictOf(ctx, err)
}

func (r *running) wrap(err error) error {
	if r.given() {
		return &retryError{err}
	}
	return err
}

// retryTargets returns the upstreams whose budget allows a retry.
func (d *Dispatcher) retryTargets(now time.Time) []cawork.UpstreamID {
	at := d.router.Startable(now)
	over := d.budgets.Exhausted(at)
	return slices.DeleteFunc(at, func(id cawork.UpstreamID) bool { return slices.Contains(over, id) })
}

// cutLate gives up attempts that are late. The caller holds the lock.
func (d *Dispatcher) cutLate(now time.Time) {
	var at []cawork.UpstreamID
	for r := range d.watched {
		if now.Before(r.lateAt) {
			continue
		}
		if at == nil {
			at = d.retryTargets(now)
		}
		if len(at) == 0 {
			return
		}
		if d.budgets.Retry(r.call.team, at) {
			r.cut = true
			delete(d.watched, r)
			r.cancel()
		}
	}
}
