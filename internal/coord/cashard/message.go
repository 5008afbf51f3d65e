package cashard

import "celeryarch.example/celeryarch/internal/base/cawork"

//go:generate go tool enumer -type=ReplyStatus -trimprefix=Reply -transform=snake -text -output=replystatus_names.go

// Snapshot is the state of a shard after the record of the index.
type Snapshot struct {
	Index int64
	State []byte
}

// SnapshotChunk is a part of a snapshot, which may be larger than a message.
// Offset and Total are in bytes.
type SnapshotChunk struct {
	Index  int64
	Offset int64
	Total  int64
	State  []byte
}

// isWhole reports whether the chunk is all of the snapshot.
func (c *SnapshotChunk) isWhole() bool { return c.Offset == 0 && c.Total == int64(len(c.State)) }

// ReplicateRequest is the one message of a primary to another member. It asks
// the receiver to hold View as its backup and to take the records, the first
// of which has the index First. It also serves as the heartbeat.
type ReplicateRequest struct {
	To       Member
	View     View
	Snapshot *SnapshotChunk `cbor:",omitempty"`
	First    int64
	Records  [][]byte
	// Release asks the receiver to drop its replica; View is then the view
	// that goes on without it.
	Release bool
	// Settled tells that View is registered at its witness.
	Settled bool
	// Yield tells that the primary has stopped for good, so that the receiver
	// may take over at once.
	Yield bool
}

// ReplyStatus tells what a receiver did with a request.
type ReplyStatus int

// The statuses of a reply.
const (
	// ReplyOK means that the receiver holds the view and all records up to Last.
	ReplyOK ReplyStatus = iota
	// ReplyBehind means that the receiver lacks records before First.
	ReplyBehind
	// ReplyPartial means that the receiver has the snapshot up to Received.
	ReplyPartial
	// ReplyBusy means that the receiver holds a replica of another primary or
	// is taking over.
	ReplyBusy
	// ReplyFenced means that the receiver has seen a higher view.
	ReplyFenced
	// ReplyDeposed means that the receiver leads the shard in View.
	ReplyDeposed
	// ReplyWrongMember means that the request is for another incarnation.
	ReplyWrongMember
)

// ReplicateReply is the answer to a ReplicateRequest.
type ReplicateReply struct {
	Status ReplyStatus
	// Adopted is the number of the view that the receiver holds.
	Adopted int64
	// Last is the index of the last record that the receiver holds.
	Last int64
	// Received is the number of bytes of the snapshot that have arrived.
	Received int64
	// Floor is the highest view number that the receiver has seen.
	Floor int64
	// View is set with ReplyDeposed.
	View View
}

// Candidate is a member that may become a backup. Candidates of the zone of
// the primary are preferred.
type Candidate struct {
	Member Member
	Zone   cawork.ZoneName
}
