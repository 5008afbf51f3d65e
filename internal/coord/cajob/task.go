package cajob

import (
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// maxRefusalsPerAttempt bounds the refused starts of a task, as a multiple of its
// maximum number of attempts.
const maxRefusalsPerAttempt = 10

// Task is the state of one task, derived from its attempts so far.
type Task struct {
	// Open is the open attempt, which may be running. It is empty if there is
	// none.
	Open cawork.AttemptID
	// Attempts counts the attempts, without those that were refused or saved a
	// checkpoint.
	Attempts int
	// Refused counts the attempts that provably never started.
	Refused int
	// Ran is true if an upstream reported that some attempt ran.
	Ran bool
	// MayHaveRun is true if some attempt ran, or may have run, and saved no
	// checkpoint, so that another attempt would repeat work.
	MayHaveRun bool
	// Outcome is the final outcome, or OutcomePending if there is none yet.
	Outcome cawork.Outcome
	Result  []byte
}

// Attempt is an open attempt, that is, one that was intended and not settled.
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
	// HandedTo is the shard to which the job was handed over. This shard retains
	// the job like an ended one, so that callers can be redirected.
	HandedTo       cawork.ShardID
	HandoverNumber int64
	HandoverAcked  bool
}

// clone returns a copy that is not affected by later records.
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

// NeedsStart reports whether the task waits for a new attempt.
func (j *Job) NeedsStart(index int) bool {
	t := &j.Tasks[index]
	return j.IsOpen() && !j.Canceled && t.Open == "" && t.Outcome == cawork.OutcomePending
}

// settle updates the task with the end of its open attempt.
func (t *Task) settle(s AttemptSettled, spec cawork.JobSpec, maxAttempts int) {
	t.Open = ""
	started := s.State != cawork.TaskStateFenced
	checkpointed := s.State == cawork.TaskStateCheckpointed
	t.Ran = t.Ran || started && s.Observed
	t.MayHaveRun = t.MayHaveRun || started && !checkpointed
	switch {
	case checkpointed:
		// The next attempt resumes from the checkpoint. It repeats no work, so it
		// does not count against the maximum number of attempts.
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
	if t.mayRetry(spec) && t.Attempts < maxAttempts && t.Refused < maxAttempts*maxRefusalsPerAttempt {
		return
	}
	t.Outcome = t.unsuccessfulOutcome()
}

// mayRetry reports whether another attempt is safe: either the job is idempotent,
// or no work would be repeated.
func (t *Task) mayRetry(spec cawork.JobSpec) bool { return spec.Idempotent || !t.MayHaveRun }

// unsuccessfulOutcome returns the outcome of a task that is not done and gets no
// further attempt.
func (t *Task) unsuccessfulOutcome() cawork.Outcome {
	switch {
	case t.Ran:
		return cawork.OutcomeFailed
	case t.MayHaveRun:
		return cawork.OutcomeUnknown
	default:
		return cawork.OutcomeNotRun
	}
}
