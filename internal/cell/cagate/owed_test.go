package cagate

import (
	"context"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/platform/standin"
)

// TestCallsAreAnsweredThroughLeaderChange guards against cancellations and queries that are given up
// after 0.4 s without a leader, though their callers wait for longer: they would use up their
// tries while the next leader loads. A third of the accepted jobs are canceled, and the others
// asked for, from the moment on in which the leader is killed. One call each must be enough.
func TestCallsAreAnsweredThroughLeaderChange(t *testing.T) {
	runInTestCell(t, 4, func(t *testing.T, c *testCell) {
		c.loadTime.Store(int64(time.Second))
		leader := c.leader()
		var accepted []caspec.Submission
		for range 45 {
			s := testSubmission(c.nextJob())
			if err := submitTo(c.gates()[leader], s); err != nil {
				t.Fatalf("submit: %v", err)
			}
			accepted = append(accepted, s)
		}
		c.kill(leader)
		gates := slices.Collect(maps.Values(c.gates()))
		for i, s := range accepted {
			c.callers.Go(func() {
				if err := callOnce(gates[i%len(gates)], s, i%3 == 0); err != nil {
					t.Errorf("call %d of an accepted job: %v", i, err)
				}
			})
			time.Sleep(20 * time.Millisecond)
		}
		c.accepted.Add(accepted[1].ID)
	})
}

// callOnce cancels a job or asks for its phase.
func callOnce(gate *Gate, s caspec.Submission, isCancel bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	if isCancel {
		return gate.Cancel(ctx, s.Caller(), s.ID)
	}
	_, err := gate.Phase(ctx, s.Caller(), s.ID)
	return err
}

// TestQueryWithoutAnswerIsRefused guards against queries that are answered as if they could have
// taken effect: callers of those come back at once, instead of when they are told to.
func TestQueryWithoutAnswerIsRefused(t *testing.T) {
	runInTestCell(t, 3, func(t *testing.T, c *testCell) {
		s := testSubmission(c.nextJob())
		leader := c.leader()
		if err := submitTo(c.gates()[leader], s); err != nil {
			t.Fatalf("submit: %v", err)
		}
		c.accepted.Add(s.ID)
		c.store.SetFault(func(string) standin.Fault { return standin.FaultRequestLost })
		for name, gate := range c.gates() {
			if name != leader {
				c.network.Cut(leader, name, true)
				c.network.Cut(name, leader, true)
				c.callers.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
					defer cancel()
					_, err := gate.Phase(ctx, s.Caller(), s.ID)
					if diff := cmp.Diff(cakind.KindUnavailable, cakind.Of(err)); diff != "" {
						t.Errorf("error kind of a query without an answer: %v (-want +got):\n%s", err, diff)
					}
					if cakind.RetryAfterOf(err) <= 0 {
						t.Errorf("error of a query without an answer tells no time to come back: %v", err)
					}
				})
			}
		}
		c.callers.Wait()
		for name := range c.gates() {
			c.network.Cut(leader, name, false)
			c.network.Cut(name, leader, false)
		}
		c.clearStoreFaults()
		time.Sleep(2 * time.Second)
	})
}

// TestPendingJobsAreCountedAtOtherEntries guards against counts of pending jobs that are out of date:
// entries take them from the leader's last reply. They may be 2 s old.
func TestPendingJobsAreCountedAtOtherEntries(t *testing.T) {
	runInTestCell(t, 3, func(t *testing.T, c *testCell) {
		const jobs = 5
		wide := testStep()
		wide.Tasks = 4 * testUpstreams
		for range jobs {
			c.submitJob(c.nextJob(), wide)
		}
		c.callers.Wait()
		time.Sleep(300 * time.Millisecond)
		leader := c.gates()[c.leader()]
		for began := time.Now(); time.Since(began) < 15*time.Second; time.Sleep(100 * time.Millisecond) {
			want, err := leader.Pending(context.Background(), "queue")
			if err != nil {
				t.Fatalf("count at the leader: %v", err)
			}
			time.Sleep(1500 * time.Millisecond)
			later, _ := leader.Pending(context.Background(), "queue")
			for name, gate := range c.gates() {
				got, err := gate.Pending(context.Background(), "queue")
				if err != nil || got > want || got < later {
					t.Errorf("count at %s: %d, want %d to %d, error %v", name, got, later, want, err)
				}
			}
		}
	})
}
