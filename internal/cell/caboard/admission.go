package caboard

import (
	"math"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
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
	// rateTimeConstant is the time constant of the moving average of started work.
	rateTimeConstant = 5 * time.Second
	// minQueueRateShare is the smallest fraction of a pool that a queue is assumed to
	// get.
	minQueueRateShare = 0.05
	// minRetryAfter is the shortest delay after which a refused caller should retry.
	minRetryAfter = 300 * time.Millisecond
	// outageRetryShare is the fraction of its objective after which a job that was
	// refused in an outage is retried, bounded by MinOutageRetry and maxOutageRetry.
	outageRetryShare = 1.0 / 6
	maxOutageRetry   = 2 * time.Second
	// MinOutageRetry is the shortest delay after which callers retry in an outage.
	MinOutageRetry = time.Second
)

// forecast holds what the expected wait of a job is computed from, before the job is
// accepted.
type forecast struct {
	// workAhead is the work that will be placed before the job.
	workAhead coreTime
	// queueWorkAhead is the part of it that is in the queue of the job and waits for
	// room. queueRate is the rate at which work of that queue was started recently, in
	// thousandths of a core, or zero while it is not known.
	queueWorkAhead coreTime
	queueRate      float64
	// capacity is the total CPU capacity of the pool.
	capacity cawork.MilliCPU
	// free is the unused CPU of the pool, and peakDemand what the largest step of the job
	// takes.
	free, peakDemand cawork.MilliCPU
	// slack is how long the job may wait and still meet its objective.
	slack time.Duration
	// excess marks a job beyond the guaranteed rate of its team.
	excess bool
}

// coreTime is an amount of work in thousandths of a core times nanoseconds.
type coreTime float64

func coreTimeOf(cpu cawork.MilliCPU, duration time.Duration, tasks int) coreTime {
	return coreTime(cpu) * coreTime(duration) * coreTime(tasks)
}

// expectedWait returns how long the job is expected to wait for its first task.
func (f forecast) expectedWait() time.Duration {
	if f.capacity <= 0 {
		return 0
	}
	wait := float64(f.workAhead) / (float64(f.capacity) * usablePoolShare)
	if f.queueRate > 0 {
		rate := max(f.queueRate, minQueueRateShare*float64(f.capacity))
		wait = max(wait, float64(f.queueWorkAhead)/rate)
	}
	return time.Duration(wait)
}

// startRate measures how much work of a queue is started, as an exponentially decaying
// average.
type startRate struct {
	sum       coreTime
	decayedAt time.Time
	// startedAt is when the first work was started.
	startedAt time.Time
}

// add counts work that is started now.
func (r *startRate) add(now time.Time, w coreTime) {
	r.decay(now)
	if r.startedAt.IsZero() {
		r.startedAt = now
	}
	r.sum += w
}

func (r *startRate) decay(now time.Time) {
	if !r.decayedAt.IsZero() {
		r.sum *= coreTime(math.Exp(-now.Sub(r.decayedAt).Seconds() / rateTimeConstant.Seconds()))
	}
	r.decayedAt = now
}

// value returns the rate in thousandths of a core, or zero before the measurement has run
// for rateTimeConstant.
func (r *startRate) value(now time.Time) float64 {
	if r.startedAt.IsZero() || now.Sub(r.startedAt) < rateTimeConstant {
		return 0
	}
	r.decay(now)
	return float64(r.sum) / float64(rateTimeConstant)
}

// maxWait returns the largest expected wait with which the job is accepted.
func (f forecast) maxWait() time.Duration {
	if f.excess {
		return time.Duration(maxExcessWaitSlackShare * float64(f.slack))
	}
	return time.Duration(maxWaitSlackShare * float64(f.slack))
}

// withWaited returns the forecast for a job whose caller has already waited for the given
// time.
func (f forecast) withWaited(waited time.Duration) forecast {
	f.slack = max(f.slack-waited, 0)
	return f
}

// hasRoom reports whether the pool is not full for this job. Some room is left for the
// waiting work of others.
func (f forecast) hasRoom() bool {
	minFree := minFreeShare
	if f.excess {
		minFree = minExcessFreeShare
	}
	return float64(f.free) >= minFree*float64(f.capacity) && f.free >= f.peakDemand
}

// checkWait refuses a job that would miss its objective, with the delay after which the
// backlog is expected to permit it. An accepted job never waits longer than its caller
// would wait to be accepted after a refusal.
func (f forecast) checkWait() error {
	expected, allowed := f.expectedWait(), f.maxWait()
	if expected <= allowed || f.hasRoom() {
		return nil
	}
	return cakind.New(cakind.KindOverloaded, "the expected wait is %d ms, the job may wait %d ms, %.0f%% of the pool are free",
		expected.Milliseconds(), allowed.Milliseconds(), 100*float64(f.free)/float64(f.capacity)).WithRetryAfter(max(expected-allowed, minRetryAfter))
}

// forecastFor predicts the wait of a submission, from the room that the last plan left.
func (b *Planner) forecastFor(s caspec.Submission, q caspec.Queue, excess bool) forecast {
	f := forecast{excess: excess, queueRate: b.statsOf(q.Name).startRate.value(b.now.Monotonic), slack: slackOf(q, s.Steps)}
	for _, step := range s.Steps {
		f.peakDemand = max(f.peakDemand, step.CPU*cawork.MilliCPU(step.Tasks))
	}
	if p := b.pools[q.Pool]; p != nil {
		f.capacity, f.free = p.capacity, p.free.CPU
	}
	for _, other := range b.steps {
		if other.waitingTasks == 0 || other.job.pool != q.Pool || other.lateness != latenessNone {
			continue
		}
		if other.job.priority > q.Priority || other.job.priority == q.Priority && other.job.OverRate && !excess {
			continue
		}
		w := coreTimeOf(other.spec.CPU, other.spec.Estimate, other.waitingTasks)
		f.workAhead += w
		if other.job.Submission.Queue == q.Name && !other.awaitsAdvisor(q) {
			f.queueWorkAhead += w
		}
	}
	return f
}

// awaitsAdvisor reports whether the step has no answer of the advisor yet. Such a step
// waits for the advisor, not for room.
func (s *step) awaitsAdvisor(q caspec.Queue) bool {
	return q.Approval != nil && len(s.approvals.decided) == 0
}

// slackOf returns how long a job may wait and still meet its objective.
func slackOf(q caspec.Queue, steps []caspec.Step) time.Duration {
	criticalPath := criticalPathOf(q, steps)
	return time.Duration((q.Stretch-1)*float64(criticalPath)) + q.TargetLatency
}

// OutageRetryAfter returns the delay after which a caller should retry a job that can not be
// accepted during an outage. Callers give up after a few attempts, so jobs with long
// objectives are retried less often: they outlast a longer outage, and most of their time
// is still left.
func OutageRetryAfter(q caspec.Queue, steps []caspec.Step) time.Duration {
	return min(max(time.Duration(outageRetryShare*float64(objective(q, steps))), MinOutageRetry), maxOutageRetry)
}
