package caboard

import (
	"container/heap"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

const (
	// owedRate is what the team may submit a second.
	owedRate = 4.0
	// comeBack is the least time after which a refused caller comes again.
	comeBack = 1130 * time.Millisecond
)

// returningCallers hand jobs of one team in, and come back when they are refused.
type returningCallers struct {
	*scene
	queue caspec.Queue
	step  caspec.Step
	began time.Time
	due   events
	// accepted counts the jobs within the owed rate, and inTime those of them whose
	// callers had not waited for longer than their slack.
	accepted, inTime int
}

// newReturningCallers returns callers of a pool that is full of work of another team, of
// which some waits.
func newReturningCallers(t *testing.T) *returningCallers {
	t.Helper()
	queue := caspec.Queue{Name: "queue", Pool: "pool", MaxAttempts: 3, Stretch: 1.5, Allowance: 250 * time.Millisecond}
	patient := caspec.Queue{Name: "patient", Pool: "pool", MaxAttempts: 3, Stretch: 100}
	s := newScene(t, 4, queue)
	s.board.SetPolicy(caspec.Policy{
		Version: 2, Queues: []caspec.Queue{queue, patient}, Pools: []caspec.Pool{{Name: "pool"}},
		Teams: []caspec.Team{{Name: "north", Weight: owedRate}, {Name: "south", Weight: 1000}},
	}.WithIndex())
	busy := caspec.Step{Tasks: 4, CPU: cawork.Cores(15), Estimate: time.Minute, MaxPerUpstream: 1}
	backlog := caspec.Step{Tasks: 1, CPU: cawork.Cores(16), Estimate: time.Second}
	for i, step := range []caspec.Step{busy, backlog} {
		id := cawork.JobID(fmt.Sprintf("south-%d", i))
		if _, err := s.board.Submit(caspec.Submission{ID: id, Queue: "patient", Team: "south", Steps: []caspec.Step{step}}); err != nil {
			t.Fatal(err)
		}
		s.startAll()
	}
	return &returningCallers{
		scene: s, queue: queue, began: s.now,
		step: caspec.Step{Tasks: 1, CPU: 1000, Memory: cawork.GiB, Estimate: 640 * time.Millisecond},
	}
}

// try hands a job in whose caller came first at a time and has so many tries left.
func (c *returningCallers) try(id cawork.JobID, first time.Time, tries int) {
	_, err := c.board.Submit(caspec.Submission{ID: id, Queue: "queue", Team: "north", Steps: []caspec.Step{c.step}})
	switch {
	case err == nil && !c.board.jobs[id].Excess:
		c.accepted++
		if c.now.Sub(first) < slackOf(c.queue, []caspec.Step{c.step}) {
			c.inTime++
		}
	case err != nil && tries > 1:
		wait := max(cakind.RetryAfterOf(err), comeBack)
		heap.Push(&c.due, event{at: c.now.Add(wait).Sub(c.began), do: func() { c.try(id, first, tries-1) }})
	}
}

// run plays for the time, and ends the work of the callers after its run time.
func (c *returningCallers) run(during time.Duration) {
	for c.now.Sub(c.began) < during {
		for len(c.due) > 0 && c.due[0].at <= c.now.Sub(c.began) {
			heap.Pop(&c.due).(event).do()
		}
		c.startAll()
		c.advance(10 * time.Millisecond)
		for _, u := range c.board.inOrder {
			c.endOld(u)
			c.board.noteAnswered(u, c.now)
			u.reportedAt = c.now
		}
	}
}

func (c *returningCallers) endOld(u *upstream) {
	for _, r := range runsAt(u) {
		if r.step.job.Submission.Queue == "queue" && c.now.Sub(r.at) > c.step.Estimate {
			c.endAs(u.info.ID, r.id, EndingDone)
		}
	}
}

// TestCallersThatReturnLeaveRoomToThoseInTime replays a team that sends five times what
// it is owed to a full pool, whose callers come back up to four times: most of what it is
// owed goes to jobs that can still be in time.
func TestCallersThatReturnLeaveRoomToThoseInTime(t *testing.T) {
	const (
		arrivals = 20
		seconds  = 12
		tries    = 5
	)
	c := newReturningCallers(t)
	random := rand.New(rand.NewSource(1))
	for i := range arrivals * seconds {
		at := time.Duration(random.Float64() * float64(seconds*time.Second))
		id := cawork.JobID(fmt.Sprintf("job-%04d", i))
		heap.Push(&c.due, event{at: at, do: func() { c.try(id, c.now, tries) }})
	}
	c.run(seconds * time.Second)
	if share := float64(c.inTime) / float64(c.accepted); share < servedOnBadDays {
		t.Errorf("%d of %d jobs within the owed rate came in time, want %.2f of them", c.inTime, c.accepted, servedOnBadDays)
	}
	if float64(c.accepted) < servedOnBadDays*owedRate*seconds {
		t.Errorf("%d jobs were accepted within the owed rate, want most of %.0f", c.accepted, owedRate*seconds)
	}
}

// TestRefusalsAreForgotten tells that what is remembered of refusals stays bounded.
func TestRefusalsAreForgotten(t *testing.T) {
	r := newReturns()
	now := time.Unix(1000, 0)
	for i := range returnsMost + 100 {
		r.note(cawork.JobID(fmt.Sprint(i)), now)
	}
	if len(r.first) > returnsMost || len(r.order) > returnsMost {
		t.Errorf("%d refusals are remembered, want at most %d", len(r.first), returnsMost)
	}
	r.note("late", now.Add(returnsKept+time.Second))
	if len(r.first) != 1 || r.waited("late", now.Add(returnsKept+3*time.Second)) != 2*time.Second {
		t.Errorf("%d refusals are remembered after %v, want the last one", len(r.first), returnsKept)
	}
}
