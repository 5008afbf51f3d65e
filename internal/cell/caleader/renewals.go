package caleader

import (
	"cmp"
	"context"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caorder"
)

const (
	// watchWait is how long a call waits at the upstream for a run to end.
	watchWait = 1000 * time.Millisecond
	// renewTimeout bounds a renewal, and such a call in addition to its wait.
	renewTimeout = 700 * time.Millisecond
	// renewInterval is the pause before a renewal, in which the upstream collects ended runs.
	renewInterval = 30 * time.Millisecond
	// watchDelay is for how long a wait for ends is put off until the renewal before it is answered:
	// ends that it has not acknowledged yet would end that wait.
	watchDelay = 100 * time.Millisecond
	// renewRetry is the delay after a failed renewal.
	renewRetry = 150 * time.Millisecond
	// reportDelay is the delay before the report requested after a stop.
	reportDelay = time.Millisecond
)

// requestReport requests a report from an upstream immediately, in parallel with
// the call that waits there for a run to end.
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
	_, err = l.renew(ctx, request, watchWait)
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
	report caorder.Report
	err    error
}

// spawnRenewal renews a lease. The upstream answers at once.
func (l *Leader) spawnRenewal(ctx context.Context, lease caorder.Lease) chan renewalOutcome {
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
func (l *Leader) pauseAfter(lease caorder.Lease, r renewalOutcome) (pause time.Duration, done bool) {
	switch {
	case r.err != nil:
		return renewRetry, true
	case lease.EndMS == 0 && l.mayGrant():
		return 0, true
	case len(r.report.Ended) > 0:
		return max(renewInterval, l.delayOfEnds(lease.Upstream)), true
	case lease.EndMS == 0:
		return renewInterval, true
	default:
		return 0, false
	}
}

// delayOfEnds returns for how long an upstream lists ends that wait to be stored: until then a wait for
// ends there would end at once.
func (l *Leader) delayOfEnds(id cawork.UpstreamID) time.Duration {
	l.lock(partReport)
	defer l.mu.unlock()
	return l.planner.DelayOfEnds(id)
}

// reportRequest returns a request for a report of an upstream.
func (l *Leader) reportRequest(id cawork.UpstreamID) (caorder.Lease, bool) {
	l.lock(partReport)
	defer l.mu.unlock()
	return l.planner.ReportRequest(id)
}

// mayGrant reports whether the leader may grant leases: its claim is not older than MaxClaimAge and does not
// state that it grants none.
func (l *Leader) mayGrant() bool {
	return l.granting.Load() && l.Timer.Now().Sub(l.lastAppend.load()) <= MaxClaimAge
}

// nextLease returns the lease for the next renewal. It does not extend the lease while the leader may
// grant none.
func (l *Leader) nextLease(id cawork.UpstreamID) (caorder.Lease, bool) {
	l.lock(partReport)
	defer l.mu.unlock()
	l.planner.SetNow(l.now())
	lease, ok := l.planner.RenewLease(id)
	if !l.mayGrant() {
		lease.EndMS = 0
	}
	return lease, ok
}

func (l *Leader) renew(ctx context.Context, lease caorder.Lease, wait time.Duration) (caorder.Report, error) {
	callCtx, cancel := context.WithTimeout(ctx, wait+renewTimeout)
	defer cancel()
	report, err := l.Upstreams.Renew(callCtx, l.tokenOr(lease.Token), lease, wait)
	if err != nil {
		l.lock(partReport)
		defer l.mu.unlock()
		l.planner.SetNow(l.now())
		if isFenced(err) && l.planner.IsOutdatedToken(lease.Upstream, lease.Token) {
			l.planner.MarkCallEnded(lease.Upstream, lease.Call)
			return caorder.Report{}, err
		}
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
		return caorder.Report{}, err
	}
	l.lock(partReport)
	defer l.mu.unlock()
	l.planner.SetNow(l.now())
	report.Call, report.Token = lease.Call, lease.Token
	l.planner.ApplyReport(report)
	l.wakePlanner()
	return report, nil
}
