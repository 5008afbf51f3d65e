package caescrow

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// fleetWithLosses is a fleet whose accounts can be lost permanently. The holder of
// the claim inherits their allowances and mints the limit.
type fleetWithLosses struct {
	*fleet
	// runningOfLost holds the resources that tasks of each lost account still use.
	runningOfLost map[cawork.ShardID]cawork.Resources
	// holder is the account that may mint. If it is lost, another one replaces it.
	holder cawork.ShardID
	minted bool
}

// destroy removes an account permanently. Its tasks keep running.
func (f *fleetWithLosses) destroy(t *rapid.T) {
	if len(f.accounts) == 1 {
		return
	}
	a := f.drawAccount(t)
	f.accounts = slices.DeleteFunc(f.accounts, func(other *Account) bool { return other == a })
	f.runningOfLost[a.Shard] = a.Charged(team)
	if a.Shard == f.holder {
		f.holder, f.minted = f.drawAccount(t).Shard, false
	}
}

// lapse ends the tasks of a lost account, whose leases have lapsed.
func (f *fleetWithLosses) lapse(t *rapid.T) { f.lapseOf(f.drawLost(t)) }

func (f *fleetWithLosses) lapseOf(lost cawork.ShardID) {
	f.used = f.used.Minus(f.runningOfLost[lost])
	if _, isLost := f.runningOfLost[lost]; isLost {
		f.runningOfLost[lost] = cawork.Resources{}
	}
}

func (f *fleetWithLosses) drawLost(t *rapid.T) cawork.ShardID {
	if len(f.runningOfLost) == 0 {
		return ""
	}
	var lost []cawork.ShardID
	for s := range f.runningOfLost {
		lost = append(lost, s)
	}
	slices.Sort(lost)
	return rapid.SampledFrom(lost).Draw(t, "lost")
}

func (f *fleetWithLosses) close(t *rapid.T) {
	if lost := f.drawLost(t); lost != "" {
		f.drawAccount(t).ClosePartner(lost)
	}
}

// inherit lets the holder inherit from a lost account that has no running tasks
// and that all other accounts have closed.
func (f *fleetWithLosses) inherit(t *rapid.T) { f.inheritFrom(t, f.drawLost(t)) }

func (f *fleetWithLosses) inheritFrom(t *rapid.T, lost cawork.ShardID) {
	running := f.runningOfLost[lost]
	if lost == "" || !running.IsZero() {
		return
	}
	var closings []ClosingBalance
	for _, a := range f.accounts {
		if a.Shard != f.holder && !a.Closed[lost] {
			return
		}
		if a.Shard != f.holder {
			closings = append(closings, a.ClosingBalanceWith(lost))
		}
	}
	if err := f.heir().Inherit(lost, closings); err != nil {
		t.Fatal(err)
	}
}

func (f *fleetWithLosses) heir() *Account {
	i := slices.IndexFunc(f.accounts, func(a *Account) bool { return a.Shard == f.holder })
	return f.accounts[i]
}

// takeMint lets the holder mint once it has inherited from all lost accounts.
func (f *fleetWithLosses) takeMint(t *rapid.T) {
	for lost := range f.runningOfLost {
		if !f.minted && !f.heir().HeirOf[lost] {
			return
		}
	}
	if err := f.heir().SetMint(MintShare{Team: team, Version: 1, Amount: f.limit}); err != nil {
		t.Fatal(err)
	}
	f.minted = true
}

// deliver delivers a randomly drawn transfer. Those from closed accounts are
// refused.
func (f *fleetWithLosses) deliver(t *rapid.T) {
	if len(f.transfers) > 0 {
		f.deliverOne(t, rapid.SampledFrom(f.transfers).Draw(t, "transfer"))
	}
}

func (f *fleetWithLosses) deliverOne(t *rapid.T, tr Transfer) {
	for _, a := range f.accounts {
		if a.Shard != tr.To {
			continue
		}
		_, err := a.Receive(tr)
		if err != nil && (!a.Closed[tr.From] || cakind.Of(err) != cakind.KindConflict) {
			t.Fatal(err)
		}
	}
}

// finish ends the tasks of all lost accounts, completes their inheritance and
// delivers all transfers.
func (f *fleetWithLosses) finish(t *rapid.T) {
	for lost := range f.runningOfLost {
		f.lapseOf(lost)
		for _, a := range f.accounts {
			a.ClosePartner(lost)
		}
		f.inheritFrom(t, lost)
	}
	f.takeMint(t)
	for _, tr := range f.transfers {
		f.deliverOne(t, tr)
	}
}

// TestInheritanceAgainstReferenceCounter removes accounts permanently, including
// minting ones and heirs, while transfers are lost, repeated and reordered. No
// charge may raise the total use above the limit, and in the end the remaining
// accounts hold the whole limit again.
func TestInheritanceAgainstReferenceCounter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleetWithLosses{fleet: newFleet(4), runningOfLost: map[cawork.ShardID]cawork.Resources{}, holder: "a"}
		f.limit, f.peakLimit = cores(20), cores(20)
		f.takeMint(t)
		t.Repeat(map[string]func(*rapid.T){
			"charge": f.charge, "free": f.free, "send": f.send, "deliver": f.deliver, "destroy": f.destroy,
			"lapse": f.lapse, "close": f.close, "inherit": f.inherit, "take mint": f.takeMint,
		})
		f.finish(t)
		if diff := cmp.Diff(f.limit, f.held()); diff != "" {
			t.Fatalf("held and minted differ in the end (-minted +held):\n%s", diff)
		}
	})
}
