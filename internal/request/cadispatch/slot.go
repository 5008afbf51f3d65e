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

// waiter is the payload of a ticket. Its channel holds one route, so that the
// pump never blocks. A nil route means that the deadline has passed.
type waiter struct {
	ask   caroute.Ask
	route chan *caroute.Route
}

// await waits for the slot of a call in the queue of its team.
func (d *Dispatcher) await(ctx context.Context, ticket *caadmit.Ticket) (*caroute.Route, error) {
	w := ticket.Payload.(*waiter)
	select {
	case route := <-w.route:
		if route == nil {
			return nil, cakind.New(cakind.KindDeadlineBeforeStart, "no slot was free before the deadline")
		}
		return route, nil
	case <-ctx.Done():
		d.giveUp(ticket, w)
		return nil, cakind.New(cakind.KindCanceled, "the caller hung up before the start")
	}
}

// enqueue takes a free slot for the call, or a place in the queue of its team.
func (d *Dispatcher) enqueue(c *call) (*caadmit.Ticket, *caroute.Route, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c.maxAttempts = d.policy.MaxAttempts
	now := d.config.Timer.Now()
	ask := caroute.Ask{Idempotent: c.idempotent, Deadline: c.deadline, Exclude: c.tried}
	if c.attempts > 0 {
		ask.Exclude = d.excluded(now, c)
	}
	if d.queues.Len() == 0 || c.attempts > 0 {
		if route := d.choose(now, ask); route != nil {
			d.queues.Charge(c.team, d.router.Service())
			return nil, route, nil
		}
	}
	w := &waiter{ask: ask, route: make(chan *caroute.Route, 1)}
	ticket := &caadmit.Ticket{Team: c.team, Deadline: c.deadline, Payload: w}
	if c.attempts > 0 {
		d.queues.Readmit(ticket)
		return ticket, nil, nil
	}
	if err := d.admit(now, ticket); err != nil {
		return nil, nil, err
	}
	d.borrowing.until = laterOf(d.borrowing.until, c.deadline)
	d.borrow(now)
	return ticket, nil, nil
}

// excluded returns the upstreams that a retry avoids: those tried before, and
// those whose budget is used up, unless no other is left.
func (d *Dispatcher) excluded(now time.Time, c *call) []cawork.UpstreamID {
	at := d.router.Startable(now)
	both := append(d.budgets.Exhausted(at), c.tried...)
	for _, id := range at {
		if !slices.Contains(both, id) {
			return both
		}
	}
	return c.tried
}

func (d *Dispatcher) admit(now time.Time, t *caadmit.Ticket) error {
	if !d.router.CanStart(now) && !d.mayBorrow(now) {
		return cakind.New(cakind.KindUnavailable, "no upstream can be reached")
	}
	if err := d.queues.Admit(now, t, d.capacity(now)); err != nil {
		return err
	}
	return nil
}

// precheck refuses a call that would have to wait and may not. It spares a
// request with an idempotency key the calls to the holders of the key.
func (d *Dispatcher) precheck(c *call) error {
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

func (d *Dispatcher) capacity(now time.Time) caadmit.Capacity {
	slots := min(d.router.Slots(now), d.memory.mostAttempts())
	return caadmit.Capacity{Slots: slots, Service: d.router.Service()}
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// giveUp takes the ticket of a call whose caller hung up out of the queue.
func (d *Dispatcher) giveUp(t *caadmit.Ticket, w *waiter) {
	d.mu.Lock()
	waiting := d.queues.Remove(t)
	d.mu.Unlock()
	if waiting {
		return
	}
	if route := <-w.route; route != nil {
		d.release(route, caroute.VerdictAbandoned, t.Team, false)
		d.releaseAttempt(attemptBytes)
	}
}

// release gives a slot back and serves the queues with it.
func (d *Dispatcher) release(route *caroute.Route, v caroute.Verdict, team cawork.TeamName, interrupted bool) {
	d.mu.Lock()
	now := d.config.Timer.Now()
	used := now.Sub(route.Taken)
	give := d.router.Release
	if interrupted {
		give = d.router.Interrupt
	}
	changes := give(now, route, v)
	d.queues.Charge(team, used-d.router.Service())
	d.pump(now)
	d.mu.Unlock()
	d.metrics.team(team).slotTime.Inc(used.Microseconds())
	for _, c := range changes {
		d.logChange(c)
	}
}

// choose takes a slot and the memory of an attempt, nil when either lacks. The
// caller holds the lock.
func (d *Dispatcher) choose(now time.Time, ask caroute.Ask) *caroute.Route {
	if !d.memory.admitsAttempt() {
		return nil
	}
	route := d.router.Choose(now, ask)
	if route != nil {
		d.memory.addAttempt(attemptBytes)
	}
	return route
}

// pump hands free slots to waiting requests.
func (d *Dispatcher) pump(now time.Time) {
	for d.queues.Len() > 0 {
		var route *caroute.Route
		t := d.queues.Next(d.router.Service(), func(t *caadmit.Ticket) bool {
			route = d.choose(now, t.Payload.(*waiter).ask)
			return route != nil
		})
		if t == nil {
			return
		}
		t.Payload.(*waiter).route <- route
	}
}

func (d *Dispatcher) logChange(c caroute.Change) {
	number := caevent.UpstreamEjected
	if c.Kind == caroute.ChangeRestored {
		number = caevent.UpstreamRestored
	}
	caevent.Warn(d.config.Logger, number).
		Str("upstream", string(c.Upstream)).
		Float64("failure_rate", c.FailureRate).
		Float64("peer_rate", c.PeerRate).
		Dur("latency_ms", c.Latency).
		Send()
}
