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

// TestCallersThatReturnLeaveRoomToThoseInTime replays a team that sends five times what
// it is owed to a full pool, whose callers come back up to four times: most of what it is
// owed goes to jobs that can still be in time.
func TestCallersThatReturnLeaveRoomToThoseInTime(t *testing.T) {
	const (
		owed     = 4.0
		arrivals = 20
		seconds  = 12
		tries    = 5
		comeBack = 1130 * time.Millisecond
	)
	queue := caspec.Queue{Name: "queue", Pool: "pool", MaxAttempts: 3, Stretch: 1.5, Allowance: 250 * time.Millisecond}
	patient := caspec.Queue{Name: "patient", Pool: "pool", MaxAttempts: 3, Stretch: 100}
	s := newScene(t, 4, queue)
	s.board.SetPolicy(caspec.Policy{
		Version: 2, Queues: []caspec.Queue{queue, patient}, Pools: []caspec.Pool{{Name: "pool"}},
		Teams: []caspec.Team{{Name: "north", Weight: owed}, {Name: "south", Weight: 1000}},
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
	step := caspec.Step{Tasks: 1, CPU: 1000, Memory: cawork.GiB, Estimate: 640 * time.Millisecond}
	slack := slackOf(queue, []caspec.Step{step})
	began := s.now
	inTime, accepted := 0, 0
	var due events
	var try func(id string, first time.Time, n int)
	try = func(id string, first time.Time, n int) {
		_, err := s.board.Submit(caspec.Submission{ID: cawork.JobID(id), Queue: "queue", Team: "north", Steps: []caspec.Step{step}})
		switch {
		case err == nil && !s.board.jobs[cawork.JobID(id)].Excess:
			accepted++
			if s.now.Sub(first) < slack {
				inTime++
			}
		case err != nil && n < tries:
			wait := max(cakind.RetryAfterOf(err), comeBack)
			heap.Push(&due, event{at: s.now.Add(wait).Sub(began), do: func() { try(id, first, n+1) }})
		}
	}
	random := rand.New(rand.NewSource(1))
	for i := range arrivals * seconds {
		at := time.Duration(random.Float64() * float64(seconds*time.Second))
		heap.Push(&due, event{at: at, do: func() { try(fmt.Sprintf("job-%04d", i), s.now, 1) }})
	}
	for s.now.Sub(began) < seconds*time.Second {
		for len(due) > 0 && due[0].at <= s.now.Sub(began) {
			heap.Pop(&due).(event).do()
		}
		s.startAll()
		s.advance(10 * time.Millisecond)
		for _, u := range s.board.inOrder {
			for _, r := range runsAt(u) {
				if r.step.job.Submission.Queue == "queue" && s.now.Sub(r.at) > step.Estimate {
					s.endAs(u.info.ID, r.id, EndingDone)
				}
			}
			s.board.noteAnswered(u, s.now)
			u.reportedAt = s.now
		}
	}
	if share := float64(inTime) / float64(accepted); share < servedOnBadDays {
		t.Errorf("%d of %d jobs within the owed rate came in time, want %.2f of them", inTime, accepted, servedOnBadDays)
	}
	if float64(accepted) < servedOnBadDays*owed*seconds {
		t.Errorf("%d jobs were accepted within the owed rate, want most of %.0f", accepted, owed*seconds)
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
