package caboard

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// TestLargeTasksWaitBehindShortWorkOfLowerPriority covers single tasks of nearly a whole upstream
// that are not long-running, in a pool that short tasks of a lower priority keep full.
func TestLargeTasksWaitBehindShortWorkOfLowerPriority(t *testing.T) {
	const jobs = 5
	for seed := range int64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			p := newBusyPool(t, seed, 24)
			policy := p.planner.policy
			policy.Version++
			large := longRunningQueue()
			large.Name, large.Priority, large.TargetLatency = "large", 0, time.Minute
			short := smallQueue()
			short.Priority = 2
			policy.Queues = []caspec.Queue{large, short}
			p.planner.SetPolicy(policy.WithIndex())
			p.run(8 * time.Second)
			for i := range jobs {
				step := caspec.Step{Tasks: 1, CPU: 15000, Memory: cawork.GiB, Estimate: time.Second}
				p.planner.open(caspec.Submission{ID: cawork.JobID(fmt.Sprintf("large-%d", i)), Queue: "large", Team: "north", Steps: []caspec.Step{step}}, false)
			}
			p.run(30 * time.Second)
			started := 0
			for i := range jobs {
				if j := p.planner.jobs[cawork.JobID(fmt.Sprintf("large-%d", i))]; j.RunOrdered {
					started++
				}
			}
			if diff := cmp.Diff(jobs, started); diff != "" {
				t.Errorf("large tasks started within 30 s (-want +got):\n%s", diff)
			}
		})
	}
}
