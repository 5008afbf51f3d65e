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
	// paceWeight is the least weight of the latest interval between two starts.
	paceWeight = 1.0 / 16
	// minPaced is the number of intervals below which no wait is predicted.
	minPaced = 16
	// maxAhead is the most queued jobs that are counted to predict a wait.
	maxAhead = 1000
)

// pace follows the interval between starts of tasks of a team and kind while
// some are queued.
type pace struct {
	// last is the time of the latest start, zero when the queue was empty since.
	last     time.Time
	interval time.Duration
	count    int
}

// note notes that n tasks started.
func (p *pace) note(n int, now time.Time) {
	if !p.last.IsZero() {
		gap := now.Sub(p.last) / time.Duration(n)
		p.count++
		p.interval += time.Duration(max(paceWeight, 1/float64(p.count)) * float64(gap-p.interval))
	}
	p.last = now
}

// expected returns the interval, with the one that has not ended yet when that
// is longer already.
func (p *pace) expected(now time.Time) time.Duration {
	if gap := now.Sub(p.last); !p.last.IsZero() && gap > p.interval {
		return p.interval + time.Duration(paceWeight*float64(gap-p.interval))
	}
	return p.interval
}

// dequeued takes tasks out of the count of the queue. Time without a queue does
// not count for the pace.
func (t *team) dequeued(k cawork.WorkKind, n int) {
	t.queued[k] -= n
	if t.queued[k] == 0 {
		t.pace[k].last = time.Time{}
	}
}

// wait returns the time in which the team is expected to start the number of
// tasks.
func (t *team) wait(k cawork.WorkKind, tasks int, now time.Time) time.Duration {
	return time.Duration(tasks) * t.pace[k].expected(now)
}

func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// startsTooLate refuses a job whose predicted wait is beyond what the policy
// allows. It tells when the queue is expected to be short enough.
//
// Example: a team starts a batch task each 2 s and 100 of them are due before
// the new job. With a deadline of 3 min the job is refused for 20 s.
func (s *Scheduler) startsTooLate(t *team, j cawork.Job, now time.Time) error {
	p := &t.pace[j.Spec.Kind]
	policy := s.policy.Kind(j.Spec.Kind)
	bound := policy.WaitBound
	if policy.RefuseLate && j.Spec.Deadline > 0 {
		left := j.Accepted.Add(j.Spec.Deadline).Sub(now)
		if bound == 0 || left < bound {
			bound = left
		}
	}
	if j.Spec.Urgent || bound == 0 || p.count < minPaced {
		return nil
	}
	wait := t.wait(j.Spec.Kind, s.ahead(t, j), now)
	if wait <= bound {
		return nil
	}
	return cakind.New(cakind.KindOverloaded, "a wait of %v is expected for kind %v of team %s, allowed are %v",
		wait, j.Spec.Kind, j.Team, bound).WithRetryAfter(retryAfter(wait - bound))
}

// ahead counts the queued tasks of the kind that are due before the job and
// take no more than it, as far as maxAhead jobs tell. Those that take more are
// left out: the job overtakes them as soon as a hole is large enough for it but
// not for them, so that counting them refuses jobs that would start in time.
func (s *Scheduler) ahead(t *team, j cawork.Job) int {
	jobs, tasks := 0, 0
	due := s.policy.Due(j, t.records[j.Spec.Kind].RunTime(j.Spec.RunTime))
	t.queue.EachBefore(j.Spec.Kind, due, func(o *caledger.Job) bool {
		jobs++
		if o.Spec.Size.Fits(j.Spec.Size) {
			tasks += o.Queued()
		}
		return jobs < maxAhead
	})
	return tasks
}
