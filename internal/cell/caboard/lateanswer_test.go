package caboard

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

func (s *simulation) onlyRequest() ApprovalRequest {
	s.t.Helper()
	requests := s.planner.Plan().ApprovalRequests
	if len(requests) != 1 {
		s.t.Fatalf("%d requests, want 1", len(requests))
	}
	return requests[0]
}

// TestLateAnswerKeepsFresherTicket guards against a start with a ticket that has expired, since the late
// answer to a request replaced the ticket of the one that repeated it.
func TestLateAnswerKeepsFresherTicket(t *testing.T) {
	s := newSimulation(t, 1, approvedQueue())
	s.submit("job", "queue", caspec.Step{Tasks: 1, CPU: 1000, Memory: cawork.GiB, Estimate: time.Second})
	first := s.onlyRequest()
	s.advance(2 * time.Second)
	s.report("up-00", nil, nil)
	s.planner.ApplyAdvice(first, nil, false)
	second := s.onlyRequest()
	s.advance(20 * time.Millisecond)
	s.planner.ApplyAdvice(second, []Approval{{Upstream: "up-00", Ticket: "fresh"}}, true)
	s.planner.ApplyLateAdvice(first, []Approval{{Upstream: "up-00", Ticket: "old"}})
	orders := s.startAll()
	if len(orders) != 1 {
		t.Fatalf("%d starts, want 1", len(orders))
	}
	if diff := cmp.Diff("fresh", orders[0].Ticket); diff != "" {
		t.Errorf("ticket of the start (-want +got):\n%s", diff)
	}
}
