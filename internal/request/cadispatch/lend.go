package cadispatch

import (
	"context"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/request/caroute"
)

const (
	// borrowTimeout bounds a call to the owner of other upstreams.
	borrowTimeout = 250 * time.Millisecond
	// peerBackoff is the time for which a peer that lent nothing is not asked.
	peerBackoff = 50 * time.Millisecond
	// fullPeerBackoff is the same for a peer that reported no free slots.
	fullPeerBackoff = 500 * time.Millisecond
)

// BorrowRequest asks the owner of upstreams for slots.
type BorrowRequest struct {
	Borrower cawork.VMID         `cbor:"borrower"`
	Wanted   caroute.LendRequest `cbor:"wanted"`
}

// BorrowGrant answers a BorrowRequest. Granted is false when the owner has no
// free slot.
type BorrowGrant struct {
	Granted bool          `cbor:"granted"`
	Grant   caroute.Grant `cbor:"grant"`
}

// SlotLender reaches the owners of upstreams.
type SlotLender interface {
	Borrow(ctx context.Context, owner cawork.VMID, q BorrowRequest) (BorrowGrant, error)
	Return(ctx context.Context, owner cawork.VMID, id caroute.GrantID) error
}

// Peer is another entry that may lend slots.
type Peer struct {
	ID   cawork.VMID
	Zone cawork.ZoneName
	// Owns tells that the peer owned upstreams at its last report.
	Owns bool
	// FreeSlots is the number of slots that it would have lent then.
	FreeSlots int
}

// backoffPeriod returns the time for which the peer is not asked after it lent nothing.
func (p Peer) backoffPeriod() time.Duration {
	if p.FreeSlots > 0 {
		return peerBackoff
	}
	return fullPeerBackoff
}

// borrowing is the state of the borrower of one entry.
type borrowing struct {
	peers       []Peer
	backoffs    map[cawork.VMID]backoffState
	grantOwners map[caroute.GrantID]cawork.VMID
	// callInFlight is set while a call to an owner is under way. One at a time is
	// enough, because a grant carries several slots.
	callInFlight bool
	// latestDeadline is the latest deadline of the requests that wait.
	latestDeadline time.Time
}

// backoffState is the time for which a peer is not asked. Busy tells that it answered,
// but had no free slot; else it did not answer.
type backoffState struct {
	until time.Time
	busy  bool
}

func newBorrowing() borrowing {
	return borrowing{
		backoffs:    map[cawork.VMID]backoffState{},
		grantOwners: map[caroute.GrantID]cawork.VMID{},
	}
}

// SetPeers replaces the entries that may be asked for slots.
func (d *Dispatcher) SetPeers(peers []Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.borrowing.peers = peers
	clear(d.borrowing.backoffs)
}

// FreeSlots returns the slots of the owned upstreams that would be lent, for
// the state that peers get. While requests wait here none is.
func (d *Dispatcher) FreeSlots() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.queues.Len() > 0 {
		return 0
	}
	return d.router.Free(d.config.Timer.Now())
}

// HandleBorrow serves SlotLender.Borrow.
func (d *Dispatcher) HandleBorrow(q BorrowRequest) BorrowGrant {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.queues.Len() > 0 {
		return BorrowGrant{}
	}
	grant, ok := d.router.Lend(d.config.Timer.Now(), q.Wanted)
	if ok {
		d.ticks.ensureActive()
	}
	return BorrowGrant{Granted: ok, Grant: grant}
}

// HandleReturn serves SlotLender.Return.
func (d *Dispatcher) HandleReturn(id caroute.GrantID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.TakeBack(id)
	d.dispatchQueued(d.config.Timer.Now())
}

// borrow asks an owner for slots when requests wait. It never blocks the
// requests: the call runs beside them. The caller holds the lock.
func (d *Dispatcher) borrow(now time.Time) {
	b := &d.borrowing
	if d.config.Lender == nil || d.closed || b.callInFlight || d.queues.Len() == 0 || !d.memory.admitsAttempt() {
		return
	}
	peer, ok := d.choosePeer(now)
	if !ok {
		return
	}
	b.callInFlight = true
	request := caroute.LendRequest{
		Count:    d.queues.Len(),
		Duration: b.latestDeadline.Sub(now) + caroute.LendWindow,
	}
	d.peerCalls.Go(func() { d.borrowFrom(peer, request, now) })
}

// choosePeer chooses the peer with the most free slots. A peer of another zone is
// asked only when no peer of the own zone has any, and when the wait here is
// longer than the crossing. When no peer reported any, an owner of the own
// zone is asked, because reports are seconds old.
func (d *Dispatcher) choosePeer(now time.Time) (Peer, bool) {
	var best Peer
	for _, p := range d.borrowing.peers {
		if now.Before(d.borrowing.backoffs[p.ID].until) || !d.mayLend(p, now) {
			continue
		}
		if best.ID == "" || d.prefers(p, best) {
			best = p
		}
	}
	return best, best.ID != ""
}

// mayLend reports whether the peer is worth a call as far as its last report
// tells.
func (d *Dispatcher) mayLend(p Peer, now time.Time) bool {
	if p.Zone == d.config.Zone {
		return p.FreeSlots > 0 || p.Owns
	}
	return p.FreeSlots > 0 && d.expectedWait(now) > d.config.CrossingDelay
}

// mayBorrow reports whether a request may wait for slots of peers: one can be
// asked, now or when it has got rid of the work that it answered to have.
func (d *Dispatcher) mayBorrow(now time.Time) bool {
	if d.config.Lender == nil {
		return false
	}
	for _, p := range d.borrowing.peers {
		backoff := d.borrowing.backoffs[p.ID]
		if d.mayLend(p, now) && (backoff.busy || !now.Before(backoff.until)) {
			return true
		}
	}
	return false
}

func (d *Dispatcher) prefers(a, b Peer) bool {
	if (a.FreeSlots > 0) != (b.FreeSlots > 0) {
		return a.FreeSlots > 0
	}
	if (a.Zone == d.config.Zone) != (b.Zone == d.config.Zone) {
		return a.Zone == d.config.Zone
	}
	return a.FreeSlots > b.FreeSlots
}

// expectedWait is the time in which the waiting requests will have got slots.
func (d *Dispatcher) expectedWait(now time.Time) time.Duration {
	slots := d.router.Slots(now)
	if slots == 0 {
		return time.Hour
	}
	return d.router.Service() * time.Duration(d.queues.Len()) / time.Duration(slots)
}

func (d *Dispatcher) borrowFrom(p Peer, request caroute.LendRequest, sentAt time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	response, err := d.config.Lender.Borrow(ctx, p.ID, BorrowRequest{Borrower: d.config.Self, Wanted: request})
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Timer.Now()
	d.borrowing.callInFlight = false
	if err != nil || !response.Granted {
		d.borrowing.backoffs[p.ID] = backoffState{until: now.Add(p.backoffPeriod()), busy: err == nil}
		d.borrow(now)
		return
	}
	d.borrowing.grantOwners[response.Grant.ID] = p.ID
	d.router.AddGrant(now, sentAt, response.Grant)
	d.ticks.ensureActive()
	d.dispatchQueued(now)
	d.borrow(now)
}

// returnGrants tells the owners of grants that this entry has given up. The caller
// holds the lock.
func (d *Dispatcher) returnGrants(grants []caroute.GrantID) {
	for _, id := range grants {
		owner := d.borrowing.grantOwners[id]
		delete(d.borrowing.grantOwners, id)
		d.peerCalls.Go(func() { d.sendReturn(owner, id) })
	}
}

// sendReturn tells the owner. When the call is lost, the grant ends by
// itself.
func (d *Dispatcher) sendReturn(owner cawork.VMID, id caroute.GrantID) {
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	_ = d.config.Lender.Return(ctx, owner, id)
}
