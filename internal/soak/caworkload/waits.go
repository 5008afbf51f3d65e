package caworkload

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/platform/standin"
)

const (
	// roomFactor is how many times over there must be room for a step.
	roomFactor = 2
	// maxUsedShare is the share of the pool, and of the limit of a team, that may be in use.
	maxUsedShare = 0.5
)

// Wait is a step that waits although there is room.
type Wait struct {
	Step standin.StepName
	// For is how long the job has had nothing running while there was room.
	For  time.Duration
	Job  Job
	Left int
	// Places is the room for tasks of the step on upstreams that the advisor approves.
	Places int
}

// String describes the wait for a report.
func (w Wait) String() string {
	s := w.Job.Spec.Steps[w.Step.Step]
	return fmt.Sprintf("job %s of %s in %s has nothing running for %v: step %d with %d of %d tasks left, gang %v, cpu_milli %d, %d per upstream, has room for %d",
		w.Step.Job, w.Job.Team.Name, w.Job.Queue.Name, w.For.Round(100*time.Millisecond), w.Step.Step, w.Left, s.Tasks, s.Gang, s.CPU, s.MaxPerUpstream, w.Places)
}

// WaitWatch finds jobs that have nothing running although there is room for them.
type WaitWatch struct {
	// Workload has the limits of the teams.
	Workload Workload
	// Capacity is the capacity of the pool.
	Capacity cawork.Resources
	// TeamOf returns the team of a job that runs.
	TeamOf func(cawork.JobID) cawork.TeamName
	// Approves reports whether an upstream may run a step.
	Approves func(standin.StepName, cawork.UpstreamID) bool

	since map[standin.StepName]time.Time
}

// Observe returns the steps of the jobs that wait although there is room, the longest wait
// first. The jobs are those that were accepted and have not ended.
func (w *WaitWatch) Observe(now time.Time, v standin.View, jobs []Job) []Wait {
	before := w.since
	w.since = make(map[standin.StepName]time.Time)
	used, busy := w.use(v)
	if exceedsShare(used, w.Capacity) {
		return nil
	}
	var waits []Wait
	for _, j := range jobs {
		if busy[j.Team.Name] || isRunning(v, j) {
			continue
		}
		for i := range j.Spec.Steps {
			wait, ok := w.waitOf(v, j, i)
			if !ok {
				continue
			}
			since, known := before[wait.Step]
			if !known {
				since = now
			}
			w.since[wait.Step] = since
			wait.For = now.Sub(since)
			waits = append(waits, wait)
		}
	}
	slices.SortFunc(waits, func(x, y Wait) int { return cmp.Compare(y.For, x.For) })
	return waits
}

// teamUse returns what the runs of each team use, and the sum.
func (w *WaitWatch) teamUse(v standin.View) (used map[cawork.TeamName]cawork.Resources, total cawork.Resources) {
	used = make(map[cawork.TeamName]cawork.Resources)
	for id, size := range v.Used {
		team := w.TeamOf(id)
		used[team] = used[team].Plus(size)
		total = total.Plus(size)
	}
	return used, total
}

// use returns what the runs use, and the teams that use over half of their limit.
func (w *WaitWatch) use(v standin.View) (cawork.Resources, map[cawork.TeamName]bool) {
	used, total := w.teamUse(v)
	busy := make(map[cawork.TeamName]bool)
	for _, t := range w.Workload.Teams {
		busy[t.Name] = exceedsShare(used[t.Name], w.Workload.LimitOf(t))
	}
	return total, busy
}

// exceedsShare reports whether a dimension of the bound is in use by more than maxUsedShare. A
// zero dimension has no bound.
func exceedsShare(used, bound cawork.Resources) bool {
	return bound.CPU > 0 && float64(used.CPU) > maxUsedShare*float64(bound.CPU) ||
		bound.Memory > 0 && float64(used.Memory) > maxUsedShare*float64(bound.Memory)
}

func isRunning(v standin.View, j Job) bool {
	for i := range j.Spec.Steps {
		if v.Running[standin.StepName{Job: j.Spec.ID, Step: i}] > 0 {
			return true
		}
	}
	return false
}

// waitOf returns the wait of a step, if its turn has come and there is room for it.
func (w *WaitWatch) waitOf(v standin.View, j Job, i int) (Wait, bool) {
	s := j.Spec.Steps[i]
	left := leftOf(v, j, i)
	if !isTurn(v, j, i) {
		return Wait{}, false
	}
	needed := roomFactor
	if s.Gang {
		needed *= s.Tasks
	}
	places := w.places(v, j, i)
	return Wait{Step: standin.StepName{Job: j.Spec.ID, Step: i}, Job: j, Left: left, Places: places}, left > 0 && places >= needed
}
