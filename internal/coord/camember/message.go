package camember

import (
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Standing is the assumed liveness of a member: a refutation counter and a
// Liveness, packed into one number to keep messages small. Only the member
// itself raises the counter, which refutes a suspicion.
type Standing uint32

// livenessBits is the number of low bits of a Standing that hold the Liveness.
const livenessBits = 3

// NewStanding returns the standing with the counter and the liveness.
func NewStanding(counter uint32, l Liveness) Standing {
	return Standing(counter<<livenessBits | uint32(l))
}

// Counter returns the refutation counter of the standing.
func (s Standing) Counter() uint32 { return uint32(s) >> livenessBits }

// Liveness returns the liveness of the standing.
func (s Standing) Liveness() Liveness { return Liveness(s & (1<<livenessBits - 1)) }

// Newer reports whether s overrides o, a standing of the same incarnation.
func (s Standing) Newer(o Standing) bool {
	if s.Liveness() == LivenessLeft || o.Liveness() == LivenessLeft {
		return s.Liveness() == LivenessLeft && o.Liveness() != LivenessLeft
	}
	return s > o
}

// Digest states which version of a member's state the sender has. A zero
// incarnation requests the whole state.
type Digest struct {
	_           struct{} `cbor:",toarray"`
	Key         uint64
	Incarnation Incarnation
	Standing    Standing
	Version     uint64
}

// Amounts is the wire form of cawork.Resources: CPU in tenths of a core and
// memory in MiB, both rounded up to keep messages small.
type Amounts struct {
	_            struct{} `cbor:",toarray"`
	CPU          int64
	Memory       int64
	Accelerators int64
}

const milliPerTenth = 100

func amountsOf(r cawork.Resources) Amounts {
	return Amounts{
		CPU:          (int64(r.CPU) + milliPerTenth - 1) / milliPerTenth,
		Memory:       int64((r.Memory + cawork.MiB - 1) / cawork.MiB),
		Accelerators: r.Accelerators,
	}
}

func (a Amounts) resources() cawork.Resources {
	return cawork.Resources{
		CPU: cawork.MilliCPU(a.CPU * milliPerTenth), Memory: cawork.Bytes(a.Memory) * cawork.MiB,
		Accelerators: a.Accelerators,
	}
}

// Summary is the frequently changing part of the application state, apart from
// the use of teams.
type Summary struct {
	_              struct{} `cbor:",toarray"`
	Free           Amounts
	LargestHole    Amounts
	QueueLength    int
	OwnedUpstreams int
	FreeSlots      int
}

// ShardEntry is the wire form of LedShard.
type ShardEntry struct {
	_      struct{} `cbor:",toarray"`
	Shard  cawork.ShardID
	View   int64
	Backup cawork.VMID
}

// Place is the wire form of the fixed part of an Identity.
type Place struct {
	_       struct{} `cbor:",toarray"`
	VM      cawork.VMID
	Address string
	Zone    cawork.ZoneName
}

// ConfigVersion is the wire form of the configuration version.
type ConfigVersion struct {
	_       struct{} `cbor:",toarray"`
	Version int64
}

// ShardList is the wire form of the shards that the member leads.
type ShardList struct {
	_      struct{} `cbor:",toarray"`
	Shards []ShardEntry
}

// UpstreamList is the wire form of the upstreams that the member cannot reach.
type UpstreamList struct {
	_         struct{} `cbor:",toarray"`
	Upstreams []cawork.UpstreamID
}

// UseEntry is the wire form of TeamUse.
type UseEntry struct {
	_    struct{} `cbor:",toarray"`
	Team cawork.TeamName
	Use  Amounts
}

// Section is one part of a member's state, with the version in which it last
// changed. Exactly one of the fields other than Version is set.
type Section struct {
	Version     uint64         `cbor:"1,keyasint"`
	Place       *Place         `cbor:"2,keyasint,omitempty"`
	Config      *ConfigVersion `cbor:"3,keyasint,omitempty"`
	Use         *UseEntry      `cbor:"4,keyasint,omitempty"`
	Summary     *Summary       `cbor:"5,keyasint,omitempty"`
	Shards      *ShardList     `cbor:"6,keyasint,omitempty"`
	Unreachable *UpstreamList  `cbor:"7,keyasint,omitempty"`
}

// sectionKey identifies a section of a member by its kind and, for a UseEntry,
// the team.
type sectionKey struct {
	kind int
	team cawork.TeamName
}

func (s Section) key() sectionKey {
	switch {
	case s.Place != nil:
		return sectionKey{kind: 2}
	case s.Config != nil:
		return sectionKey{kind: 3}
	case s.Use != nil:
		return sectionKey{kind: 4, team: s.Use.Team}
	case s.Summary != nil:
		return sectionKey{kind: 5}
	case s.Shards != nil:
		return sectionKey{kind: 6}
	case s.Unreachable != nil:
		return sectionKey{kind: 7}
	}
	return sectionKey{}
}

// isUsage reports whether the section changes frequently, so that it is
// published at intervals.
func (s Section) isUsage() bool { return s.Use != nil || s.Summary != nil }

// Delta holds the sections of a member that changed after version Since, in
// ascending order of version.
type Delta struct {
	_           struct{} `cbor:",toarray"`
	Key         uint64
	Incarnation Incarnation
	Standing    Standing
	Since       uint64
	Sections    []Section
}

// ExchangeRequest is a request of an exchange. One without a digest and deltas
// only probes the receiver.
type ExchangeRequest struct {
	_    struct{} `cbor:",toarray"`
	From cawork.VMID
	// Second marks the second request of an exchange, whose reply contains no
	// digest.
	Second bool
	Digest []Digest
	Deltas []Delta
}

// ExchangeReply answers an ExchangeRequest. It holds the deltas that the
// requester lacks and a digest, which requests newer states from the requester
// and advertises states of further members.
type ExchangeReply struct {
	_      struct{} `cbor:",toarray"`
	From   cawork.VMID
	Digest []Digest
	Deltas []Delta
}
