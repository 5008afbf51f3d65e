// Package caroute chooses the upstream of each request. It tracks the slots,
// the adaptive concurrency limit, the health and the retry budgets of the
// upstreams that an entry owns or borrows slots of. It does no I/O and reads no
// clock: callers pass the time in. It is not safe for concurrent use.
package caroute

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// Upstream is an upstream that this entry owns.
type Upstream struct {
	ID      cawork.UpstreamID
	Zone    cawork.ZoneName
	Address string
	// Slots bounds the requests that the upstream runs at the same time.
	Slots int
	// Connections bounds the connections to the upstream.
	Connections int
	Epoch       caplatform.Epoch
	// FormerRequests is the number of requests that still run at the upstream
	// under former epochs. They use slots.
	FormerRequests int
	// Draining is set while the upstream is draining and gets no new requests.
	Draining bool
	// LeaseEnd is the end of the ownership lease, from which on the upstream
	// gets no new requests. The zero time means that no end is known.
	LeaseEnd time.Time
}

// GrantID identifies a grant of slots.
type GrantID string

// Grant is a number of slots of an upstream that its owner lends to another
// entry. The owner counts them as used until they are returned or until
// Duration plus a margin has passed. The borrower runs no request on them whose
// deadline is later than Duration after its own request for the slots.
type Grant struct {
	ID       GrantID           `cbor:"id"`
	Upstream cawork.UpstreamID `cbor:"upstream"`
	Zone     cawork.ZoneName   `cbor:"zone"`
	Address  string            `cbor:"address"`
	Epoch    caplatform.Epoch  `cbor:"epoch"`
	Count    int               `cbor:"count"`
	// Window is how long the borrower may start requests.
	Window time.Duration `cbor:"window_ns"`
	// Duration is how long the slots may be in use after the owner has received
	// the request of the borrower.
	Duration time.Duration `cbor:"duration_ns"`
}

// slotPool is the set of slots of one owned upstream or of one borrowed grant.
type slotPool struct {
	upstream cawork.UpstreamID
	zone     cawork.ZoneName
	address  string
	epoch    caplatform.Epoch
	slots    int
	inUse    int
	// formerRequests counts the slots in use by requests of former owners.
	formerRequests int
	draining       bool
	// removed is set when the upstream was removed. The pool is kept until its
	// slots are free.
	removed bool
	// startUntil is the time from which on no request may start, zero if there
	// is no such time.
	startUntil time.Time
	// useUntil is the time by which every request must have ended, zero if there
	// is no such time.
	useUntil time.Time
	grant    GrantID
	// lent counts the slots of an owned upstream that are lent to other entries.
	lent     int
	lastUsed time.Time
}

func (s *slotPool) acceptsAt(now time.Time) bool {
	return !s.draining && !s.removed && (s.startUntil.IsZero() || now.Before(s.startUntil))
}

// connections bounds the connections of this entry to the upstream. A grant of
// few slots does not lower it, so that connections outlive grants.
func (s *slotPool) connections() int { return max(s.slots, defaultSlots) }

// used returns the slots that are in use or lent.
func (s *slotPool) used() int { return s.inUse + s.lent + s.formerRequests }

func (s *slotPool) free(limit int) int {
	return min(s.slots, limit) - s.used()
}
