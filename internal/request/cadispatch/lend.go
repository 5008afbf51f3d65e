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
	// peerPause is the time for which a peer that lent nothing is not asked.
	peerPause = 50 * time.Millisecond
	// fullPeerPause is the same for a peer that reported no free slots.
	fullPeerPause = 500 * time.Millisecond
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

// pause returns the time for which the peer is not asked after it lent nothing.
func (p Peer) pause() time.Duration {
	if p.FreeSlots > 0 {
		return peerPause
	}
	return fullPeerPause
}

// borrowing is the state of the borrower of one entry.
type borrowing struct {
	peers  []Peer
	paused map[cawork.VMID]pause
	owners map[caroute.GrantID]cawork.VMID
	// asking is set while a call to an owner is under way. One at a time is
	// enough, because a grant carries several slots.
	asking bool
	// until is the latest deadline of the requests that wait.
	until time.Time
}

// pause is the time for which a peer is not asked. Busy tells that it answered,
// but had no free slot; else it did not answer.
type pause struct {
	until time.Time
	busy  bool
}

func newBorrowing() borrowing {
	return borrowing{
		paused: map[cawork.VMID]pause{},
		owners: map[caroute.GrantID]cawork.VMID{},
	}
}

// SetPeers replaces the entries that may be asked for slots.
func (d *Dispatcher) SetPeers(peers []Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.borrowing.peers = peers
	clear(d.borrowing.paused)
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
		d.ticks.need()
	}
	return BorrowGrant{Granted: ok, Grant: grant}
}

// HandleReturn serves SlotLender.Return.
func (d *Dispatcher) HandleReturn(id caroute.GrantID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.TakeBack(id)
	d.pump(d.config.Timer.Now())
}

// borrow asks an owner for slots when requests wait. It never blocks the
// requests: the call runs beside them. The caller holds the lock.
func (d *Dispatcher) borrow(now time.Time) {
	b := &d.borrowing
	if d.config.Lender == nil || d.closed || b.asking || d.queues.Len() == 0 || !d.memory.admitsAttempt() {
		return
	}
	peer, ok := d.lender(now)
	if !ok {
		return
	}
	b.asking = true
	want := caroute.LendRequest{
		Count:    d.queues.Len(),
		Duration: b.until.Sub(now) + caroute.LendWindow,
	}
	d.calls.Go(func() { d.askPeer(peer, want, now) })
}

// lender chooses the peer with the most free slots. A peer of another zone is
// asked only when no peer of the own zone has any, and when the wait here is
// longer than the crossing. When no peer reported any, an owner of the own
// zone is asked, because reports are seconds old.
func (d *Dispatcher) lender(now time.Time) (Peer, bool) {
	var best Peer
	for _, p := range d.borrowing.peers {
		if now.Before(d.borrowing.paused[p.ID].until) || !d.mayLend(p, now) {
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
		rests := d.borrowing.paused[p.ID]
		if d.mayLend(p, now) && (rests.busy || !now.Before(rests.until)) {
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

func (d *Dispatcher) askPeer(p Peer, want caroute.LendRequest, asked time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	answer, err := d.config.Lender.Borrow(ctx, p.ID, BorrowRequest{Borrower: d.config.Self, Wanted: want})
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Timer.Now()
	d.borrowing.asking = false
	if err != nil || !answer.Granted {
		d.borrowing.paused[p.ID] = pause{until: now.Add(p.pause()), busy: err == nil}
		d.borrow(now)
		return
	}
	d.borrowing.owners[answer.Grant.ID] = p.ID
	d.router.AddGrant(now, asked, answer.Grant)
	d.ticks.need()
	d.pump(now)
	d.borrow(now)
}

// giveBack tells the owners of grants that this entry has given up. The caller
// holds the lock.
func (d *Dispatcher) giveBack(grants []caroute.GrantID) {
	for _, id := range grants {
		owner := d.borrowing.owners[id]
		delete(d.borrowing.owners, id)
		d.calls.Go(func() { d.returnGrant(owner, id) })
	}
}

// returnGrant tells the owner. When the call is lost, the grant ends by
// itself.
func (d *Dispatcher) returnGrant(owner cawork.VMID, id caroute.GrantID) {
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	_ = d.config.Lender.Return(ctx, owner, id)
}
