// Package cagate is the caller-facing part of an entry, a VM that accepts jobs for a cell.
// It finds the leader of each shard of the cell, or becomes it, and forwards calls to it.
// Entries exchange the current leaders and the policy in force, so that an entry that
// cannot reach the store still follows both.
package cagate

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/calayout"
	"celeryarch.example/celeryarch/internal/cell/caorder"
	"celeryarch.example/celeryarch/internal/cell/caroster"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/cell/castate"
)

// Names of the calls between entries.
const (
	callHello   = "cell.hello"
	callSubmit  = "cell.submit"
	callPhase   = "cell.phase"
	callCancel  = "cell.cancel"
	callPending = "cell.pending"
	callAdvise  = "cell.advise"
)

// helloRequest announces the caller as present and asks for the leader of a shard. It states
// which policy and layout the caller has, so that the reply can omit what it has already.
type helloRequest struct {
	From          caroster.Peer `cbor:"1,keyasint"`
	PolicyVersion int64         `cbor:"2,keyasint,omitempty"`
	// HasAdvisor reports whether the caller can query an advisor.
	HasAdvisor bool `cbor:"3,keyasint,omitempty"`
	// Shard is the shard whose leader the caller asks for.
	Shard int `cbor:"4,keyasint,omitempty"`
	// HasLayout reports whether the caller knows the layout.
	HasLayout bool `cbor:"5,keyasint,omitempty"`
	// ReachesStore reports whether the caller can read the store.
	ReachesStore bool `cbor:"6,keyasint,omitempty"`
	// DrainPosition is the position up to which the caller knows the drained zones.
	DrainPosition int64 `cbor:"7,keyasint,omitempty"`
	// Process identifies the process of the caller. Later ones of the same VM have higher
	// numbers.
	Process int64 `cbor:"8,keyasint,omitempty"`
	// Stopping reports whether the caller is about to stop.
	Stopping bool `cbor:"9,keyasint,omitempty"`
	// Leading is the number of shards that the caller leads or is about to lead.
	Leading int `cbor:"10,keyasint,omitempty"`
	// FollowsLayout reports whether the caller wants newer editions of the layout than LayoutEdition.
	FollowsLayout bool  `cbor:"11,keyasint,omitempty"`
	LayoutEdition int64 `cbor:"12,keyasint,omitempty"`
}

// helloReply describes the leader of the requested shard and, if the caller lacks them,
// the policy and the layout.
type helloReply struct {
	// Leading is set if the replying entry leads the shard and does not let another entry
	// take over.
	Leading bool `cbor:"1,keyasint,omitempty"`
	// LastAppendAge is the age of the leader's last append. Only the leader sets it, also one
	// that is stepping down.
	LastAppendAge time.Duration `cbor:"2,keyasint,omitempty"`
	// Leader is the last leader that the replying entry has observed.
	Leader leaderID `cbor:"3,keyasint,omitempty"`
	// Policy is set if it is newer than the caller's.
	Policy *caspec.Policy `cbor:"4,keyasint,omitempty"`
	// PolicyVersion is the version of the replying entry's policy.
	PolicyVersion int64 `cbor:"5,keyasint,omitempty"`
	// Peers are the entries that called the replying entry recently. A leader lists strong
	// ones only.
	Peers []caroster.Peer `cbor:"6,keyasint,omitempty"`
	// Layout is set if the caller lacks it, or follows it and has an older edition.
	Layout *calayout.Layout `cbor:"7,keyasint,omitempty"`
	// NextHelloIn is the time after which the caller should call the leader again.
	NextHelloIn time.Duration `cbor:"8,keyasint,omitempty"`
	// Drains are the drained zones as the replying entry knows them, and DrainAge the age
	// of that reading. Drains is nil if the caller has a newer one or there is none.
	Drains   *caspec.ZoneDrains `cbor:"9,keyasint,omitempty"`
	DrainAge time.Duration      `cbor:"10,keyasint,omitempty"`
	// Unstarted counts the accepted jobs that have not begun to run, by queue, without queues
	// that have none. It is valid if HasUnstarted is set.
	Unstarted    map[caspec.QueueName]int `cbor:"11,keyasint,omitempty"`
	HasUnstarted bool                     `cbor:"12,keyasint,omitempty"`
	// LastAppendTook is the duration of the leader's last append. Only the leader sets it.
	LastAppendTook time.Duration `cbor:"13,keyasint,omitempty"`
	// SteppingDown is set if the replying entry leads the shard and lets another entry take
	// over. It answers calls until one does.
	SteppingDown bool `cbor:"14,keyasint,omitempty"`
	// DecidesKeys is set by leaders that give shards to new keys.
	DecidesKeys bool `cbor:"15,keyasint,omitempty"`
}

// leaderID identifies a leader by its VM and fencing token.
type leaderID struct {
	VM      cawork.VMID `cbor:"1,keyasint,omitempty"`
	Address string      `cbor:"2,keyasint,omitempty"`
	Token   int64       `cbor:"3,keyasint,omitempty"`
}

type submitRequest struct {
	Submission caspec.Submission `cbor:"1,keyasint"`
	// Wait is how long the caller waits for the reply.
	Wait  time.Duration `cbor:"2,keyasint"`
	Shard int           `cbor:"3,keyasint,omitempty"`
	// Key and FormerTeams belong to the submission. Entries of earlier builds send neither.
	Key         caspec.KeyID      `cbor:"4,keyasint,omitempty"`
	FormerTeams []cawork.TeamName `cbor:"5,keyasint,omitempty"`
}

type jobRequest struct {
	Job   cawork.JobID  `cbor:"1,keyasint"`
	Wait  time.Duration `cbor:"2,keyasint,omitempty"`
	Shard int           `cbor:"3,keyasint,omitempty"`
	// Teams are the only ones whose jobs are found, unless there are none.
	Teams []cawork.TeamName `cbor:"4,keyasint,omitempty"`
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
	Ask caorder.ApprovalRequest `cbor:"1,keyasint"`
}

type adviseReply struct {
	Approved []caorder.Approval `cbor:"1,keyasint,omitempty"`
}

type empty struct{}
