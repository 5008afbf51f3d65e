package caleader

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// A successor waits for the longest lease that the leader before it may have granted. A leader that
// follows another one and is lost before it grants any lease adds nothing to that wait. Therefore a
// claim states that its leader has granted no lease, and which leader before may have: the successor
// waits for that one. A claim does not state when it was stored, so that an entry remembers when it
// first read that this leader had been replaced.

// Granter is a leader that may have granted leases.
type Granter struct {
	VM      cawork.VMID `cbor:"1,keyasint,omitempty"`
	Address string      `cbor:"2,keyasint,omitempty"`
	// Process identifies the process of its entry. Zero means unknown.
	Process int64 `cbor:"3,keyasint,omitempty"`
	// Token is its fencing token. Zero means unknown.
	Token int64 `cbor:"4,keyasint,omitempty"`
	// InheritedRemaining is that of its last claim.
	InheritedRemaining time.Duration `cbor:"5,keyasint,omitempty"`
}

// IsSucceededBy reports whether a later process of the VM listens at the address of the entry
// that led, so that the process that led has ended.
func (g Granter) IsSucceededBy(vm cawork.VMID, address string, process int64) bool {
	return g.Process != 0 && vm == g.VM && address == g.Address && process > g.Process
}

// LastGranter returns the last leader that may have granted leases up to the claim.
func (c Claim) LastGranter() Granter {
	if c.GrantsNone && c.Granter != nil {
		return *c.Granter
	}
	return Granter{VM: c.VM, Address: c.Address, Process: c.Process, Token: c.Token, InheritedRemaining: c.InheritedRemaining}
}

// longestLease returns the longest time until the leases have expired that the leader with the claim
// and those before it granted, from when another leader has claimed the shard. A leader that may have
// granted leases goes on until it learns of that claim.
func (c Claim) longestLease() time.Duration {
	if !c.GrantsNone {
		return MaxInheritedLease
	}
	return max(min(c.InheritedRemaining, MaxInheritedLease), 0)
}

// GranterSighting is by when the leases of a replaced leader have expired, according to the claims
// that an entry has read. It is not safe for concurrent use.
type GranterSighting struct {
	// token is the fencing token of that leader.
	token   int64
	expires time.Time
}

// Observe applies a claim that was stored by the time.
func (s *GranterSighting) Observe(c Claim, at time.Time) {
	if !c.GrantsNone {
		*s = GranterSighting{}
		return
	}
	expires := at.Add(c.longestLease())
	if s.isOf(c) && s.expires.Before(expires) {
		return
	}
	*s = GranterSighting{token: c.LastGranter().Token, expires: expires}
}

// Remaining returns the longest time until the leases have expired that the leader with the claim and
// those before it granted, from now on, if another leader claims the shard now.
func (s *GranterSighting) Remaining(c Claim, now time.Time) time.Duration {
	remaining := c.longestLease()
	if s.isOf(c) {
		remaining = min(remaining, s.expires.Sub(now))
	}
	return max(remaining, 0)
}

// isOf reports whether the last leader that may have granted leases up to the claim is the one of the
// sighting.
func (s *GranterSighting) isOf(c Claim) bool {
	return c.GrantsNone && s.token != 0 && s.token == c.LastGranter().Token
}
