package coordination

import (
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/calease"
	"celeryarch.example/celeryarch/internal/coord/caowner"
	"celeryarch.example/celeryarch/internal/coord/carendezvous"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// Types of leases.
type (
	// LeaseName identifies a leased resource.
	LeaseName = cawork.UpstreamID
	// LeaseTable grants leases and checks epochs on the side of the keeper.
	LeaseTable = calease.Table
	// LeaseTableConfig holds the settings of a LeaseTable.
	LeaseTableConfig = calease.TableConfig
	// LeaseClock provides a LeaseTable with the time.
	LeaseClock = calease.Clock
	// LeaseKeeper makes the calls of a LeaseHolder to the keeper of a name.
	LeaseKeeper = calease.Keeper
	// LeaseClaim requests a lease.
	LeaseClaim = caplatform.Claim
	// LeaseGrant is the answer to a LeaseClaim.
	LeaseGrant = calease.Grant
	// LeaseRenewal extends a lease.
	LeaseRenewal = calease.Renewal
	// HeldLease is the state of a lease at its keeper.
	HeldLease = caplatform.Ownership
	// Epoch is a fencing token: it grows with each grant of a name.
	Epoch = caplatform.Epoch
	// LeaseHolder claims, renews and releases names for one instance.
	LeaseHolder = calease.Holder
	// LeaseConfig holds the settings of a LeaseHolder.
	LeaseConfig = caowner.Config
	// LeaseDeps are the dependencies of a LeaseHolder.
	LeaseDeps = calease.Deps
	// Lease is a lease at its holder, with the time until which it may be used.
	Lease = caowner.Lease
	// LeaseEvent is a change of a lease.
	LeaseEvent = calease.Event
	// LeaseEventKind is the kind of a LeaseEvent.
	LeaseEventKind = calease.EventKind
	// LeaseReason is the reason why a lease ended.
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

// DefaultLeaseConfig returns settings for up to a thousand names.
func DefaultLeaseConfig() LeaseConfig { return caowner.DefaultConfig() }

// NewLeaseTable returns a table without leases.
func NewLeaseTable(cfg LeaseTableConfig, c LeaseClock) *LeaseTable { return calease.NewTable(cfg, c) }

// NewLeaseHolder returns the holder self, which holds no lease yet. All holders
// with the same instances (SetHolders) and names (SetNames) choose the same
// instance to hold a name.
func NewLeaseHolder(cfg LeaseConfig, self VMID, deps LeaseDeps) *LeaseHolder {
	return calease.NewHolder(cfg, self, deps)
}

// RankInstances returns the instances in descending order of preference for the
// name.
func RankInstances(name string, vms []VMID) []VMID { return carendezvous.Rank(name, vms) }
