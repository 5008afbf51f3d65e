package caescrow

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

const team cawork.TeamName = "t"

func cores(n int64) cawork.Resources { return cawork.Resources{CPU: cawork.Cores(n)} }

// fleet is a few accounts and the transfers on their way, which may be lost,
// repeated and reordered, beside one naive counter that knows all.
type fleet struct {
	accounts []*Account
	flying   []Transfer
	limit    cawork.Resources
	highest  cawork.Resources
	used     cawork.Resources
}

func newFleet(n int) *fleet {
	f := &fleet{}
	for i := range n {
		f.accounts = append(f.accounts, NewAccount(cawork.ShardID(rune('a'+i))))
	}
	return f
}

func (f *fleet) any(t *rapid.T) *Account {
	return f.accounts[rapid.IntRange(0, len(f.accounts)-1).Draw(t, "account")]
}

func (f *fleet) mint(t *rapid.T) {
	a := f.any(t)
	b := a.balance(team)
	next := MintShare{Team: team, Version: b.Mint.Version + 1, Amount: cores(rapid.Int64Range(0, 20).Draw(t, "minted"))}
	f.limit = f.limit.Minus(b.Mint.Amount).Plus(next.Amount)
	if f.highest.CPU < f.limit.CPU {
		f.highest = f.limit
	}
	if err := a.SetMint(next); err != nil {
		t.Fatal(err)
	}
}

func (f *fleet) charge(t *rapid.T) {
	amount := cores(rapid.Int64Range(1, 8).Draw(t, "charge"))
	if f.any(t).Charge(team, amount) != nil {
		return
	}
	f.used = f.used.Plus(amount)
	if !f.used.Fits(f.highest) {
		t.Fatalf("the naive counter would refuse %v: %v of %v", amount, f.used, f.highest)
	}
}

func (f *fleet) free(t *rapid.T) {
	a := f.any(t)
	if charged := a.Charged(team); !charged.IsZero() {
		if err := a.Free(team, cores(1)); err != nil {
			t.Fatal(err)
		}
		f.used = f.used.Minus(cores(1))
	}
}

func (f *fleet) send(t *rapid.T) {
	from, to := f.any(t), f.any(t)
	tr, err := from.Send(to.Shard, team, cores(rapid.Int64Range(1, 10).Draw(t, "sent")))
	if err == nil {
		f.flying = append(f.flying, tr)
	}
}

// deliver hands over any transfer ever sent, as often as it is drawn.
func (f *fleet) deliver(t *rapid.T) {
	if len(f.flying) == 0 {
		return
	}
	tr := f.flying[rapid.IntRange(0, len(f.flying)-1).Draw(t, "transfer")]
	for _, a := range f.accounts {
		if a.Shard != tr.To {
			continue
		}
		if _, err := a.Receive(tr); err != nil {
			t.Fatal(err)
		}
	}
	for _, a := range f.accounts {
		if a.Shard == tr.From {
			a.Acknowledge(tr.To, tr.Team, tr.Number)
		}
	}
}

// held sums what all shards hold and what is on its way between them.
func (f *fleet) held() cawork.Resources {
	var sum cawork.Resources
	for _, a := range f.accounts {
		sum = sum.Plus(a.Held(team))
		for _, other := range f.accounts {
			sent := a.balance(team).Sent[other.Shard].Total
			sum = sum.Plus(sent.Minus(other.balance(team).Received[a.Shard].Total))
		}
	}
	return sum
}

func TestAccountsAgainstNaiveCounter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(4)
		t.Repeat(map[string]func(*rapid.T){
			"mint": f.mint, "charge": f.charge, "free": f.free, "send": f.send, "deliver": f.deliver,
			"": func(t *rapid.T) {
				if diff := cmp.Diff(f.limit, f.held()); diff != "" {
					t.Fatalf("held and minted differ (-minted +held):\n%s", diff)
				}
			},
		})
	})
}

func TestLostShardIsInherited(t *testing.T) {
	f := newFleet(3)
	a, b, c := f.accounts[0], f.accounts[1], f.accounts[2]
	if err := a.SetMint(MintShare{Team: team, Version: 1, Amount: cores(30)}); err != nil {
		t.Fatal(err)
	}
	toB, _ := a.Send(b.Shard, team, cores(10))
	late, _ := a.Send(c.Shard, team, cores(5))
	_, _ = b.Receive(toB)
	back, _ := b.Send(a.Shard, team, cores(3))
	_, _ = a.Receive(back)
	if err := b.SetMint(MintShare{Team: team, Version: 1, Amount: cores(30)}); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if err := b.Inherit(a.Shard, []Closing{c.Close(a.Shard), c.Close(a.Shard)}); err != nil {
			t.Fatal(err)
		}
	}
	if diff := cmp.Diff(cores(30), b.Held(team).Plus(c.Held(team))); diff != "" {
		t.Errorf("held by the heirs (-want +got):\n%s", diff)
	}
	_, err := c.Receive(late)
	if diff := cmp.Diff(cakind.KindConflict, cakind.Of(err)); diff != "" {
		t.Errorf("kind of a late transfer (-want +got):\n%s", diff)
	}
}

func TestChargeRefusals(t *testing.T) {
	a := NewAccount("a")
	_ = a.SetMint(MintShare{Team: team, Version: 2, Amount: cores(4)})
	_, toSelf := a.Send("a", team, cores(1))
	_, tooMuch := a.Send("b", team, cores(5))
	_, misdirected := a.Receive(Transfer{From: "b", To: "c", Team: team, Number: 1, Total: cores(1)})
	got := []cakind.Kind{
		cakind.Of(a.Charge(team, cores(5))),
		cakind.Of(a.Charge(team, cores(-1))),
		cakind.Of(a.Free(team, cores(1))),
		cakind.Of(a.SetMint(MintShare{Team: team, Version: 1})),
		cakind.Of(toSelf), cakind.Of(tooMuch), cakind.Of(misdirected),
	}
	want := []cakind.Kind{
		cakind.KindLimitReached, cakind.KindInvalid, cakind.KindInternal, cakind.KindStaleVersion,
		cakind.KindInvalid, cakind.KindLimitReached, cakind.KindInvalid,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("kinds (-want +got):\n%s", diff)
	}
}
