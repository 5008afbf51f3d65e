package caroute

import (
	"time"
)

const (
	// lendWindow is how long a borrower may start requests on a grant.
	lendWindow = time.Second
	// LendWindow is added by borrowers to the Duration of a LendRequest, because
	// a request may start at any time in the window.
	LendWindow = lendWindow
	// maxLendDuration bounds how long lent slots may be in use: the longest
	// deadline of a request and the window.
	maxLendDuration = 10*time.Minute + lendWindow
	// grantIdleTimeout is the time without use after which the borrower returns
	// a grant.
	grantIdleTimeout = 200 * time.Millisecond
	// lendMargin is how much longer than the duration of a grant the owner waits
	// before it uses the lent slots again. It covers message delay and clock
	// drift.
	lendMargin = time.Second
	// maxSlotsPerGrant bounds the slots of one grant.
	maxSlotsPerGrant = 4
	// defaultSlots is the number of slots of an upstream that is known only
	// from grants.
	defaultSlots = 8
)

// LendRequest is a request of a borrower to an owner for slots.
type LendRequest struct {
	Count int `cbor:"count"`
	// Duration is how long the slots may be in use.
	Duration time.Duration `cbor:"duration_ns"`
}

// loan is a grant that this entry has made as the owner.
type loan struct {
	pool  *slotPool
	count int
	end   time.Time
}

// Lend grants free slots of one owned upstream to another entry. It returns
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

// lendablePool returns the owned upstream with the most free slots, nil if no
// slot is free.
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

// ReclaimGrant ends a grant that this entry has made and frees its slots. An
// unknown grant is ignored, because it may have expired already.
func (r *Router) ReclaimGrant(id GrantID) {
	l, ok := r.loans[id]
	if !ok {
		return
	}
	delete(r.loans, id)
	l.pool.lent -= l.count
	assertSlots(l.pool)
	r.removeIfUnused(l.pool)
}

// AddGrant adds borrowed slots. The window and the duration of the grant count
// from sentAt, the time at which the borrower sent its request, while the owner
// counts from its receipt. So the borrower stops using the slots first.
func (r *Router) AddGrant(now, sentAt time.Time, g Grant) {
	s := &slotPool{
		upstream:   g.Upstream,
		zone:       g.Zone,
		address:    g.Address,
		epoch:      g.Epoch,
		slots:      g.Count,
		startUntil: sentAt.Add(g.Window),
		useUntil:   sentAt.Add(g.Duration),
		grant:      g.ID,
		lastUsed:   now,
	}
	r.grants[g.ID] = s
	r.pools = append(r.pools, s)
	r.healthOf(now, g.Upstream, defaultSlots)
}

// Expire frees the slots of interrupted attempts, ends expired loans and
// removes borrowed grants without requests in progress that are expired or
// idle. It returns the removed grants, which the caller must return to their
// owners.
func (r *Router) Expire(now time.Time) []GrantID {
	r.freeInterrupted(now)
	for id, l := range r.loans {
		if now.After(l.end) {
			r.ReclaimGrant(id)
		}
	}
	return r.dropGrants(func(s *slotPool) bool {
		return !s.acceptsAt(now) || now.Sub(s.lastUsed) > grantIdleTimeout
	})
}

// NeedsExpire reports whether Expire must be called again later: slots are lent,
// borrowed or still in use by interrupted attempts.
func (r *Router) NeedsExpire() bool {
	return len(r.loans) > 0 || len(r.grants) > 0 || len(r.interrupted) > 0
}

// ReturnGrants removes all borrowed grants without requests in progress and
// returns them. The caller must return them to their owners.
func (r *Router) ReturnGrants() []GrantID {
	return r.dropGrants(func(*slotPool) bool { return true })
}

// dropGrants removes and returns the borrowed grants without requests in
// progress that match accept.
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

// BorrowedSlots returns the number of borrowed slots on which requests may start.
func (r *Router) BorrowedSlots(now time.Time) int {
	n := 0
	for _, s := range r.grants {
		if s.acceptsAt(now) {
			n += s.slots
		}
	}
	return n
}
