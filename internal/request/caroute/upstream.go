// Package caroute decides to which upstream a request goes. It keeps the
// slots, the adaptive concurrency limit, the health and the retry budgets of
// the upstreams that an entry owns or borrows slots of. It is pure: the time
// is passed in, and the caller serialises the calls.
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
	// FormerRequests is the number of requests that still run there under
	// former epochs. They use slots.
	FormerRequests int
	// Leaving upstreams get no new requests.
	Leaving bool
	// LeaseEnd is the end of the ownership lease. From it on the upstream
	// gets no new requests; the zero time means that no end is known.
	LeaseEnd time.Time
}

// GrantID identifies a grant of slots by the owner that made it.
type GrantID string

// Grant is a number of slots of an upstream that its owner lends to another
// entry. The owner counts them as used until they are returned, or until End
// plus a margin. A borrower runs no request on them whose deadline is after
// End.
type Grant struct {
	ID       GrantID           `cbor:"id"`
	Upstream cawork.UpstreamID `cbor:"upstream"`
	Zone     cawork.ZoneName   `cbor:"zone"`
	Address  string            `cbor:"address"`
	Epoch    caplatform.Epoch  `cbor:"epoch"`
	Count    int               `cbor:"count"`
	// Window is how long the borrower may start requests.
	Window time.Duration `cbor:"window_ns"`
	// Duration is how long the slots may be in use, from the receipt of the
	// borrower's message on.
	Duration time.Duration `cbor:"duration_ns"`
}

// slotPool is a set of slots from which requests are served: an owned upstream
// or a grant.
type slotPool struct {
	upstream cawork.UpstreamID
	zone     cawork.ZoneName
	address  string
	epoch    caplatform.Epoch
	slots    int
	inUse    int
	// formerRequests counts the slots that requests of former owners use.
	formerRequests int
	draining       bool
	// removed sources are kept only until their slots are free.
	removed bool
	// startUntil is the time from which no request may start, zero for none.
	startUntil time.Time
	// useUntil is the time at which every request must have ended, zero for
	// none.
	useUntil time.Time
	grant    GrantID
	// lent counts the slots of an owned upstream that other entries use.
	lent     int
	lastUsed time.Time
}

func (s *slotPool) acceptsAt(now time.Time) bool {
	return !s.draining && !s.removed && (s.startUntil.IsZero() || now.Before(s.startUntil))
}

// connections bounds the connections of this entry. It is the same for owned
// and borrowed slots, so that connections outlive a grant.
func (s *slotPool) connections() int { return max(s.slots, defaultSlots) }

// used returns the slots that are in use or lent.
func (s *slotPool) used() int { return s.inUse + s.lent + s.formerRequests }

func (s *slotPool) free(limit int) int {
	return min(s.slots, limit) - s.used()
}
