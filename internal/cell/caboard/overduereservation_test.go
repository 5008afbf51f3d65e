package caboard

import (
	"testing"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// emptyUpstreamRestartBound is how long a task may wait for its restart with an empty upstream that the
// advisor was not asked about: until the room reserved elsewhere is overdue, and two answers of the advisor.
const emptyUpstreamRestartBound = 2 * time.Second

// TestOverdueReservationKeepsEmptyUpstreamUnasked covers room that is reserved where a run takes longer than
// estimated. It always seemed to be complete soon, so that no approval was requested for an upstream that had
// joined meanwhile and was empty, until the reservation was given up after 3 s.
func TestOverdueReservationKeepsEmptyUpstreamUnasked(t *testing.T) {
	s := newSimulation(t, 2, longRunningQueue(), smallQueue())
	all := func(cawork.UpstreamID) bool { return true }
	s.submit("service", "service", longRunningStep(1))
	s.tick(20*time.Millisecond, all)
	service := s.tick(20*time.Millisecond, all)
	s.submit("overrunning", busyPoolSmallID, caspec.Step{Tasks: 1, CPU: 12000, Memory: cawork.GiB, Estimate: 500 * time.Millisecond})
	busy := s.tick(20*time.Millisecond, all)
	if len(service) != 1 || len(busy) != 1 || service[0].Upstream == busy[0].Upstream {
		t.Fatalf("long-running task at %v, short one at %v, want one each at different upstreams", service, busy)
	}
	for range 50 {
		s.tick(20*time.Millisecond, all)
	}
	left := s.planner.upstreams[busy[0].Upstream].info
	joined := left
	joined.ID = "up-02"
	s.planner.SetUpstreams([]caspec.Upstream{left, joined})
	s.planner.MarkIncarnationGone(service[0].Upstream)
	took, ok := s.startedWithin("service", restartBound, all)
	if !ok || took > emptyUpstreamRestartBound {
		t.Errorf("restart took %v (started %v), room reserved at %v; want at most %v with an empty upstream", took, ok, s.reserved("service"), emptyUpstreamRestartBound)
	}
}
