package cagate

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caleader"
	"celeryarch.example/celeryarch/internal/cell/caorder"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/platform/standin"
)

// slowAdvisor takes longer than its terms say. It handles one request of each entry at a time and goes
// on with those that nobody waits for any more.
type slowAdvisor struct {
	standin.Advisor
	terms    caspec.Approval
	slowness float64
	// turn holds a value while a request is handled.
	turn chan struct{}
}

// Advise implements caleader.Advisor.
func (a slowAdvisor) Advise(ctx context.Context, ask caorder.ApprovalRequest) ([]caorder.Approval, error) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.turn <- struct{}{}
		time.Sleep(time.Duration(a.slowness * float64(a.terms.Cost(len(ask.Upstreams)))))
		<-a.turn
	}()
	select {
	case <-done:
		return a.Advisor.Advise(ctx, ask)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// slowAdvisorPolicy is the policy of tests, with an advisor whose answers take long.
func slowAdvisorPolicy() caspec.Policy {
	p := testPolicy()
	p.Queues[0].Approval = &caspec.Approval{FixedCost: 300 * time.Millisecond, CostPerUpstream: 5 * time.Millisecond, Validity: 2 * time.Second}
	return p.WithIndex()
}

// TestAcceptedJobsWaitForSlowAdvisor guards against requests that pile up at a few entries, and are given
// up and repeated, since the advisor takes longer than its terms say: most of its answers came when
// nobody waited for them any more, and accepted jobs had nothing running beside free upstreams.
func TestAcceptedJobsWaitForSlowAdvisor(t *testing.T) {
	const (
		interval = 250 * time.Millisecond
		// drainTime is how long after the load the last jobs may take.
		drainTime = 6 * time.Second
	)
	for name, slowness := range map[string]float64{"as_announced": 1, "slower": 1.5, "twice_as_slow": 2, "two_and_a_half_times": 2.5} {
		t.Run(name, func(t *testing.T) {
			runInTestCell(t, 5, func(t *testing.T, c *testCell) {
				for begin := time.Now(); time.Since(begin) < 25*time.Second; time.Sleep(interval) {
					c.submit()
				}
				c.callers.Wait()
				time.Sleep(drainTime)
				if diff := cmp.Diff([]cawork.JobID(nil), c.openJobs()); diff != "" {
					t.Errorf("jobs that are still open %v after the load (-want +got):\n%s", drainTime, diff)
				}
			}, func(c *testCell) {
				c.feed = func(string) OperatorFeed { return fixedFeed{policy: slowAdvisorPolicy()} }
				c.advisorOf = func(string) caleader.Advisor {
					return slowAdvisor{terms: *slowAdvisorPolicy().Queues[0].Approval, slowness: slowness, turn: make(chan struct{}, 1)}
				}
			})
		})
	}
}

// openJobs returns the accepted jobs that have not ended, sorted.
func (c *testCell) openJobs() []cawork.JobID {
	gate := c.gates()[c.leader()]
	var open []cawork.JobID
	for _, id := range c.accepted.Sorted() {
		if phase, err := gate.Phase(context.Background(), caspec.Caller{Team: "north"}, id); err != nil || !phase.IsFinal() {
			open = append(open, id)
		}
	}
	return open
}
