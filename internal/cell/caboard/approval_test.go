package caboard

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestRequestsOfSmallPoolAreShort guards against requests that count as long by the upstreams of a pool that
// is larger than theirs, and wait for the few entries that carry long ones.
func TestRequestsOfSmallPoolAreShort(t *testing.T) {
	queue := approvedQueue()
	queue.Approval.FixedCost, queue.Approval.CostPerUpstream = 82*time.Millisecond, 1200*time.Microsecond
	for upstreams, want := range map[int]bool{48: false, 120: true} {
		s := newSimulation(t, upstreams, queue)
		s.submit("job", "queue", smallStep(1))
		requests := s.planner.Plan().ApprovalRequests
		if len(requests) != 1 {
			t.Fatalf("%d requests, want 1", len(requests))
		}
		if diff := cmp.Diff(want, requests[0].Long); diff != "" {
			t.Errorf("whether a request in a pool of %d upstreams is long (-want +got):\n%s", upstreams, diff)
		}
	}
}
