// Package cawork defines the types of work: teams, jobs, tasks, attempts and
// their outcomes. All values are immutable.
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

// JobID identifies an accepted job. It is unique across zones and is never
// reused.
type JobID string

// AttemptID identifies one attempt to run a task or a request. It is never
// used twice.
type AttemptID string

// ShardID identifies a shard of accepted jobs: the jobs that one entry
// accepted, replicated to a backup.
type ShardID string

// WorkKind determines how work is scheduled.
type WorkKind int

// The kinds of work.
const (
	// WorkKindLookup is a request whose caller waits for the answer.
	WorkKindLookup WorkKind = iota
	// WorkKindBatch is a job of independent tasks that run to completion.
	WorkKindBatch
	// WorkKindService is a job whose tasks run until stopped.
	WorkKindService
	// WorkKindGang is a job whose tasks must all start together.
	WorkKindGang
)

// Outcome is the final outcome of a job, a task or a request.
type Outcome int

// The outcomes.
const (
	// OutcomePending means that no final outcome is known yet.
	OutcomePending Outcome = iota
	// OutcomeDone means that the work ran to completion.
	OutcomeDone
	// OutcomeFailed means that the work ran and failed.
	OutcomeFailed
	// OutcomeNotRun means that the work certainly did not run.
	OutcomeNotRun
	// OutcomeUnknown means that the work may or may not have run.
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
	// TaskStateDone means that the attempt ended successfully.
	TaskStateDone
	// TaskStateFailed means that the attempt ended with an error.
	TaskStateFailed
	// TaskStateStopped means that the attempt was stopped on request.
	TaskStateStopped
	// TaskStateCheckpointed means that the attempt was stopped after it saved
	// its progress.
	TaskStateCheckpointed
	// TaskStateLapsed means that the attempt was stopped because its lease
	// expired.
	TaskStateLapsed
	// TaskStateFenced means that the attempt never started and is barred from
	// starting.
	TaskStateFenced
)

// Ended reports whether the state is final: the attempt is not running and will
// not run.
func (s TaskState) Ended() bool {
	return s != TaskStateAbsent && s != TaskStateRunning
}

// Constraints narrow where a task may run. Empty fields do not constrain.
type Constraints struct {
	Zone            ZoneName `json:"zone,omitempty"`
	Rack            RackName `json:"rack,omitempty"`
	AcceleratorKind string   `json:"accelerator_kind,omitempty"`
}

// JobSpec is a job as a caller submits it. Size and RunTime are declared by the
// caller and may differ widely from the actual values.
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
	// Queue is the open queue through which the job was submitted without a key.
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

// Placement determines how upstreams with enough free resources are chosen for a
// kind of work.
type Placement int

// The placement strategies.
const (
	// PlacementPack fills upstreams before it uses others, which keeps contiguous
	// free capacity for large tasks.
	PlacementPack Placement = iota
	// PlacementSpread spreads work over racks and upstreams.
	PlacementSpread
)
