package caboard

import (
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/cell/caorder"
)

// ApplyStartOutcome applies the outcome of a start order.
func (b *Planner) ApplyStartOutcome(order caorder.StartOrder, outcome caorder.StartOutcome, clockMS int64) {
	u, ok := b.upstreams[order.Upstream]
	if !ok {
		return
	}
	if outcome != caorder.StartUnknown {
		u.endCall(order.Call)
	}
	r, ok := u.runs[order.Run]
	if !ok || u.info.Incarnation != order.Born && outcome != caorder.StartMismatch {
		return
	}
	took := b.markStartCallEnded(r, outcome)
	if outcome != caorder.StartMismatch {
		b.updateClock(u, clockMS, b.now.Monotonic)
	}
	caevent.Info(b.log, caevent.TaskPlaced).Str("job", string(r.id.Job)).Int("step", r.id.Step).Int("task", r.id.Index).
		Int("run", r.id.Number).Str("upstream", string(u.info.ID)).Str("outcome", outcome.String()).
		Dur("since_accepted", b.age(r.step.job)).Dur("since_ready", b.now.Monotonic.Sub(r.step.readyAt)).Dur("took", took).Send()
	switch outcome {
	case caorder.StartAccepted:
		r.confirm(b.now.Monotonic)
	case caorder.StartUnknown:
		if !r.confirmed {
			b.stopOtherMembers(r)
			b.stop(r)
		}
	default:
		b.applyRejection(r, outcome)
	}
}

// applyRejection ends a run whose start was rejected by its upstream.
func (b *Planner) applyRejection(r *run, outcome caorder.StartOutcome) {
	u := r.upstream
	switch outcome {
	case caorder.StartNoTicket:
		r.step.approvals.answers.Expire(u.slot)
	case caorder.StartUnhealthy, caorder.StartNoRoom, caorder.StartMismatch:
		u.pausedUntil = b.now.Monotonic.Add(pauseAfterRejection)
	case caorder.StartLate:
		u.clockAt = time.Time{}
		u.pausedUntil = b.now.Monotonic.Add(pauseAfterRejection)
	}
	b.stopOtherMembers(r)
	// The order was answered and can not take effect later.
	r.sent = false
	b.dropRun(r)
}

// ApplyStopOutcome applies the outcome of a stop order. It reports whether a report of the upstream
// is needed to prove that the run is gone: an upstream lists no end of a run that it never
// had. An upstream that answers a late stop answers again, maybe in a later incarnation.
func (b *Planner) ApplyStopOutcome(order caorder.StopOrder, acknowledged bool) (reportNeeded bool) {
	u, ok := b.upstreams[order.Upstream]
	if !ok {
		return false
	}
	r, ok := u.runs[order.Run]
	if !ok {
		return acknowledged && u.isLateStop(order.Run)
	}
	if order.Born != u.info.Incarnation {
		// The stop for this incarnation must not wait for the retry of that for an earlier one.
		r.stopInFlight = false
		return false
	}
	r.stopInFlight = false
	r.lastStopAt = b.now.Monotonic
	if acknowledged {
		b.markAnswered(u, b.now.Monotonic)
		r.stopAckedAt = b.now.Monotonic
	}
	caevent.Info(b.log, caevent.TaskStopped).Str("job", string(r.id.Job)).Int("step", r.id.Step).Int("task", r.id.Index).
		Int("run", r.id.Number).Str("upstream", string(u.info.ID)).Bool("acknowledged", acknowledged).Send()
	return !r.stopAckedAt.IsZero() && !r.confirmed
}

// dueStops returns the stop orders that are due.
func (b *Planner) dueStops() []caorder.StopOrder {
	var orders []caorder.StopOrder
	for r := range b.stopping {
		u := r.upstream
		if !r.sent || !r.stopAckedAt.IsZero() || r.stopInFlight || u.info.Address == "" ||
			b.now.Monotonic.Sub(r.lastStopAt) < stopRetryInterval {
			continue
		}
		r.stopInFlight = true
		r.stopOrderedAt = b.now.Monotonic
		orders = append(orders, caorder.StopOrder{Run: r.id, Upstream: u.info.ID, Address: u.info.Address, Born: u.info.Incarnation, Token: u.token})
	}
	slices.SortFunc(orders, func(x, y caorder.StopOrder) int { return x.Run.Compare(y.Run) })
	return orders
}
