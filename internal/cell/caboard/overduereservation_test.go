package caboard

import (
	"testing"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// emptyUpstreamRestartBound is how long a task may wait for its restart with an empty upstream that the
// advisor, which answers at once here, was not asked about. Two requests of a step are apart by less.
const emptyUpstreamRestartBound = soonReserved / 2

// TestReservationKeepsEmptyUpstreamUnasked covers room that is reserved where a run is expected to end
// within a second and takes far longer. It always seemed to be complete soon, so that no approval was
// requested for an upstream that had joined meanwhile and was empty, until the reservation was given up
// after 3 s.
func TestReservationKeepsEmptyUpstreamUnasked(t *testing.T) {
	for name, ran := range map[string]time.Duration{"run has just started": 60 * time.Millisecond, "run is overdue": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, 2, longRunningQueue(), smallQueue())
			all := func(cawork.UpstreamID) bool { return true }
			s.submit("service", "service", longRunningStep(1))
			s.tick(20*time.Millisecond, all)
			service := s.tick(20*time.Millisecond, all)
			s.submit("overrunning", busyPoolSmallID, caspec.Step{Tasks: 1, CPU: 12000, Memory: cawork.GiB, Estimate: time.Second})
			busy := s.tick(20*time.Millisecond, all)
			if len(service) != 1 || len(busy) != 1 || service[0].Upstream == busy[0].Upstream {
				t.Fatalf("long-running task at %v, short one at %v, want one each at different upstreams", service, busy)
			}
			for began := s.now; s.now.Sub(began) < ran; {
				s.tick(20*time.Millisecond, all)
			}
			left := s.planner.upstreams[busy[0].Upstream].info
			joined := left
			joined.ID = "up-02"
			s.planner.SetUpstreams([]caspec.Upstream{left, joined})
			s.planner.MarkIncarnationGone(service[0].Upstream, 1)
			took, ok := s.startedWithin("service", restartBound, all)
			if !ok || took > emptyUpstreamRestartBound {
				t.Errorf("restart took %v (started %v), room reserved at %v; want at most %v with an empty upstream", took, ok, s.reserved("service"), emptyUpstreamRestartBound)
			}
		})
	}
}
