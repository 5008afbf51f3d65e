// Package camember implements membership by gossip: entries discover one
// another, detect failures, and replicate a small versioned application state
// of each member.
//
// In each period an entry exchanges digests of member states with one other
// entry. The exchange also serves as a liveness probe of that entry. State
// implements the protocol without I/O; Membership runs it over a Peers interface.
package camember

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

//go:generate go tool enumer -type=Liveness -trimprefix=Liveness -transform=snake -text -output=liveness_names.go
//go:generate go tool enumer -type=Cause -trimprefix=Cause -transform=snake -text -output=cause_names.go
//go:generate go tool enumer -type=Reach -trimprefix=Reach -transform=snake -text -output=reach_names.go

// Incarnation distinguishes the processes that run under a VM id one after
// another. It is the start time of the process in seconds of Unix time, or a
// higher number if other members have the same or a newer state from an earlier
// process.
type Incarnation int64

// Liveness is the state of a member by failure detection. Of two values at the
// same refutation counter, the one later in this list overrides the other.
type Liveness int

// The liveness of a member.
const (
	LivenessAlive Liveness = iota
	// LivenessLeaving means that the member is draining.
	LivenessLeaving
	// LivenessSuspect means that the member answered neither direct nor indirect
	// probes and has not yet refuted the suspicion.
	LivenessSuspect
	LivenessDead
	// LivenessLeft means that the member announced its shutdown. It is final for
	// the incarnation.
	LivenessLeft
)

// Live reports whether the member can be expected to work: it is alive, or its
// failure is only suspected.
func (l Liveness) Live() bool { return l == LivenessAlive || l == LivenessSuspect }

// Gone reports whether the member is dead or left.
func (l Liveness) Gone() bool { return l == LivenessDead || l == LivenessLeft }

// Reach is the way in which this entry reaches a member.
type Reach int

// The ways in which a member is reached.
const (
	ReachDirect Reach = iota
	// ReachIndirect means that only other entries receive answers from the
	// member: the path from this entry to it is cut in at least one direction.
	ReachIndirect
	// ReachHeard means that requests of the member arrive at this entry while no
	// entry receives an answer from it: it runs, but the path to it is cut.
	ReachHeard
	ReachNone
)

// Cause is the reason of a MemberChanged event.
type Cause int

// The causes of a change.
const (
	// CauseJoined means that the member was unknown before.
	CauseJoined Cause = iota
	// CauseSuspected means that the member became suspected.
	CauseSuspected
	// CauseDied means that the member did not refute a suspicion in time.
	CauseDied
	// CauseRefuted means that the member refuted a suspicion before it was
	// declared dead.
	CauseRefuted
	// CauseReturned means that the member was declared dead and returned in the
	// same incarnation: its process was paused or partitioned.
	CauseReturned
	// CauseRestarted means that the member returned in a new incarnation, whose
	// process has none of the earlier state in memory.
	CauseRestarted
	// CauseLeaving means that the member started to drain.
	CauseLeaving
	// CauseLeft means that the member announced its shutdown.
	CauseLeft
	// CauseUnlisted means that the platform lists the VM as permanently gone.
	CauseUnlisted
	// CauseReach means that the Reach of the member changed.
	CauseReach
	// CauseApp means that the application state of the member changed.
	CauseApp
	// CauseSelfPaused means that this entry detected a pause of its own process.
	CauseSelfPaused
	// CauseForeign means that the member supports no protocol version of this
	// entry.
	CauseForeign
)

// TeamUse holds the resources of a team's tasks that run under an entry.
type TeamUse struct {
	Team cawork.TeamName
	Use  cawork.Resources
}

// LedShard is a shard that an entry leads.
type LedShard struct {
	Shard  cawork.ShardID
	View   int64
	Backup cawork.VMID
}

// AppState is the application state that an entry publishes to the other
// members. TeamUse and Shards hold at most one element per team and shard, in
// any order.
type AppState struct {
	ConfigVersion  int64
	TeamUse        []TeamUse
	Free           cawork.Resources
	LargestHole    cawork.Resources
	QueueLength    int
	OwnedUpstreams int
	// FreeSlots is the number of slots that the entry can lend to other entries.
	FreeSlots int
	Shards    []LedShard
	// Unreachable lists the upstreams that the entry cannot reach, so that other
	// entries can claim them.
	Unreachable []cawork.UpstreamID
}

// Member is the known state of an entry.
type Member struct {
	VM          cawork.VMID
	Incarnation Incarnation
	Address     string
	Zone        cawork.ZoneName
	Liveness    Liveness
	Reach       Reach
	// Since is the local time of the last change of the liveness.
	Since time.Time
	// Joined is the local time at which the incarnation became known.
	Joined time.Time
	// LiveSince is the local time since which the member has been neither dead
	// nor left, the zero time while it is.
	LiveSince time.Time
	App       AppState
	// Protocols is the range of protocol versions that the member supports, Format
	// the newest format that it reads. Both are zero until this entry receives a
	// greeting from the member itself.
	Protocols caversion.Range
	Format    caversion.Format
	// Foreign reports that the member runs but supports no protocol version of
	// this entry, so that its messages cannot be decoded.
	Foreign bool
}

// MemberChanged is the event of a change of a member. Was is the liveness before
// the change.
type MemberChanged struct {
	Member Member
	Was    Liveness
	Cause  Cause
}

// Identity identifies an entry to the other members.
type Identity struct {
	VM      cawork.VMID
	Address string
	Zone    cawork.ZoneName
}
