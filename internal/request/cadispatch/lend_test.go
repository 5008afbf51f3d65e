package cadispatch_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
	"celeryarch.example/celeryarch/internal/request/cadispatch"
	"celeryarch.example/celeryarch/internal/request/caroute"
)

// inMemoryLender connects the dispatchers of a test by direct calls. If silent is
// set, calls to borrow time out.
type inMemoryLender struct {
	mu      sync.Mutex
	entries map[cawork.VMID]*entry
	calls   int
	silent  bool
}

func (l *inMemoryLender) entryOf(id cawork.VMID) (*entry, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.silent {
		return nil, cakind.New(cakind.KindUnknown, "no response")
	}
	return l.entries[id], nil
}

func (l *inMemoryLender) Borrow(ctx context.Context, owner cawork.VMID, q cadispatch.BorrowRequest) (cadispatch.BorrowResponse, error) {
	e, err := l.entryOf(owner)
	if err != nil {
		<-ctx.Done()
		return cadispatch.BorrowResponse{}, err
	}
	return e.HandleBorrow(q), nil
}

func (l *inMemoryLender) Return(_ context.Context, owner cawork.VMID, id caroute.GrantID) error {
	e, err := l.entryOf(owner)
	if err == nil {
		e.HandleReturn(id)
	}
	return err
}

// newEntries returns n entries of one availability zone that lend slots to each
// other.
func newEntries(t *testing.T, n int, configure func(*cadispatch.Config)) (*inMemoryLender, []*entry) {
	l := &inMemoryLender{entries: map[cawork.VMID]*entry{}}
	var peers []cadispatch.Peer
	var all []*entry
	for i := range n {
		id := cawork.VMID(fmt.Sprint("e", i))
		e := newEntry(t, func(c *cadispatch.Config) {
			c.Self = id
			c.Lender = l
			if configure != nil {
				configure(c)
			}
		})
		l.entries[id] = e
		peers = append(peers, cadispatch.Peer{ID: id, Zone: "z1", FreeSlots: 8})
		all = append(all, e)
	}
	for i, e := range all {
		e.SetPeers(append(append([]cadispatch.Peer{}, peers[:i]...), peers[i+1:]...))
	}
	return l, all
}

// Half of the requests arrive at an entry that owns no upstream. It serves them
// on borrowed slots and then returns the slots. The upstream never runs more
// requests than it has slots.
func TestRequestsRunOnBorrowedSlots(t *testing.T) {
	_, entries := newEntries(t, 2, nil)
	up := newFakeUpstream(t, echo)
	entries[1].PutUpstream(up.upstream("u1"))
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() {
			want := fmt.Sprint("request ", i)
			res, body := entries[i%2].post(t, want)
			if diff := cmp.Diff(response{200, "done", want}, responseOf(res, body)); diff != "" {
				t.Errorf("response (-want +got):\n%s", diff)
			}
		})
	}
	wg.Wait()
	if up.peakInUse() > 8 {
		t.Errorf("%d concurrent requests at an upstream of 8 slots", up.peakInUse())
	}
	for entries[1].FreeSlots() < 8 {
		time.Sleep(10 * time.Millisecond)
	}
}

// An entry borrows from another availability zone only when no peer in its own
// zone has free slots.
func TestBorrowPrefersOwnZone(t *testing.T) {
	l, entries := newEntries(t, 3, nil)
	own, other := newFakeUpstream(t, echo), newFakeUpstream(t, echo)
	entries[1].PutUpstream(own.upstream("u1"))
	otherZoneUpstream := other.upstream("u2")
	otherZoneUpstream.Zone = "z2"
	entries[2].PutUpstream(otherZoneUpstream)
	ownZonePeer := cadispatch.Peer{ID: "e1", Zone: "z1", FreeSlots: 1}
	otherZonePeer := cadispatch.Peer{ID: "e2", Zone: "z2", FreeSlots: 8}
	entries[0].SetPeers([]cadispatch.Peer{otherZonePeer, ownZonePeer})
	entries[0].post(t, "work")
	ownZonePeer.FreeSlots = 0
	l.entries["e1"].RemoveUpstream("u1")
	for own.attemptCount() == 0 || other.attemptCount() == 0 {
		entries[0].SetPeers([]cadispatch.Peer{otherZonePeer, ownZonePeer})
		entries[0].post(t, "work")
		if own.attemptCount() == 0 {
			t.Fatal("the other zone was used first")
		}
	}
}

// refusingLender lends nothing and counts the calls to each peer.
type refusingLender struct {
	mu    sync.Mutex
	calls map[cawork.VMID]int
}

func (f *refusingLender) Borrow(_ context.Context, owner cawork.VMID, _ cadispatch.BorrowRequest) (cadispatch.BorrowResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[owner]++
	return cadispatch.BorrowResponse{}, nil
}

func (f *refusingLender) Return(context.Context, cawork.VMID, caroute.GrantID) error { return nil }

// A peer that reported no free slots is asked at most every 500 ms, and a peer
// without upstreams is not asked.
func TestBorrowBacksOffFromFullPeers(t *testing.T) {
	lender := &refusingLender{calls: map[cawork.VMID]int{}}
	e := newEntry(t, func(c *cadispatch.Config) { c.Lender = lender })
	e.SetPeers([]cadispatch.Peer{{ID: "full", Zone: "z1", OwnsUpstreams: true}, {ID: "idle", Zone: "z1"}})
	began := time.Now()
	e.post(t, "work", caplatform.HeaderDeadline, "1000")
	lender.mu.Lock()
	defer lender.mu.Unlock()
	maxCalls := 1 + int(time.Since(began)/(500*time.Millisecond))
	if n := lender.calls["full"]; n < 1 || n > maxCalls {
		t.Errorf("%d calls to the full peer, want 1 to %d", n, maxCalls)
	}
	if diff := cmp.Diff(0, lender.calls["idle"]); diff != "" {
		t.Errorf("calls to a peer without upstreams (-want +got):\n%s", diff)
	}
}

// A peer that does not respond must not delay requests that the entry can serve
// on its own upstreams.
func TestUnresponsivePeerDoesNotDelayRequests(t *testing.T) {
	l, entries := newEntries(t, 2, nil)
	l.silent = true
	up := newFakeUpstream(t, echo)
	entries[0].PutUpstream(up.upstream("u1"))
	var wg sync.WaitGroup
	for range 100 {
		wg.Go(func() {
			res, body := entries[0].post(t, "work")
			if diff := cmp.Diff(response{200, "done", "work"}, responseOf(res, body)); diff != "" {
				t.Errorf("response (-want +got):\n%s", diff)
			}
		})
	}
	wg.Wait()
}

// busyOnceLender lends nothing on the first call and then behaves like an
// inMemoryLender.
type busyOnceLender struct {
	*inMemoryLender
	asked chan struct{}
	once  sync.Once
}

func (b *busyOnceLender) Borrow(ctx context.Context, owner cawork.VMID, q cadispatch.BorrowRequest) (cadispatch.BorrowResponse, error) {
	first := false
	b.once.Do(func() { first = true })
	if first {
		close(b.asked)
		return cadispatch.BorrowResponse{}, nil
	}
	return b.inMemoryLender.Borrow(ctx, owner, q)
}

// A request that arrives during the backoff of the only peer, which responded
// that it had no free slot, must wait and not be refused, because the peer may
// have a free slot soon.
func TestRequestWaitsForBusyPeer(t *testing.T) {
	busy := &busyOnceLender{asked: make(chan struct{})}
	l, entries := newEntries(t, 2, func(c *cadispatch.Config) { c.Lender = busy })
	busy.inMemoryLender = l
	entries[1].PutUpstream(newFakeUpstream(t, echo).upstream("u1"))
	responses := make(chan response, 2)
	post := func() {
		res, body := entries[0].post(t, "work")
		responses <- responseOf(res, body)
	}
	go post()
	<-busy.asked
	go post()
	want := response{200, "done", "work"}
	if diff := cmp.Diff([]response{want, want}, []response{<-responses, <-responses}); diff != "" {
		t.Errorf("responses (-want +got):\n%s", diff)
	}
}
