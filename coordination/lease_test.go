package coordination_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	tally "github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/coordination"
)

// lossyKeeper reaches a table through faults.
type lossyKeeper struct {
	localKeeper
	faults *faults
}

func (k lossyKeeper) Claim(ctx context.Context, name coordination.LeaseName, c coordination.LeaseClaim) (coordination.LeaseGrant, error) {
	return through(ctx, k.faults, func(ctx context.Context) (coordination.LeaseGrant, error) {
		return k.localKeeper.Claim(ctx, name, c)
	})
}

func (k lossyKeeper) Renew(ctx context.Context, name coordination.LeaseName, r coordination.LeaseRenewal) (coordination.HeldLease, error) {
	return through(ctx, k.faults, func(ctx context.Context) (coordination.HeldLease, error) {
		return k.localKeeper.Renew(ctx, name, r)
	})
}

func (k lossyKeeper) Release(ctx context.Context, name coordination.LeaseName, l coordination.HeldLease) error {
	return k.faults.call(ctx, func(context.Context) error { return k.table.Release(name, l) })
}

// leaseWorld is a table, the instances that compete for its names, and what
// the guarded operations showed.
type leaseWorld struct {
	t         *testing.T
	faults    *faults
	table     *coordination.LeaseTable
	names     []coordination.LeaseName
	instances []coordination.VMID
	holders   map[coordination.VMID]*coordination.LeaseHolder

	mu                sync.Mutex
	last              map[coordination.LeaseName]coordination.Epoch
	by                map[string]coordination.VMID
	accepted, refused int
}

func newLeaseWorld(t *testing.T, f *faults) *leaseWorld {
	w := &leaseWorld{
		t: t, faults: f, names: []coordination.LeaseName{"n1", "n2", "n3", "n4"}, instances: []coordination.VMID{"a", "b", "c"},
		holders: map[coordination.VMID]*coordination.LeaseHolder{},
		last:    map[coordination.LeaseName]coordination.Epoch{}, by: map[string]coordination.VMID{},
		table: coordination.NewLeaseTable(coordination.LeaseTableConfig{MaxTTL: 3 * time.Second}, newDriftClock(1.02)),
	}
	for i, id := range w.instances {
		w.holders[id] = coordination.NewLeaseHolder(coordination.DefaultLeaseConfig(), id, coordination.LeaseDeps{
			Keeper: lossyKeeper{localKeeper{w.table}, f}, Timers: coordination.NewTimersOf(newDriftClock(0.98 + 0.02*float64(i))),
			Log: zerolog.Nop(), Scope: tally.NoopScope, Check: coordination.NewChecker(zerolog.Nop(), tally.NoopScope),
		})
		w.holders[id].SetNames(w.names)
		w.holders[id].SetHolders(w.instances)
	}
	return w
}

// act sends a guarded operation, which arrives up to 5 s late.
func (w *leaseWorld) act(id coordination.VMID) {
	name := w.names[w.faults.below(int64(len(w.names)))]
	if lease, ok := w.holders[id].Lease(name); ok {
		w.faults.late.Go(func() {
			time.Sleep(w.faults.upTo(5 * time.Second))
			w.arrive(id, name, lease)
		})
	}
}

func (w *leaseWorld) arrive(id coordination.VMID, name coordination.LeaseName, lease coordination.Lease) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.table.Check(name, lease.Epoch) != nil {
		w.refused++
		return
	}
	w.accepted++
	key := fmt.Sprint(name, lease.Epoch)
	if other, ok := w.by[key]; ok && other != id {
		w.t.Errorf("%s: epoch %d was used by %s and %s", name, lease.Epoch, other, id)
	}
	if lease.Epoch < w.last[name] {
		w.t.Errorf("%s: epoch %d was accepted after %d", name, lease.Epoch, w.last[name])
	}
	w.by[key], w.last[name] = id, lease.Epoch
}

// holding returns who holds each name, and reports a name that two hold.
func (w *leaseWorld) holding() map[coordination.LeaseName]int {
	count := map[coordination.LeaseName]int{}
	for _, h := range w.holders {
		for _, name := range h.Held() {
			count[name]++
			if count[name] > 1 {
				w.t.Errorf("%s is held twice", name)
			}
		}
	}
	return count
}

func TestOneHolderAtATimeUnderFaults(t *testing.T) {
	underFaults(t, func(t *testing.T, f *faults) {
		w := newLeaseWorld(t, f)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for id, h := range w.holders {
			running.Go(func() { _ = h.Run(ctx) })
			f.repeat(ctx, &running, 100*time.Millisecond, func() { w.act(id) })
			f.repeat(ctx, &running, 8*time.Second, func() {
				view := w.instances
				if f.chance(0.5) {
					view = []coordination.VMID{id}
				}
				h.SetHolders(view)
			})
		}
		f.repeat(ctx, &running, 20*time.Millisecond, func() { w.holding() })
		time.Sleep(faultTime)
		f.heal()
		time.Sleep(quietTime)
		want := map[coordination.LeaseName]int{"n1": 1, "n2": 1, "n3": 1, "n4": 1}
		if diff := cmp.Diff(want, w.holding()); diff != "" {
			t.Errorf("holders after the faults (-want +got):\n%s", diff)
		}
		cancel()
		running.Wait()
		f.late.Wait()
		if w.accepted == 0 || w.refused == 0 {
			t.Errorf("%d operations accepted, %d refused, want some of both", w.accepted, w.refused)
		}
	})
}

// A keeper that lost its table neither grants while a lease may be trusted, nor
// an epoch again.
func TestRestartedLeaseTable(t *testing.T) {
	clock := newDriftClock(1)
	before := coordination.NewLeaseTable(coordination.LeaseTableConfig{MaxTTL: time.Hour}, clock)
	claim := coordination.LeaseClaim{Holder: "a", TTL: time.Hour}
	granted, err := before.Claim("n", claim)
	if err != nil || !granted.Granted {
		t.Fatal(granted, err)
	}
	cfg := coordination.LeaseTableConfig{MaxTTL: time.Hour, Floor: granted.Lease.Epoch, Grace: time.Hour}
	_, early := coordination.NewLeaseTable(cfg, clock).Claim("n", claim)
	cfg.Grace = 0
	after := coordination.NewLeaseTable(cfg, clock)
	again, _ := after.Claim("n", claim)
	_, tooLong := after.Claim("n", coordination.LeaseClaim{Holder: "a", TTL: 2 * time.Hour})
	got := []coordination.Kind{
		coordination.KindOf(early), coordination.KindOf(tooLong), coordination.KindOf(after.Check("n", granted.Lease.Epoch)),
	}
	want := []coordination.Kind{coordination.KindUnavailable, coordination.KindInvalid, coordination.KindFenced}
	if diff := cmp.Diff(want, got); diff != "" || again.Lease.Epoch <= granted.Lease.Epoch {
		t.Errorf("epoch %d after %d, kinds (-want +got):\n%s", again.Lease.Epoch, granted.Lease.Epoch, diff)
	}
}

// A name that is left out is given up at once, and granted anew once its lease
// has lapsed.
func TestNamesComeAndGo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := coordination.NewLeaseTable(coordination.LeaseTableConfig{MaxTTL: 3 * time.Second}, newDriftClock(1))
		h := coordination.NewLeaseHolder(coordination.DefaultLeaseConfig(), "a", coordination.LeaseDeps{
			Keeper: localKeeper{table}, Timers: coordination.NewTimers(), Log: zerolog.Nop(), Scope: tally.NoopScope,
			Check: coordination.NewChecker(zerolog.Nop(), tally.NoopScope),
		})
		h.SetHolders([]coordination.VMID{"a"})
		go func() { _ = h.Run(t.Context()) }()
		both, one := []coordination.LeaseName{"n1", "n2"}, []coordination.LeaseName{"n1"}
		var held [][]coordination.LeaseName
		for _, names := range [][]coordination.LeaseName{both, one, both} {
			h.SetNames(names)
			held = append(held, h.Held())
			time.Sleep(5 * time.Second)
			held = append(held, h.Held())
		}
		if diff := cmp.Diff([][]coordination.LeaseName{nil, both, one, one, one, both}, held); diff != "" {
			t.Errorf("names held before and after each change (-want +got):\n%s", diff)
		}
	})
}
