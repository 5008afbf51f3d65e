package caroute

import (
	"time"
)

const (
	// lendWindow is how long a borrower may start requests on a grant.
	lendWindow = time.Second
	// LendWindow is added to the time for which a borrower needs the slots.
	LendWindow = lendWindow
	// maxLendDuration bounds how long lent slots may be in use: the longest
	// deadline of a request and the window.
	maxLendDuration = 10*time.Minute + lendWindow
	// grantIdleTimeout is the time without use after which a grant is returned.
	grantIdleTimeout = 200 * time.Millisecond
	// lendMargin is added to the duration before the owner uses lent slots
	// again: the time of the message and the drift of the clocks.
	lendMargin = time.Second
	// maxSlotsPerGrant bounds the slots of one grant.
	maxSlotsPerGrant = 4
	// defaultSlots is the number of slots of an upstream that is known only
	// from grants.
	defaultSlots = 8
)

// LendRequest asks an owner for slots.
type LendRequest struct {
	Count int `cbor:"count"`
	// Duration is how long the slots may be in use.
	Duration time.Duration `cbor:"duration_ns"`
}

// loan is a grant that the owner has given.
type loan struct {
	pool  *slotPool
	count int
	end   time.Time
}

// Lend takes free slots of one owned upstream for another entry. It reports
// false when no slot is free.
func (r *Router) Lend(now time.Time, q LendRequest) (Grant, bool) {
	s := r.lendablePool(now)
	if s == nil {
		return Grant{}, false
	}
	n := min(max(q.Count, 1), s.free(r.limitOf(s)), maxSlotsPerGrant)
	d := min(q.Duration, maxLendDuration)
	window := min(lendWindow, d)
	if !s.startUntil.IsZero() {
		window = min(window, s.startUntil.Sub(now))
	}
	r.lastGrantID++
	id := newGrantID(s, r.lastGrantID)
	s.lent += n
	r.loans[id] = &loan{pool: s, count: n, end: now.Add(d + lendMargin)}
	return Grant{
		ID:       id,
		Upstream: s.upstream,
		Zone:     s.zone,
		Address:  s.address,
		Epoch:    s.epoch,
		Count:    n,
		Window:   window,
		Duration: d,
	}, true
}

// lendablePool returns the owned upstream with the most free slots.
func (r *Router) lendablePool(now time.Time) *slotPool {
	var best *slotPool
	mostFree := 0
	for _, s := range r.owned {
		h := r.health[s.upstream]
		if !s.acceptsAt(now) || h.ejected || now.Before(h.pausedUntil) {
			continue
		}
		if free := s.free(r.limitOf(s)); free > mostFree {
			best, mostFree = s, free
		}
	}
	return best
}

// TakeBack returns all slots of a grant to the owner. A grant that is not
// known any more is ignored.
func (r *Router) TakeBack(id GrantID) {
	l, ok := r.loans[id]
	if !ok {
		return
	}
	delete(r.loans, id)
	l.pool.lent -= l.count
	assertSlots(l.pool)
	r.removeIfUnused(l.pool)
}

// AddGrant adds borrowed slots. Asked is the time at which the request for
// them was sent, from which the borrower counts, so that it ends first.
func (r *Router) AddGrant(now, asked time.Time, g Grant) {
	s := &slotPool{
		upstream:   g.Upstream,
		zone:       g.Zone,
		address:    g.Address,
		epoch:      g.Epoch,
		slots:      g.Count,
		startUntil: asked.Add(g.Window),
		useUntil:   asked.Add(g.Duration),
		grant:      g.ID,
		lastUsed:   now,
	}
	r.grants[g.ID] = s
	r.pools = append(r.pools, s)
	r.healthOf(now, g.Upstream, defaultSlots)
}

// Expire frees the slots of interrupted attempts, takes back lent slots whose time is over, and returns the borrowed
// grants that this entry no longer uses, which the caller returns to their
// owner.
func (r *Router) Expire(now time.Time) []GrantID {
	r.freeInterrupted(now)
	for id, l := range r.loans {
		if now.After(l.end) {
			r.TakeBack(id)
		}
	}
	return r.dropGrants(func(s *slotPool) bool {
		return !s.acceptsAt(now) || now.Sub(s.lastUsed) > grantIdleTimeout
	})
}

// Pending reports whether Expire may have something to do later: slots are
// lent, borrowed or linger after an interrupted attempt.
func (r *Router) Pending() bool {
	return len(r.loans) > 0 || len(r.grants) > 0 || len(r.interrupted) > 0
}

// Surrender forgets all borrowed grants without requests and returns them.
func (r *Router) Surrender() []GrantID {
	return r.dropGrants(func(*slotPool) bool { return true })
}

// dropGrants forgets the borrowed grants without requests that over accepts.
func (r *Router) dropGrants(accept func(*slotPool) bool) []GrantID {
	var ids []GrantID
	for id, s := range r.grants {
		if s.inUse == 0 && accept(s) {
			delete(r.grants, id)
			r.removePool(s)
			ids = append(ids, id)
		}
	}
	return ids
}

// Borrowed returns the number of borrowed slots that can start requests.
func (r *Router) Borrowed(now time.Time) int {
	n := 0
	for _, s := range r.grants {
		if s.acceptsAt(now) {
			n += s.slots
		}
	}
	return n
}
