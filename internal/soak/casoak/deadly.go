package casoak

import (
	"fmt"
	"math/rand"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caorder"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/platform/standin"
)

const (
	// seriesLength is the number of occurrences of a series, and seriesInterval the time
	// between two of them, which is shorter than a run.
	seriesLength   = 4
	seriesInterval = runTime / 2
	// longRunTime is how long a long-running task runs if it is left alone.
	longRunTime = time.Hour
)

// deadlyTask is a task that crashes each upstream that starts it.
type deadlyTask struct {
	crash       standin.Crash
	step, index int
}

// submitDeadly submits a job of which one task crashes each upstream that starts it:
// before it answers, at once, or some time later. Upstreams of odd targets return under
// another ID.
func (c *loadGenerator) submitDeadly(f Fault) {
	crash := standin.Crash{DownFor: f.For, NewID: f.Target%2 == 1}
	switch f.Way {
	case 1:
		crash.BeforeAnswer = true
	case 2:
	default:
		crash.After = runTime
	}
	s := faultSubmission(f)
	task := deadlyTask{crash: crash, step: len(s.Steps) - 1}
	c.mu.Lock()
	c.deadly[s.ID] = task
	c.mu.Unlock()
	c.submitFault(f, s)
}

// submitFault submits the job of a fault, which is not canceled.
func (c *loadGenerator) submitFault(f Fault, s caspec.Submission) {
	random := rand.New(rand.NewSource(f.At.Milliseconds()))
	c.faultSubmissions.Go(func() { c.submit(s, 0, random) })
}

// faultSubmission returns the job of a fault. Its time selects the kind of work.
func faultSubmission(f Fault) caspec.Submission {
	id := cawork.JobID(fmt.Sprintf("%x%015x", int(f.Kind), f.At.Milliseconds()))
	pair := plainStep(2)
	if f.Kind == FaultDeadlyJob {
		return caspec.Submission{ID: id, Steps: []caspec.Step{pair}}
	}
	series := caspec.Schedule{Occurrences: seriesLength, StartMS: time.Now().UnixMilli(), Interval: seriesInterval}
	if f.Kind == FaultSeries {
		return caspec.Submission{ID: id, Steps: []caspec.Step{pair}, Schedule: series}
	}
	gang, lasting, later := plainStep(3), plainStep(2), plainStep(3)
	gang.Gang, lasting.LongRunning, later.After = true, true, []int{0}
	works := []caspec.Submission{
		{Steps: []caspec.Step{plainStep(1)}},
		{Steps: []caspec.Step{gang}},
		{Steps: []caspec.Step{pair, later}},
		{Steps: []caspec.Step{lasting}},
		{Steps: []caspec.Step{pair}, Schedule: series},
	}
	s := works[int(f.At.Milliseconds())%len(works)]
	s.ID = id
	return s
}

func plainStep(tasks int) caspec.Step {
	return caspec.Step{Tasks: tasks, CPU: taskSize.CPU, Memory: taskSize.Memory, Estimate: runTime}
}

// crashOf returns how a run crashes its upstream, if it does.
func (c *loadGenerator) crashOf(id caorder.RunID) (standin.Crash, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	task, ok := c.deadly[id.Job]
	return task.crash, ok && id.Step == task.step && id.Index == task.index
}

func (c *loadGenerator) isDeadly(id cawork.JobID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, deadly := c.deadly[id]
	return deadly
}

func (c *loadGenerator) addSteps(id cawork.JobID, steps []caspec.Step) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.steps[id] = steps
}

// stepOf returns the step of a run.
func (c *loadGenerator) stepOf(id caorder.RunID) caspec.Step {
	c.mu.Lock()
	defer c.mu.Unlock()
	steps := c.steps[id.Job]
	if id.Step >= len(steps) {
		return caspec.Step{}
	}
	return steps[id.Step]
}

// gangSize returns the number of members of the gang of a run, or zero.
func (c *loadGenerator) gangSize(id caorder.RunID) int {
	if step := c.stepOf(id); step.Gang {
		return step.Tasks
	}
	return 0
}

// runTimeOf returns how long a run takes and whether it fails.
func (c *loadGenerator) runTimeOf(id caorder.RunID) (time.Duration, bool) {
	if c.stepOf(id).LongRunning {
		return longRunTime, false
	}
	return runTime, (len(id.Job)+id.Number*7+id.Index*13+int(id.Job[len(id.Job)-1])*31)%100 < failedRunPercent
}
