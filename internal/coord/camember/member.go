// Package camember lets the entries find one another and keeps what each
// knows of the others: liveness, and a small versioned application state.
//
// In each period an entry exchanges digests of member states with one other;
// the exchange is at once the probe of the other's liveness. State is a pure
// core; Part runs it over a peer interface.
package camember

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

//go:generate go tool enumer -type=Liveness -trimprefix=Liveness -transform=snake -text -output=liveness_names.go
//go:generate go tool enumer -type=Cause -trimprefix=Cause -transform=snake -text -output=cause_names.go
//go:generate go tool enumer -type=Reach -trimprefix=Reach -transform=snake -text -output=reach_names.go

// Incarnation counts the lives of a VM id. It is the start of the process in
// seconds of Unix time, raised when others know as much or more of an earlier
// life.
type Incarnation int64

// Liveness is what the entries believe of a member. Of two beliefs at the
// same refutation counter, the later in this list wins.
type Liveness int

// The liveness of a member.
const (
	LivenessAlive Liveness = iota
	// LivenessLeaving means that the member drains.
	LivenessLeaving
	// LivenessSuspect means that the member did not answer, directly or
	// through others, and has not yet refuted that.
	LivenessSuspect
	LivenessDead
	// LivenessLeft means that the member ended by itself. It is final for the
	// incarnation.
	LivenessLeft
)

// Live reports whether the member may be counted on: it is alive, or
// suspected without proof.
func (l Liveness) Live() bool { return l == LivenessAlive || l == LivenessSuspect }

// Gone reports whether the member is taken for ended.
func (l Liveness) Gone() bool { return l == LivenessDead || l == LivenessLeft }

// Reach tells how this entry reaches a member.
type Reach int

// The ways in which a member is reached.
const (
	ReachDirect Reach = iota
	// ReachIndirect means that only other entries get answers from the member:
	// the path from here to it is cut in at least one direction.
	ReachIndirect
	// ReachHeard means that the member's requests arrive here while nobody gets
	// an answer from it: it runs, and the way to it is cut.
	ReachHeard
	ReachNone
)

// Cause tells why a member changed.
type Cause int

// The causes of a change.
const (
	// CauseJoined means that the member was not known before.
	CauseJoined Cause = iota
	// CauseSuspected means that the member stopped answering.
	CauseSuspected
	// CauseDied means that a suspicion was not refuted in time.
	CauseDied
	// CauseRefuted means that the member refuted a suspicion before it was
	// taken for dead.
	CauseRefuted
	// CauseReturned means that the member was taken for dead and came back in
	// the same incarnation: it was paused or cut off.
	CauseReturned
	// CauseRestarted means that the member came back in a new incarnation and
	// remembers nothing.
	CauseRestarted
	// CauseLeaving means that the member began to drain.
	CauseLeaving
	// CauseLeft means that the member ended by itself.
	CauseLeft
	// CauseUnlisted means that the platform lists the VM as gone for good.
	CauseUnlisted
	// CauseReach means that the way in which the member is reached changed.
	CauseReach
	// CauseApp means that the application state of the member changed.
	CauseApp
	// CauseSelfPaused means that this entry itself did not run for a while.
	CauseSelfPaused
	// CauseForeign means that the member was found to speak no protocol of this
	// entry.
	CauseForeign
)

// TeamUse is what a team has running under an entry.
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

// AppState is the application state that an entry tells the others. TeamUse
// and Shards hold at most one element per team and shard, in any order.
type AppState struct {
	ConfigVersion  int64
	TeamUse        []TeamUse
	Free           cawork.Resources
	LargestHole    cawork.Resources
	QueueLength    int
	OwnedUpstreams int
	// FreeSlots is the number of slots that the entry would lend.
	FreeSlots int
	Shards    []LedShard
	// Unreachable lists the upstreams that the entry cannot reach and leaves
	// to others.
	Unreachable []cawork.UpstreamID
}

// Member is what is known of an entry.
type Member struct {
	VM          cawork.VMID
	Incarnation Incarnation
	Address     string
	Zone        cawork.ZoneName
	Liveness    Liveness
	Reach       Reach
	// Since is the local time at which the liveness was learned.
	Since time.Time
	// Joined is the local time at which the incarnation was learned.
	Joined time.Time
	// LiveSince is the local time from which on the member was not taken for
	// ended, the zero time while it is.
	LiveSince time.Time
	App       AppState
	// Protocols are those that the member speaks and Format is the newest that it
	// reads, as it told this entry itself. They are zero until it did.
	Protocols caversion.Range
	Format    caversion.Format
	// Foreign reports that the member runs, and that no message of it can be
	// understood.
	Foreign bool
}

// MemberChanged tells that a member changed. Was is its liveness before.
type MemberChanged struct {
	Member Member
	Was    Liveness
	Cause  Cause
}

// Identity names an entry to the others.
type Identity struct {
	VM      cawork.VMID
	Address string
	Zone    cawork.ZoneName
}
