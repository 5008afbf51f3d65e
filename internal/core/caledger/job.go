// Package caledger keeps the jobs of a shard and all open tasks. It tracks which
// tasks are queued and where the others run, and requeues or ends a task when
// its attempt ends.
package caledger

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/caestimate"
	"celeryarch.example/celeryarch/internal/core/caplace"
	"celeryarch.example/celeryarch/internal/core/caqueue"
	"celeryarch.example/celeryarch/internal/core/casched"
	"celeryarch.example/celeryarch/internal/core/cashare"
)

// StopStage is how a task was last asked to end, if at all.
type StopStage int

// The stages of a stop.
const (
	StopStageNone StopStage = iota
	StopStageCheckpoint
	StopStageStop
)

// Task is an open task: an attempt is placed or runs, or its end has not been
// processed. The fields that a search for tasks to preempt reads come first,
// within one cache line.
type Task struct {
	// Job is nil for a foreign task.
	Job       *Job
	Account   *cashare.Team
	PlacedAt  time.Time
	Kind      cawork.WorkKind
	StopStage StopStage
	// Urgent is copied from the job. It is unset for a foreign task.
	Urgent bool
	Ref    cawork.TaskRef
	Team   cawork.TeamName
	Host   caplace.HostIndex

	Upstream cawork.UpstreamID
	Demand   caplace.Demand
	// Attempts counts the attempts including this one. FailedStarts counts the starts
	// that are proved not to have run, which Attempts excludes.
	Attempts     int
	FailedStarts int
	// ExpectedEnd is when the task is expected to end, zero when no end is expected.
	ExpectedEnd time.Time
	PeakUsage   cawork.Resources
	// ThrottledAt is when the task was throttled, zero when it is not throttled.
	ThrottledAt     time.Time
	StopRequestedAt time.Time
	// Overran is set when the task is ended because it uses more than it declared.
	// This counts as an attempt.
	Overran bool

	jobPos, hostPos, allPos, teamPos int
}

// InOwnGang reports whether the task belongs to a gang of this shard.
func (t *Task) InOwnGang() bool { return t.Kind == cawork.WorkKindGang && t.Job != nil }

// Placement returns the task as part of a decision.
func (t *Task) Placement() casched.Placement {
	return casched.Placement{Task: t.Ref, Upstream: t.Upstream, Size: t.Demand.Size}
}

// queuedTask is a queued task with its counts of previous attempts and starts.
type queuedTask struct {
	index    int
	attempts int
	notRun   int
}

// Job is a job with its tasks. Queued tasks with an index of at least
// nextUntouched have never been placed and take no memory of their own; tracked
// lists the other queued tasks.
type Job struct {
	cawork.Job
	// OpenTasks lists the open tasks.
	OpenTasks []*Task
	// QueueEntry is the entry in the queue, nil when the job is not in the queue.
	QueueEntry *caqueue.Entry[*Job]
	// Ending is set when no further task may start.
	Ending bool
	// SizeFloor is the size that throttled tasks of the job were observed to need. It
	// is a lower bound of Demand.
	SizeFloor cawork.Resources
	// FailedOn lists the first maxFailedOn upstreams on which tasks failed.
	FailedOn []cawork.UpstreamID
	// ReservedAt is when the reservation for the job began, zero without one.
	ReservedAt time.Time
	// NextReserveAt is the earliest time of the next reservation for the job.
	NextReserveAt time.Time
	// Demand and RunTime are the estimated need of a task. EstimateVersion identifies the
	// policy and the observations that they were computed from.
	Demand          caplace.Demand
	RunTime         time.Duration
	EstimateVersion uint64
	// Record holds the observations for the team and kind of work.
	Record *caestimate.Record

	nextUntouched int
	tracked       []queuedTask
	ended         int
	outcomes      casched.OutcomeCounts
}

// Queued returns the number of queued tasks.
func (j *Job) Queued() int { return j.Spec.Tasks - j.nextUntouched + len(j.tracked) }

// IsGang reports whether the job is a gang, whose tasks must start together.
func (j *Job) IsGang() bool { return j.Spec.Kind == cawork.WorkKindGang }

// Untouched reports whether no task has ever been placed.
func (j *Job) Untouched() bool { return j.nextUntouched == 0 && len(j.tracked) == 0 }

// Startable reports whether tasks of the job may start now.
func (j *Job) Startable() bool {
	return !j.Ending && j.Queued() > 0 && (!j.IsGang() || len(j.OpenTasks) == 0)
}

// TasksPerStart returns the number of tasks that start together.
func (j *Job) TasksPerStart() int {
	if j.IsGang() {
		return j.Queued()
	}
	return 1
}

// Peek returns the next n queued tasks without dequeuing them.
func (j *Job) Peek(n int) []cawork.TaskRef {
	out := make([]cawork.TaskRef, 0, n)
	for i := len(j.tracked) - 1; i >= 0 && len(out) < n; i-- {
		out = append(out, cawork.TaskRef{Job: j.ID, Index: j.tracked[i].index})
	}
	for i := j.nextUntouched; i < j.Spec.Tasks && len(out) < n; i++ {
		out = append(out, cawork.TaskRef{Job: j.ID, Index: i})
	}
	return out
}

// dequeue removes and returns the next queued task.
func (j *Job) dequeue() queuedTask {
	if n := len(j.tracked); n > 0 {
		q := j.tracked[n-1]
		j.tracked = j.tracked[:n-1]
		return q
	}
	j.nextUntouched++
	return queuedTask{index: j.nextUntouched - 1}
}

// dequeueIndex removes and returns the queued task with the index, and reports
// whether it was queued.
func (j *Job) dequeueIndex(index int) (queuedTask, bool) {
	if index < 0 || index >= j.Spec.Tasks {
		return queuedTask{}, false
	}
	for j.nextUntouched <= index {
		j.tracked = append(j.tracked, queuedTask{index: j.nextUntouched})
		j.nextUntouched++
	}
	for i, q := range j.tracked {
		if q.index == index {
			j.tracked[i] = j.tracked[len(j.tracked)-1]
			j.tracked = j.tracked[:len(j.tracked)-1]
			return q, true
		}
	}
	return queuedTask{}, false
}

// IsQueued reports whether the task with the index is queued.
func (j *Job) IsQueued(index int) bool {
	if index >= j.nextUntouched {
		return index < j.Spec.Tasks
	}
	for _, q := range j.tracked {
		if q.index == index {
			return true
		}
	}
	return false
}

// DropQueued ends all queued tasks with the outcome and returns their number.
func (j *Job) DropQueued(o cawork.Outcome) int {
	n := j.Queued()
	j.nextUntouched, j.tracked = j.Spec.Tasks, nil
	j.ended += n
	j.outcomes[o] += n
	return n
}

// Finished returns the outcome of the job, and whether all its tasks have ended.
func (j *Job) Finished() (cawork.Outcome, bool) {
	if j.ended < j.Spec.Tasks {
		return cawork.OutcomePending, false
	}
	return j.outcomes.JobOutcome(), true
}

// RecordFailure records that a task failed on the upstream, and returns on how many
// other recorded upstreams the job failed before.
func (j *Job) RecordFailure(id cawork.UpstreamID) int {
	for i, o := range j.FailedOn {
		if o == id {
			return i
		}
	}
	if len(j.FailedOn) < maxFailedOn {
		j.FailedOn = append(j.FailedOn, id)
	}
	return len(j.FailedOn) - 1
}

// maxFailedOn is the maximum number of upstreams in Job.FailedOn.
const maxFailedOn = 4
