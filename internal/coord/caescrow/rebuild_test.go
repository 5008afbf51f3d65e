package caescrow

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// fleetWithRebuilds is a fleet whose accounts are rebuilt from older snapshots.
type fleetWithRebuilds struct {
	*fleet
	snapshots map[cawork.ShardID][]byte
	epoch     int64
}

// save takes a snapshot of an account, which may be stale when it is restored.
func (f *fleetWithRebuilds) save(t *rapid.T) { f.saveSnapshot(t, f.drawAccount(t)) }

func (f *fleetWithRebuilds) saveSnapshot(t *rapid.T, a *Account) {
	b, err := cbor.Marshal(a)
	if err != nil {
		t.Fatal(err)
	}
	f.snapshots[a.Shard] = b
}

// lose rebuilds an account from its snapshot. The charges of running tasks are
// known from the upstreams.
func (f *fleetWithRebuilds) lose(t *rapid.T) {
	a := f.drawAccount(t)
	running := a.Charged(team)
	restored := NewAccount(a.Shard)
	if err := cbor.Unmarshal(f.snapshots[a.Shard], restored); err != nil {
		t.Fatal(err)
	}
	*a = *restored
	a.balance(team).Charged = cawork.Resources{}
	a.ChargeRunning(team, running)
	f.epoch++
	a.Rebuild(f.epoch)
}

// settle settles a rebuilt account with one other account, and unfreezes it after
// the last one.
func (f *fleetWithRebuilds) settle(t *rapid.T) {
	a, partner := f.drawAccount(t), f.drawAccount(t)
	if !a.Frozen || a == partner {
		return
	}
	partner.RefuseOldTransfers(a.Shard, a.Epoch)
	if err := a.Settle(partner.TransferCountersWith(a.Shard)); err != nil {
		t.Fatal(err)
	}
	if len(a.Settled) == len(f.accounts)-1 {
		a.Unfreeze()
	}
}

func (f *fleetWithRebuilds) check(t *rapid.T) {
	for _, a := range f.accounts {
		if a.Frozen {
			return
		}
	}
	if diff := cmp.Diff(f.limit, f.held()); diff != "" {
		t.Fatalf("held and minted differ (-minted +held):\n%s", diff)
	}
}

// TestRebuiltAccountsAgainstReferenceCounter rebuilds accounts, several at once and
// repeatedly, without the records after their last snapshots. No charge may raise
// the total use above the limit, and once all accounts are settled they hold the
// whole limit again.
func TestRebuiltAccountsAgainstReferenceCounter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleetWithRebuilds{fleet: newFleet(3), snapshots: map[cawork.ShardID][]byte{}}
		f.limit, f.peakLimit = cores(20), cores(20)
		if err := f.accounts[0].SetMint(MintShare{Team: team, Amount: f.limit}); err != nil {
			t.Fatal(err)
		}
		for _, a := range f.accounts {
			f.saveSnapshot(t, a)
		}
		t.Repeat(map[string]func(*rapid.T){
			"charge": f.charge, "free": f.free, "send": f.send, "deliver": f.deliver,
			"save": f.save, "lose": f.lose, "settle": f.settle, "": f.check,
		})
	})
}

func TestCountersOfAnEarlierRebuildAreRefused(t *testing.T) {
	a, b := NewAccount("a"), NewAccount("b")
	a.Rebuild(1)
	b.RefuseOldTransfers("a", a.Epoch)
	old := b.TransferCountersWith("a")
	a.Rebuild(2)
	if diff := cmp.Diff(cakind.KindStaleVersion, cakind.Of(a.Settle(old))); diff != "" {
		t.Errorf("error kind mismatch (-want +got):\n%s", diff)
	}
}
