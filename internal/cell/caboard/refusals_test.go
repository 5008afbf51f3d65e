package caboard

import (
	"container/heap"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caobjective"
	"celeryarch.example/celeryarch/internal/cell/caorder"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

const (
	// guaranteedRate is how many jobs per second the team may submit.
	guaranteedRate = 4.0
	// minRetryDelay is the shortest delay after which a refused caller retries.
	minRetryDelay = 1130 * time.Millisecond
)

// retryingCallers submit jobs of one team and retry those that are refused.
type retryingCallers struct {
	*simulation
	queue     caspec.Queue
	step      caspec.Step
	startedAt time.Time
	pending   events
	// accepted counts the jobs accepted within the guaranteed rate, and onTime those of
	// them whose callers had waited for less than their slack.
	accepted, onTime int
}

// newRetryingCallers returns callers for a pool that is full of another team's work, with
// more of it waiting.
func newRetryingCallers(t *testing.T) *retryingCallers {
	t.Helper()
	queue := caspec.Queue{Name: "queue", Pool: "pool", MaxAttempts: 3, Stretch: 1.5, TargetLatency: 250 * time.Millisecond}
	patient := caspec.Queue{Name: "patient", Pool: "pool", MaxAttempts: 3, Stretch: 100}
	s := newSimulation(t, 4, queue)
	s.planner.SetPolicy(caspec.Policy{
		Version: 2, Queues: []caspec.Queue{queue, patient}, Pools: []caspec.Pool{{Name: "pool"}},
		Teams: []caspec.Team{{Name: "north", Weight: guaranteedRate}, {Name: "south", Weight: 1000}},
	}.WithIndex())
	busy := caspec.Step{Tasks: 4, CPU: cawork.Cores(15), Estimate: time.Minute, MaxPerUpstream: 1}
	backlog := caspec.Step{Tasks: 1, CPU: cawork.Cores(16), Estimate: time.Second}
	for i, step := range []caspec.Step{busy, backlog} {
		id := cawork.JobID(fmt.Sprintf("south-%d", i))
		if _, err := s.planner.Submit(caspec.Submission{ID: id, Queue: "patient", Team: "south", Steps: []caspec.Step{step}}); err != nil {
			t.Fatal(err)
		}
		s.startAll()
	}
	return &retryingCallers{
		simulation: s, queue: queue, startedAt: s.now,
		step: caspec.Step{Tasks: 1, CPU: 1000, Memory: cawork.GiB, Estimate: 640 * time.Millisecond},
	}
}

// attempt submits a job that was first submitted at firstAttempt, and schedules a retry
// if it is refused and attemptsLeft is above one.
func (c *retryingCallers) attempt(id cawork.JobID, firstAttempt time.Time, attemptsLeft int) {
	_, err := c.planner.Submit(caspec.Submission{ID: id, Queue: "queue", Team: "north", Steps: []caspec.Step{c.step}})
	switch {
	case err == nil && !c.planner.jobs[id].OverRate:
		c.accepted++
		if c.now.Sub(firstAttempt) < caobjective.SlackOf(c.queue, []caspec.Step{c.step}) {
			c.onTime++
		}
	case err != nil && attemptsLeft > 1:
		wait := max(cakind.RetryAfterOf(err), minRetryDelay)
		heap.Push(&c.pending, event{at: c.now.Add(wait).Sub(c.startedAt), handle: func() { c.attempt(id, firstAttempt, attemptsLeft-1) }})
	}
}

// runFor advances the simulation for the duration, and ends the callers' runs after their
// run time.
func (c *retryingCallers) runFor(duration time.Duration) {
	for c.now.Sub(c.startedAt) < duration {
		for len(c.pending) > 0 && c.pending[0].at <= c.now.Sub(c.startedAt) {
			heap.Pop(&c.pending).(event).handle()
		}
		c.startAll()
		c.advance(10 * time.Millisecond)
		for _, u := range c.planner.sortedUpstreams {
			c.endFinished(u)
			c.planner.markAnswered(u, c.now)
			u.lastReportAt = c.now
		}
	}
}

func (c *retryingCallers) endFinished(u *upstream) {
	for _, r := range sortedRuns(u) {
		if r.step.job.Submission.Queue == "queue" && c.now.Sub(r.assignedAt) > c.step.Estimate {
			c.reportEnd(u.info.ID, r.id, caorder.EndingDone)
		}
	}
}

// TestRetriedJobsLeaveRateToOnTimeJobs covers a team that sends five times its guaranteed
// rate to a full pool and whose callers retry up to four times: most of the rate must go
// to jobs that can still meet their objective.
func TestRetriedJobsLeaveRateToOnTimeJobs(t *testing.T) {
	const (
		arrivalsPerSecond = 20
		seconds           = 12
		maxAttempts       = 5
	)
	c := newRetryingCallers(t)
	random := rand.New(rand.NewSource(1))
	for i := range arrivalsPerSecond * seconds {
		at := time.Duration(random.Float64() * float64(seconds*time.Second))
		id := cawork.JobID(fmt.Sprintf("job-%04d", i))
		heap.Push(&c.pending, event{at: at, handle: func() { c.attempt(id, c.now, maxAttempts) }})
	}
	c.runFor(seconds * time.Second)
	if share := float64(c.onTime) / float64(c.accepted); share < minServedShare {
		t.Errorf("%d of %d jobs accepted within the guaranteed rate can meet their objective, want %.2f of them", c.onTime, c.accepted, minServedShare)
	}
	if float64(c.accepted) < minServedShare*guaranteedRate*seconds {
		t.Errorf("%d jobs were accepted within the guaranteed rate, want most of %.0f", c.accepted, guaranteedRate*seconds)
	}
}
