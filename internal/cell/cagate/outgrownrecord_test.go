package cagate

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caorder"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/cell/castate"
	"celeryarch.example/celeryarch/platform/standin"
)

const (
	// testRecordBytes is a bound that the record of a job with ten occurrences of ten tasks exceeds.
	testRecordBytes = 2000
	// outgrowingRunTime is how long the tasks of the job take whose occurrences overlap.
	outgrowingRunTime = 20 * time.Second
)

// outgrowingJob returns a job whose open occurrences need more room than one record has.
func outgrowingJob(n int) caspec.Submission {
	step := testStep()
	step.Tasks = 10
	return caspec.Submission{
		ID: jobID(n), Queue: "queue", Team: "north", Steps: []caspec.Step{step},
		Schedule: caspec.Schedule{Occurrences: 200, StartMS: time.Now().UnixMilli(), Interval: time.Second},
	}
}

// loadWithoutRefusals submits jobs, all of which must be accepted and have ended soon after.
func (c *testCell) loadWithoutRefusals(t *testing.T, during time.Duration, when string) {
	t.Helper()
	c.load(during)
	c.callers.Wait()
	if diff := cmp.Diff(0, c.refused.Len()+c.unknown.Len()); diff != "" {
		t.Errorf("other jobs that were not accepted %s (-want +got):\n%s", when, diff)
	}
	time.Sleep(5 * time.Second)
	gate, ended := c.gates()[c.leader()], 0
	for _, id := range c.accepted.Sorted() {
		if phase, err := gate.Phase(context.Background(), caspec.Caller{Team: "north"}, id); err == nil && phase == castate.PhaseCompleted {
			ended++
		}
	}
	if diff := cmp.Diff(c.accepted.Len(), ended); diff != "" {
		t.Errorf("other jobs that completed %s (-want +got):\n%s", when, diff)
	}
}

// startedOccurrences returns how many occurrences of a job had a task started.
func (c *testCell) startedOccurrences(id cawork.JobID) int {
	started := make(map[int]bool)
	for _, o := range c.fleet.Orders() {
		if o.Run.Job == id {
			started[o.Run.Occurrence] = true
		}
	}
	return len(started)
}

// TestOutgrownRecordStaysWithItsJob guards against one job that stops its cell: the record of a job with
// many open occurrences outgrew what the store takes, and the append with it was repeated for ever, with
// the changes of all other jobs, by each leader.
func TestOutgrownRecordStaysWithItsJob(t *testing.T) {
	for name, known := range map[string]int{"bound in the settings": testRecordBytes, "bound only the store has": 0} {
		t.Run(name, func(t *testing.T) {
			runInTestCell(t, 3, func(t *testing.T, c *testCell) {
				large := outgrowingJob(c.nextJob())
				c.fleet.SetRunTime(func(id caorder.RunID) (time.Duration, bool) {
					if id.Job == large.ID {
						return outgrowingRunTime, false
					}
					return 500 * time.Millisecond, false
				})
				if err := submitTo(c.gates()[c.leader()], large); err != nil {
					t.Fatal(err)
				}
				c.loadWithoutRefusals(t, 15*time.Second, "beside the large job")
				c.kill(c.leader())
				time.Sleep(5 * time.Second)
				c.loadWithoutRefusals(t, 5*time.Second, "under the next leader")
				if refused := c.store.Refused(); (refused > 0) != (known == 0) {
					t.Errorf("the store refused %d appends", refused)
				}
				if started := c.startedOccurrences(large.ID); started < 4 {
					t.Errorf("%d occurrences of the large job started, want 4 or more", started)
				}
				gate := c.gates()[c.leader()]
				if err := callOnce(gate, large, true); err != nil {
					t.Errorf("cancel the large job: %v", err)
				}
				if phase, err := gate.Phase(t.Context(), caspec.Caller{Team: "north"}, large.ID); err != nil || phase != castate.PhaseCanceled {
					t.Errorf("phase of the large job: %v, error %v, want canceled", phase, err)
				}
			}, func(c *testCell) {
				c.recordBytes = known
				c.store.SetRecordBytes(testRecordBytes)
				c.fleet = standin.NewFleet(testUpstreams, cawork.Resources{CPU: cawork.Cores(40), Memory: 80 * cawork.GiB}, testStep().Size(),
					func(i int) cawork.UpstreamID { return cawork.UpstreamID(fmt.Sprintf("up-%d", i)) })
			})
		})
	}
}
