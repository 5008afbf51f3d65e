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

// lossyKeeper injects faults into the calls to a table.
type lossyKeeper struct {
	localKeeper
	faults *faults
}

func (k lossyKeeper) Claim(ctx context.Context, name coordination.LeaseName, c coordination.LeaseClaim) (coordination.LeaseGrant, error) {
	return withFaults(ctx, k.faults, func(ctx context.Context) (coordination.LeaseGrant, error) {
		return k.localKeeper.Claim(ctx, name, c)
	})
}

func (k lossyKeeper) Renew(ctx context.Context, name coordination.LeaseName, r coordination.LeaseRenewal) (coordination.HeldLease, error) {
	return withFaults(ctx, k.faults, func(ctx context.Context) (coordination.HeldLease, error) {
		return k.localKeeper.Renew(ctx, name, r)
	})
}

func (k lossyKeeper) Release(ctx context.Context, name coordination.LeaseName, l coordination.HeldLease) error {
	return k.faults.callWithFaults(ctx, func(context.Context) error { return k.table.Release(name, l) })
}

// leaseCluster is a table, the instances that compete for its names, and the
// outcomes of the operations that the table guards.
type leaseCluster struct {
	t         *testing.T
	faults    *faults
	table     *coordination.LeaseTable
	names     []coordination.LeaseName
	instances []coordination.VMID
	holders   map[coordination.VMID]*coordination.LeaseHolder

	mu                sync.Mutex
	lastEpoch         map[coordination.LeaseName]coordination.Epoch
	epochUser         map[string]coordination.VMID
	accepted, refused int
}

func newLeaseCluster(t *testing.T, f *faults) *leaseCluster {
	c := &leaseCluster{
		t: t, faults: f, names: []coordination.LeaseName{"n1", "n2", "n3", "n4"}, instances: []coordination.VMID{"a", "b", "c"},
		holders:   map[coordination.VMID]*coordination.LeaseHolder{},
		lastEpoch: map[coordination.LeaseName]coordination.Epoch{}, epochUser: map[string]coordination.VMID{},
		table: coordination.NewLeaseTable(coordination.LeaseTableConfig{MaxTTL: 3 * time.Second}, newDriftClock(1.02)),
	}
	for i, id := range c.instances {
		c.holders[id] = coordination.NewLeaseHolder(coordination.DefaultLeaseConfig(), id, coordination.LeaseDeps{
			Keeper: lossyKeeper{localKeeper{c.table}, f}, Timers: coordination.NewTimersOf(newDriftClock(0.98 + 0.02*float64(i))),
			Log: zerolog.Nop(), Scope: tally.NoopScope, Check: coordination.NewChecker(zerolog.Nop(), tally.NoopScope),
		})
		c.holders[id].SetNames(c.names)
		c.holders[id].SetHolders(c.instances)
	}
	return c
}

// sendOperation sends an operation under a random lease of the instance, if it
// holds that lease. The operation arrives up to 5 s later.
func (c *leaseCluster) sendOperation(id coordination.VMID) {
	name := c.names[c.faults.randomInt(int64(len(c.names)))]
	if lease, ok := c.holders[id].Lease(name); ok {
		c.faults.background.Go(func() {
			time.Sleep(c.faults.randomDelay(5 * time.Second))
			c.handleOperation(id, name, lease)
		})
	}
}

func (c *leaseCluster) handleOperation(id coordination.VMID, name coordination.LeaseName, lease coordination.Lease) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table.Check(name, lease.Epoch) != nil {
		c.refused++
		return
	}
	c.accepted++
	key := fmt.Sprint(name, lease.Epoch)
	if other, ok := c.epochUser[key]; ok && other != id {
		c.t.Errorf("%s: epoch %d was used by %s and %s", name, lease.Epoch, other, id)
	}
	if lease.Epoch < c.lastEpoch[name] {
		c.t.Errorf("%s: epoch %d was accepted after %d", name, lease.Epoch, c.lastEpoch[name])
	}
	c.epochUser[key], c.lastEpoch[name] = id, lease.Epoch
}

// holderCounts returns the number of holders of each name. More than one is a
// test failure.
func (c *leaseCluster) holderCounts() map[coordination.LeaseName]int {
	count := map[coordination.LeaseName]int{}
	for _, h := range c.holders {
		for _, name := range h.Held() {
			count[name]++
			if count[name] > 1 {
				c.t.Errorf("%s is held twice", name)
			}
		}
	}
	return count
}

// Guards against two holders of a name at once, and against an operation that
// is accepted under an epoch below the last accepted one. Clocks drift, the
// views of the live instances differ, and calls and answers are lost, late or
// repeated.
func TestOneHolderAtATimeUnderFaults(t *testing.T) {
	forEachSeed(t, func(t *testing.T, f *faults) {
		c := newLeaseCluster(t, f)
		ctx, cancel := context.WithCancel(t.Context())
		var workers sync.WaitGroup
		for id, h := range c.holders {
			workers.Go(func() { _ = h.Run(ctx) })
			f.repeat(ctx, &workers, 100*time.Millisecond, func() { c.sendOperation(id) })
			f.repeat(ctx, &workers, 8*time.Second, func() {
				live := c.instances
				if f.chance(0.5) {
					live = []coordination.VMID{id}
				}
				h.SetHolders(live)
			})
		}
		f.repeat(ctx, &workers, 20*time.Millisecond, func() { c.holderCounts() })
		time.Sleep(faultDuration)
		f.stop()
		time.Sleep(recoveryDuration)
		want := map[coordination.LeaseName]int{"n1": 1, "n2": 1, "n3": 1, "n4": 1}
		if diff := cmp.Diff(want, c.holderCounts()); diff != "" {
			t.Errorf("holders after the faults (-want +got):\n%s", diff)
		}
		cancel()
		workers.Wait()
		f.background.Wait()
		if c.accepted == 0 || c.refused == 0 {
			t.Errorf("%d operations accepted, %d refused, want some of both", c.accepted, c.refused)
		}
	})
}

// Guards against a keeper that restarts without its table and grants a name
// while a holder may still trust its former lease, or grants a used epoch
// again.
func TestRestartedLeaseTable(t *testing.T) {
	clock := newDriftClock(1)
	lostTable := coordination.NewLeaseTable(coordination.LeaseTableConfig{MaxTTL: time.Hour}, clock)
	claim := coordination.LeaseClaim{Holder: "a", TTL: time.Hour}
	granted, err := lostTable.Claim("n", claim)
	if err != nil || !granted.Granted {
		t.Fatal(granted, err)
	}
	cfg := coordination.LeaseTableConfig{MaxTTL: time.Hour, Floor: granted.Lease.Epoch, Grace: time.Hour}
	_, errEarly := coordination.NewLeaseTable(cfg, clock).Claim("n", claim)
	cfg.Grace = 0
	newTable := coordination.NewLeaseTable(cfg, clock)
	regranted, _ := newTable.Claim("n", claim)
	_, errTooLong := newTable.Claim("n", coordination.LeaseClaim{Holder: "a", TTL: 2 * time.Hour})
	got := []coordination.Kind{
		coordination.KindOf(errEarly), coordination.KindOf(errTooLong), coordination.KindOf(newTable.Check("n", granted.Lease.Epoch)),
	}
	want := []coordination.Kind{coordination.KindUnavailable, coordination.KindInvalid, coordination.KindFenced}
	if diff := cmp.Diff(want, got); diff != "" || regranted.Lease.Epoch <= granted.Lease.Epoch {
		t.Errorf("epoch %d after %d, kinds (-want +got):\n%s", regranted.Lease.Epoch, granted.Lease.Epoch, diff)
	}
}

// A name that is removed from the list must be given up at once, and be granted
// again when it returns to the list after its lease has expired.
func TestRemovedNamesAreDroppedAndGrantedAgain(t *testing.T) {
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
