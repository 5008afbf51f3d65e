package cagate

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// policyWithTarget is the policy of tests with another target latency. Jobs may wait 1.5 s longer.
func policyWithTarget(target time.Duration) caspec.Policy {
	p := testPolicy()
	p.Queues[0].TargetLatency = target
	return p.WithIndex()
}

// TestJobsAreRefusedWhileNoUpstreamAnswers guards against jobs that are accepted though no upstream has
// accepted work for longer than they may wait: they had nothing running until long after their objective.
func TestJobsAreRefusedWhileNoUpstreamAnswers(t *testing.T) {
	runInTestCell(t, 3, func(t *testing.T, c *testCell) {
		c.load(2 * time.Second)
		c.fleet.SetReachable(func(string, cawork.UpstreamID) bool { return false })
		// The leader needs a few seconds to doubt them all, and hurried jobs may wait for 2 s.
		c.load(6 * time.Second)
		c.callers.Wait()
		accepted := c.accepted.Sorted()
		c.load(6 * time.Second)
		c.callers.Wait()
		if diff := cmp.Diff(accepted, c.accepted.Sorted()); diff != "" {
			t.Errorf("jobs that were accepted in an outage of all upstreams (-want +got):\n%s", diff)
		}
		c.fleet.SetReachable(func(string, cawork.UpstreamID) bool { return true })
		time.Sleep(2 * time.Second)
		c.load(time.Second)
	}, func(c *testCell) {
		c.feed = func(string) OperatorFeed { return fixedFeed{policy: policyWithTarget(500 * time.Millisecond)} }
	})
}
