package coordination

import (
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/camember"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// The parts of membership.
type (
	// MemberIdentity names an entry to the others.
	MemberIdentity = camember.Identity
	// MemberConfig holds the settings of membership.
	MemberConfig = camember.Config
	// MemberDeps are the surroundings of Membership.
	MemberDeps = camember.Deps
	// MemberPeers carries the calls to other entries.
	MemberPeers = camember.Peers
	// VM is a VM in the list of the platform.
	VM = caplatform.VM
	// VMRole tells what a VM is for.
	VMRole = caplatform.VMRole
	// VMState is the state of a VM in the list.
	VMState = caplatform.VMState
	// RackName names a rack.
	RackName = cawork.RackName
	// MemberCause tells why a member changed.
	MemberCause = camember.Cause
	// MemberLiveness tells whether a member lives.
	MemberLiveness = camember.Liveness
	// MemberReach tells how a member is reached.
	MemberReach = camember.Reach
	// MemberIncarnation tells the lives of a member apart.
	MemberIncarnation = camember.Incarnation
	// MemberChanged tells that a member changed.
	MemberChanged = camember.MemberChanged
	// Member is what is known of an entry.
	Member = camember.Member
	// AppState is the application state that an entry tells the others.
	AppState = camember.AppState
	// TeamUse is what a team uses at an entry.
	TeamUse = camember.TeamUse
	// LedShard is a shard that an entry leads.
	LedShard = camember.LedShard
	// Membership runs the exchange of member states.
	Membership = camember.Part
	// ExchangeRequest is the first message of an exchange.
	ExchangeRequest = camember.ExchangeRequest
	// ExchangeReply answers an ExchangeRequest.
	ExchangeReply = camember.ExchangeReply
	// ProbeTarget names a member to be probed for another entry.
	ProbeTarget = camember.ProbeTarget
)

// The parts of the messages of an exchange, which the embedder only encodes.
type (
	// ExchangeDigest tells the version of a member that is known.
	ExchangeDigest = camember.Digest
	// ExchangeStanding is the liveness of a member with its count.
	ExchangeStanding = camember.Standing
	// ExchangeDelta holds what changed of a member.
	ExchangeDelta = camember.Delta
	// ExchangeSection is one part of the state of a member.
	ExchangeSection = camember.Section
	// ExchangePlace is where a member is.
	ExchangePlace = camember.Place
	// ExchangeConfig is the configuration version of a member.
	ExchangeConfig = camember.ConfigMark
	// ExchangeUse is what a team uses at a member.
	ExchangeUse = camember.UseEntry
	// ExchangeSummary is the load of a member.
	ExchangeSummary = camember.Summary
	// ExchangeShards lists the shards that a member leads.
	ExchangeShards = camember.ShardList
	// ExchangeShard is one of them.
	ExchangeShard = camember.ShardEntry
	// ExchangeUnreachable lists what a member does not reach.
	ExchangeUnreachable = camember.UpstreamList
	// ExchangeAmounts are Resources as a message holds them.
	ExchangeAmounts = camember.Amounts
)

// The roles and states of VMs.
const (
	VMRoleEntry    = caplatform.VMRoleEntry
	VMRoleUpstream = caplatform.VMRoleUpstream
	VMStateLive    = caplatform.VMStateLive
	VMStateLeaving = caplatform.VMStateLeaving
	VMStateGone    = caplatform.VMStateGone
)

// The states of liveness.
const (
	LivenessAlive   = camember.LivenessAlive
	LivenessLeaving = camember.LivenessLeaving
	LivenessSuspect = camember.LivenessSuspect
	LivenessDead    = camember.LivenessDead
	LivenessLeft    = camember.LivenessLeft
)

// The ways in which a member is reached.
const (
	ReachDirect   = camember.ReachDirect
	ReachIndirect = camember.ReachIndirect
	ReachHeard    = camember.ReachHeard
	ReachNone     = camember.ReachNone
)

// The causes of a change of a member.
const (
	CauseJoined     = camember.CauseJoined
	CauseSuspected  = camember.CauseSuspected
	CauseDied       = camember.CauseDied
	CauseRefuted    = camember.CauseRefuted
	CauseReturned   = camember.CauseReturned
	CauseRestarted  = camember.CauseRestarted
	CauseLeaving    = camember.CauseLeaving
	CauseLeft       = camember.CauseLeft
	CauseUnlisted   = camember.CauseUnlisted
	CauseReach      = camember.CauseReach
	CauseApp        = camember.CauseApp
	CauseSelfPaused = camember.CauseSelfPaused
)

// DefaultMemberConfig returns the settings for up to a hundred entries.
func DefaultMemberConfig() MemberConfig { return camember.DefaultConfig() }

// NewMembership returns the membership of the identity. Seeds are addresses
// of entries.
func NewMembership(cfg MemberConfig, id MemberIdentity, seeds []string, deps MemberDeps) *Membership {
	return camember.NewPart(cfg, id, seeds, deps)
}
