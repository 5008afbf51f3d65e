package caboard

import (
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
	// retryAtLeast is the shortest time after which a refused caller should
	// come back.
	retryAtLeast = 300 * time.Millisecond
)

// forecast is what is known about the wait of a job before it is accepted.
type forecast struct {
	// ahead is the work that will be placed before the job, in cores times
	// time.
	ahead coreTime
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
	return time.Duration(float64(f.ahead) / (float64(f.capacity) * packedShare))
}

// bound returns how long the job may be expected to wait.
func (f forecast) bound() time.Duration {
	if f.excess {
		return time.Duration(excessSlackShare * float64(f.slack))
	}
	return time.Duration(slackShare * float64(f.slack))
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
	return cakind.New(cakind.KindOverloaded, "the expected wait is %d ms, the job may wait %d ms",
		wait.Milliseconds(), bound.Milliseconds()).WithRetryAfter(max(wait-bound, retryAtLeast))
}

// forecastFor foresees the wait of a submission.
func (b *Board) forecastFor(s caspec.Submission, q caspec.Queue, excess bool) forecast {
	f := forecast{excess: excess, slack: slackOf(q, s.Steps)}
	for _, step := range s.Steps {
		f.needed = max(f.needed, step.CPU*cawork.MilliCPU(step.Tasks))
	}
	for _, u := range b.upstreams {
		if u.info.Pool == q.Pool && u.accepts(b.now.Steady) {
			f.capacity += u.info.Capacity.CPU
			f.free += max(u.free().CPU, 0)
		}
	}
	for _, other := range b.steps {
		if other.waiting == 0 || other.job.pool != q.Pool || other.lateness == latenessUseless {
			continue
		}
		if other.job.priority > q.Priority || other.job.priority == q.Priority && other.job.Excess && !excess {
			continue
		}
		f.ahead += work(other.spec.CPU, other.spec.Estimate, other.waiting)
	}
	return f
}

// slackOf returns how long a job may wait and still be in time.
func slackOf(q caspec.Queue, steps []caspec.Step) time.Duration {
	chain := chainOf(q, steps)
	return time.Duration((q.Stretch-1)*float64(chain)) + q.Allowance
}
