package caescrow

import (
	"flag"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

const team cawork.TeamName = "t"

// TestMain sets a fixed seed and number of checks for the property tests unless
// flags set them.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20240601")
	}
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("1000")
	}
	os.Exit(m.Run())
}

func cores(n int64) cawork.Resources { return cawork.Resources{CPU: cawork.Cores(n)} }

// fleet is a set of accounts with the transfers sent between them, which may be
// lost, repeated and reordered, and a reference counter of the total use.
type fleet struct {
	accounts  []*Account
	transfers []Transfer
	limit     cawork.Resources
	// peakLimit is the sum of the largest share that each account ever minted. It
	// is an upper bound of every limit that was in force.
	peakLimit cawork.Resources
	peakMint  map[cawork.ShardID]cawork.Resources
	used      cawork.Resources
}

func newFleet(n int) *fleet {
	f := &fleet{peakMint: map[cawork.ShardID]cawork.Resources{}}
	for i := range n {
		f.accounts = append(f.accounts, NewAccount(cawork.ShardID(rune('a'+i))))
	}
	return f
}

func (f *fleet) drawAccount(t *rapid.T) *Account {
	return f.accounts[rapid.IntRange(0, len(f.accounts)-1).Draw(t, "account")]
}

func (f *fleet) mint(t *rapid.T) {
	a := f.drawAccount(t)
	b := a.balance(team)
	next := MintShare{Team: team, Version: b.Mint.Version + 1, Amount: cores(rapid.Int64Range(0, 20).Draw(t, "minted"))}
	f.limit = f.limit.Minus(b.Mint.Amount).Plus(next.Amount)
	if err := a.SetMint(next); err != nil {
		t.Fatal(err)
	}
	if increase := next.Amount.Minus(f.peakMint[a.Shard]).Floor(); !increase.IsZero() {
		f.peakMint[a.Shard] = next.Amount
		f.peakLimit = f.peakLimit.Plus(increase)
	}
}

// redivide applies the next step of a new division of the same limit at one
// randomly drawn account.
func (f *fleet) redivide(t *rapid.T, parts []int64, version int64) {
	effective := true
	for _, a := range f.accounts {
		effective = effective && a.IsMintEffective(team, version)
	}
	i := rapid.IntRange(0, len(f.accounts)-1).Draw(t, "minting")
	b := f.accounts[i].balance(team)
	next := NextMint(b.Mint, MintShare{Team: team, Version: version, Amount: cores(parts[i])}, true, effective)
	if err := f.accounts[i].SetMint(next); err != nil {
		t.Fatal(err)
	}
}

func (f *fleet) charge(t *rapid.T) {
	amount := cores(rapid.Int64Range(1, 8).Draw(t, "charge"))
	if f.drawAccount(t).Charge(team, amount) != nil {
		return
	}
	f.used = f.used.Plus(amount)
	if !f.used.Fits(f.peakLimit) {
		t.Fatalf("charge of %v raises the total use to %v, above the limit of %v", amount, f.used, f.peakLimit)
	}
}

func (f *fleet) free(t *rapid.T) {
	a := f.drawAccount(t)
	if charged := a.Charged(team); !charged.IsZero() {
		if err := a.Free(team, cores(1)); err != nil {
			t.Fatal(err)
		}
		f.used = f.used.Minus(cores(1))
	}
}

func (f *fleet) send(t *rapid.T) {
	from, to := f.drawAccount(t), f.drawAccount(t)
	tr, err := from.Send(to.Shard, team, cores(rapid.Int64Range(1, 10).Draw(t, "sent")))
	if err == nil {
		f.transfers = append(f.transfers, tr)
	}
}

// deliver delivers and acknowledges a randomly drawn transfer, possibly again.
func (f *fleet) deliver(t *rapid.T) {
	if len(f.transfers) == 0 {
		return
	}
	tr := f.transfers[rapid.IntRange(0, len(f.transfers)-1).Draw(t, "transfer")]
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

// held returns the sum of the allowances of all shards and the amounts in transit.
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

func TestAccountsAgainstReferenceCounter(t *testing.T) {
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

// TestRedivisionNeverExceedsTheLimit moves the shares of one limit between zones.
// It guards against a zone that mints more as soon as all zones have applied the
// version: another zone, whose share was lowered, may have sent its allowance
// away, and that is still in use, so that the total exceeds the limit.
func TestRedivisionNeverExceedsTheLimit(t *testing.T) {
	divisions := [][]int64{{12, 0, 0, 0}, {0, 12, 0, 0}, {0, 0, 6, 6}, {3, 3, 3, 3}}
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(4)
		version := 0
		f.limit, f.peakLimit = cores(12), cores(12)
		if err := f.accounts[0].SetMint(MintShare{Team: team, Amount: cores(12)}); err != nil {
			t.Fatal(err)
		}
		t.Repeat(map[string]func(*rapid.T){
			"charge": f.charge, "free": f.free, "send": f.send, "deliver": f.deliver,
			"divide":   func(*rapid.T) { version++ },
			"redivide": func(t *rapid.T) { f.redivide(t, divisions[version%len(divisions)], int64(version)) },
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
		if err := b.Inherit(a.Shard, []ClosingBalance{c.ClosePartner(a.Shard), c.ClosePartner(a.Shard)}); err != nil {
			t.Fatal(err)
		}
	}
	if diff := cmp.Diff(cores(30), b.Held(team).Plus(c.Held(team))); diff != "" {
		t.Errorf("allowance of the remaining shards mismatch (-want +got):\n%s", diff)
	}
	_, err := c.Receive(late)
	if diff := cmp.Diff(cakind.KindConflict, cakind.Of(err)); diff != "" {
		t.Errorf("error kind of a late transfer mismatch (-want +got):\n%s", diff)
	}
}

func TestInvalidOperationsAreRefused(t *testing.T) {
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
		t.Errorf("error kinds mismatch (-want +got):\n%s", diff)
	}
}
