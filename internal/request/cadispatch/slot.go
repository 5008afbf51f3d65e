package cadispatch

import (
	"context"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/request/caadmit"
	"celeryarch.example/celeryarch/internal/request/caroute"
)

// waiter is the payload of a ticket. Its channel has a buffer of one route, so
// that a send never blocks. A nil route means that the deadline has passed.
type waiter struct {
	ask   caroute.SlotRequest
	route chan *caroute.Route
}

// waitForSlot waits until a queued call gets a slot, its deadline passes or its
// caller disconnects.
func (d *Dispatcher) waitForSlot(ctx context.Context, ticket *caadmit.Ticket) (*caroute.Route, error) {
	w := ticket.Payload.(*waiter)
	select {
	case route := <-w.route:
		if route == nil {
			return nil, cakind.New(cakind.KindDeadlineBeforeStart, "no slot was free before the deadline")
		}
		return route, nil
	case <-ctx.Done():
		d.abandonWait(ticket, w)
		return nil, cakind.New(cakind.KindCanceled, "the caller disconnected before the request started")
	}
}

// acquireSlotOrEnqueue acquires a free slot for the call, or else adds the call
// to the queue of its team. It returns either a route, a ticket or an error.
func (d *Dispatcher) acquireSlotOrEnqueue(c *call) (*caadmit.Ticket, *caroute.Route, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c.maxAttempts = d.policy.MaxAttempts
	now := d.config.Timer.Now()
	ask := caroute.SlotRequest{Idempotent: c.idempotent, Deadline: c.deadline, Exclude: c.tried}
	if c.attempts > 0 {
		ask.Exclude = d.excludedUpstreams(now, c)
	}
	if d.queues.Len() == 0 || c.attempts > 0 {
		if route := d.acquireSlot(now, ask); route != nil {
			d.queues.Charge(c.team, d.router.MeanServiceTime())
			return nil, route, nil
		}
	}
	w := &waiter{ask: ask, route: make(chan *caroute.Route, 1)}
	ticket := &caadmit.Ticket{Team: c.team, Deadline: c.deadline, Payload: w}
	if c.attempts > 0 {
		d.queues.Requeue(ticket)
		return ticket, nil, nil
	}
	if err := d.admit(now, ticket); err != nil {
		return nil, nil, err
	}
	d.borrowing.latestDeadline = laterOf(d.borrowing.latestDeadline, c.deadline)
	d.borrow(now)
	return ticket, nil, nil
}

// excludedUpstreams returns the upstreams that a retry avoids: those already
// tried, and those whose retry budget is exhausted. If this excludes all
// upstreams, it returns only those already tried.
func (d *Dispatcher) excludedUpstreams(now time.Time, c *call) []cawork.UpstreamID {
	startable := d.router.EligibleUpstreams(now)
	excluded := append(d.budgets.Exhausted(startable), c.tried...)
	for _, id := range startable {
		if !slices.Contains(excluded, id) {
			return excluded
		}
	}
	return c.tried
}

// admit adds a ticket to the queue of its team, or returns the reason to refuse
// the request.
func (d *Dispatcher) admit(now time.Time, t *caadmit.Ticket) error {
	if !d.router.HasEligibleUpstream(now) && !d.mayBorrow(now) {
		return cakind.New(cakind.KindUnavailable, "no upstream is available")
	}
	if err := d.queues.Admit(now, t, d.capacity(now)); err != nil {
		return err
	}
	return nil
}

// checkAdmission refuses a call that would have to wait but would not be
// admitted to the queue. It runs before the idempotency key is claimed, which
// avoids calls to other entries for requests that are refused anyway.
func (d *Dispatcher) checkAdmission(c *call) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.queues.Len() == 0 {
		return nil
	}
	now := d.config.Timer.Now()
	if err := d.queues.Check(now, &caadmit.Ticket{Team: c.team, Deadline: c.deadline}, d.capacity(now)); err != nil {
		return err
	}
	return nil
}

// capacity returns the slots that serve the queues, limited by the memory for
// attempts.
func (d *Dispatcher) capacity(now time.Time) caadmit.Capacity {
	slots := min(d.router.Slots(now), d.memory.attemptCapacity())
	return caadmit.Capacity{Slots: slots, ServiceTime: d.router.MeanServiceTime()}
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// abandonWait removes the ticket of a call whose caller disconnected from the
// queue. If the call has got a slot in the meantime, abandonWait releases the
// slot and the memory of the attempt.
func (d *Dispatcher) abandonWait(t *caadmit.Ticket, w *waiter) {
	d.mu.Lock()
	queued := d.queues.Remove(t)
	d.mu.Unlock()
	if queued {
		return
	}
	if route := <-w.route; route != nil {
		d.releaseSlot(route, caroute.VerdictAbandoned, t.Team, false)
		d.releaseAttemptMemory(attemptBytes)
	}
}

// releaseSlot releases the slot of a route and starts waiting requests.
func (d *Dispatcher) releaseSlot(route *caroute.Route, v caroute.Verdict, team cawork.TeamName, interrupted bool) {
	d.mu.Lock()
	now := d.config.Timer.Now()
	used := now.Sub(route.TakenAt)
	release := d.router.Release
	if interrupted {
		release = d.router.ReleaseInterrupted
	}
	changes := release(now, route, v)
	d.queues.Charge(team, used-d.router.MeanServiceTime())
	d.dispatchQueued(now)
	d.mu.Unlock()
	d.metrics.team(team).slotTime.Inc(used.Microseconds())
	for _, c := range changes {
		d.logHealthChange(c)
	}
}

// acquireSlot acquires a slot and the memory for an attempt. It returns nil when
// either is unavailable. The caller holds d.mu.
func (d *Dispatcher) acquireSlot(now time.Time, ask caroute.SlotRequest) *caroute.Route {
	if !d.memory.admitsAttempt() {
		return nil
	}
	route := d.router.Choose(now, ask)
	if route != nil {
		d.memory.addAttempt(attemptBytes)
	}
	return route
}

// dispatchQueued assigns free slots to waiting requests. The caller holds d.mu.
func (d *Dispatcher) dispatchQueued(now time.Time) {
	for d.queues.Len() > 0 {
		var route *caroute.Route
		t := d.queues.Next(d.router.MeanServiceTime(), func(t *caadmit.Ticket) bool {
			route = d.acquireSlot(now, t.Payload.(*waiter).ask)
			return route != nil
		})
		if t == nil {
			return
		}
		t.Payload.(*waiter).route <- route
	}
}

// logHealthChange logs that an upstream was ejected or restored.
func (d *Dispatcher) logHealthChange(c caroute.Change) {
	event := caevent.UpstreamEjected
	if c.Kind == caroute.ChangeRestored {
		event = caevent.UpstreamRestored
	}
	caevent.Warn(d.config.Logger, event).
		Str("upstream", string(c.Upstream)).
		Float64("failure_rate", c.FailureRate).
		Float64("peer_rate", c.PeerFailureRate).
		Dur("latency_ms", c.Latency).
		Send()
}
