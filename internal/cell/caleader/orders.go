package caleader

import (
	"context"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caorder"
)

const (
	// minStopTimeout and maxStopTimeout bound the timeout of a stop, which follows the latency of stops.
	minStopTimeout = 600 * time.Millisecond
	maxStopTimeout = 3 * time.Second
	// maxStartTimeout bounds a call that starts a run. A start without an answer delays its task by
	// that time.
	maxStartTimeout = 600 * time.Millisecond
	// The timeout of a start is startTimeoutFactor times the mean latency of
	// starts, at least minStartTimeout, plus startTimeoutPerInFlight for each
	// start in flight, since they share CPU and network.
	minStartTimeout         = 200 * time.Millisecond
	startTimeoutFactor      = 8
	startTimeoutPerInFlight = 3 * time.Millisecond
	// startLatencyWeight is the weight of one start in that moving mean.
	startLatencyWeight = 0.02
	// Where most starts take long, their timeout follows their latency within these bounds.
	minSlowStartTimeout = 10 * time.Millisecond
	maxSlowStartTimeout = 3 * time.Second
	// expiryPeriod is the time between two checks for expired leases and jobs.
	expiryPeriod = 100 * time.Millisecond
)

// planLoop makes a plan after each wake-up, and periodically without one.
func (l *Leader) planLoop(ctx context.Context) error {
	planStarted := time.Time{}
	lastExpiry := time.Time{}
	interval := minPlanInterval
	for {
		idleTimer := l.Timer.After(idlePlanPeriod)
		select {
		case <-ctx.Done():
			idleTimer.Close()
			return context.Cause(ctx)
		case <-l.wake:
		case <-idleTimer.C:
		}
		idleTimer.Close()
		if since := l.Timer.Now().Sub(planStarted); since < interval {
			if err := l.Timer.Pause(ctx, interval-since); err != nil {
				return err
			}
		}
		planStarted = l.Timer.Now()
		expiryDue := planStarted.Sub(lastExpiry) >= expiryPeriod
		if expiryDue {
			lastExpiry = planStarted
		}
		interval = planInterval(l.plan(ctx, expiryDue))
	}
}

// planInterval returns the minimum time from the start of a plan of the given
// duration to the start of the next one. It leaves CPU time for calls and appends
// while a long backlog makes plans expensive.
func planInterval(took time.Duration) time.Duration {
	return max(minPlanInterval, min(planIntervalFactor*took, maxPlanInterval), minPlanIntervalFactor*took)
}

// plan makes a plan and executes its orders. It returns the duration of the plan.
func (l *Leader) plan(ctx context.Context, expiryDue bool) time.Duration {
	orders, took := l.nextOrders(l.AdvisorProxies.Names(), expiryDue)
	for _, order := range orders.Stops {
		l.spawn(func() { l.stopRun(ctx, order) })
	}
	for _, id := range orders.Probes {
		l.spawn(func() { l.requestReport(ctx, id) })
	}
	for _, ask := range orders.ApprovalRequests {
		l.spawn(func() { l.advise(ctx, ask) })
	}
	return took
}

// nextOrders makes a plan, after a check for expired leases and jobs if that is due. It
// returns the orders and how long it took, without the wait for the lock.
func (l *Leader) nextOrders(proxies []cawork.VMID, expiryDue bool) (caorder.Orders, time.Duration) {
	l.lock(partPlan)
	defer l.mu.unlock()
	began := l.Timer.Now()
	l.planner.SetNow(l.now())
	l.setAdvisorProxies(began, proxies)
	l.planner.SetStoreUnavailable(l.isStoreSuspected())
	if expiryDue {
		l.planner.ExpireLeases()
		l.planner.RunMaintenance()
		l.updateDrainGauges()
		l.updateHeldBackGauge()
		l.storeRunTimes()
		if l.Timer.Now().Sub(l.countedAt) >= countPeriod {
			l.countUnstarted()
		}
		l.reportOpenJobs()
		if l.isStoreSuspected() {
			l.rejectUnsentJobs()
		}
	}
	orders := l.planner.Plan()
	return orders, l.Timer.Now().Sub(began)
}

// updateDrainGauges reports how many zones are drained and how many runs are still there.
// The lock is held.
func (l *Leader) updateDrainGauges() {
	total := 0
	byZone := l.planner.DrainedRuns()
	for _, n := range byZone {
		total += n
	}
	l.Scope.Gauge("drained_zones").Update(float64(len(byZone)))
	l.Scope.Gauge("drained_zone_runs").Update(float64(total))
}

// updateHeldBackGauge reports whether starts are held back because a view is too old. The lock is held.
func (l *Leader) updateHeldBackGauge() {
	held := 0.0
	if l.planner.HoldsStartsBack() {
		held = 1
	}
	l.Scope.Gauge("starts_held_back").Update(held)
}

func (l *Leader) dispatchStarts(ctx context.Context, orders []caorder.StartOrder) {
	l.startLatency.addInFlight(len(orders))
	for _, order := range orders {
		l.spawn(func() { l.startRun(ctx, order) })
	}
}

func (l *Leader) startRun(ctx context.Context, order caorder.StartOrder) {
	callCtx, cancel := context.WithTimeout(ctx, l.startLatency.timeout())
	defer cancel()
	began := l.Timer.Now()
	outcome, clockMS := l.Upstreams.Start(callCtx, l.tokenOr(order.Token), order)
	l.startLatency.observe(l.Timer.Now().Sub(began))
	l.lock(partReport)
	defer l.mu.unlock()
	if outcome == caorder.StartFenced && !l.planner.IsOutdatedToken(order.Upstream, order.Token) {
		l.stepDown(order.Upstream)
		return
	}
	l.planner.SetNow(l.now())
	l.planner.ApplyStartOutcome(order, outcome, clockMS)
	l.wakePlanner()
}

func (l *Leader) stopRun(ctx context.Context, order caorder.StopOrder) {
	began := l.Timer.Now()
	err := l.callStop(ctx, order)
	l.lock(partReport)
	defer l.mu.unlock()
	if err != nil && isFenced(err) && !l.planner.IsOutdatedToken(order.Upstream, order.Token) {
		l.stepDown(order.Upstream)
		return
	}
	l.planner.SetNow(l.now())
	if err == nil || l.planner.HasAnsweredSince(order.Upstream, order.Born, began) {
		l.stopLatency.Observe(l.Timer.Now().Sub(began))
	}
	if l.planner.ApplyStopOutcome(order, err == nil) {
		l.spawn(func() { l.requestReport(ctx, order.Upstream) })
	}
	l.wakePlanner()
}

// callStop sends a stop. Stops without an answer count for the latency only if their upstream answers
// other calls: silent ones do not show how long the others take.
func (l *Leader) callStop(ctx context.Context, order caorder.StopOrder) error {
	timeout := l.stopLatency.Timeout()
	if order.ToSilent {
		timeout = minStopTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return l.Upstreams.Stop(ctx, l.tokenOr(order.Token), order)
}
