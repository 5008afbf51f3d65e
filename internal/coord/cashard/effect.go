package cashard

import (
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

//go:generate go tool enumer -type=EventType -trimprefix=Event -transform=snake -text -output=eventtype_names.go

// EventType is the kind of an Event.
type EventType int

// The types of events.
const (
	// EventTakenOver means that this member leads the shard from now on. The
	// upstreams must be fenced with the view number before any task starts.
	EventTakenOver EventType = iota
	// EventViewChanged means that a change of view by the primary is settled.
	EventViewChanged
	// EventDeposed means that this member no longer leads the shard.
	EventDeposed
	// EventRetired means that the shard was empty and nobody leads it any more.
	EventRetired
)

// Event is a change of the leadership or the view of a shard on this member.
type Event struct {
	Type  EventType
	Shard cawork.ShardID
	View  View
}

// callEffect requests a call to another member.
type callEffect struct {
	request ReplicateRequest
}

// registerEffect requests a read of a witness register, or a swap if swap is set.
type registerEffect struct {
	witness cawork.UpstreamID
	swap    *caplatform.RegisterSwap
}

// committedRecord is a record that took effect, with the result of the state
// machine.
type committedRecord struct {
	index  int64
	record []byte
	err    error
}

// effects collects what one step of a replica requests from its caller: I/O,
// results of records and notifications. A replica does no I/O itself.
type effects struct {
	calls     []callEffect
	registers []registerEffect
	commits   []committedRecord
	events    []Event
	// violations are errors of broken invariants.
	violations []error
}
