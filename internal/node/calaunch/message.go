package calaunch

import (
	"context"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/cajob"
	"celeryarch.example/celeryarch/internal/core/casched"
	"celeryarch.example/celeryarch/internal/node/catask"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// Peers sends calls to other entries. The receiving side handles them in the
// methods of Launcher whose names begin with Handle.
type Peers interface {
	Poll(ctx context.Context, to cawork.VMID, r PollRequest) (PollReply, error)
	Reserve(ctx context.Context, to cawork.VMID, r ReserveCall) (ReserveReply, error)
	ReleaseReservation(ctx context.Context, to cawork.VMID, r ReleaseCall) error
	StartReserved(ctx context.Context, to cawork.VMID, r StartReservedCall) (StartReservedReply, error)
	Control(ctx context.Context, to cawork.VMID, r ControlCall) (caplatform.TaskStatus, error)
	Silence(ctx context.Context, to cawork.VMID, r SilenceCall) (SilenceReply, error)
	GetJob(ctx context.Context, to cawork.VMID, r GetJobCall) (JobView, error)
	SubmitJob(ctx context.Context, to cawork.VMID, r SubmitCall) (SubmitReply, error)
	CancelJob(ctx context.Context, to cawork.VMID, r CancelCall) error
	Handover(ctx context.Context, to cawork.VMID, h cajob.Handover) error
	FindKey(ctx context.Context, to cawork.VMID, r FindKeyCall) (FindKeyReply, error)
}

// PollRequest asks an owner for changes to the shards led by the sender. It
// also confirms to the owner that the sender still leads them.
type PollRequest struct {
	From   cawork.VMID
	Shards []ShardCursor
}

// ShardCursor is the position up to which a primary has received the changes of
// a shard.
type ShardCursor struct {
	Shard  cawork.ShardID
	View   int64
	Cursor catask.Cursor
}

// PollReply answers a PollRequest.
type PollReply struct {
	Shards []ShardChanges
	// Gained are the upstreams that the owner gained recently.
	Gained []GainedUpstream `cbor:",omitempty"`
}

// GainedUpstream is an upstream that its owner gained the given time ago.
type GainedUpstream struct {
	Upstream cawork.UpstreamID
	Ago      time.Duration
}

// ShardChanges lists the changes to the attempts of a shard.
type ShardChanges struct {
	Shard   cawork.ShardID
	Changes catask.Changes
}

// ReserveCall asks an owner to reserve capacity for tasks of a job. The
// reservation expires TTL after the owner receives the call.
type ReserveCall struct {
	Request casched.ReserveRequest
	TTL     time.Duration
}

// ReserveReply lists the upstream of each reserved task.
type ReserveReply struct {
	Upstreams []cawork.UpstreamID
}

// ReleaseCall frees a reservation.
type ReleaseCall struct {
	ID casched.ReservationID
}

// StartReservedCall asks an owner to start attempts in the capacity that it
// reserved. The owner fills in the epochs.
type StartReservedCall struct {
	ID     casched.ReservationID
	Starts []UpstreamStart
}

// UpstreamStart is a start with its upstream.
type UpstreamStart struct {
	Upstream cawork.UpstreamID
	Start    caplatform.Start
}

// StartReservedReply holds the result of each start, in the order of the call.
type StartReservedReply struct {
	Results []StartResult
}

// StartResult is the result of one start. Kind is set if Failed is true.
type StartResult struct {
	Status caplatform.TaskStatus
	Failed bool
	Kind   cakind.Kind
}

// ControlCall asks the owner of an upstream to stop, checkpoint or throttle an
// attempt. With Resolve set it asks for the state of the attempt, and an
// attempt that has not started is fenced.
type ControlCall struct {
	Upstream cawork.UpstreamID
	Attempt  cawork.AttemptID
	Task     cawork.TaskRef
	Mode     caplatform.StopMode
	Resolve  bool
	// Age is how long ago the attempt was recorded, at least, if Resolve is set. Zero means
	// that it is not known.
	Age time.Duration `cbor:",omitempty"`
}

// SilenceCall asks an entry of the zone how long upstreams have not answered
// it.
type SilenceCall struct {
	Upstreams []cawork.UpstreamID
}

// SilenceReply holds a duration for each upstream of the call, in the same
// order. Zero means unknown.
type SilenceReply struct {
	Silences []time.Duration
}

// GetJobCall asks the leader of a shard for a job. If Wait is positive, the
// leader waits up to that long for the job to end.
type GetJobCall struct {
	Job  cawork.JobID
	Wait time.Duration
}

// SubmitCall forwards a submission to another entry: to the one that
// coordinates its idempotency key, or to one of the zone in which the job has
// to run.
type SubmitCall struct {
	Team cawork.TeamName
	Spec cawork.JobSpec
	Key  string
}

// SubmitReply holds the id of the accepted job.
type SubmitReply struct {
	Job cawork.JobID
}

// CancelCall asks the leader of a shard to cancel a job of the team.
type CancelCall struct {
	Team cawork.TeamName
	// Queue, if not empty, restricts the call to jobs of that queue.
	Queue string
	Job   cawork.JobID
}

// FindKeyCall asks whether a submission with the key was accepted.
type FindKeyCall struct {
	Team cawork.TeamName
	Key  string
}

// FindKeyReply holds the job of a key. Pending means that the answering entry
// is processing a submission with the key.
type FindKeyReply struct {
	Job     cawork.JobID
	Digest  uint64
	Found   bool
	Pending bool
}

// JobView is the state of a job as recorded by its leader.
type JobView struct {
	Job     cawork.JobID
	Team    cawork.TeamName
	Queue   string
	Kind    cawork.WorkKind
	Outcome cawork.Outcome
	// Reason is why a job was given up, empty otherwise.
	Reason   string
	Canceled bool
	Accepted time.Time
	Tasks    []TaskView
	// Lacking means that the answering entry leads the shard of the job and
	// has no record of the job; BackedUp means that it is the backup of the
	// shard, or that it has handed the job over to another shard. In both cases
	// the other fields hold no state.
	Lacking  bool
	BackedUp bool
}

// isFound reports whether the view holds the state of a job.
func (v JobView) isFound() bool { return !v.Lacking && !v.BackedUp }

// TaskView is the state of a task of a job.
type TaskView struct {
	Outcome  cawork.Outcome
	Running  bool
	Attempts int
	Upstream cawork.UpstreamID
	Result   []byte
}
