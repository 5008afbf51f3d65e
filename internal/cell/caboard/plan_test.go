package caboard

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caorder"
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
		if diff := gocmp.Diff(want, got); diff != "" {
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
			var want, got []caorder.RunID
			for i, task := range s.state().Tasks {
				id := caorder.RunID{Job: s.job.Submission.ID, Occurrence: s.occurrence.Number, Step: s.number, Index: i, Number: task.Run}
				if u, ok := b.upstreams[task.Upstream]; ok && u.runs[id] != nil {
					want = append(want, id)
				}
			}
			for _, r := range b.runsOf(s) {
				got = append(got, r.id)
			}
			if diff := gocmp.Diff(want, got); diff != "" {
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
		want, got := make(map[caorder.RunID]bool), make(map[caorder.RunID]bool)
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
		if diff := gocmp.Diff(want, got); diff != "" {
			t.Fatalf("runs after plan %d (-at upstreams +of jobs):\n%s", plans, diff)
		}
	})
}

// naiveOrder returns the steps as a stable sort of all of them by all keys orders them.
func naiveOrder(steps []*step) []string {
	sorted := slices.Clone(steps)
	slices.SortStableFunc(sorted, func(x, y *step) int {
		return cmp.Or(
			cmp.Compare(x.lateness, y.lateness),
			cmp.Compare(x.job.priority, y.job.priority),
			compareBool(y.restarts() > 0, x.restarts() > 0),
			compareBool(x.job.OverRate, y.job.OverRate),
			x.job.acceptedAt.Compare(y.job.acceptedAt),
			cmp.Compare(x.job.Submission.ID, y.job.Submission.ID),
			cmp.Compare(x.number, y.number),
		)
	})
	return orderOf(sorted)
}

func orderOf(steps []*step) []string {
	var order []string
	for _, s := range steps {
		order = append(order, fmt.Sprintf("%s occurrence %d step %d", s.job.Submission.ID, s.occurrence.Number, s.number))
	}
	return order
}

// TestSortedStepsAreThoseOfWholeSort guards against steps that keep their place though their lateness, the
// priority of their queue or their restarts have changed: urgent work and restarts would wait.
func TestSortedStepsAreThoseOfWholeSort(tb *testing.T) {
	rapid.Check(tb, func(t *rapid.T) {
		s := newSimulation(tb, 1, plainQueue())
		jobs := 0
		for range 12 {
			for range rapid.IntRange(0, 6).Draw(t, "opened") {
				jobs++
				first, second := smallStep(2), smallStep(1)
				first.LongRunning = rapid.Bool().Draw(t, "long-running")
				second.LongRunning = first.LongRunning
				s.planner.open(submission(1000*rapid.IntRange(0, 9).Draw(t, "id")+jobs, first, second), rapid.Bool().Draw(t, "excess"))
			}
			s.advance(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
			for _, step := range s.planner.steps {
				switch rapid.IntRange(0, 9).Draw(t, "change") {
				case 0:
					step.job.priority = rapid.IntRange(0, 2).Draw(t, "priority")
				case 1:
					step.state().Tasks[0].Run++
				case 2:
					step.tasksEnding = rapid.IntRange(0, 1).Draw(t, "leaving")
				case 3:
					s.planner.openSteps(step.job, step.job.OpenNext())
				}
			}
			if len(s.planner.steps) > 0 {
				s.planner.dropSteps(s.planner.steps[rapid.IntRange(0, len(s.planner.steps)-1).Draw(t, "dropped")].job)
			}
			unsorted := slices.Clone(s.planner.steps)
			s.planner.sortSteps()
			if diff := gocmp.Diff(naiveOrder(unsorted), orderOf(s.planner.steps)); diff != "" {
				t.Fatalf("order (-want +got):\n%s", diff)
			}
		}
	})
}

// stepRoom is whether a step finds room where it has a ticket, and where the advisor has not decided.
type stepRoom struct{ AtApproved, AtUndecided bool }

// TestStepsNoticeRoomThatAppears guards against steps that wait though room has appeared where they may
// run: at an upstream where a run ended, that accepts work again, restarted, or was approved since.
func TestStepsNoticeRoomThatAppears(t *testing.T) {
	runWithoutRace(t)
	const seed = 7
	plans, withoutRoom := 0, 0
	decisionsOf(t, seed, 6*time.Second, func(b *Planner) {
		plans++
		for _, s := range b.steps {
			p := b.pools[s.job.pool]
			if p == nil || s.waitingTasks == 0 {
				continue
			}
			var want stepRoom
			for _, u := range p.upstreams {
				hasRoom := s.spec.Size().Fits(u.free())
				want.AtApproved = want.AtApproved || hasRoom && s.approvals.answers.HasTicket(u.slot)
				want.AtUndecided = want.AtUndecided || hasRoom && !s.approvals.isDecided(u)
			}
			got := stepRoom{AtApproved: b.hasRoomAtApproved(s), AtUndecided: b.hasRoomAtUndecided(s, p)}
			if diff := gocmp.Diff(want, got); diff != "" {
				t.Fatalf("room of step %d of job %s after plan %d (-want +got):\n%s", s.number, s.job.Submission.ID, plans, diff)
			}
			if !got.AtApproved {
				withoutRoom++
			}
		}
	})
	if withoutRoom == 0 {
		t.Error("each step had room, so that the test shows nothing")
	}
}
