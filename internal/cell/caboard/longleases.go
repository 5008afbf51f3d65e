package caboard

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// A new leader takes the leases that earlier ones granted for ordinary ones. The lease of an upstream
// that has started anew may last longer, so that a leader states such leases with each append.

// LongLease is the lease of an upstream with runs that may last longer than an ordinary one.
type LongLease struct {
	Upstream    cawork.UpstreamID `cbor:"1,keyasint"`
	Incarnation int64             `cbor:"2,keyasint,omitempty"`
	// Remaining is the longest time until it has expired.
	Remaining time.Duration `cbor:"3,keyasint,omitempty"`
}

// longLeases returns the leases to state with the next batch.
func (b *Planner) longLeases() []LongLease {
	var list []LongLease
	ordinary := longestLease(LeaseDuration)
	for _, u := range b.sortedUpstreams {
		if remaining := u.leaseExpires.Sub(b.now.Monotonic); len(u.runs) > 0 && remaining > ordinary {
			list = append(list, LongLease{Upstream: u.info.ID, Incarnation: u.info.Incarnation, Remaining: remaining})
		}
	}
	return list
}

// InheritLongLeases applies the leases that the last append of the leader before stated. It is called
// before any job is restored.
func (b *Planner) InheritLongLeases(list []LongLease) {
	for _, l := range list {
		b.inheritedLongLeases[l.Upstream] = l
	}
}

// inheritedLongLeaseEnd returns when the lease of an incarnation of an upstream that the leader before stated
// has expired, zero without one.
func (b *Planner) inheritedLongLeaseEnd(id cawork.UpstreamID, incarnation int64) time.Time {
	l, ok := b.inheritedLongLeases[id]
	if !ok || incarnation > l.Incarnation {
		return time.Time{}
	}
	return b.silence.leadingSince.Add(l.Remaining)
}
