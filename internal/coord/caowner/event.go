package caowner

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

//go:generate go tool enumer -type=EventKind -trimprefix=EventKind -transform=snake -text -output=eventkind_names.go
//go:generate go tool enumer -type=Reason -trimprefix=Reason -transform=snake -text -output=reason_names.go
//go:generate go tool enumer -type=CallKind -trimprefix=CallKind -transform=snake -text -output=callkind_names.go

// EventKind tells what happened to an upstream.
type EventKind int

// The kinds of events.
const (
	// EventKindListed means that the upstream is now known.
	EventKindListed EventKind = iota
	// EventKindLeaving means that the upstream must get nothing new.
	EventKindLeaving
	// EventKindUnlisted means that the upstream is gone; with ReasonGone, for
	// good.
	EventKindUnlisted
	// EventKindGained means that this entry owns the upstream under the epoch;
	// Tasks lists all attempts there, which the owner adopts.
	EventKindGained
	// EventKindTasksChanged lists attempts that changed.
	EventKindTasksChanged
	// EventKindRequestsEnded means that FormerRequests fell.
	EventKindRequestsEnded
	// EventKindLost means that this entry does not own the upstream any more,
	// without having wished so.
	EventKindLost
	// EventKindReleased means that this entry gives the upstream up. No start
	// may be sent after it.
	EventKindReleased
)

// Reason tells why ownership ended.
type Reason int

// The reasons.
const (
	ReasonNone Reason = iota
	// ReasonLapsed means that the lease was not renewed in time.
	ReasonLapsed
	// ReasonFenced means that the agent knows a later epoch.
	ReasonFenced
	// ReasonGone means that the platform lists the VM as gone for good.
	ReasonGone
	// ReasonMoved means that another entry is the desired owner.
	ReasonMoved
	// ReasonDraining means that this entry drains.
	ReasonDraining
)

// Event tells subscribers what happened to an upstream.
type Event struct {
	Kind     EventKind
	Upstream cawork.UpstreamID
	VM       caplatform.VM
	Epoch    caplatform.Epoch
	Reason   Reason
	Tasks    []caplatform.TaskStatus
	// FormerRequests is the number of requests of former owners that still use
	// slots of the upstream.
	FormerRequests int
}

// Lease is the ownership of an upstream by this entry. A start may be sent
// under Epoch before ValidUntil.
type Lease struct {
	Epoch      caplatform.Epoch
	ValidUntil time.Time
	// FormerRequests is as in Event.
	FormerRequests int
}

// Entry is a live entry of the zone.
type Entry struct {
	VM cawork.VMID
	// Since is the local time from which on the entry was known as live.
	Since       time.Time
	Unreachable []cawork.UpstreamID
}

// CallKind names a call to an agent.
type CallKind int

// The calls.
const (
	CallKindClaim CallKind = iota
	CallKindHeartbeat
	CallKindRelease
	// CallKindProbe reads a register, to learn whether the agent answers.
	CallKindProbe
)

// Call is a call to be made to the agent at Address.
type Call struct {
	// ID tells calls apart.
	ID        int64
	Kind      CallKind
	Upstream  cawork.UpstreamID
	Address   string
	Sent      time.Time
	Claim     caplatform.Claim
	Heartbeat caplatform.Heartbeat
	Release   caplatform.Ownership
}

// Answer is what came of a call. The result of its kind is set when Err is nil.
type Answer struct {
	Call      Call
	Claim     caplatform.ClaimResult
	Heartbeat caplatform.HeartbeatResult
	Err       error
}
