package camember

import (
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Standing is a belief about the liveness of a member: a refutation counter
// and a Liveness, packed to travel in few bytes. Only the member itself raises
// the counter, by which it refutes a suspicion.
type Standing uint32

// livenessBits hold a Liveness below the counter.
const livenessBits = 3

// NewStanding returns the standing of the counter and liveness.
func NewStanding(counter uint32, l Liveness) Standing {
	return Standing(counter<<livenessBits | uint32(l))
}

// Counter returns the refutation counter.
func (s Standing) Counter() uint32 { return uint32(s) >> livenessBits }

// Liveness returns the liveness.
func (s Standing) Liveness() Liveness { return Liveness(s & (1<<livenessBits - 1)) }

// Newer reports whether the standing overrides the other one of the same
// incarnation.
func (s Standing) Newer(o Standing) bool {
	if s.Liveness() == LivenessLeft || o.Liveness() == LivenessLeft {
		return s.Liveness() == LivenessLeft && o.Liveness() != LivenessLeft
	}
	return s > o
}

// Digest tells what the sender knows of a member. A zero incarnation asks for
// all about it.
type Digest struct {
	_           struct{} `cbor:",toarray"`
	Key         uint64
	Incarnation Incarnation
	Standing    Standing
	Version     uint64
}

// Amounts is the compact form of cawork.Resources: processors in tenths of a
// core and memory in MiB, both rounded up.
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

// Summary is the part of the application state that changes all the time.
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

// ConfigMark is the wire form of a configuration version.
type ConfigMark struct {
	_       struct{} `cbor:",toarray"`
	Version int64
}

// ShardList is the wire form of the led shards.
type ShardList struct {
	_      struct{} `cbor:",toarray"`
	Shards []ShardEntry
}

// UpstreamList is the wire form of the unreachable upstreams.
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

// Section is one part of a member state, with the version in which it last
// changed. Exactly one of the other fields is set.
type Section struct {
	Version     uint64        `cbor:"1,keyasint"`
	Place       *Place        `cbor:"2,keyasint,omitempty"`
	Config      *ConfigMark   `cbor:"3,keyasint,omitempty"`
	Use         *UseEntry     `cbor:"4,keyasint,omitempty"`
	Summary     *Summary      `cbor:"5,keyasint,omitempty"`
	Shards      *ShardList    `cbor:"6,keyasint,omitempty"`
	Unreachable *UpstreamList `cbor:"7,keyasint,omitempty"`
}

// sectionKey tells sections apart: the kind, and the team of a use.
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

// usage reports whether the section changes all the time and may be late.
func (s Section) usage() bool { return s.Use != nil || s.Summary != nil }

// Delta carries what changed of a member after version Since, in ascending
// order of version.
type Delta struct {
	_           struct{} `cbor:",toarray"`
	Key         uint64
	Incarnation Incarnation
	Standing    Standing
	Since       uint64
	Sections    []Section
}

// ExchangeRequest is the first message of an exchange. An empty one is a mere
// probe.
type ExchangeRequest struct {
	_    struct{} `cbor:",toarray"`
	From cawork.VMID
	// Second marks the second request of an exchange, whose answer carries no
	// digest.
	Second bool
	Digest []Digest
	Deltas []Delta
}

// ExchangeReply answers an ExchangeRequest with what the asker lacks and a
// digest of what the answerer would like or has to offer.
type ExchangeReply struct {
	_      struct{} `cbor:",toarray"`
	From   cawork.VMID
	Digest []Digest
	Deltas []Delta
}
