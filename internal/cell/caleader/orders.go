package caleader

import (
	"cmp"
	"context"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/calatency"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caboard"
	"celeryarch.example/celeryarch/internal/cell/caspec"
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
	// renewWait is how long a renewal waits at the upstream for a run to end.
	renewWait = 1000 * time.Millisecond
	// renewTimeout bounds a renewal in addition to that wait.
	renewTimeout = 700 * time.Millisecond
	// renewInterval is the pause between two renewals, in which the upstream
	// collects ended runs.
	renewInterval = 30 * time.Millisecond
	// watchDelay is for how long a wait for ends is put off until the renewal before it is answered:
	// ends that it has not acknowledged yet would end that wait.
	watchDelay = 100 * time.Millisecond
	// renewRetry is the delay after a failed renewal.
	renewRetry = 150 * time.Millisecond
	// reportDelay is the delay before the report requested after a stop.
	reportDelay = time.Millisecond
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
func (l *Leader) nextOrders(proxies []cawork.VMID, expiryDue bool) (caboard.Orders, time.Duration) {
	l.lock(partPlan)
	defer l.mu.unlock()
	began := l.Timer.Now()
	l.planner.SetNow(l.now())
	l.proxies.SetPresent(began, proxies)
	l.planner.SetRequestLimits(l.proxies.Limits(began))
	l.planner.SetStoreUnavailable(l.isStoreSuspected())
	if expiryDue {
		l.planner.ExpireLeases()
		l.planner.RunMaintenance()
		l.updateDrainGauges()
		if l.Timer.Now().Sub(l.countedAt) >= countPeriod {
			l.countUnstarted()
		}
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

func (l *Leader) dispatchStarts(ctx context.Context, orders []caboard.StartOrder) {
	l.startLatency.addInFlight(len(orders))
	for _, order := range orders {
		l.spawn(func() { l.startRun(ctx, order) })
	}
}

func (l *Leader) startRun(ctx context.Context, order caboard.StartOrder) {
	callCtx, cancel := context.WithTimeout(ctx, l.startLatency.timeout())
	defer cancel()
	began := l.Timer.Now()
	outcome, clockMS := l.Upstreams.Start(callCtx, l.token, order)
	l.startLatency.observe(l.Timer.Now().Sub(began))
	l.lock(partReport)
	defer l.mu.unlock()
	if outcome == caboard.StartFenced {
		l.stepDown(order.Upstream)
		return
	}
	l.planner.SetNow(l.now())
	l.planner.ApplyStartOutcome(order, outcome, clockMS)
	l.wakePlanner()
}

func (l *Leader) stopRun(ctx context.Context, order caboard.StopOrder) {
	began := l.Timer.Now()
	err := l.callStop(ctx, order)
	l.lock(partReport)
	defer l.mu.unlock()
	if err != nil && isFenced(err) {
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
func (l *Leader) callStop(ctx context.Context, order caboard.StopOrder) error {
	timeout := l.stopLatency.Timeout()
	if order.ToSilent {
		timeout = minStopTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return l.Upstreams.Stop(ctx, l.token, order)
}

// requestReport requests a report from an upstream immediately, in parallel with
// the renewal that waits there for a run to end.
func (l *Leader) requestReport(ctx context.Context, id cawork.UpstreamID) {
	// A report proves that a run is gone only if it was requested after the stop
	// was acknowledged.
	if l.Timer.Pause(ctx, reportDelay) != nil {
		return
	}
	request, ok := l.reportRequest(id)
	if !ok {
		return
	}
	// The error is ignored: renewLoop detects whether the upstream is reachable.
	_, _ = l.renew(ctx, request, 0)
}

// listLoop reads the list of upstreams periodically and applies it.
func (l *Leader) listLoop(ctx context.Context) error {
	failing := false
	var retention listRetention
	latency := calatency.NewPeak(calatency.Bounds{Min: listTimeout, Max: maxListTimeout})
	for {
		if err := l.Timer.Pause(ctx, listPeriod); err != nil {
			return err
		}
		began := l.Timer.Now()
		list, err := l.readList(ctx, latency)
		if err != nil {
			l.noteListRead()
			if !failing {
				caevent.Warn(l.Log, caevent.VMListUnavailable).Err(err).Send()
			}
			failing = true
			continue
		}
		retention.noteRead(l.Timer.Now(), failing)
		failing = false
		l.applyList(ctx, retention.complete(l.Timer.Now(), list), began)
		l.noteListRead()
	}
}

// readList reads the list of upstreams. After a read without an answer the next one may take longer.
func (l *Leader) readList(ctx context.Context, latency *calatency.Peak) ([]caspec.Upstream, error) {
	callCtx, cancel := context.WithTimeout(ctx, latency.Timeout())
	defer cancel()
	began := l.Timer.Now()
	list, err := l.Registry.List(callCtx)
	if err == nil || callCtx.Err() != nil {
		latency.Observe(l.Timer.Now().Sub(began))
	}
	return list, err
}

// noteListRead records that an attempt to read the list has ended, also one that failed: a
// leader that cannot read the list goes on by the last one, a suspended one does not.
func (l *Leader) noteListRead() {
	l.lock(partReport)
	defer l.mu.unlock()
	l.planner.SetListValidUntil(l.Timer.Now().Add(maxListPause))
}

// applyList passes the list of upstreams, whose reading began at readAt, to the planner and starts
// renewals for new ones.
func (l *Leader) applyList(ctx context.Context, list []caspec.Upstream, readAt time.Time) {
	l.lock(partReport)
	defer l.mu.unlock()
	l.planner.SetNow(l.now())
	l.proposeLayout(len(list))
	l.planner.SetUpstreamsReadAt(l.ownUpstreams(list), readAt)
	l.startRenewals(ctx)
}

// startRenewals starts a renewLoop for each upstream without one. The lock is held.
func (l *Leader) startRenewals(ctx context.Context) {
	for _, id := range l.planner.UpstreamIDs() {
		if l.renewing[id] {
			continue
		}
		l.renewing[id] = true
		l.spawn(func() { l.renewLoop(ctx, id) })
	}
}

// renewLoop renews the lease of an upstream and waits for its runs to end until the planner no longer
// has it.
func (l *Leader) renewLoop(ctx context.Context, id cawork.UpstreamID) {
	defer func() {
		l.lock(partReport)
		defer l.mu.unlock()
		delete(l.renewing, id)
	}()
	reachable := true
	for ctx.Err() == nil {
		began := l.Timer.Now()
		pause, known, err := l.renewAndWatch(ctx, id)
		if !known {
			return
		}
		if reachable != (err == nil) && ctx.Err() == nil {
			reachable = err == nil
			caevent.Info(l.Log, caevent.UpstreamReached).Str("upstream", string(id)).Bool("reachable", reachable).
				Err(err).Dur("took", l.Timer.Now().Sub(began)).Send()
		}
		if pause > 0 && l.Timer.Pause(ctx, pause) != nil {
			return
		}
	}
}

// renewAndWatch renews the lease of an upstream and waits there for a run to end, with a call that
// changes nothing. It returns the pause before the next renewal, and whether the planner has the
// upstream.
func (l *Leader) renewAndWatch(ctx context.Context, id cawork.UpstreamID) (pause time.Duration, known bool, err error) {
	lease, ok := l.nextLease(id)
	if !ok {
		return 0, false, nil
	}
	renewed := l.spawnRenewal(ctx, lease)
	watchDue := l.Timer.After(watchDelay)
	defer watchDue.Close()
	var r renewalOutcome
	answered := false
	select {
	case r = <-renewed:
		answered = true
		if pause, done := l.pauseAfter(lease, r); done {
			return pause, true, r.err
		}
	case <-watchDue.C:
	}
	request, ok := l.reportRequest(id)
	if !ok {
		return 0, false, nil
	}
	_, err = l.renew(ctx, request, renewWait)
	if !answered {
		r = <-renewed
	}
	if err = cmp.Or(err, r.err); err != nil {
		return renewRetry, true, err
	}
	return renewInterval, true, nil
}

// renewalOutcome is the outcome of a renewal.
type renewalOutcome struct {
	report caboard.Report
	err    error
}

// spawnRenewal renews a lease. The upstream answers at once.
func (l *Leader) spawnRenewal(ctx context.Context, lease caboard.Lease) chan renewalOutcome {
	renewed := make(chan renewalOutcome, 1)
	l.spawn(func() {
		defer close(renewed)
		report, err := l.renew(ctx, lease, 0)
		renewed <- renewalOutcome{report, err}
	})
	return renewed
}

// pauseAfter returns the pause after a renewal where another one is due before a wait for a run to end:
// it failed, extended no lease, or listed ends, which are to be acknowledged first.
func (l *Leader) pauseAfter(lease caboard.Lease, r renewalOutcome) (pause time.Duration, done bool) {
	switch {
	case r.err != nil:
		return renewRetry, true
	case lease.EndMS == 0 && l.granting.Load():
		return 0, true
	case lease.EndMS == 0, len(r.report.Ended) > 0:
		return renewInterval, true
	default:
		return 0, false
	}
}

// reportRequest returns a request for a report of an upstream.
func (l *Leader) reportRequest(id cawork.UpstreamID) (caboard.Lease, bool) {
	l.lock(partReport)
	defer l.mu.unlock()
	return l.planner.ReportRequest(id)
}

// nextLease returns the lease for the next renewal. It does not extend the lease
// while the claim is older than MaxClaimAge or states that the leader grants none.
func (l *Leader) nextLease(id cawork.UpstreamID) (caboard.Lease, bool) {
	l.lock(partReport)
	defer l.mu.unlock()
	l.planner.SetNow(l.now())
	lease, ok := l.planner.RenewLease(id)
	if !l.granting.Load() || l.Timer.Now().Sub(l.lastAppend.load()) > MaxClaimAge {
		lease.EndMS = 0
	}
	return lease, ok
}

func (l *Leader) renew(ctx context.Context, lease caboard.Lease, wait time.Duration) (caboard.Report, error) {
	callCtx, cancel := context.WithTimeout(ctx, wait+renewTimeout)
	defer cancel()
	report, err := l.Upstreams.Renew(callCtx, l.token, lease, wait)
	if err != nil {
		l.lock(partReport)
		defer l.mu.unlock()
		l.planner.SetNow(l.now())
		l.planner.MarkRenewalUnanswered(lease.Upstream)
		if cakind.Of(err) != cakind.KindUnknown {
			l.planner.MarkCallEnded(lease.Upstream, lease.Call)
		}
		if cakind.Of(err) == cakind.KindNotFound {
			l.planner.MarkIncarnationGone(lease.Upstream, lease.Born)
			l.wakePlanner()
		}
		if isFenced(err) {
			l.stepDown(lease.Upstream)
		}
		return caboard.Report{}, err
	}
	l.lock(partReport)
	defer l.mu.unlock()
	l.planner.SetNow(l.now())
	report.Call = lease.Call
	l.planner.ApplyReport(report)
	l.wakePlanner()
	return report, nil
}
