package caboard

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// freeRoom is what the upstreams of a pool have free.
type freeRoom struct {
	Rooms     []cawork.Resources
	Free, Max cawork.Resources
}

// TestRoomsOfPlanFollowItsAssignments guards against free room that the plan still counts after tasks
// were assigned there, or counts no more: large tasks and gangs would be passed over.
func TestRoomsOfPlanFollowItsAssignments(t *testing.T) {
	const seed = 4
	plans := 0
	decisionsOf(t, seed, 3*time.Second, func(b *Planner) {
		plans++
		want, got := make(map[caspec.PoolName]freeRoom), make(map[caspec.PoolName]freeRoom)
		for name, p := range b.pools {
			var naive freeRoom
			for _, u := range p.upstreams {
				naive.Rooms = append(naive.Rooms, u.free())
				naive.Free = naive.Free.Plus(u.free().Floor())
				naive.Max = naive.Max.Most(u.free().Floor())
			}
			want[name] = naive
			got[name] = freeRoom{Rooms: p.rooms, Free: p.free, Max: p.maxFree}
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatalf("free room after plan %d (-want +got):\n%s", plans, diff)
		}
	})
}

// TestLastRunsAreThoseAtUpstreams guards against runs that a step still has after they ended, or that it
// lacks: members of a broken gang would not be stopped, and copies would be started of ended runs.
func TestLastRunsAreThoseAtUpstreams(t *testing.T) {
	const seed = 5
	plans := 0
	decisionsOf(t, seed, 3*time.Second, func(b *Planner) {
		plans++
		for _, s := range b.steps {
			var want, got []RunID
			for i, task := range s.state().Tasks {
				id := RunID{Job: s.job.Submission.ID, Occurrence: s.occurrence.Number, Step: s.number, Index: i, Number: task.Run}
				if u, ok := b.upstreams[task.Upstream]; ok && u.runs[id] != nil {
					want = append(want, id)
				}
			}
			for _, r := range b.runsOf(s) {
				got = append(got, r.id)
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Fatalf("last runs of step %d of job %s after plan %d (-want +got):\n%s", s.number, s.job.Submission.ID, plans, diff)
			}
		}
	})
}

// TestRunsOfJobAreThoseAtUpstreams guards against a cancellation that misses a run of its job, or a job
// that is never released because it still has runs.
func TestRunsOfJobAreThoseAtUpstreams(t *testing.T) {
	const seed = 6
	plans := 0
	decisionsOf(t, seed, 3*time.Second, func(b *Planner) {
		plans++
		want, got := make(map[RunID]bool), make(map[RunID]bool)
		for _, u := range b.sortedUpstreams {
			for id, r := range u.runs {
				if b.jobs[id.Job] == r.step.job {
					want[id] = true
				}
			}
		}
		for _, j := range b.jobs {
			for _, r := range j.runs {
				got[r.id] = true
			}
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatalf("runs after plan %d (-at upstreams +of jobs):\n%s", plans, diff)
		}
	})
}
