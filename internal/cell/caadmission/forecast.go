// Package caadmission forecasts how long a job would wait for its first task, decides whether
// the job is accepted, and remembers when jobs were first refused. It does no input or output
// and reads no clock.
package caadmission

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

const (
	// usablePoolShare is the fraction of a full pool that work can use, since tasks do
	// not fill upstreams to the last core.
	usablePoolShare = 0.85
	// maxWaitSlackShare is the largest expected wait, as a fraction of its slack, with
	// which a job is accepted.
	maxWaitSlackShare = 1.0
	// maxExcessWaitSlackShare is the same for jobs beyond the guaranteed rate of their
	// team.
	maxExcessWaitSlackShare = 0.2
	// minFreeShare is the fraction of a pool that must be free for it to count as not
	// full, and minExcessFreeShare the same for jobs beyond the guaranteed rate.
	minFreeShare       = 0.08
	minExcessFreeShare = 0.2
	// minQueueRateShare is the smallest fraction of a pool that a queue is assumed to
	// get.
	minQueueRateShare = 0.05
	// minRetryAfter is the shortest delay after which a refused caller should retry.
	minRetryAfter = 300 * time.Millisecond
	// maxOutageRetryAfter is the longest such delay while no upstream accepts work, which may end at any time.
	maxOutageRetryAfter = 2 * time.Second
)

// Forecast holds what the expected wait of a job is computed from, before the job is
// accepted.
type Forecast struct {
	// WorkAhead is the work that will be placed before the job.
	WorkAhead CoreTime
	// QueueWorkAhead is the part of it that is in the queue of the job and waits for
	// room. QueueRate is the rate at which work of that queue was started recently, in
	// thousandths of a core, or zero while it is not known.
	QueueWorkAhead CoreTime
	QueueRate      float64
	// Capacity is the total CPU capacity of the pool.
	Capacity cawork.MilliCPU
	// Free is the unused CPU of the pool, and PeakDemand what the largest step of the job
	// takes.
	Free, PeakDemand cawork.MilliCPU
	// Outage is for how long no upstream of the pool has accepted work, zero if one does. As long again is
	// expected.
	Outage time.Duration
	// ApprovalWait is how long the job is expected to wait for the advisor, however much room is free.
	ApprovalWait time.Duration
	// Slack is how long the job may wait and still meet its objective.
	Slack time.Duration
	// Excess marks a job beyond the guaranteed rate of its team.
	Excess bool
	// waited is how long the caller has waited after refusals.
	waited time.Duration
}

// ExpectedWait returns how long the job is expected to wait for its first task.
func (f Forecast) ExpectedWait() time.Duration {
	if f.Capacity <= 0 {
		return 0
	}
	wait := float64(f.WorkAhead) / (float64(f.Capacity) * usablePoolShare)
	if f.QueueRate > 0 {
		rate := max(f.QueueRate, minQueueRateShare*float64(f.Capacity))
		wait = max(wait, float64(f.QueueWorkAhead)/rate)
	}
	return time.Duration(wait)
}

// maxWait returns the largest expected wait with which a job is accepted that may still wait for the
// slack.
func (f Forecast) maxWait(slack time.Duration) time.Duration {
	if f.Excess {
		return time.Duration(maxExcessWaitSlackShare * float64(slack))
	}
	return time.Duration(maxWaitSlackShare * float64(slack))
}

// WithWaited returns the forecast for a job whose caller has already waited for the given
// time.
func (f Forecast) WithWaited(waited time.Duration) Forecast {
	f.waited = waited
	return f
}

// hasRoom reports whether the pool is not full for this job. Some room is left for the
// waiting work of others.
func (f Forecast) hasRoom() bool {
	minFree := minFreeShare
	if f.Excess {
		minFree = minExcessFreeShare
	}
	return float64(f.Free) >= minFree*float64(f.Capacity) && f.Free >= f.PeakDemand
}

// CheckWait refuses a job that would miss its objective, with the delay after which the
// backlog is expected to permit it. An accepted job never waits longer than its caller
// would wait to be accepted after a refusal.
func (f Forecast) CheckWait() error {
	if err := f.checkOutage(); err != nil {
		return err
	}
	if err := f.checkApprovalWait(); err != nil {
		return err
	}
	expected, allowed := f.ExpectedWait(), f.maxWait(max(f.Slack-f.waited, 0))
	if expected <= allowed || f.hasRoom() {
		return nil
	}
	return cakind.New(cakind.KindOverloaded, "the expected wait is %d ms, the job may wait %d ms, %.0f%% of the pool are free",
		expected.Milliseconds(), allowed.Milliseconds(), 100*float64(f.Free)/float64(f.Capacity)).WithRetryAfter(max(expected-allowed, minRetryAfter))
}

// checkOutage refuses a job that would still find no upstream when it has to start.
func (f Forecast) checkOutage() error {
	if f.Outage <= f.maxWait(f.Slack) {
		return nil
	}
	return cakind.New(cakind.KindOverloaded, "no upstream has accepted work for %d ms, the job may wait %d ms",
		f.Outage.Milliseconds(), f.maxWait(f.Slack).Milliseconds()).WithRetryAfter(min(max(f.Outage-f.maxWait(f.Slack), minRetryAfter), maxOutageRetryAfter))
}

// checkApprovalWait refuses a job that the advisor would decide about too late even if its caller had not
// waited before.
func (f Forecast) checkApprovalWait() error {
	allowed := f.maxWait(f.Slack)
	if f.ApprovalWait <= allowed {
		return nil
	}
	return cakind.New(cakind.KindOverloaded, "the advisor is expected to answer after %d ms, the job may wait %d ms",
		f.ApprovalWait.Milliseconds(), allowed.Milliseconds()).WithRetryAfter(max(f.ApprovalWait-allowed, minRetryAfter))
}
