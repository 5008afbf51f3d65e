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

// Peers carries calls to other entries. The handlers of the other side are the
// methods of Launcher whose names begin with Handle.
type Peers interface {
	Poll(ctx context.Context, to cawork.VMID, r PollRequest) (PollReply, error)
	Reserve(ctx context.Context, to cawork.VMID, r ReserveCall) (ReserveReply, error)
	ReleaseReservation(ctx context.Context, to cawork.VMID, r ReleaseCall) error
	StartReserved(ctx context.Context, to cawork.VMID, r StartReservedCall) (StartReservedReply, error)
	Act(ctx context.Context, to cawork.VMID, r ActCall) (caplatform.TaskStatus, error)
	Silence(ctx context.Context, to cawork.VMID, r SilenceCall) (SilenceReply, error)
	GetJob(ctx context.Context, to cawork.VMID, r GetJobCall) (JobView, error)
	SubmitJob(ctx context.Context, to cawork.VMID, r SubmitCall) (SubmitReply, error)
	CancelJob(ctx context.Context, to cawork.VMID, r CancelCall) error
	Handover(ctx context.Context, to cawork.VMID, h cajob.Handover) error
	FindKey(ctx context.Context, to cawork.VMID, r FindKeyCall) (FindKeyReply, error)
}

// PollRequest asks an owner for what changed of the shards of the sender. It
// also tells the owner that the sender still leads them.
type PollRequest struct {
	From   cawork.VMID
	Shards []ShardCursor
}

// ShardCursor is the position up to which a primary knows the attempts of a
// shard.
type ShardCursor struct {
	Shard  cawork.ShardID
	View   int64
	Cursor catask.Cursor
}

// PollReply answers a PollRequest.
type PollReply struct {
	Shards []ShardChanges
}

// ShardChanges lists what changed of a shard.
type ShardChanges struct {
	Shard   cawork.ShardID
	Changes catask.Changes
}

// ReserveCall asks an owner to keep room for tasks of a job. TTL is the time
// after which the owner frees it, from the receipt of the call on.
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

// StartReservedCall asks an owner to start attempts in the room it keeps. The
// owner fills in the epochs.
type StartReservedCall struct {
	ID     casched.ReservationID
	Starts []UpstreamStart
}

// UpstreamStart is a start at an upstream.
type UpstreamStart struct {
	Upstream cawork.UpstreamID
	Start    caplatform.Start
}

// StartReservedReply tells what became of each start, in the order of the
// call.
type StartReservedReply struct {
	Results []StartResult
}

// StartResult is the answer to one start. Kind is set when Failed is true.
type StartResult struct {
	Status caplatform.TaskStatus
	Failed bool
	Kind   cakind.Kind
}

// ActCall asks the owner of an upstream to act on an attempt. With Resolve it
// asks whether the attempt runs; one that has not started is fenced.
type ActCall struct {
	Upstream cawork.UpstreamID
	Attempt  cawork.AttemptID
	Task     cawork.TaskRef
	Mode     caplatform.StopMode
	Resolve  bool
}

// SilenceCall asks an entry of the zone for how long upstreams have not
// answered it.
type SilenceCall struct {
	Upstreams []cawork.UpstreamID
}

// SilenceReply holds a time for each upstream of the call, in its order. Zero
// means that the entry cannot tell.
type SilenceReply struct {
	Silences []time.Duration
}

// GetJobCall asks the leader of a shard for a job. A positive Wait asks it to
// wait for the end of the job.
type GetJobCall struct {
	Job  cawork.JobID
	Wait time.Duration
}

// SubmitCall hands a submission with an idempotency key to the entry that
// keeps the key.
type SubmitCall struct {
	Team cawork.TeamName
	Spec cawork.JobSpec
	Key  string
}

// SubmitReply names the accepted job.
type SubmitReply struct {
	Job cawork.JobID
}

// CancelCall asks the leader of a shard to cancel a job of the team.
type CancelCall struct {
	Team cawork.TeamName
	// Queue narrows the call to jobs that came by it, unless it is empty.
	Queue string
	Job   cawork.JobID
}

// FindKeyCall asks whether a submission with the key was accepted.
type FindKeyCall struct {
	Team cawork.TeamName
	Key  string
}

// FindKeyReply names the job of a key. Pending means that a submission with
// the key is under way at the answering entry.
type FindKeyReply struct {
	Job     cawork.JobID
	Digest  uint64
	Found   bool
	Pending bool
}

// JobView is the state of a job as its leader knows it.
type JobView struct {
	Job     cawork.JobID
	Team    cawork.TeamName
	Queue   string
	Kind    cawork.WorkKind
	Outcome cawork.Outcome
	// Reason tells why a job was given up, empty otherwise.
	Reason   string
	Canceled bool
	Accepted time.Time
	Tasks    []TaskView
	// Lacking tells that the shard of the job is led here and lacks the job,
	// BackedUp that it is backed up here. The state is unset then.
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
