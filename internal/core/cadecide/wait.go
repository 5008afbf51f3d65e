package cadecide

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/caledger"
)

const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
	// minIntervalWeight is the minimum weight of the latest interval in the moving
	// average.
	minIntervalWeight = 1.0 / 16
	// minIntervals is the number of intervals needed to predict a wait.
	minIntervals = 16
	// maxCountedAhead limits the queued jobs that are counted to predict a wait.
	maxCountedAhead = 1000
)

// startInterval is a moving average of the time between starts of tasks of a
// team and kind while such tasks are queued.
type startInterval struct {
	// last is the time of the latest start, zero when the queue has been empty
	// since.
	last  time.Time
	mean  time.Duration
	count int
}

// add records the start of n tasks.
func (p *startInterval) add(n int, now time.Time) {
	if !p.last.IsZero() {
		gap := now.Sub(p.last) / time.Duration(n)
		p.count++
		p.mean += time.Duration(max(minIntervalWeight, 1/float64(p.count)) * float64(gap-p.mean))
	}
	p.last = now
}

// expected returns the expected interval. It includes the time since the latest
// start when that already exceeds the average.
func (p *startInterval) expected(now time.Time) time.Duration {
	if gap := now.Sub(p.last); !p.last.IsZero() && gap > p.mean {
		return p.mean + time.Duration(minIntervalWeight*float64(gap-p.mean))
	}
	return p.mean
}

// noteDequeued subtracts n from the number of queued tasks. When none are left,
// it ends the current start interval, because time without queued tasks does not
// count.
func (t *team) noteDequeued(k cawork.WorkKind, n int) {
	t.queued[k] -= n
	if t.queued[k] == 0 {
		t.startIntervals[k].last = time.Time{}
	}
}

// expectedWait returns the time that the team is expected to take to start the
// number of tasks.
func (t *team) expectedWait(k cawork.WorkKind, tasks int, now time.Time) time.Duration {
	return time.Duration(tasks) * t.startIntervals[k].expected(now)
}

func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// refuseLongWait returns an error of KindOverloaded when the expected wait of the
// job exceeds what the policy allows. The error carries the time after which the
// queue is expected to be short enough.
//
// Example: a team starts a batch task every 2 s and 100 tasks are due before the
// new job, so that it would wait 200 s. With a deadline of 3 min the job is
// refused with a retry after 20 s.
func (s *Scheduler) refuseLongWait(t *team, j cawork.Job, now time.Time) error {
	p := &t.startIntervals[j.Spec.Kind]
	policy := s.policy.Kind(j.Spec.Kind)
	bound := policy.WaitBound
	if policy.RefuseLate && j.Spec.Deadline > 0 {
		remaining := j.Accepted.Add(j.Spec.Deadline).Sub(now)
		if bound == 0 || remaining < bound {
			bound = remaining
		}
	}
	if j.Spec.Urgent || bound == 0 || p.count < minIntervals {
		return nil
	}
	wait := t.expectedWait(j.Spec.Kind, s.tasksAhead(t, j), now)
	if wait <= bound {
		return nil
	}
	return cakind.New(cakind.KindOverloaded, "the expected wait is %v for kind %v of team %s, the limit is %v",
		wait, j.Spec.Kind, j.Team, bound).WithRetryAfter(retryAfter(wait - bound))
}

// tasksAhead counts the queued tasks of the kind that are due before the job and
// are no larger than its tasks, among at most maxCountedAhead jobs. Larger tasks
// are not counted: the job overtakes them as soon as some free capacity is large
// enough for it but not for them, so counting them would refuse jobs that would
// start in time.
func (s *Scheduler) tasksAhead(t *team, j cawork.Job) int {
	jobs, tasks := 0, 0
	due := s.policy.DueTime(j, t.records[j.Spec.Kind].RunTime(j.Spec.RunTime))
	t.queue.EachBefore(j.Spec.Kind, due, func(o *caledger.Job) bool {
		jobs++
		if o.Spec.Size.Fits(j.Spec.Size) {
			tasks += o.Queued()
		}
		return jobs < maxCountedAhead
	})
	return tasks
}
