package caboard

import (
	"fmt"
	"testing"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// TestWorkThatWaitsForTheAdvisorIsNoBacklog replays a team beyond the rate that it is owed
// in a pool a sixth of which is free: what it sends starts as soon as the advisor has
// answered, and nothing is refused.
func TestWorkThatWaitsForTheAdvisorIsNoBacklog(t *testing.T) {
	const advisorTakes = 120 * time.Millisecond
	queue := approvedQueue()
	queue.Stretch, queue.Allowance = 1.5, 250*time.Millisecond
	queue.Approval.Decision = advisorTakes
	s := newScene(t, 6, queue)
	s.board.SetPolicy(caspec.Policy{
		Version: 2, Queues: []caspec.Queue{queue, {Name: "patient", Pool: "pool", Stretch: 100}}, Pools: []caspec.Pool{{Name: "pool"}},
		Teams: []caspec.Team{{Name: "north", Weight: 1}, {Name: "south", Weight: 1000}},
	}.WithIndex())
	busy := caspec.Step{Tasks: 6, CPU: 13500, Estimate: time.Minute, MaxPerUpstream: 1}
	if _, err := s.board.Submit(caspec.Submission{ID: "south", Queue: "patient", Team: "south", Steps: []caspec.Step{busy}}); err != nil {
		t.Fatal(err)
	}
	step := caspec.Step{Tasks: 1, CPU: 1000, Memory: cawork.GiB, Estimate: 200 * time.Millisecond}
	type question struct {
		due time.Time
		ask Ask
	}
	var asked []question
	began, refused := s.now, 0
	for n := 0; s.now.Sub(began) < 10*time.Second; n++ {
		if s.now.Sub(began) > time.Second && n%4 == 0 {
			id := cawork.JobID(fmt.Sprintf("job-%04d", n))
			if _, err := s.board.Submit(caspec.Submission{ID: id, Queue: "queue", Team: "north", Steps: []caspec.Step{step}}); err != nil {
				refused++
			}
		}
		for _, ask := range s.board.Plan().Asks {
			asked = append(asked, question{due: s.now.Add(advisorTakes), ask: ask})
		}
		for _, o := range s.commit() {
			s.board.Started(o, StartAccepted, s.now.UnixMilli())
		}
		s.advance(10 * time.Millisecond)
		for len(asked) > 0 && !asked[0].due.After(s.now) {
			s.answer([]Ask{asked[0].ask})
			asked = asked[1:]
		}
		for _, u := range s.board.inOrder {
			for _, r := range runsAt(u) {
				if r.id.Job != "south" && s.now.Sub(r.at) > step.Estimate {
					s.endAs(u.info.ID, r.id, EndingDone)
				}
			}
			s.reportAtOnce(u.info.ID, s.rowsAt(u.info.ID), nil)
		}
	}
	if refused > 0 {
		t.Errorf("%d jobs were refused though all of them had room", refused)
	}
}
