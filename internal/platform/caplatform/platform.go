// Package caplatform defines the interfaces to the services of the platform: the
// append-only log, the list of VMs and the agent of an upstream. The interfaces
// are narrow, so that support for another protocol takes one adapter.
// docs/PLATFORM.md lists the assumptions about each service.
package caplatform

import (
	"context"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

//go:generate go tool enumer -type=VMRole -trimprefix=VMRole -transform=snake -text -output=vmrole_names.go
//go:generate go tool enumer -type=VMState -trimprefix=VMState -transform=snake -text -output=vmstate_names.go
//go:generate go tool enumer -type=StopMode -trimprefix=StopMode -transform=snake -text -output=stopmode_names.go

// Offset is a position in a topic of the log.
type Offset int64

// Record is one record of a topic.
type Record struct {
	Offset  Offset `json:"offset"`
	Payload []byte `json:"payload"`
}

// Page is the result of a read. Earliest is the first retained offset of the
// topic, Next the offset of the next append.
type Page struct {
	Records  []Record `json:"records"`
	Earliest Offset   `json:"earliest"`
	Next     Offset   `json:"next"`
}

// Log is the append-only log service of the platform.
//
// Append atomically appends the payloads in order. After an error of KindUnknown
// the records may have been appended. Read returns at most max records from the
// offset on, or from Earliest on if the offset is lower.
type Log interface {
	Append(ctx context.Context, topic string, payloads [][]byte) (Offset, error)
	Read(ctx context.Context, topic string, from Offset, max int) (Page, error)
}

// VMRole is the role of a VM.
type VMRole int

// The roles of VMs.
const (
	VMRoleEntry VMRole = iota
	VMRoleUpstream
)

// VMState is the state of a VM in the list.
type VMState int

// The states of VMs.
const (
	VMStateLive VMState = iota
	VMStateLeaving
	// VMStateGone means that the VM has stopped for good.
	VMStateGone
)

// VM is a VM in the list of the platform. The fields from Capacity on are set
// for upstreams only.
type VM struct {
	ID              cawork.VMID      `json:"id"`
	Role            VMRole           `json:"role"`
	State           VMState          `json:"state"`
	Zone            cawork.ZoneName  `json:"zone"`
	Rack            cawork.RackName  `json:"rack"`
	Address         string           `json:"address"`
	Capacity        cawork.Resources `json:"capacity"`
	AcceleratorKind string           `json:"accelerator_kind,omitempty"`
	Slots           int              `json:"slots"`
	Connections     int              `json:"connections"`
}

// VMList is the eventually consistent list of VMs.
type VMList interface {
	List(ctx context.Context) ([]VM, error)
}

// Epoch counts the ownerships of an upstream. A start that carries an epoch
// below the current one is refused.
type Epoch int64

// Ownership is the state of the ownership lease at an upstream.
type Ownership struct {
	Holder    cawork.VMID   `json:"holder"`
	Epoch     Epoch         `json:"epoch"`
	Remaining time.Duration `json:"remaining_ns"`
}

// TaskStatus is the state of a task attempt on an upstream. Used is the reported
// usage, which lags behind the actual usage.
type TaskStatus struct {
	Attempt cawork.AttemptID `json:"attempt"`
	Task    cawork.TaskRef   `json:"task"`
	Shard   cawork.ShardID   `json:"shard"`
	Team    cawork.TeamName  `json:"team"`
	Kind    cawork.WorkKind  `json:"kind"`
	Size    cawork.Resources `json:"size"`
	Used    cawork.Resources `json:"used"`
	State   cawork.TaskState `json:"state"`
	Elapsed time.Duration    `json:"elapsed_ns"`
	Result  []byte           `json:"result,omitempty"`
}

// Claim asks for the ownership lease of an upstream. It succeeds when the
// lease is free, lapsed or already held by the holder.
type Claim struct {
	Holder cawork.VMID   `json:"holder"`
	TTL    time.Duration `json:"ttl_ns"`
}

// ClaimResult is the state of the lease after a claim. If the claim succeeded,
// Tasks lists every attempt that the upstream retains.
type ClaimResult struct {
	Granted   bool         `json:"granted"`
	Ownership Ownership    `json:"ownership"`
	Tasks     []TaskStatus `json:"tasks"`
	// FormerRequests is the number of requests in slots that were admitted
	// under former epochs. It never grows within an epoch.
	FormerRequests int `json:"former_requests,omitempty"`
}

// Heartbeat renews the ownership lease and the leases of all running tasks,
// and requests the changes after the sequence number Since.
type Heartbeat struct {
	Holder  cawork.VMID   `json:"holder"`
	Epoch   Epoch         `json:"epoch"`
	TTL     time.Duration `json:"ttl_ns"`
	TaskTTL time.Duration `json:"task_ttl_ns"`
	Since   int64         `json:"since"`
}

// HeartbeatResult lists the attempts that changed after the sequence number
// of the heartbeat, and the sequence number for the next heartbeat.
type HeartbeatResult struct {
	Ownership Ownership    `json:"ownership"`
	Changed   []TaskStatus `json:"changed"`
	Sequence  int64        `json:"sequence"`
	// FormerRequests is as in ClaimResult.
	FormerRequests int `json:"former_requests,omitempty"`
}

// Start asks an upstream to start a task attempt. It is idempotent by
// attempt.
type Start struct {
	Epoch   Epoch            `json:"epoch"`
	Shard   cawork.ShardID   `json:"shard"`
	View    int64            `json:"view"`
	Attempt cawork.AttemptID `json:"attempt"`
	Task    cawork.TaskRef   `json:"task"`
	Team    cawork.TeamName  `json:"team"`
	Kind    cawork.WorkKind  `json:"kind"`
	Size    cawork.Resources `json:"size"`
	TTL     time.Duration    `json:"ttl_ns"`
	Payload []byte           `json:"payload,omitempty"`
}

// StopMode is the action of a Stop call on a running attempt.
type StopMode int

// The modes of a stop.
const (
	StopModeStop StopMode = iota
	StopModeCheckpoint
	StopModeThrottle
)

// Stop asks an upstream to act on an attempt. StopModeStop fences an attempt that
// has not started: the upstream rejects a later start of it.
type Stop struct {
	Epoch   Epoch            `json:"epoch"`
	Attempt cawork.AttemptID `json:"attempt"`
	Mode    StopMode         `json:"mode"`
}

// ShardFence makes an upstream reject starts of a shard with a view below View.
type ShardFence struct {
	Shard cawork.ShardID `json:"shard"`
	View  int64          `json:"view"`
}

// Register is a versioned value that an upstream stores for the scheduler. A
// register that was never written has version 0.
type Register struct {
	Version int64  `json:"version"`
	Value   []byte `json:"value"`
}

// RegisterSwap writes a register when its version is still Expected.
type RegisterSwap struct {
	Name     string `json:"name"`
	Expected int64  `json:"expected"`
	Value    []byte `json:"value"`
}

// Agent is the control interface of one upstream.
//
// Every call may fail with KindUnknown, after which it may have taken effect, or
// with KindUnavailable, after which it has not. A call with an outdated epoch or
// view fails with KindFenced. Fence and
// the register calls need no ownership.
type Agent interface {
	Claim(ctx context.Context, c Claim) (ClaimResult, error)
	Heartbeat(ctx context.Context, h Heartbeat) (HeartbeatResult, error)
	Release(ctx context.Context, o Ownership) error
	Start(ctx context.Context, s Start) (TaskStatus, error)
	Stop(ctx context.Context, s Stop) (TaskStatus, error)
	Fence(ctx context.Context, f ShardFence) ([]TaskStatus, error)
	ReadRegister(ctx context.Context, name string) (Register, error)
	SwapRegister(ctx context.Context, s RegisterSwap) (Register, error)
}

// Agents returns the control interface of an upstream at an address.
type Agents interface {
	Agent(address string) Agent
}

// Headers of a request that is sent to an upstream for execution.
const (
	HeaderAttempt    = "X-Attempt-Id"
	HeaderEpoch      = "X-Ownership-Epoch"
	HeaderDeadline   = "X-Deadline-Ms"
	HeaderIdempotent = "X-Idempotent"
	// HeaderNotRun is set by an upstream that rejected the request before
	// starting it.
	HeaderNotRun = "X-Not-Run"
)

// RequestPath is the path under which an upstream runs requests.
const RequestPath = "/v1/run"
