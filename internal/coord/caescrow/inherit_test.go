package caescrow

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// mortalFleet is a fleet whose accounts are lost for good. The mint and what
// each of the lost ones held is inherited by the holder of the claim.
type mortalFleet struct {
	*fleet
	// lost holds what still runs of each lost account.
	lost map[cawork.ShardID]cawork.Resources
	// holder is the account that may mint, heirs of the lost ones in turn.
	holder cawork.ShardID
	minted bool
}

// die loses an account with all that it holds. What it runs goes on.
func (f *mortalFleet) die(t *rapid.T) {
	if len(f.accounts) == 1 {
		return
	}
	a := f.any(t)
	f.accounts = slices.DeleteFunc(f.accounts, func(other *Account) bool { return other == a })
	f.lost[a.Shard] = a.Charged(team)
	if a.Shard == f.holder {
		f.holder, f.minted = f.any(t).Shard, false
	}
}

// lapse ends what runs of a lost account.
func (f *mortalFleet) lapse(t *rapid.T) { f.lapseOf(f.anyLost(t)) }

func (f *mortalFleet) lapseOf(lost cawork.ShardID) {
	f.used = f.used.Minus(f.lost[lost])
	if _, known := f.lost[lost]; known {
		f.lost[lost] = cawork.Resources{}
	}
}

func (f *mortalFleet) anyLost(t *rapid.T) cawork.ShardID {
	if len(f.lost) == 0 {
		return ""
	}
	var lost []cawork.ShardID
	for s := range f.lost {
		lost = append(lost, s)
	}
	slices.Sort(lost)
	return rapid.SampledFrom(lost).Draw(t, "lost")
}

func (f *mortalFleet) close(t *rapid.T) {
	if lost := f.anyLost(t); lost != "" {
		f.any(t).Close(lost)
	}
}

// inherit lets the holder inherit from a lost account with which all others have
// closed and of which nothing runs.
func (f *mortalFleet) inherit(t *rapid.T) { f.inheritFrom(t, f.anyLost(t)) }

func (f *mortalFleet) inheritFrom(t *rapid.T, lost cawork.ShardID) {
	running := f.lost[lost]
	if lost == "" || !running.IsZero() {
		return
	}
	var closings []Closing
	for _, a := range f.accounts {
		if a.Shard != f.holder && !a.Closed[lost] {
			return
		}
		if a.Shard != f.holder {
			closings = append(closings, a.ClosingWith(lost))
		}
	}
	if err := f.heir().Inherit(lost, closings); err != nil {
		t.Fatal(err)
	}
}

func (f *mortalFleet) heir() *Account {
	i := slices.IndexFunc(f.accounts, func(a *Account) bool { return a.Shard == f.holder })
	return f.accounts[i]
}

// take lets the holder mint once it has inherited from all lost accounts.
func (f *mortalFleet) take(t *rapid.T) {
	for lost := range f.lost {
		if !f.minted && !f.heir().HeirOf[lost] {
			return
		}
	}
	if err := f.heir().SetMint(MintShare{Team: team, Version: 1, Amount: f.limit}); err != nil {
		t.Fatal(err)
	}
	f.minted = true
}

// deliver hands over any transfer ever sent. One of a closed account is refused.
func (f *mortalFleet) deliver(t *rapid.T) {
	if len(f.flying) > 0 {
		f.deliverOne(t, rapid.SampledFrom(f.flying).Draw(t, "transfer"))
	}
}

func (f *mortalFleet) deliverOne(t *rapid.T, tr Transfer) {
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

// finish lets all that is under way come to its end.
func (f *mortalFleet) finish(t *rapid.T) {
	for lost := range f.lost {
		f.lapseOf(lost)
		for _, a := range f.accounts {
			a.Close(lost)
		}
		f.inheritFrom(t, lost)
	}
	f.take(t)
	for _, tr := range f.flying {
		f.deliverOne(t, tr)
	}
}

// TestInheritanceAgainstNaiveCounter loses accounts for good, minting ones and
// others, heirs among them, while transfers are lost, repeated and reordered.
// Nothing is admitted that one counter which knows all would refuse, and in the
// end nothing is stranded.
func TestInheritanceAgainstNaiveCounter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &mortalFleet{fleet: newFleet(4), lost: map[cawork.ShardID]cawork.Resources{}, holder: "a"}
		f.limit, f.highest = cores(20), cores(20)
		f.take(t)
		t.Repeat(map[string]func(*rapid.T){
			"charge": f.charge, "free": f.free, "send": f.send, "deliver": f.deliver, "die": f.die,
			"lapse": f.lapse, "close": f.close, "inherit": f.inherit, "take": f.take,
		})
		f.finish(t)
		if diff := cmp.Diff(f.limit, f.held()); diff != "" {
			t.Fatalf("held and minted differ in the end (-minted +held):\n%s", diff)
		}
	})
}
