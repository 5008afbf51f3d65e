package caboard

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// unlist removes an upstream from the list.
func (s *simulation) unlist(id cawork.UpstreamID) {
	var list []caspec.Upstream
	for _, u := range s.planner.sortedUpstreams {
		if u.info.ID != id {
			list = append(list, u.info)
		}
	}
	s.planner.SetUpstreams(list)
}

// TestDepartingTaskStaysAtUnlistedUpstream covers a draining upstream whose registration expires, such as in
// an outage of the store, while it still serves: its task must be stopped before it leaves.
func TestDepartingTaskStaysAtUnlistedUpstream(t *testing.T) {
	s, run := newDepartingTask(t, 1)
	s.unlist("up-00")
	if diff := cmp.Diff(drainTime-departureLead, s.stoppedAfter(run, 2*drainTime, true)); diff != "" {
		t.Errorf("time until the task is stopped (-want +got):\n%s", diff)
	}
}

// TestNothingIsStoppedAtUpstreamThatLeft covers an upstream that has drained and left, and answers no more.
func TestNothingIsStoppedAtUpstreamThatLeft(t *testing.T) {
	s, run := newDepartingTask(t, 1)
	s.unlist("up-00")
	s.planner.MarkRenewalUnanswered("up-00")
	for range 40 {
		s.advance(50 * time.Millisecond)
		if stops := s.planner.Plan().Stops; len(stops) > 0 {
			t.Fatalf("stops of %v at an upstream that left: %v", run, stops)
		}
	}
}

// TestLaterIncarnationIsEmptiedForLeaveOfEarlierOne covers an upstream that restarts under its ID while the list
// still has the description in which its earlier incarnation drains: the order of an earlier leader that
// the later one has carried out stays.
func TestLaterIncarnationIsEmptiedForLeaveOfEarlierOne(t *testing.T) {
	s, run := newDepartingTask(t, 1)
	next := s.newLeader()
	for range 40 {
		next.advance(50 * time.Millisecond)
		next.planner.ApplyReport(Report{
			Upstream: "up-00", Born: 2, SentAt: next.now, ReceivedAt: next.now, ClockMS: next.now.UnixMilli(), Running: []RunningRun{{Run: run, Percent: 100}},
		})
		for _, stop := range next.planner.Plan().Stops {
			if stop.Run == run {
				t.Fatalf("stop %v at an incarnation that does not drain", stop)
			}
		}
	}
}
