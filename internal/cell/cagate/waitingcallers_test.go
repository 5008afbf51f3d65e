package cagate

import (
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caboard"
)

// TestNewLeaderRefusesWhatAdvisorDecidesTooLate guards against a new leader that accepts all callers who
// waited for it, since it has not yet observed how long approval requests take: their jobs had nothing running
// beside free upstreams.
func TestNewLeaderRefusesWhatAdvisorDecidesTooLate(t *testing.T) {
	const (
		callers  = 300
		maxStart = 4 * time.Second
	)
	runInTestCell(t, 3, func(t *testing.T, c *testCell) {
		c.fleet.SetRunTime(func(caboard.RunID) (time.Duration, bool) { return 100 * time.Millisecond, false })
		c.load(5 * time.Second)
		c.kill(c.leader())
		for range callers {
			c.submit()
		}
		for c.leader() == "" {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		accepted := c.accepted.Sorted()
		time.Sleep(maxStart)
		open := slices.DeleteFunc(c.openJobs(), func(id cawork.JobID) bool { return !slices.Contains(accepted, id) })
		if diff := cmp.Diff([]cawork.JobID{}, open); diff != "" {
			t.Errorf("jobs that are open %v after the new leader accepted them (-want +got):\n%s", maxStart, diff)
		}
		c.callers.Wait()
	}, func(c *testCell) {
		c.feed = func(string) OperatorFeed { return fixedFeed{policy: policyWithTarget(500 * time.Millisecond)} }
		var rejected atomic.Int64
		c.countRejectedTickets(&rejected, 600*time.Millisecond)
	})
}
