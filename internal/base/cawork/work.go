// Package cawork holds the vocabulary of work: teams, jobs, tasks, attempts
// and their outcomes. All values are immutable; With methods return copies.
package cawork

import (
	"fmt"
	"time"
)

//go:generate go tool enumer -type=WorkKind -trimprefix=WorkKind -transform=snake -text -output=workkind_names.go
//go:generate go tool enumer -type=Outcome -trimprefix=Outcome -transform=snake -text -output=outcome_names.go
//go:generate go tool enumer -type=Placement -trimprefix=Placement -transform=snake -text -output=placement_names.go
//go:generate go tool enumer -type=TaskState -trimprefix=TaskState -transform=snake -text -output=taskstate_names.go

// TeamName names a team, the unit that owns keys, shares and upper limits.
type TeamName string

// ZoneName names an availability zone.
type ZoneName string

// RackName names a rack within an availability zone.
type RackName string

// VMID identifies a VM.
type VMID string

// UpstreamID identifies an upstream (worker).
type UpstreamID string

// JobID identifies an accepted job. It is unique over all zones and times.
type JobID string

// AttemptID identifies one attempt to run a task or a request. It is never
// used twice.
type AttemptID string

// ShardID identifies a shard of accepted jobs: the jobs that one entry
// accepted, replicated to a backup.
type ShardID string

// WorkKind tells how a piece of work is scheduled.
type WorkKind int

// The kinds of work.
const (
	// WorkKindLookup is a request whose caller waits for the answer.
	WorkKindLookup WorkKind = iota
	// WorkKindBatch is a job of independent tasks that end by themselves.
	WorkKindBatch
	// WorkKindService is a job whose tasks run until stopped.
	WorkKindService
	// WorkKindGang is a job that needs all its tasks to start together.
	WorkKindGang
)

// Outcome is the final outcome of a job, a task or a request.
type Outcome int

// The outcomes.
const (
	// OutcomePending means that no final outcome is known yet.
	OutcomePending Outcome = iota
	// OutcomeDone means that the work ran to its end.
	OutcomeDone
	// OutcomeFailed means that the work ran and failed.
	OutcomeFailed
	// OutcomeNotRun means that the work is proved not to have run.
	OutcomeNotRun
	// OutcomeUnknown means that it cannot be told whether the work ran.
	OutcomeUnknown
	// OutcomeCanceled means that the caller canceled the work.
	OutcomeCanceled
)

// TaskState is the state of a task attempt on an upstream.
type TaskState int

// The states of a task attempt.
const (
	// TaskStateAbsent means that the upstream has never started the attempt.
	TaskStateAbsent TaskState = iota
	// TaskStateRunning means that the attempt runs.
	TaskStateRunning
	// TaskStateDone means that the attempt ended well.
	TaskStateDone
	// TaskStateFailed means that the attempt ended with an error.
	TaskStateFailed
	// TaskStateStopped means that the attempt was stopped on request.
	TaskStateStopped
	// TaskStateCheckpointed means that the attempt was stopped after it saved
	// its progress.
	TaskStateCheckpointed
	// TaskStateLapsed means that the attempt was stopped because its lease
	// ended.
	TaskStateLapsed
	// TaskStateFenced means that the attempt never started and never will.
	TaskStateFenced
)

// Ended reports whether the attempt is over: it does not run and never will.
func (s TaskState) Ended() bool {
	return s != TaskStateAbsent && s != TaskStateRunning
}

// Constraints narrow where a task may run. Empty fields do not constrain.
type Constraints struct {
	Zone            ZoneName `json:"zone,omitempty"`
	Rack            RackName `json:"rack,omitempty"`
	AcceleratorKind string   `json:"accelerator_kind,omitempty"`
}

// JobSpec is what a caller submits. Size and RunTime are declarations and may
// be far from the truth.
type JobSpec struct {
	Kind        WorkKind
	Tasks       int
	Size        Resources
	RunTime     time.Duration
	Deadline    time.Duration
	Urgent      bool
	Idempotent  bool
	MaxAttempts int
	Constraints Constraints
	Payload     []byte
	// Queue is the queue open to all by which the job came without a key.
	Queue string
}

// Job is an accepted job.
type Job struct {
	ID       JobID
	Team     TeamName
	Spec     JobSpec
	Accepted time.Time
}

// TaskRef names one task of a job.
type TaskRef struct {
	Job   JobID
	Index int
}

// String returns the job and the index, for example "j1/0".
func (r TaskRef) String() string { return fmt.Sprintf("%s/%d", r.Job, r.Index) }

// Placement tells how upstreams are chosen for a kind of work among those that
// have room.
type Placement int

// The ways of placement.
const (
	// PlacementPack fills up upstreams before it uses others, which keeps large
	// holes whole.
	PlacementPack Placement = iota
	// PlacementSpread spreads work over racks and upstreams.
	PlacementSpread
)
