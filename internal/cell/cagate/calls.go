// Package cagate is the part of an entry that faces callers: it finds the
// leader of the cell, or becomes it, and carries calls to it. Entries tell each
// other who leads and which policy is in force, so that one that the store
// turns away follows the others.
package cagate

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caboard"
	"celeryarch.example/celeryarch/internal/cell/calayout"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/cell/castate"
)

// The calls between entries.
const (
	callHello   = "cell.hello"
	callSubmit  = "cell.submit"
	callPhase   = "cell.phase"
	callCancel  = "cell.cancel"
	callPending = "cell.pending"
	callAdvise  = "cell.advise"
)

// Peer is an entry as others know it.
type Peer struct {
	VM      cawork.VMID     `cbor:"1,keyasint"`
	Zone    cawork.ZoneName `cbor:"2,keyasint,omitempty"`
	Address string          `cbor:"3,keyasint"`
	// Power is the processor share of the VM, in cores. Entries with more of it
	// lead first, and are agents of leaders.
	Power float64 `cbor:"4,keyasint,omitempty"`
}

// helloRequest tells who asks and what it knows.
type helloRequest struct {
	From          Peer  `cbor:"1,keyasint"`
	PolicyVersion int64 `cbor:"2,keyasint,omitempty"`
	// Advises reports whether the entry can ask the advisor.
	Advises bool `cbor:"3,keyasint,omitempty"`
	// Shard is the one whose leader is asked for.
	Shard int `cbor:"4,keyasint,omitempty"`
	// HasLayout reports whether the caller knows the layout.
	HasLayout bool `cbor:"5,keyasint,omitempty"`
	// ReachesStore reports whether the store answers the caller.
	ReachesStore bool `cbor:"6,keyasint,omitempty"`
}

// helloReply tells what the asked entry knows.
type helloReply struct {
	// Leading is set by the leader, with the age of its last append.
	Leading  bool          `cbor:"1,keyasint,omitempty"`
	StoreAge time.Duration `cbor:"2,keyasint,omitempty"`
	// Leader is whom the entry takes for the leader.
	Leader lead `cbor:"3,keyasint,omitempty"`
	// Policy is set when it is newer than that of the caller.
	Policy *caspec.Policy `cbor:"4,keyasint,omitempty"`
	// PolicyVersion is the version that the asked entry has in force.
	PolicyVersion int64 `cbor:"5,keyasint,omitempty"`
	// Peers are entries that are present; a leader tells of strong ones only.
	Peers []Peer `cbor:"6,keyasint,omitempty"`
	// Layout is set when the caller does not know it.
	Layout *calayout.Layout `cbor:"7,keyasint,omitempty"`
	// CallAgain is when the caller is to call the leader again.
	CallAgain time.Duration `cbor:"8,keyasint,omitempty"`
}

// lead names a leader and its fencing token.
type lead struct {
	VM      cawork.VMID `cbor:"1,keyasint,omitempty"`
	Address string      `cbor:"2,keyasint,omitempty"`
	Token   int64       `cbor:"3,keyasint,omitempty"`
}

type submitRequest struct {
	Submission caspec.Submission `cbor:"1,keyasint"`
	// Wait is how long the caller waits for the answer.
	Wait  time.Duration `cbor:"2,keyasint"`
	Shard int           `cbor:"3,keyasint,omitempty"`
}

type jobRequest struct {
	Job   cawork.JobID  `cbor:"1,keyasint"`
	Wait  time.Duration `cbor:"2,keyasint,omitempty"`
	Shard int           `cbor:"3,keyasint,omitempty"`
}

type phaseReply struct {
	Phase castate.Phase `cbor:"1,keyasint,omitempty"`
}

type pendingRequest struct {
	Queue caspec.QueueName `cbor:"1,keyasint"`
	Shard int              `cbor:"2,keyasint,omitempty"`
}

type pendingReply struct {
	Pending int `cbor:"1,keyasint,omitempty"`
}

type adviseRequest struct {
	Ask caboard.Ask `cbor:"1,keyasint"`
}

type adviseReply struct {
	Approved []caboard.Approval `cbor:"1,keyasint,omitempty"`
}

type empty struct{}
