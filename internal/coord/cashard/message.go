package cashard

import "celeryarch.example/celeryarch/internal/base/cawork"

//go:generate go tool enumer -type=ReplyStatus -trimprefix=Reply -transform=snake -text -output=replystatus_names.go

// Snapshot is the state of a shard after the record with the given index.
type Snapshot struct {
	Index int64
	State []byte
}

// SnapshotChunk is a part of a snapshot, since a whole one may be too large for a
// message. Offset and Total are in bytes.
type SnapshotChunk struct {
	Index  int64
	Offset int64
	Total  int64
	State  []byte
}

// isWhole reports whether the chunk is all of the snapshot.
func (c *SnapshotChunk) isWhole() bool { return c.Offset == 0 && c.Total == int64(len(c.State)) }

// ReplicateRequest is the only message that a primary sends to another member. It
// asks the receiver to become or stay the backup in View and to apply the
// records, the first of which has the index First. It also serves as the
// heartbeat.
type ReplicateRequest struct {
	To       Member
	View     View
	Snapshot *SnapshotChunk `cbor:",omitempty"`
	First    int64
	Records  [][]byte
	// Release asks the receiver to drop its replica. View is then the new view,
	// which does not include the receiver.
	Release bool
	// Settled reports that View is registered at its witness.
	Settled bool
	// Yield reports that the primary has stopped acting for good, so that the
	// receiver may take over at once.
	Yield bool
}

// ReplyStatus is the result of a ReplicateRequest.
type ReplyStatus int

// The statuses of a reply.
const (
	// ReplyOK means that the receiver holds the view and all records up to Last.
	ReplyOK ReplyStatus = iota
	// ReplyBehind means that the receiver lacks records before First.
	ReplyBehind
	// ReplyPartial means that the receiver has the first Received bytes of the
	// snapshot.
	ReplyPartial
	// ReplyBusy means that the receiver holds a replica of another primary or
	// is taking over.
	ReplyBusy
	// ReplyFenced means that the receiver has adopted or left a higher view.
	ReplyFenced
	// ReplyDeposed means that the receiver leads the shard in View.
	ReplyDeposed
	// ReplyWrongMember means that the request is for another incarnation of the
	// entry.
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
	// Floor is the highest view number known to the receiver. The primary numbers
	// new views above it.
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
