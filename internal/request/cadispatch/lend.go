package cadispatch

import (
	"context"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/request/caroute"
)

const (
	// borrowTimeout bounds a call to a peer that lends slots.
	borrowTimeout = 250 * time.Millisecond
	// peerBackoff is the delay before a peer that lent nothing is asked again.
	peerBackoff = 50 * time.Millisecond
	// fullPeerBackoff is the same delay for a peer whose last report had no free
	// slots.
	fullPeerBackoff = 500 * time.Millisecond
)

// BorrowRequest asks an owner of upstreams for slots.
type BorrowRequest struct {
	Borrower cawork.VMID         `cbor:"borrower"`
	Wanted   caroute.LendRequest `cbor:"wanted"`
}

// BorrowResponse is the response to a BorrowRequest. Granted is false when the
// owner has no free slot.
type BorrowResponse struct {
	Granted bool          `cbor:"granted"`
	Grant   caroute.Grant `cbor:"grant"`
}

// SlotLender calls the owners of upstreams.
type SlotLender interface {
	// Borrow asks the owner for slots.
	Borrow(ctx context.Context, owner cawork.VMID, q BorrowRequest) (BorrowResponse, error)
	// Return gives the slots of a grant back to the owner.
	Return(ctx context.Context, owner cawork.VMID, id caroute.GrantID) error
}

// Peer is another entry that may lend slots.
type Peer struct {
	ID   cawork.VMID
	Zone cawork.ZoneName
	// OwnsUpstreams is set when the peer owned upstreams at its last report.
	OwnsUpstreams bool
	// FreeSlots is the number of lendable slots in its last report.
	FreeSlots int
}

// backoffPeriod returns the delay before the peer is asked again after it lent
// nothing.
func (p Peer) backoffPeriod() time.Duration {
	if p.FreeSlots > 0 {
		return peerBackoff
	}
	return fullPeerBackoff
}

// borrowing is the state of slot borrowing at one entry.
type borrowing struct {
	peers       []Peer
	backoffs    map[cawork.VMID]backoffState
	grantOwners map[caroute.GrantID]cawork.VMID
	// callInFlight is set during a call to an owner. One call at a time is
	// enough, because a grant covers several slots.
	callInFlight bool
	// latestDeadline is the latest deadline of all requests queued so far.
	latestDeadline time.Time
}

// backoffState is the backoff of a peer, which is not asked before until. busy
// is set when the peer responded but had no free slot, and not set when the call
// failed.
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

// SetPeers replaces the entries that may be asked for slots and ends all
// backoffs.
func (d *Dispatcher) SetPeers(peers []Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.borrowing.peers = peers
	clear(d.borrowing.backoffs)
}

// FreeSlots returns the number of lendable slots of the owned upstreams, which
// is reported to peers. It is zero while requests wait at this entry.
func (d *Dispatcher) FreeSlots() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.queues.Len() > 0 {
		return 0
	}
	return d.router.FreeSlots(d.config.Timer.Now())
}

// HandleBorrow handles SlotLender.Borrow calls of peers.
func (d *Dispatcher) HandleBorrow(q BorrowRequest) BorrowResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.queues.Len() > 0 {
		return BorrowResponse{}
	}
	grant, ok := d.router.Lend(d.config.Timer.Now(), q.Wanted)
	if ok {
		d.ticks.ensureActive()
	}
	return BorrowResponse{Granted: ok, Grant: grant}
}

// HandleReturn handles SlotLender.Return calls of peers.
func (d *Dispatcher) HandleReturn(id caroute.GrantID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.ReclaimGrant(id)
	d.dispatchQueued(d.config.Timer.Now())
}

// borrow asks a peer for slots when requests wait. It does not block, because
// the call runs on its own goroutine. The caller holds d.mu.
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

// choosePeer returns the peer to ask for slots: the one with the most free
// slots in its last report, with these exceptions. A peer in another
// availability zone is chosen only when no peer in this zone has free slots and
// the expected wait here is longer than the round trip to the other zone. When
// no peer reported free slots, an owner of upstreams in this zone is chosen,
// because reports are seconds old.
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

// mayLend reports whether, by its last report, the peer may have slots to lend
// that are worth a call.
func (d *Dispatcher) mayLend(p Peer, now time.Time) bool {
	if p.Zone == d.config.Zone {
		return p.FreeSlots > 0 || p.OwnsUpstreams
	}
	return p.FreeSlots > 0 && d.expectedWait(now) > d.config.CrossZoneRTT
}

// mayBorrow reports whether a request may wait for borrowed slots: at least one
// peer can be asked now, or responded that it was busy and will be asked again
// after its backoff.
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

// prefers reports whether a is a better peer to borrow from than b.
func (d *Dispatcher) prefers(a, b Peer) bool {
	if (a.FreeSlots > 0) != (b.FreeSlots > 0) {
		return a.FreeSlots > 0
	}
	if (a.Zone == d.config.Zone) != (b.Zone == d.config.Zone) {
		return a.Zone == d.config.Zone
	}
	return a.FreeSlots > b.FreeSlots
}

// expectedWait estimates the time until all waiting requests have slots. It is
// one hour when there are no usable slots.
func (d *Dispatcher) expectedWait(now time.Time) time.Duration {
	slots := d.router.Slots(now)
	if slots == 0 {
		return time.Hour
	}
	return d.router.MeanServiceTime() * time.Duration(d.queues.Len()) / time.Duration(slots)
}

// borrowFrom asks the peer for slots and adds the grant. If the peer lends
// nothing, it starts a backoff for the peer and tries the next one.
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

// returnGrants returns unused grants to their owners in the background. The
// caller holds d.mu.
func (d *Dispatcher) returnGrants(grants []caroute.GrantID) {
	for _, id := range grants {
		owner := d.borrowing.grantOwners[id]
		delete(d.borrowing.grantOwners, id)
		d.peerCalls.Go(func() { d.sendReturn(owner, id) })
	}
}

// sendReturn returns one grant to its owner. It ignores errors, because a grant
// that is not returned expires at the owner.
func (d *Dispatcher) sendReturn(owner cawork.VMID, id caroute.GrantID) {
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	_ = d.config.Lender.Return(ctx, owner, id)
}
