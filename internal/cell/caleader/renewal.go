package caleader

import (
	"context"
	"sync/atomic"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caboard"
)

const (
	// renewWait is how long a renewal waits at the upstream for a run to end.
	renewWait = 1000 * time.Millisecond
	// A renewal counts as unanswered after renewTimeoutFactor times the longest latency of
	// the upstream's recent answers in addition to that wait, at least minRenewTimeout and at
	// most maxRenewTimeout. An answer that arrives later, but within maxRenewTimeout, is
	// still applied. Two renewals without an answer in time end before the lease does.
	minRenewTimeout    = 700 * time.Millisecond
	maxRenewTimeout    = 2000 * time.Millisecond
	renewTimeoutFactor = 2
	// renewLatencyDecay is how much of an earlier latency still counts after each answer.
	renewLatencyDecay = 0.75
	// renewInterval is the pause between two renewals, in which the upstream
	// collects ended runs.
	renewInterval = 30 * time.Millisecond
	// renewRetry is the delay after a failed renewal.
	renewRetry = 150 * time.Millisecond
)

// errRenewalOverdue means that a renewal is not answered in time. It may be answered later.
var errRenewalOverdue = cakind.New(cakind.KindUnknown, "the upstream did not answer a renewal in time")

// renewLatency is the longest latency of the recent answers of an upstream to renewals, in
// nanoseconds. Earlier ones count for less with each answer. Latencies of answers at the same
// time may replace each other.
type renewLatency struct{ longest atomic.Int64 }

// timeout returns after which time beyond its wait a renewal counts as unanswered.
func (r *renewLatency) timeout() time.Duration {
	return min(max(renewTimeoutFactor*time.Duration(r.longest.Load()), minRenewTimeout), maxRenewTimeout)
}

// observe records the duration of an answered renewal that waited for at most the given time. An
// answer before the end of the wait does not tell the latency.
func (r *renewLatency) observe(took, wait time.Duration) {
	if took < wait {
		return
	}
	decayed := time.Duration(renewLatencyDecay * float64(r.longest.Load()))
	r.longest.Store(int64(max(took-wait, decayed)))
}

// renewal is a renewal of the lease of an upstream that waits there for a run to end.
type renewal struct {
	lease   caboard.Lease
	wait    time.Duration
	latency *renewLatency
}

// startRenewals starts a renewLoop for each upstream without one. The lock is held.
func (l *Leader) startRenewals(ctx context.Context) {
	for _, id := range l.planner.UpstreamIDs() {
		if l.renewing[id] != nil {
			continue
		}
		l.renewing[id] = new(renewLatency)
		l.spawn(func() { l.renewLoop(ctx, id) })
	}
}

// renewLoop renews the lease of an upstream until the planner no longer has it.
func (l *Leader) renewLoop(ctx context.Context, id cawork.UpstreamID) {
	defer func() {
		l.lock(partReport)
		defer l.mu.unlock()
		delete(l.renewing, id)
	}()
	reachable := true
	for ctx.Err() == nil {
		r, ok := l.nextRenewal(id)
		if !ok {
			return
		}
		began := l.Timer.Now()
		err := l.renew(ctx, r)
		if reachable != (err == nil) && ctx.Err() == nil {
			reachable = err == nil
			caevent.Info(l.Log, caevent.UpstreamReached).Str("upstream", string(id)).Bool("reachable", reachable).
				Err(err).Dur("took", l.Timer.Now().Sub(began)).Send()
		}
		pause := renewInterval
		switch {
		case err != nil:
			pause = renewRetry
		case r.wait == 0 && l.granting.Load():
			pause = 0
		}
		if pause > 0 && l.Timer.Pause(ctx, pause) != nil {
			return
		}
	}
}

// nextRenewal returns the next renewal of an upstream. It does not extend the lease while the
// claim is older than MaxClaimAge or states that the leader grants none, and one that does not
// extend the lease does not wait.
func (l *Leader) nextRenewal(id cawork.UpstreamID) (renewal, bool) {
	l.lock(partReport)
	defer l.mu.unlock()
	l.planner.SetNow(l.now())
	lease, ok := l.planner.RenewLease(id)
	if !l.granting.Load() || l.Timer.Now().Sub(l.lastAppend.load()) > MaxClaimAge {
		lease.EndMS = 0
	}
	r := renewal{lease: lease, wait: renewWait, latency: l.renewing[id]}
	if lease.EndMS == 0 {
		r.wait = 0
	}
	if r.latency == nil {
		r.latency = new(renewLatency)
	}
	return r, ok
}

// renew makes a renewal and applies the report. If the answer is overdue, renew returns
// errRenewalOverdue and leaves the report to be applied when it arrives.
func (l *Leader) renew(ctx context.Context, r renewal) error {
	overdue := l.Timer.After(r.wait + r.latency.timeout())
	defer overdue.Close()
	isOverdue := new(atomic.Bool)
	answered := make(chan error, 1)
	l.spawn(func() { answered <- l.callRenew(ctx, r, isOverdue) })
	select {
	case err := <-answered:
		return err
	case <-overdue.C:
	}
	isOverdue.Store(true)
	l.markUnanswered(r.lease, errRenewalOverdue)
	return errRenewalOverdue
}

// callRenew makes a renewal and applies its outcome. Of an overdue one without an answer, renew
// has applied the outcome before.
func (l *Leader) callRenew(ctx context.Context, r renewal, isOverdue *atomic.Bool) error {
	callCtx, cancel := context.WithTimeout(ctx, r.wait+maxRenewTimeout)
	defer cancel()
	began := l.Timer.Now()
	report, err := l.Upstreams.Renew(callCtx, l.token, r.lease, r.wait)
	switch {
	case err == nil:
		r.latency.observe(l.Timer.Now().Sub(began), r.wait)
		l.applyReport(report)
	case isFenced(err) || !isOverdue.Load():
		l.markUnanswered(r.lease, err)
	}
	return err
}

func (l *Leader) applyReport(report caboard.Report) {
	l.lock(partReport)
	defer l.mu.unlock()
	l.planner.SetNow(l.now())
	l.planner.ApplyReport(report)
	l.wakePlanner()
}

// markUnanswered applies that the renewal of a lease failed or is overdue.
func (l *Leader) markUnanswered(lease caboard.Lease, err error) {
	l.lock(partReport)
	defer l.mu.unlock()
	l.planner.SetNow(l.now())
	l.planner.MarkRenewalUnanswered(lease.Upstream)
	if cakind.Of(err) == cakind.KindNotFound {
		l.planner.MarkIncarnationGone(lease.Upstream, lease.Born)
		l.wakePlanner()
	}
	if isFenced(err) {
		l.stepDown(lease.Upstream)
	}
}
