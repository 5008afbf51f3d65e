package caboard

import (
	"math"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

const (
	// packedShare is the fraction of a full pool that work can use, since
	// tasks do not fill upstreams to the last core.
	packedShare = 0.85
	// slackShare is the fraction of its slack that a job may be expected to
	// wait and still be accepted.
	slackShare = 1.0
	// excessSlackShare is the same for jobs beyond the rate that their team is
	// owed.
	excessSlackShare = 0.2
	// keptShare is the fraction of a pool that is free when it counts as not
	// full, and excessKeptShare the same for jobs beyond the owed rate.
	keptShare       = 0.08
	excessKeptShare = 0.2
	// rateMemory is the time over which started work is averaged.
	rateMemory = 5 * time.Second
	// rateLeast is the smallest fraction of a pool that a queue is taken to get.
	rateLeast = 0.05
	// retryAtLeast is the shortest time after which a refused caller should
	// come back.
	retryAtLeast = 300 * time.Millisecond
	// awayShare is the fraction of its objective after which a job that was refused
	// in an outage comes again, from RetryAwayLeast to retryAwayMost.
	awayShare     = 1.0 / 6
	retryAwayMost = 2 * time.Second
	// RetryAwayLeast is the shortest time after which callers come back in an outage.
	RetryAwayLeast = time.Second
)

// forecast is what is known about the wait of a job before it is accepted.
type forecast struct {
	// ahead is the work that will be placed before the job, in cores times
	// time.
	ahead coreTime
	// same is the part of it in the queue of the job that waits for room, and rate
	// what was started of that queue lately, in cores. The rate is zero while it is not known.
	same coreTime
	rate float64
	// capacity is what the pool has.
	capacity cawork.MilliCPU
	// free is the room of the pool, and needed what the job takes at its widest.
	free, needed cawork.MilliCPU
	// slack is how long the job may wait and still be in time.
	slack time.Duration
	// excess marks a job beyond the rate that its team is owed.
	excess bool
}

// coreTime is an amount of work in thousandths of a core times nanoseconds.
type coreTime float64

func work(cpu cawork.MilliCPU, d time.Duration, tasks int) coreTime {
	return coreTime(cpu) * coreTime(d) * coreTime(tasks)
}

// wait returns how long the job is expected to wait for its first task.
func (f forecast) wait() time.Duration {
	if f.capacity <= 0 {
		return 0
	}
	wait := float64(f.ahead) / (float64(f.capacity) * packedShare)
	if f.rate > 0 {
		rate := max(f.rate, rateLeast*float64(f.capacity))
		wait = max(wait, float64(f.same)/rate)
	}
	return time.Duration(wait)
}

// startRate measures how much work of a queue is started, as a mean that fades.
type startRate struct {
	sum     coreTime
	fadedAt time.Time
	// since is when the first work was started.
	since time.Time
}

// add counts work that is started now.
func (r *startRate) add(now time.Time, w coreTime) {
	r.fade(now)
	if r.since.IsZero() {
		r.since = now
	}
	r.sum += w
}

func (r *startRate) fade(now time.Time) {
	if !r.fadedAt.IsZero() {
		r.sum *= coreTime(math.Exp(-now.Sub(r.fadedAt).Seconds() / rateMemory.Seconds()))
	}
	r.fadedAt = now
}

// value returns the rate in thousandths of a core, or zero while it was
// measured too short.
func (r *startRate) value(now time.Time) float64 {
	if r.since.IsZero() || now.Sub(r.since) < rateMemory {
		return 0
	}
	r.fade(now)
	return float64(r.sum) / float64(rateMemory)
}

// bound returns how long the job may be expected to wait.
func (f forecast) bound() time.Duration {
	if f.excess {
		return time.Duration(excessSlackShare * float64(f.slack))
	}
	return time.Duration(slackShare * float64(f.slack))
}

// after returns the forecast for a job whose caller has waited so long already.
func (f forecast) after(waited time.Duration) forecast {
	f.slack = max(f.slack-waited, 0)
	return f
}

// hasRoom reports whether the pool is not full for this job. Some room is kept
// for what others have waiting.
func (f forecast) hasRoom() bool {
	kept := keptShare
	if f.excess {
		kept = excessKeptShare
	}
	return float64(f.free) >= kept*float64(f.capacity) && f.free >= f.needed
}

// decide refuses a job that would be late, with the time after which the
// backlog allows it. A job never waits longer for being accepted than a caller
// would for the refusal to be lifted.
func (f forecast) decide() error {
	wait, bound := f.wait(), f.bound()
	if wait <= bound || f.hasRoom() {
		return nil
	}
	return cakind.New(cakind.KindOverloaded, "the expected wait is %d ms, the job may wait %d ms, %.0f%% of the pool are free",
		wait.Milliseconds(), bound.Milliseconds(), 100*float64(f.free)/float64(f.capacity)).WithRetryAfter(max(wait-bound, retryAtLeast))
}

// forecastFor foresees the wait of a submission, from the room that the last plan
// left.
func (b *Board) forecastFor(s caspec.Submission, q caspec.Queue, excess bool) forecast {
	f := forecast{excess: excess, rate: b.statsOf(q.Name).started.value(b.now.Steady), slack: slackOf(q, s.Steps)}
	for _, step := range s.Steps {
		f.needed = max(f.needed, step.CPU*cawork.MilliCPU(step.Tasks))
	}
	if p := b.pools[q.Pool]; p != nil {
		f.capacity, f.free = p.capacity, p.free.CPU
	}
	for _, other := range b.steps {
		if other.waiting == 0 || other.job.pool != q.Pool || other.lateness != latenessNone {
			continue
		}
		if other.job.priority > q.Priority || other.job.priority == q.Priority && other.job.Excess && !excess {
			continue
		}
		w := work(other.spec.CPU, other.spec.Estimate, other.waiting)
		f.ahead += w
		if other.job.Submission.Queue == q.Name && !other.awaitsAdvisor(q) {
			f.same += w
		}
	}
	return f
}

// awaitsAdvisor reports whether the first answer about a step is still to come: it waits
// for the advisor, not for room.
func (s *step) awaitsAdvisor(q caspec.Queue) bool {
	return q.Approval != nil && len(s.approval.asked) == 0
}

// slackOf returns how long a job may wait and still be in time.
func slackOf(q caspec.Queue, steps []caspec.Step) time.Duration {
	chain := chainOf(q, steps)
	return time.Duration((q.Stretch-1)*float64(chain)) + q.Allowance
}

// RetryWhenAway returns when a caller should come back whose job nobody can accept
// now. Callers give up after a few tries, so those of patient work come back more
// rarely and outlast a longer outage, and most of their time is still left.
func RetryWhenAway(q caspec.Queue, steps []caspec.Step) time.Duration {
	return min(max(time.Duration(awayShare*float64(objective(q, steps))), RetryAwayLeast), retryAwayMost)
}
