package cagate

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// policyWithTarget is the policy of tests with another target latency. Jobs may wait 1.5 s longer.
func policyWithTarget(target time.Duration) caspec.Policy {
	p := testPolicy()
	p.Queues[0].TargetLatency = target
	return p.WithIndex()
}

// checkRefusedAtOnce checks that each entry refuses a job at once.
func (c *testCell) checkRefusedAtOnce(s caspec.Submission) {
	c.t.Helper()
	for name, gate := range c.gates() {
		began := time.Now()
		err := submitTo(gate, s)
		if diff := cmp.Diff(cakind.KindOverloaded, cakind.Of(err)); diff != "" {
			c.t.Errorf("%s: answer %v (-want +got):\n%s", name, err, diff)
		}
		if took := time.Since(began); took > 100*time.Millisecond {
			c.t.Errorf("%s refused a job after %v", name, took)
		}
	}
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
		c.checkRefusedAtOnce(testSubmission(c.nextJob()))
		c.fleet.SetReachable(func(string, cawork.UpstreamID) bool { return true })
		time.Sleep(2 * time.Second)
		c.load(time.Second)
	}, func(c *testCell) {
		c.feed = func(string) OperatorFeed { return fixedFeed{policy: policyWithTarget(500 * time.Millisecond)} }
	})
}
