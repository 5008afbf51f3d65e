package casched

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

//go:generate go tool enumer -type=TaskPhase -trimprefix=TaskPhase -transform=snake -text -output=taskphase_names.go

// TaskPhase is the phase of a task as the core sees it.
type TaskPhase int

// The phases.
const (
	TaskPhaseQueued TaskPhase = iota
	// TaskPhaseOpen means that an attempt is placed, runs or is not settled.
	TaskPhaseOpen
	TaskPhaseEnded
)

// RestoredTask is what is known of a task of a restored job.
type RestoredTask struct {
	Index    int
	Phase    TaskPhase
	Outcome  cawork.Outcome
	Upstream cawork.UpstreamID
	Size     cawork.Resources
	// Attempts counts the attempts that ran, with an open one.
	Attempts int
}

// RestoredJob is a job of a shard that was taken over. Tasks that are not
// listed are queued.
type RestoredJob struct {
	Job   cawork.Job
	Tasks []RestoredTask
}

// Cancellation is the effect of a cancellation.
type Cancellation struct {
	// NotRun counts the queued tasks that never start.
	NotRun int
	// Running lists the placements to stop.
	Running []Placement
	// Ended reports whether the job is over.
	Ended bool
}

// End tells that an attempt of a task is over.
type End struct {
	Task    cawork.TaskRef
	State   cawork.TaskState
	Used    cawork.Resources
	Elapsed time.Duration
}

// Settlement is what follows from the end of an attempt.
type Settlement struct {
	// Known is false for a task that the core did not know as open.
	Known bool
	// Own reports whether the task is of the own shard.
	Own bool
	// Requeued reports whether the task will get another attempt.
	Requeued bool
	// Outcome is the final outcome of the task, pending when requeued.
	Outcome cawork.Outcome
	// JobEnded reports whether all tasks of the job are over, with JobOutcome.
	JobEnded   bool
	JobOutcome cawork.Outcome
}

// Settle returns the outcome of an attempt that ended in the state, and whether the task may be
// tried again: work that is not idempotent only when it never ran or saved its
// progress.
func Settle(spec cawork.JobSpec, s cawork.TaskState) (cawork.Outcome, bool) {
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
