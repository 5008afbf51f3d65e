package caboard

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// TestInvariantsHoldWhileLimitChanges runs gangs and other jobs while the limit of their
// team changes and falls below what the team uses.
func TestInvariantsHoldWhileLimitChanges(t *testing.T) {
	s := newSimulation(t, 8, plainQueue())
	n, version := 0, int64(1)
	s.simulate(30*time.Second, func(time.Duration) {
		n++
		step := caspec.Step{Tasks: 1 + n%4, CPU: cawork.MilliCPU(500 + 700*(n%5)), Memory: cawork.GiB, Estimate: 2 * time.Second, Gang: n%3 == 0}
		s.planner.open(submission(n, step), false)
		if n%40 != 0 {
			return
		}
		version++
		team := caspec.Team{Name: "north", Weight: 1000, Limit: cawork.Resources{CPU: cawork.Cores(int64(10 + n%90))}}
		s.planner.SetPolicy(caspec.Policy{
			Version: version, Queues: []caspec.Queue{plainQueue()}, Pools: []caspec.Pool{{Name: "pool"}}, Teams: []caspec.Team{team},
		}.WithIndex())
	})
	if diff := cmp.Diff(0, s.planner.BrokenInvariants()); diff != "" {
		t.Errorf("broken invariants (-want +got):\n%s", diff)
	}
}

// TestBrokenInvariantsAreCounted checks that runs beyond the capacity of their upstream are
// counted as violations.
func TestBrokenInvariantsAreCounted(t *testing.T) {
	s := newSimulation(t, 1, plainQueue())
	for i := range 3 {
		s.planner.open(submission(i, caspec.Step{Tasks: 1, CPU: 7000, Memory: cawork.GiB, Estimate: time.Second}), false)
	}
	s.startAll()
	u := s.planner.upstreams["up-00"]
	u.info.Capacity.CPU = 7000
	for _, r := range u.runs {
		s.planner.checkInvariants(r)
	}
	if diff := cmp.Diff(2, s.planner.BrokenInvariants()); diff != "" {
		t.Errorf("violations for runs beyond the capacity (-want +got):\n%s", diff)
	}
}
