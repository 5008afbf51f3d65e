package caleader

import (
	"context"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caboard"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

const (
	// orderTimeout bounds a call that stops a run, and startTimeoutMost one that
	// starts a run. A start without an answer costs its task that time.
	orderTimeout     = 600 * time.Millisecond
	startTimeoutMost = 600 * time.Millisecond
	// startTimeoutLeast and startTimeoutTimes make the time-out of a start from
	// the mean time of starts, and startTimeoutEach adds to it for each one that
	// is under way, since they share processor and link.
	startTimeoutLeast = 200 * time.Millisecond
	startTimeoutTimes = 8
	startTimeoutEach  = 3 * time.Millisecond
	// startTimeWeight is the weight of one start in that mean.
	startTimeWeight = 0.02
	// renewWait is how long a renewal waits at the upstream for an end.
	renewWait = 1000 * time.Millisecond
	// renewTimeout bounds the way of a renewal and its answer.
	renewTimeout = 700 * time.Millisecond
	// renewPause gathers ends at the upstream between two renewals.
	renewPause = 30 * time.Millisecond
	// renewRetry is the wait after a renewal that failed.
	renewRetry = 150 * time.Millisecond
	// lookPause is the wait before a report is asked for after a stop.
	lookPause = time.Millisecond
	// lapsePeriod is the time between two looks for what is over.
	lapsePeriod = 100 * time.Millisecond
)

// planLoop decides whenever something happened.
func (l *Leader) planLoop(ctx context.Context) error {
	planned := time.Time{}
	lapsed := time.Time{}
	rest := planPause
	for {
		period := l.Timer.After(planPeriod)
		select {
		case <-ctx.Done():
			period.Close()
			return context.Cause(ctx)
		case <-l.wake:
		case <-period.C:
		}
		period.Close()
		if since := l.Timer.Now().Sub(planned); since < rest {
			if err := l.Timer.Pause(ctx, rest-since); err != nil {
				return err
			}
		}
		planned = l.Timer.Now()
		lapse := planned.Sub(lapsed) >= lapsePeriod
		if lapse {
			lapsed = planned
		}
		l.plan(ctx, lapse)
		rest = restAfterPlan(l.Timer.Now().Sub(planned))
	}
}

// restAfterPlan returns the least time from the beginning of a plan that took so
// long to that of the next one, so that calls and appends have their part of the
// processor while a long backlog waits.
func restAfterPlan(took time.Duration) time.Duration {
	return min(max(planPause, planRestTimes*took), planRestMost)
}

func (l *Leader) plan(ctx context.Context, lapse bool) {
	orders := l.decide(askSlots(len(l.Advisers.Names())), lapse)
	for _, order := range orders.Stops {
		l.carryOut(func() { l.stopRun(ctx, order) })
	}
	for _, id := range orders.Looks {
		l.carryOut(func() { l.look(ctx, id) })
	}
	for _, ask := range orders.Asks {
		l.carryOut(func() { l.advise(ctx, ask) })
	}
}

// decide makes a plan, after a look for what is over if that is due.
func (l *Leader) decide(slots caboard.AskSlots, lapse bool) caboard.Orders {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.board.SetNow(l.moment())
	l.board.SetAskSlots(slots)
	l.board.SetStoreAway(l.isAway())
	if lapse {
		l.board.Lapse()
		l.board.Expire()
		if l.isAway() {
			l.withdrawWaiting()
		}
	}
	return l.board.Plan()
}

func (l *Leader) dispatchStarts(ctx context.Context, orders []caboard.StartOrder) {
	l.startTimes.expect(len(orders))
	for _, order := range orders {
		l.carryOut(func() { l.startRun(ctx, order) })
	}
}

func (l *Leader) startRun(ctx context.Context, order caboard.StartOrder) {
	callCtx, cancel := context.WithTimeout(ctx, l.startTimes.begin())
	defer cancel()
	began := l.Timer.Now()
	outcome, clockMS := l.Upstreams.Start(callCtx, l.token, order)
	l.startTimes.end(l.Timer.Now().Sub(began))
	l.mu.Lock()
	defer l.mu.Unlock()
	if outcome == caboard.StartFenced {
		l.fenced(order.Upstream)
		return
	}
	l.board.SetNow(l.moment())
	l.board.Started(order, outcome, clockMS)
	l.kick()
}

func (l *Leader) stopRun(ctx context.Context, order caboard.StopOrder) {
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := l.Upstreams.Stop(callCtx, l.token, order)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil && isDeposed(err) {
		l.fenced(order.Upstream)
		return
	}
	l.board.SetNow(l.moment())
	if l.board.Stopped(order, err == nil) {
		l.carryOut(func() { l.look(ctx, order.Upstream) })
	}
	l.kick()
}

// look asks an upstream for a report at once, beside the renewal that waits
// there for an end.
func (l *Leader) look(ctx context.Context, id cawork.UpstreamID) {
	// A report proves something only when it was asked for later.
	if l.Timer.Pause(ctx, lookPause) != nil {
		return
	}
	lease, ok := l.nextLease(id)
	if !ok {
		return
	}
	// The renewals of the upstream tell whether it is reachable.
	_ = l.renew(ctx, lease, 0)
}

// listLoop reads the list of upstreams and looks after each of them.
func (l *Leader) listLoop(ctx context.Context) error {
	lost := false
	var lapsed lapsedList
	for {
		if err := l.Timer.Pause(ctx, listPeriod); err != nil {
			return err
		}
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		list, err := l.Registry.List(callCtx)
		cancel()
		if err != nil {
			if !lost {
				caevent.Warn(l.Log, caevent.VMListUnavailable).Err(err).Send()
			}
			lost = true
			continue
		}
		lapsed.read(l.Timer.Now(), lost)
		lost = false
		l.takeList(ctx, lapsed.complete(l.Timer.Now(), list))
	}
}

// takeList takes up the list of upstreams.
func (l *Leader) takeList(ctx context.Context, list []caspec.Upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.board.SetNow(l.moment())
	l.settleLayout(len(list))
	l.board.SetUpstreams(l.ownUpstreams(list))
	l.watchUpstreams(ctx)
}

// watchUpstreams begins to renew the leases of upstreams that are new. The
// lock is held.
func (l *Leader) watchUpstreams(ctx context.Context) {
	for _, id := range l.board.UpstreamIDs() {
		if l.watched[id] {
			continue
		}
		l.watched[id] = true
		l.carryOut(func() { l.renewLoop(ctx, id) })
	}
}

// renewLoop renews the lease of an upstream until nobody knows it any more.
func (l *Leader) renewLoop(ctx context.Context, id cawork.UpstreamID) {
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.watched, id)
	}()
	reachable := true
	for ctx.Err() == nil {
		lease, ok := l.nextLease(id)
		if !ok {
			return
		}
		wait := renewWait
		if lease.UntilMS == 0 {
			wait = 0
		}
		began := l.Timer.Now()
		err := l.renew(ctx, lease, wait)
		if reachable != (err == nil) && ctx.Err() == nil {
			reachable = err == nil
			caevent.Info(l.Log, caevent.UpstreamReached).Str("upstream", string(id)).Bool("reachable", reachable).
				Err(err).Dur("took", l.Timer.Now().Sub(began)).Send()
		}
		rest := renewPause
		switch {
		case err != nil:
			rest = renewRetry
		case wait == 0:
			rest = 0
		}
		if rest > 0 && l.Timer.Pause(ctx, rest) != nil {
			return
		}
	}
}

// nextLease returns what the next renewal carries. While the claim is old, it
// grants no more time.
func (l *Leader) nextLease(id cawork.UpstreamID) (caboard.Lease, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.board.SetNow(l.moment())
	lease, ok := l.board.Lease(id)
	if l.Timer.Now().Sub(l.lastAppend) > ClaimAge {
		lease.UntilMS = 0
	}
	return lease, ok
}

func (l *Leader) renew(ctx context.Context, lease caboard.Lease, wait time.Duration) error {
	callCtx, cancel := context.WithTimeout(ctx, wait+renewTimeout)
	defer cancel()
	report, err := l.Upstreams.Renew(callCtx, l.token, lease, wait)
	if err != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.board.SetNow(l.moment())
		l.board.Unanswered(lease.Upstream)
		if cakind.Of(err) == cakind.KindNotFound {
			l.board.Vanished(lease.Upstream)
			l.kick()
		}
		if isDeposed(err) {
			l.fenced(lease.Upstream)
		}
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.board.SetNow(l.moment())
	l.board.Observe(report)
	l.kick()
	return nil
}
