package caowner

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

//go:generate go tool enumer -type=EventKind -trimprefix=EventKind -transform=snake -text -output=eventkind_names.go
//go:generate go tool enumer -type=Reason -trimprefix=Reason -transform=snake -text -output=reason_names.go
//go:generate go tool enumer -type=CallKind -trimprefix=CallKind -transform=snake -text -output=callkind_names.go

// EventKind is the kind of an Event.
type EventKind int

// The kinds of events.
const (
	// EventKindListed means that the upstream was added or is no longer leaving.
	EventKindListed EventKind = iota
	// EventKindLeaving means that the upstream drains: it gets no new work.
	EventKindLeaving
	// EventKindUnlisted means that the upstream was removed. ReasonGone means
	// that its VM will not return.
	EventKindUnlisted
	// EventKindGained means that this entry owns the upstream under Epoch. Tasks
	// lists all attempts on the upstream, which the owner takes over.
	EventKindGained
	// EventKindTasksChanged means that the attempts in Tasks changed.
	EventKindTasksChanged
	// EventKindRequestsEnded means that FormerRequests decreased.
	EventKindRequestsEnded
	// EventKindLost means that this entry lost ownership without releasing it.
	EventKindLost
	// EventKindReleased means that this entry releases the upstream. No start
	// may be sent to the upstream after this event.
	EventKindReleased
)

// Reason is the reason why ownership ended or an upstream was removed.
type Reason int

// The reasons.
const (
	ReasonNone Reason = iota
	// ReasonLapsed means that the lease was not renewed in time.
	ReasonLapsed
	// ReasonFenced means that the agent refused the epoch of this entry.
	ReasonFenced
	// ReasonGone means that the platform lists the VM as permanently gone.
	ReasonGone
	// ReasonMoved means that another entry is the desired owner.
	ReasonMoved
	// ReasonDraining means that this entry is draining.
	ReasonDraining
)

// Event is a change of an upstream or of its ownership.
type Event struct {
	Kind     EventKind
	Upstream cawork.UpstreamID
	VM       caplatform.VM
	Epoch    caplatform.Epoch
	Reason   Reason
	Tasks    []caplatform.TaskStatus
	// FormerRequests is the number of requests that former owners sent and that
	// still occupy slots of the upstream.
	FormerRequests int
}

// Lease is the ownership of an upstream by this entry. Starts may be sent under
// Epoch until ValidUntil.
type Lease struct {
	Epoch      caplatform.Epoch
	ValidUntil time.Time
	// FormerRequests is as in Event.
	FormerRequests int
}

// Entry is a live entry of the zone.
type Entry struct {
	VM cawork.VMID
	// Since is the local time since which the entry has been live.
	Since time.Time
	// Unreachable lists the upstreams that the entry cannot reach.
	Unreachable []cawork.UpstreamID
}

// CallKind is the kind of a call to an agent.
type CallKind int

// The calls.
const (
	CallKindClaim CallKind = iota
	CallKindHeartbeat
	CallKindRelease
	// CallKindProbe reads a register to check whether the agent answers.
	CallKindProbe
)

// Call is a call to make to the agent at Address.
type Call struct {
	// ID is unique among the calls of a State.
	ID        int64
	Kind      CallKind
	Upstream  cawork.UpstreamID
	Address   string
	Sent      time.Time
	Claim     caplatform.Claim
	Heartbeat caplatform.Heartbeat
	Release   caplatform.Ownership
}

// CallResult is the outcome of a call. When Err is nil, the result that belongs to
// the kind of call is set.
type CallResult struct {
	Call      Call
	Claim     caplatform.ClaimResult
	Heartbeat caplatform.HeartbeatResult
	Err       error
}
