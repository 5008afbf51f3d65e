// Package caledger keeps the jobs of a shard and all open tasks: which are
// queued, which run where, and what becomes of them when an attempt ends.
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

// Stopping tells whether a task was asked to end.
type Stopping int

// The stages of a stop.
const (
	StoppingNot Stopping = iota
	StoppingCheckpoint
	StoppingStop
)

// Task is an open task: an attempt is placed, runs or is not settled. What a
// search for tasks to preempt reads comes first, within a cache line.
type Task struct {
	// Job is nil for a foreign task.
	Job      *Job
	Account  *cashare.Team
	Placed   time.Time
	Kind     cawork.WorkKind
	Stopping Stopping
	// Urgent is that of the job, unset for a foreign task.
	Urgent bool
	Ref    cawork.TaskRef
	Team   cawork.TeamName
	Host   caplace.HostIndex

	Upstream cawork.UpstreamID
	Demand   caplace.Demand
	// Attempts counts the attempts with this one, but for those of NotRun, which
	// are proved not to have run.
	Attempts int
	NotRun   int
	// End is when the task is expected to end, zero when never.
	End  time.Time
	Peak cawork.Resources
	// Throttled is when the task was throttled, zero when it was not.
	Throttled time.Time
	StopAsked time.Time
	// Overran is set when the task was stopped because it used more than it
	// declared, which costs it an attempt.
	Overran bool

	inJob, onHost, inAll, inTeam int
}

// OfOwnGang reports whether the task is of a gang that is known here.
func (t *Task) OfOwnGang() bool { return t.Kind == cawork.WorkKindGang && t.Job != nil }

// Placement returns the task as part of a decision.
func (t *Task) Placement() casched.Placement {
	return casched.Placement{Task: t.Ref, Upstream: t.Upstream, Size: t.Demand.Size}
}

// waiting is a queued task that is not a fresh one.
type waiting struct {
	index    int
	attempts int
	notRun   int
}

// Job is a job with its tasks. Queued tasks that were never touched are only
// counted, so that a job takes memory for its open tasks alone.
type Job struct {
	cawork.Job
	// Open lists the open tasks.
	Open []*Task
	// Entry is the place in the queue, nil when there is none.
	Entry *caqueue.Entry[*Job]
	// Ending is set when no task may start any more.
	Ending bool
	// Floor is the size that tasks of the job were seen to need.
	Floor cawork.Resources
	// FailedOn lists upstreams at which tasks failed, the first few.
	FailedOn []cawork.UpstreamID
	// ReservedAt is when the reservation of the job began, zero when none.
	ReservedAt time.Time
	// NextReserve is when the job may reserve again.
	NextReserve time.Time
	// Demand and RunTime are what a task is taken to need, as of Version.
	Demand  caplace.Demand
	RunTime time.Duration
	Version uint64
	// Record holds what was observed of the team and kind.
	Record *caestimate.Record

	fresh  int
	again  []waiting
	ended  int
	counts casched.OutcomeCounts
}

// Queued returns the number of queued tasks.
func (j *Job) Queued() int { return j.Spec.Tasks - j.fresh + len(j.again) }

// Gang reports whether the tasks must start together.
func (j *Job) Gang() bool { return j.Spec.Kind == cawork.WorkKindGang }

// Untouched reports whether no task has ever been placed.
func (j *Job) Untouched() bool { return j.fresh == 0 && len(j.again) == 0 }

// Startable reports whether tasks of the job may start now.
func (j *Job) Startable() bool {
	return !j.Ending && j.Queued() > 0 && (!j.Gang() || len(j.Open) == 0)
}

// Width returns the number of tasks that start together.
func (j *Job) Width() int {
	if j.Gang() {
		return j.Queued()
	}
	return 1
}

// Peek returns the next n queued tasks.
func (j *Job) Peek(n int) []cawork.TaskRef {
	out := make([]cawork.TaskRef, 0, n)
	for i := len(j.again) - 1; i >= 0 && len(out) < n; i-- {
		out = append(out, cawork.TaskRef{Job: j.ID, Index: j.again[i].index})
	}
	for i := j.fresh; i < j.Spec.Tasks && len(out) < n; i++ {
		out = append(out, cawork.TaskRef{Job: j.ID, Index: i})
	}
	return out
}

// next takes the next queued task.
func (j *Job) next() waiting {
	if n := len(j.again); n > 0 {
		w := j.again[n-1]
		j.again = j.again[:n-1]
		return w
	}
	j.fresh++
	return waiting{index: j.fresh - 1}
}

// take takes a certain queued task, and reports whether it was queued.
func (j *Job) take(index int) (waiting, bool) {
	if index < 0 || index >= j.Spec.Tasks {
		return waiting{}, false
	}
	for j.fresh <= index {
		j.again = append(j.again, waiting{index: j.fresh})
		j.fresh++
	}
	for i, w := range j.again {
		if w.index == index {
			j.again[i] = j.again[len(j.again)-1]
			j.again = j.again[:len(j.again)-1]
			return w, true
		}
	}
	return waiting{}, false
}

// IsQueued reports whether the task is queued.
func (j *Job) IsQueued(index int) bool {
	if index >= j.fresh {
		return index < j.Spec.Tasks
	}
	for _, w := range j.again {
		if w.index == index {
			return true
		}
	}
	return false
}

// DropQueued ends all queued tasks with the outcome and returns their number.
func (j *Job) DropQueued(o cawork.Outcome) int {
	n := j.Queued()
	j.fresh, j.again = j.Spec.Tasks, nil
	j.ended += n
	j.counts[o] += n
	return n
}

// Over reports whether all tasks have ended, with the outcome of the job.
func (j *Job) Over() (cawork.Outcome, bool) {
	if j.ended < j.Spec.Tasks {
		return cawork.OutcomePending, false
	}
	return j.counts.Job(), true
}

// NoteFailure notes that a task failed on the upstream and returns the number
// of other upstreams at which the job failed before.
func (j *Job) NoteFailure(id cawork.UpstreamID) int {
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

// maxFailedOn is how many upstreams are remembered for a job.
const maxFailedOn = 4
