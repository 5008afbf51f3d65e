package coordination

import (
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/camember"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// Types of membership.
type (
	// MemberIdentity is the VM, address and zone of an entry.
	MemberIdentity = camember.Identity
	// MemberConfig holds the settings of Membership.
	MemberConfig = camember.Config
	// MemberDeps are the dependencies of Membership.
	MemberDeps = camember.Deps
	// MemberPeers makes the calls to other entries.
	MemberPeers = camember.Peers
	// VM is a VM in the platform's list.
	VM = caplatform.VM
	// VMRole is the role of a VM.
	VMRole = caplatform.VMRole
	// VMState is the state of a VM in the platform's list.
	VMState = caplatform.VMState
	// RackName names a rack.
	RackName = cawork.RackName
	// MemberCause is the cause of a change of a member.
	MemberCause = camember.Cause
	// MemberLiveness is the result of failure detection for a member.
	MemberLiveness = camember.Liveness
	// MemberReach is the way in which this entry reaches a member.
	MemberReach = camember.Reach
	// MemberIncarnation grows with each restart of a member.
	MemberIncarnation = camember.Incarnation
	// MemberChanged is the event of a change of a member.
	MemberChanged = camember.MemberChanged
	// Member is the state of an entry as known at this one.
	Member = camember.Member
	// AppState is the application state that an entry publishes.
	AppState = camember.AppState
	// TeamUse is the use of resources by a team at an entry.
	TeamUse = camember.TeamUse
	// LedShard is a shard that an entry leads.
	LedShard = camember.LedShard
	// Membership detects failures and exchanges member states with other
	// entries.
	Membership = camember.Membership
	// ExchangeRequest is the first message of an exchange.
	ExchangeRequest = camember.ExchangeRequest
	// ExchangeReply answers an ExchangeRequest.
	ExchangeReply = camember.ExchangeReply
	// ProbeTarget names a member to probe on behalf of another entry.
	ProbeTarget = camember.ProbeTarget
)

// Types of the messages of an exchange. The embedding program only encodes and
// decodes them.
type (
	// ExchangeDigest is the version of a member's state that the sender has.
	ExchangeDigest = camember.Digest
	// ExchangeStanding is the liveness of a member with its refutation counter.
	ExchangeStanding = camember.Standing
	// ExchangeDelta holds the changed sections of a member's state.
	ExchangeDelta = camember.Delta
	// ExchangeSection is one part of the state of a member.
	ExchangeSection = camember.Section
	// ExchangePlace is the VM, address and zone of a member.
	ExchangePlace = camember.Place
	// ExchangeConfig is the configuration version of a member.
	ExchangeConfig = camember.ConfigVersion
	// ExchangeUse is the use of resources by a team at a member.
	ExchangeUse = camember.UseEntry
	// ExchangeSummary is the load of a member.
	ExchangeSummary = camember.Summary
	// ExchangeShards lists the shards that a member leads.
	ExchangeShards = camember.ShardList
	// ExchangeShard is an element of ExchangeShards.
	ExchangeShard = camember.ShardEntry
	// ExchangeUnreachable lists the upstreams that a member cannot reach.
	ExchangeUnreachable = camember.UpstreamList
	// ExchangeAmounts is the encoded form of Resources.
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

// The liveness of a member.
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

// DefaultMemberConfig returns settings for up to a hundred entries.
func DefaultMemberConfig() MemberConfig { return camember.DefaultConfig() }

// NewMembership returns the membership of the entry with the identity. Seeds are
// addresses of entries through which it joins.
func NewMembership(cfg MemberConfig, id MemberIdentity, seeds []string, deps MemberDeps) *Membership {
	return camember.NewMembership(cfg, id, seeds, deps)
}
