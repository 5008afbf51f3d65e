package coordination

import (
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/calease"
	"celeryarch.example/celeryarch/internal/coord/caowner"
	"celeryarch.example/celeryarch/internal/coord/carendezvous"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// The parts of leases.
type (
	// LeaseName names what is leased.
	LeaseName = cawork.UpstreamID
	// LeaseTable is the side of the keeper: it grants names and fences.
	LeaseTable = calease.Table
	// LeaseTableConfig holds the settings of a LeaseTable.
	LeaseTableConfig = calease.TableConfig
	// LeaseClock tells a LeaseTable the time.
	LeaseClock = calease.Clock
	// LeaseKeeper carries the calls of a LeaseHolder to the keeper of a name.
	LeaseKeeper = calease.Keeper
	// LeaseClaim asks for a lease.
	LeaseClaim = caplatform.Claim
	// LeaseGrant is the answer to a LeaseClaim.
	LeaseGrant = calease.Grant
	// LeaseRenewal prolongs a lease.
	LeaseRenewal = calease.Renewal
	// HeldLease is a lease as its keeper states it.
	HeldLease = caplatform.Ownership
	// Epoch counts the grants of a name.
	Epoch = caplatform.Epoch
	// LeaseHolder claims, renews and releases names for one instance.
	LeaseHolder = calease.Holder
	// LeaseConfig holds the settings of a LeaseHolder.
	LeaseConfig = caowner.Config
	// LeaseDeps are the surroundings of a LeaseHolder.
	LeaseDeps = calease.Deps
	// Lease is a lease as its holder may trust it.
	Lease = caowner.Lease
	// LeaseEvent tells what happened to a lease.
	LeaseEvent = calease.Event
	// LeaseEventKind is the kind of a LeaseEvent.
	LeaseEventKind = calease.EventKind
	// LeaseReason tells why a lease ended.
	LeaseReason = caowner.Reason
)

// The kinds of a LeaseEvent.
const (
	LeaseGained   = calease.EventKindGained
	LeaseLost     = calease.EventKindLost
	LeaseReleased = calease.EventKindReleased
)

// The reasons for the end of a lease.
const (
	LeaseReasonLapsed   = caowner.ReasonLapsed
	LeaseReasonFenced   = caowner.ReasonFenced
	LeaseReasonGone     = caowner.ReasonGone
	LeaseReasonMoved    = caowner.ReasonMoved
	LeaseReasonDraining = caowner.ReasonDraining
)

// DefaultLeaseConfig returns the settings for up to a thousand names.
func DefaultLeaseConfig() LeaseConfig { return caowner.DefaultConfig() }

// NewLeaseTable returns a table without leases.
func NewLeaseTable(cfg LeaseTableConfig, c LeaseClock) *LeaseTable { return calease.NewTable(cfg, c) }

// NewLeaseHolder returns the holder self, which holds nothing. Of the live
// instances (SetHolders), all choose the same one to hold a name (SetNames).
func NewLeaseHolder(cfg LeaseConfig, self VMID, deps LeaseDeps) *LeaseHolder {
	return calease.NewHolder(cfg, self, deps)
}

// RankInstances returns the instances by descending preference for the name.
func RankInstances(name string, vms []VMID) []VMID { return carendezvous.Rank(name, vms) }
