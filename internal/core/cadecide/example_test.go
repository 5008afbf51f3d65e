package cadecide_test

import (
	"fmt"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/cadecide"
	"celeryarch.example/celeryarch/internal/core/casched"
)

// The caller adds upstreams and allowances, submits a job and asks for decisions.
// It starts the placed tasks and reports when they end.
func Example() {
	now := time.Unix(0, 0)
	s := cadecide.New(casched.DefaultPolicy(), func(v *casched.Violation) { panic(v) })
	s.PutUpstream(casched.Upstream{ID: "u1", Capacity: cawork.Resources{CPU: cawork.Cores(16), Memory: 32 * cawork.GiB}}, now)
	s.SetAllowance("north", casched.Unlimited(), now)
	err := s.Submit(cawork.Job{ID: "report", Team: "north", Accepted: now, Spec: cawork.JobSpec{
		Kind: cawork.WorkKindBatch, Tasks: 1, Size: cawork.Resources{CPU: cawork.Cores(4), Memory: cawork.GiB},
	}}, now)
	if err != nil {
		panic(err)
	}
	for _, d := range s.Decide(now.Add(time.Second)) {
		fmt.Println(d.Text())
		s.Started(d.Placements[0].Task, now)
	}
	out := s.Ended(casched.AttemptEnd{Task: cawork.TaskRef{Job: "report"}, State: cawork.TaskStateDone}, now.Add(time.Minute))
	fmt.Println(out.JobEnded, out.JobOutcome)
	// Output:
	// place on u1: lowest_share, waited 1s, share 0.0000, tasks 1
	// true done
}
