package cajob

import (
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// refusalsPerAttempt is how many starts may be refused for each attempt that a
// task has, before it is given up.
const refusalsPerAttempt = 10

// Task is the history of one task: how often it was attempted and how far the
// attempts got.
type Task struct {
	// Open is the attempt that may run now, empty when there is none.
	Open     cawork.AttemptID
	Attempts int
	// Refused counts the starts that are proved not to have run.
	Refused int
	// Ran reports that an upstream told that some attempt ran.
	Ran bool
	// MayHaveRun reports that some attempt ran, or may have run, and did not
	// save its progress, so that another attempt would double work.
	MayHaveRun bool
	// Outcome is the final outcome, OutcomePending when there is none yet.
	Outcome cawork.Outcome
	Result  []byte
}

// Attempt is an open attempt: intended and not settled.
type Attempt struct {
	ID       cawork.AttemptID
	Task     cawork.TaskRef
	Team     cawork.TeamName
	Upstream cawork.UpstreamID
	Charge   cawork.Resources
	View     int64
	Intended time.Time
}

// Job is an accepted job with its tasks.
type Job struct {
	Job      cawork.Job
	Key      string
	Digest   uint64
	Tasks    []Task
	Canceled bool
	Outcome  cawork.Outcome
	Result   []byte
	Ended    time.Time
	// HandedTo is the shard that the job was given to. The job stays readable
	// here like an ended one, so that callers can be sent there.
	HandedTo       cawork.ShardID
	HandoverNumber int64
	HandoverAcked  bool
}

// clone returns a copy that later records do not change.
func (j *Job) clone() Job {
	c := *j
	c.Tasks = slices.Clone(j.Tasks)
	return c
}

// maxAttempts returns how often each task of the job may be attempted.
func (j *Job) maxAttempts() int { return max(j.Job.Spec.MaxAttempts, 1) }

// IsOpen reports whether the job still belongs to the shard and has no final
// outcome.
func (j *Job) IsOpen() bool {
	return j.Outcome == cawork.OutcomePending && j.HandedTo == ""
}

// HasOpenAttempt reports whether any task has an attempt that may run.
func (j *Job) HasOpenAttempt() bool {
	for i := range j.Tasks {
		if j.Tasks[i].Open != "" {
			return true
		}
	}
	return false
}

// NeedsStart reports whether the task may get a new attempt.
func (j *Job) NeedsStart(index int) bool {
	t := &j.Tasks[index]
	return j.IsOpen() && !j.Canceled && t.Open == "" && t.Outcome == cawork.OutcomePending
}

// settle folds the end of an attempt into the task.
func (t *Task) settle(s AttemptSettled, spec cawork.JobSpec, limit int) {
	t.Open = ""
	started := s.State != cawork.TaskStateFenced
	saved := s.State == cawork.TaskStateCheckpointed
	t.Ran = t.Ran || started && s.Observed
	t.MayHaveRun = t.MayHaveRun || started && !saved
	switch {
	case saved:
		// The next attempt goes on where this one stopped, so that it neither
		// doubles the work nor counts against the bound.
		t.Attempts--
	case !started:
		t.Attempts--
		t.Refused++
	}
	if s.State == cawork.TaskStateDone {
		t.Outcome = cawork.OutcomeDone
		t.Result = s.Result
		return
	}
	if t.mayRepeat(spec) && t.Attempts < limit && t.Refused < limit*refusalsPerAttempt {
		return
	}
	t.Outcome = t.endedBadly()
}

// mayRepeat reports whether another attempt cannot double the work.
func (t *Task) mayRepeat(spec cawork.JobSpec) bool { return spec.Idempotent || !t.MayHaveRun }

// endedBadly returns the outcome of a task that gets no further attempt.
func (t *Task) endedBadly() cawork.Outcome {
	switch {
	case t.Ran:
		return cawork.OutcomeFailed
	case t.MayHaveRun:
		return cawork.OutcomeUnknown
	default:
		return cawork.OutcomeNotRun
	}
}
