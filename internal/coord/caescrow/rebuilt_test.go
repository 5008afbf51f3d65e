package caescrow

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// lossyFleet is a fleet whose accounts are lost and rebuilt from older copies.
type lossyFleet struct {
	*fleet
	copies map[cawork.ShardID][]byte
	epoch  int64
}

// save keeps a copy of an account, which may be old when it is needed.
func (f *lossyFleet) save(t *rapid.T) { f.saveCopy(t, f.any(t)) }

func (f *lossyFleet) saveCopy(t *rapid.T, a *Account) {
	b, err := cbor.Marshal(a)
	if err != nil {
		t.Fatal(err)
	}
	f.copies[a.Shard] = b
}

// lose replaces an account by its copy. What runs is found at the upstreams.
func (f *lossyFleet) lose(t *rapid.T) {
	a := f.any(t)
	running := a.Charged(team)
	fresh := NewAccount(a.Shard)
	if err := cbor.Unmarshal(f.copies[a.Shard], fresh); err != nil {
		t.Fatal(err)
	}
	*a = *fresh
	a.balance(team).Charged = cawork.Resources{}
	a.ChargeRunning(team, running)
	f.epoch++
	a.Rebuild(f.epoch)
}

// settle settles a rebuilt account with one other, and thaws it after the last.
func (f *lossyFleet) settle(t *rapid.T) {
	a, partner := f.any(t), f.any(t)
	if !a.Frozen || a == partner {
		return
	}
	partner.RefuseLost(a.Shard, a.Epoch)
	if err := a.Settle(partner.DealingsWith(a.Shard)); err != nil {
		t.Fatal(err)
	}
	if len(a.Settled) == len(f.accounts)-1 {
		a.Thaw()
	}
}

func (f *lossyFleet) check(t *rapid.T) {
	for _, a := range f.accounts {
		if a.Frozen {
			return
		}
	}
	if diff := cmp.Diff(f.limit, f.held()); diff != "" {
		t.Fatalf("held and minted differ (-minted +held):\n%s", diff)
	}
}

// TestRebuiltAccountsAgainstNaiveCounter loses accounts, together and again,
// with the records after their last copies. Nothing is admitted that one counter
// which knows all would refuse, and once all are settled nothing is stranded.
func TestRebuiltAccountsAgainstNaiveCounter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &lossyFleet{fleet: newFleet(3), copies: map[cawork.ShardID][]byte{}}
		f.limit, f.highest = cores(20), cores(20)
		if err := f.accounts[0].SetMint(MintShare{Team: team, Amount: f.limit}); err != nil {
			t.Fatal(err)
		}
		for _, a := range f.accounts {
			f.saveCopy(t, a)
		}
		t.Repeat(map[string]func(*rapid.T){
			"charge": f.charge, "free": f.free, "send": f.send, "deliver": f.deliver,
			"save": f.save, "lose": f.lose, "settle": f.settle, "": f.check,
		})
	})
}

func TestDealingsOfAFormerRebuildAreRefused(t *testing.T) {
	a, b := NewAccount("a"), NewAccount("b")
	a.Rebuild(1)
	b.RefuseLost("a", a.Epoch)
	old := b.DealingsWith("a")
	a.Rebuild(2)
	if diff := cmp.Diff(cakind.KindStaleVersion, cakind.Of(a.Settle(old))); diff != "" {
		t.Errorf("kind mismatch (-want +got):\n%s", diff)
	}
}
