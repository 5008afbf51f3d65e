package cashard

import (
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

//go:generate go tool enumer -type=EventType -trimprefix=Event -transform=snake -text -output=eventtype_names.go

// EventType tells what happened to a shard on this member.
type EventType int

// The types of events.
const (
	// EventTakenOver means that this member leads the shard from now on. Its
	// upstreams are to be fenced with the view before anything starts.
	EventTakenOver EventType = iota
	// EventViewChanged means that the primary settled on another view.
	EventViewChanged
	// EventDeposed means that this member no longer leads the shard.
	EventDeposed
	// EventRetired means that the shard was empty and is led by nobody.
	EventRetired
)

// Event tells what happened to a shard on this member.
type Event struct {
	Type  EventType
	Shard cawork.ShardID
	View  View
}

// callEffect asks for a call to another member.
type callEffect struct {
	request ReplicateRequest
}

// registerEffect asks for a read of a witness register, or a swap if set.
type registerEffect struct {
	witness cawork.UpstreamID
	swap    *caplatform.RegisterSwap
}

// committedRecord is a record that took effect, with the verdict of the state machine.
type committedRecord struct {
	index  int64
	record []byte
	err    error
}

// effects are what a step of a replica asks of its surroundings.
type effects struct {
	calls     []callEffect
	registers []registerEffect
	commits   []committedRecord
	events    []Event
	// violations are broken invariants.
	violations []error
}
