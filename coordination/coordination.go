// Package coordination offers the parts by which celeryarch entries act
// together, for other programs to embed: membership, and leases of ownership
// with fencing.
//
// Each part is a pure core (State) that takes the time as an argument and
// performs no I/O, with a Part that runs it over an interface which the caller
// implements. A Part has Run and Done; Run ends with its context.
package coordination

import (
	"github.com/rs/zerolog"
	tally "github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/cacheck"
	"celeryarch.example/celeryarch/internal/coord/cafeed"
	"celeryarch.example/celeryarch/internal/coord/camember"
	"celeryarch.example/celeryarch/internal/coord/caowner"
	"celeryarch.example/celeryarch/internal/coord/carendezvous"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// The vocabulary that the parts share.
type (
	// VMID identifies a VM.
	VMID = cawork.VMID
	// UpstreamID identifies an upstream.
	UpstreamID = cawork.UpstreamID
	// ZoneName names an availability zone.
	ZoneName = cawork.ZoneName
	// Timers hands out the time and ticks.
	Timers = catimer.Service
	// Checker collects violations of invariants.
	Checker = cacheck.Checker
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
	// MemberChanged tells that a member changed.
	MemberChanged = camember.MemberChanged
	// Member is what is known of an entry.
	Member = camember.Member
	// AppState is the application state that an entry tells the others.
	AppState = camember.AppState
	// Membership runs the exchange of member states.
	Membership = camember.Part
	// ExchangeRequest is the first message of an exchange.
	ExchangeRequest = camember.ExchangeRequest
	// ExchangeReply answers an ExchangeRequest.
	ExchangeReply = camember.ExchangeReply
	// ProbeTarget names a member to be probed for another entry.
	ProbeTarget = camember.ProbeTarget
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

// The parts of ownership.
type (
	// Lease is the ownership of an upstream by this entry.
	Lease = caowner.Lease
	// OwnerConfig holds the settings of ownership.
	OwnerConfig = caowner.Config
	// OwnerDeps are the surroundings of Ownership.
	OwnerDeps = caowner.Deps
	// OwnerEntry is a live entry of the zone.
	OwnerEntry = caowner.Entry
	// OwnerEvent tells what happened to an upstream.
	OwnerEvent = caowner.Event
	// Ownership claims, renews and releases leases of upstreams.
	Ownership = caowner.Part
	// Agent is the control interface of an upstream, which grants leases.
	Agent = caplatform.Agent
	// Agents returns the agent at an address.
	Agents = caplatform.Agents
	// VM is a VM in the list of the platform.
	VM = caplatform.VM
	// Epoch counts the ownerships of an upstream.
	Epoch = caplatform.Epoch
	// Claim asks an agent for the lease.
	Claim = caplatform.Claim
	// ClaimResult tells the lease after a claim.
	ClaimResult = caplatform.ClaimResult
	// Heartbeat renews the lease and the leases of all running tasks.
	Heartbeat = caplatform.Heartbeat
	// HeartbeatResult lists the attempts that changed.
	HeartbeatResult = caplatform.HeartbeatResult
	// HeldLease is a lease as the agent states it.
	HeldLease = caplatform.Ownership
)

// The roles of VMs.
const (
	VMRoleEntry    = caplatform.VMRoleEntry
	VMRoleUpstream = caplatform.VMRoleUpstream
)

// The kinds of ownership events.
const (
	OwnerListed       = caowner.EventKindListed
	OwnerLeaving      = caowner.EventKindLeaving
	OwnerUnlisted     = caowner.EventKindUnlisted
	OwnerGained       = caowner.EventKindGained
	OwnerTasksChanged = caowner.EventKindTasksChanged
	OwnerLost         = caowner.EventKindLost
	OwnerReleased     = caowner.EventKindReleased
)

// Subscription delivers the events of a part in order.
type Subscription[T any] = cafeed.Subscription[T]

// NewTimers returns a timer service that follows the clock of the machine.
func NewTimers() *Timers { return catimer.NewService() }

// NewChecker returns a checker that logs and counts violations.
func NewChecker(log zerolog.Logger, scope tally.Scope) *Checker { return cacheck.New(log, scope) }

// DefaultMemberConfig returns the settings for up to a hundred entries.
func DefaultMemberConfig() MemberConfig { return camember.DefaultConfig() }

// NewMembership returns the membership of the identity. Seeds are addresses
// of entries.
func NewMembership(cfg MemberConfig, id MemberIdentity, seeds []string, deps MemberDeps) *Membership {
	return camember.NewPart(cfg, id, seeds, deps)
}

// DefaultOwnerConfig returns the settings for up to a thousand upstreams.
func DefaultOwnerConfig() OwnerConfig { return caowner.DefaultConfig() }

// NewOwnership returns the ownership part of the entry self in the zone.
func NewOwnership(cfg OwnerConfig, self VMID, zone ZoneName, deps OwnerDeps) *Ownership {
	return caowner.NewPart(cfg, self, zone, deps)
}

// RankEntries returns the entries by descending preference for the name.
func RankEntries(name string, vms []VMID) []VMID { return carendezvous.Rank(name, vms) }
