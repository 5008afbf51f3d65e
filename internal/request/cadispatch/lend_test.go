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

// lenders joins the dispatchers of a test by calls in memory.
type lenders struct {
	mu      sync.Mutex
	entries map[cawork.VMID]*entry
	calls   int
	silent  bool
}

func (l *lenders) at(id cawork.VMID) (*entry, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.silent {
		return nil, cakind.New(cakind.KindUnknown, "no answer")
	}
	return l.entries[id], nil
}

func (l *lenders) Borrow(ctx context.Context, owner cawork.VMID, q cadispatch.BorrowRequest) (cadispatch.BorrowGrant, error) {
	e, err := l.at(owner)
	if err != nil {
		<-ctx.Done()
		return cadispatch.BorrowGrant{}, err
	}
	return e.HandleBorrow(q), nil
}

func (l *lenders) Return(_ context.Context, owner cawork.VMID, id caroute.GrantID) error {
	e, err := l.at(owner)
	if err == nil {
		e.HandleReturn(id)
	}
	return err
}

// newEntries returns n entries of one zone that lend to each other.
func newEntries(t *testing.T, n int, change func(*cadispatch.Config)) (*lenders, []*entry) {
	l := &lenders{entries: map[cawork.VMID]*entry{}}
	var peers []cadispatch.Peer
	var all []*entry
	for i := range n {
		id := cawork.VMID(fmt.Sprint("e", i))
		e := newEntry(t, func(c *cadispatch.Config) {
			c.Self = id
			c.Lender = l
			if change != nil {
				change(c)
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

// All requests come to an entry that owns nothing. It serves them on borrowed
// slots, never more than the upstream has, and returns them.
func TestBorrowedSlotsServe(t *testing.T) {
	_, entries := newEntries(t, 2, nil)
	up := newStandin(t, echo)
	entries[1].PutUpstream(up.upstream("u1"))
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() {
			want := fmt.Sprint("request ", i)
			res, body := entries[i%2].post(t, want)
			if diff := cmp.Diff(seen{200, "done", want}, seenOf(res, body)); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
		})
	}
	wg.Wait()
	if up.peak() > 8 {
		t.Errorf("%d requests at an upstream of 8 slots", up.peak())
	}
	for entries[1].FreeSlots() < 8 {
		time.Sleep(10 * time.Millisecond)
	}
}

// Another zone lends only when no peer of the own zone has free slots.
func TestOwnZoneLendsFirst(t *testing.T) {
	l, entries := newEntries(t, 3, nil)
	own, other := newStandin(t, echo), newStandin(t, echo)
	entries[1].PutUpstream(own.upstream("u1"))
	far := other.upstream("u2")
	far.Zone = "z2"
	entries[2].PutUpstream(far)
	near := cadispatch.Peer{ID: "e1", Zone: "z1", FreeSlots: 1}
	cross := cadispatch.Peer{ID: "e2", Zone: "z2", FreeSlots: 8}
	entries[0].SetPeers([]cadispatch.Peer{cross, near})
	entries[0].post(t, "work")
	near.FreeSlots = 0
	l.entries["e1"].RemoveUpstream("u1")
	for own.count() == 0 || other.count() == 0 {
		entries[0].SetPeers([]cadispatch.Peer{cross, near})
		entries[0].post(t, "work")
		if own.count() == 0 {
			t.Fatal("the other zone was used first")
		}
	}
}

// fullPeers refuses to lend and counts the questions to each peer.
type fullPeers struct {
	mu    sync.Mutex
	calls map[cawork.VMID]int
}

func (f *fullPeers) Borrow(_ context.Context, owner cawork.VMID, _ cadispatch.BorrowRequest) (cadispatch.BorrowGrant, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[owner]++
	return cadispatch.BorrowGrant{}, nil
}

func (f *fullPeers) Return(context.Context, cawork.VMID, caroute.GrantID) error { return nil }

// A peer that reported no free slots is asked, but seldom, and one that owns
// nothing is not asked.
func TestFullPeersAreAskedSeldom(t *testing.T) {
	full := &fullPeers{calls: map[cawork.VMID]int{}}
	e := newEntry(t, func(c *cadispatch.Config) { c.Lender = full })
	e.SetPeers([]cadispatch.Peer{{ID: "full", Zone: "z1", Owns: true}, {ID: "idle", Zone: "z1"}})
	began := time.Now()
	e.post(t, "work", caplatform.HeaderDeadline, "1000")
	full.mu.Lock()
	defer full.mu.Unlock()
	most := 1 + int(time.Since(began)/(500*time.Millisecond))
	if n := full.calls["full"]; n < 1 || n > most {
		t.Errorf("%d questions, want 1 to %d", n, most)
	}
	if diff := cmp.Diff(0, full.calls["idle"]); diff != "" {
		t.Errorf("questions to a peer without upstreams (-want +got):\n%s", diff)
	}
}

// A silent peer delays nothing that can be served without it.
func TestSilentPeerDelaysNothing(t *testing.T) {
	l, entries := newEntries(t, 2, nil)
	l.silent = true
	up := newStandin(t, echo)
	entries[0].PutUpstream(up.upstream("u1"))
	var wg sync.WaitGroup
	for range 100 {
		wg.Go(func() {
			res, body := entries[0].post(t, "work")
			if diff := cmp.Diff(seen{200, "done", "work"}, seenOf(res, body)); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
		})
	}
	wg.Wait()
}

// busyOnce has no free slot when it is asked first.
type busyOnce struct {
	*lenders
	asked chan struct{}
	once  sync.Once
}

func (b *busyOnce) Borrow(ctx context.Context, owner cawork.VMID, q cadispatch.BorrowRequest) (cadispatch.BorrowGrant, error) {
	first := false
	b.once.Do(func() { first = true })
	if first {
		close(b.asked)
		return cadispatch.BorrowGrant{}, nil
	}
	return b.lenders.Borrow(ctx, owner, q)
}

// A request that comes while the only peer rests after such an answer waits
// for it, since the peer may have a free slot soon.
func TestRequestWaitsForABusyPeer(t *testing.T) {
	busy := &busyOnce{asked: make(chan struct{})}
	l, entries := newEntries(t, 2, func(c *cadispatch.Config) { c.Lender = busy })
	busy.lenders = l
	entries[1].PutUpstream(newStandin(t, echo).upstream("u1"))
	answers := make(chan seen, 2)
	post := func() {
		res, body := entries[0].post(t, "work")
		answers <- seenOf(res, body)
	}
	go post()
	<-busy.asked
	go post()
	want := seen{200, "done", "work"}
	if diff := cmp.Diff([]seen{want, want}, []seen{<-answers, <-answers}); diff != "" {
		t.Errorf("answers (-want +got):\n%s", diff)
	}
}
