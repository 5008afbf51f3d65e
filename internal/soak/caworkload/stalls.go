package caworkload

import (
	"fmt"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/platform/standin"
)

// Stall is a job that makes no progress although nothing keeps it from it.
type Stall struct {
	Job Job
	// For is how long the job has made no progress.
	For time.Duration
	// Cause describes what has not happened.
	Cause string
}

// String describes the stall for a report.
func (s Stall) String() string {
	return fmt.Sprintf("job %s of %s in %s: %s for %v", s.Job.Spec.ID, s.Job.Team.Name, s.Job.Queue.Name, s.Cause, s.For.Round(100*time.Millisecond))
}

// StallWatch finds jobs that have not ended although all their tasks have completed, and jobs with a
// step of which nothing runs although its turn has come and it has room, once over, within the limit of
// its team.
type StallWatch struct {
	Waits *WaitWatch

	since map[cawork.JobID]time.Time
}

// Observe returns the jobs that are stalled. The jobs are those that were accepted and have not ended.
func (w *StallWatch) Observe(now time.Time, v standin.View, jobs []Job) []Stall {
	before := w.since
	w.since = make(map[cawork.JobID]time.Time)
	var stalls []Stall
	for _, j := range jobs {
		cause := w.Waits.stallCause(v, j)
		if cause == "" {
			continue
		}
		since, known := before[j.Spec.ID]
		if !known {
			since = now
		}
		w.since[j.Spec.ID] = since
		stalls = append(stalls, Stall{Job: j, For: now.Sub(since), Cause: cause})
	}
	return stalls
}

// stallCause describes why a job is stalled, or returns an empty string.
func (w *WaitWatch) stallCause(v standin.View, j Job) string {
	isDone := true
	for i, s := range j.Spec.Steps {
		left := leftOf(v, j, i)
		isDone = isDone && left == 0
		isRunning := v.Running[standin.StepName{Job: j.Spec.ID, Step: i}] > 0
		if left > 0 && !isRunning && isTurn(v, j, i) && w.hasRoom(v, j, i) {
			return fmt.Sprintf("step %d with %d of %d tasks left, gang %v, cpu_milli %d, has room and nothing running", i, left, s.Tasks, s.Gang, s.CPU)
		}
	}
	if isDone {
		return "all tasks have completed, and it has not ended"
	}
	return ""
}

// NeverFits reports whether a step of a job has no room where nothing else runs.
func (w *WaitWatch) NeverFits(v standin.View, j Job) bool {
	idle := standin.View{Free: make(map[cawork.UpstreamID]cawork.Resources, len(v.Free)), Done: v.Done}
	for id := range v.Free {
		idle.Free[id] = w.Workload.Upstream.Resources()
	}
	for i := range j.Spec.Steps {
		if leftOf(v, j, i) > 0 && !w.hasRoom(idle, j, i) {
			return true
		}
	}
	return false
}

// hasRoom reports whether a task of a step, or all of a gang, fits on approved upstreams and within the
// limit of its team.
func (w *WaitWatch) hasRoom(v standin.View, j Job, i int) bool {
	s := j.Spec.Steps[i]
	needed := 1
	if s.Gang {
		needed = s.Tasks
	}
	used, _ := w.teamUse(v)
	return w.places(v, j, i) >= needed && w.isWithinLimit(used[j.Team.Name].Plus(s.Size().Times(int64(needed))), j.Team)
}

func (w *WaitWatch) isWithinLimit(used cawork.Resources, t Team) bool {
	limit := w.Workload.LimitOf(t)
	return (limit.CPU == 0 || used.CPU <= limit.CPU) && (limit.Memory == 0 || used.Memory <= limit.Memory)
}

// leftOf returns the number of tasks of a step that have not completed.
func leftOf(v standin.View, j Job, i int) int {
	return j.Spec.Steps[i].Tasks - v.Done[standin.StepName{Job: j.Spec.ID, Step: i}]
}

// isTurn reports whether all steps before a step have completed.
func isTurn(v standin.View, j Job, i int) bool {
	for _, before := range j.Spec.Steps[i].After {
		if leftOf(v, j, before) > 0 {
			return false
		}
	}
	return true
}

// places returns the room for tasks of a step on upstreams that the advisor approves.
func (w *WaitWatch) places(v standin.View, j Job, i int) int {
	n := 0
	for id, free := range v.Free {
		if w.Approves(standin.StepName{Job: j.Spec.ID, Step: i}, id) {
			n += placesAt(free, j.Spec.Steps[i])
		}
	}
	return n
}

// placesAt returns how many tasks of a step fit at an upstream with so much free room.
func placesAt(free cawork.Resources, s caspec.Step) int {
	n := min(int64(free.CPU)/int64(s.CPU), int64(free.Memory)/int64(s.Memory))
	if s.MaxPerUpstream > 0 {
		n = min(n, int64(s.MaxPerUpstream))
	}
	return int(max(n, 0))
}
