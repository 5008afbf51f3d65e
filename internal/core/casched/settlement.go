package casched

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

//go:generate go tool enumer -type=TaskPhase -trimprefix=TaskPhase -transform=snake -text -output=taskphase_names.go

// TaskPhase is the phase of a task in the scheduling core.
type TaskPhase int

// The phases.
const (
	TaskPhaseQueued TaskPhase = iota
	// TaskPhaseOpen means that an attempt is placed or runs, or that its end has
	// not been processed.
	TaskPhaseOpen
	TaskPhaseEnded
)

// RestoredTask is the recorded state of a task of a restored job.
type RestoredTask struct {
	Index    int
	Phase    TaskPhase
	Outcome  cawork.Outcome
	Upstream cawork.UpstreamID
	Size     cawork.Resources
	// Attempts counts the attempts that ran, including an open one.
	Attempts int
}

// RestoredJob is a job of a shard that was taken over. Tasks that are not
// listed are queued.
type RestoredJob struct {
	Job   cawork.Job
	Tasks []RestoredTask
}

// Cancellation is the result of canceling a job.
type Cancellation struct {
	// NotRun counts the queued tasks that were dropped and never start.
	NotRun int
	// Running lists the placements to stop.
	Running []Placement
	// Ended reports whether all tasks of the job have ended.
	Ended bool
}

// AttemptEnd describes the end of an attempt of a task.
type AttemptEnd struct {
	Task    cawork.TaskRef
	State   cawork.TaskState
	Used    cawork.Resources
	Elapsed time.Duration
}

// AttemptResult is the effect of the end of an attempt on the task and its job.
type AttemptResult struct {
	// WasOpen reports whether the task was open in the scheduler.
	WasOpen bool
	// Own reports whether the task belongs to the own shard.
	Own bool
	// Requeued reports whether the task will get another attempt.
	Requeued bool
	// Outcome is the final outcome of the task, or pending when it is requeued.
	Outcome cawork.Outcome
	// JobEnded reports whether all tasks of the job have ended, with JobOutcome.
	JobEnded   bool
	JobOutcome cawork.Outcome
}

// AttemptOutcome returns the outcome of an attempt that ended in the state, and whether
// the task may be tried again. Work that is not idempotent may be tried again
// only if the attempt never ran or saved its progress.
func AttemptOutcome(spec cawork.JobSpec, s cawork.TaskState) (cawork.Outcome, bool) {
	switch s {
	case cawork.TaskStateDone:
		return cawork.OutcomeDone, false
	case cawork.TaskStateAbsent, cawork.TaskStateFenced:
		return cawork.OutcomeNotRun, true
	case cawork.TaskStateCheckpointed:
		return cawork.OutcomeFailed, true
	case cawork.TaskStateLapsed:
		return cawork.OutcomeUnknown, spec.Idempotent
	default:
		return cawork.OutcomeFailed, spec.Idempotent
	}
}
