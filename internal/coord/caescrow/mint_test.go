package caescrow

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

func TestDivideAddsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := cawork.Resources{
			CPU:          cawork.MilliCPU(rapid.Int64Range(0, 1e6).Draw(t, "cpu")),
			Accelerators: rapid.Int64Range(0, 100).Draw(t, "accelerators"),
		}
		zones := rapid.SliceOfN(rapid.SampledFrom([]cawork.ZoneName{"a", "b", "c", "d"}), 1, 6).Draw(t, "zones")
		var sum cawork.Resources
		for _, s := range Divide(limit, zones) {
			sum = sum.Plus(s.Amount)
		}
		if diff := cmp.Diff(limit, sum); diff != "" {
			t.Fatalf("sum of the parts (-limit +sum):\n%s", diff)
		}
	})
}

func TestFirstClaimOfAGenerationWins(t *testing.T) {
	c := NewClaims()
	for _, claim := range []Claim{
		{Zone: "a", Generation: 1, Shard: "s1"},
		{Zone: "a", Generation: 1, Shard: "s2"},
		{Zone: "b", Generation: 1, Shard: "s2"},
		{Zone: "a", Generation: 2, Shard: "s3"},
		{Zone: "a", Generation: 1, Shard: "s4"},
	} {
		c.Apply(claim)
	}
	a, _ := c.Holder("a")
	b, _ := c.Holder("b")
	want := []Claim{{Zone: "a", Generation: 2, Shard: "s3"}, {Zone: "b", Generation: 1, Shard: "s2"}}
	if diff := cmp.Diff(want, []Claim{a, b}); diff != "" {
		t.Errorf("holders (-want +got):\n%s", diff)
	}
}

func TestRiseWaitsForOtherZonesWhenZonesChange(t *testing.T) {
	current := MintShare{Team: team, Version: 1, Amount: cores(10)}
	wanted := MintShare{Team: team, Version: 2, Amount: cores(25)}
	got := []MintShare{
		NextMint(current, wanted, true, false),
		NextMint(current, wanted, true, true),
		NextMint(current, wanted, false, false),
		NextMint(wanted, current, true, false),
	}
	want := []MintShare{{Team: team, Version: 2, Amount: cores(10)}, wanted, wanted, current}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("shares (-want +got):\n%s", diff)
	}
}

// TestRiseWaitsForDebts moves the whole part of a zone that has sent it away.
func TestRiseWaitsForDebts(t *testing.T) {
	falling, rising := NewAccount("a"), NewAccount("b")
	_ = falling.SetMint(MintShare{Team: team, Version: 1, Amount: cores(12)})
	_ = rising.SetMint(MintShare{Team: team, Version: 1})
	tr, _ := falling.Send("b", team, cores(12))
	_, _ = rising.Receive(tr)
	_ = rising.Charge(team, cores(12))
	_ = falling.SetMint(MintShare{Team: team, Version: 2})
	wanted := MintShare{Team: team, Version: 2, Amount: cores(12)}
	rise := func() cawork.Resources {
		return NextMint(rising.balance(team).Mint, wanted, true, falling.IsMintSettled(team, 2)).Amount
	}
	inDebt := rise()
	_ = rising.Free(team, cores(12))
	back, _ := rising.Send("a", team, cores(12))
	_, _ = falling.Receive(back)
	if diff := cmp.Diff([]cawork.Resources{{}, cores(12)}, []cawork.Resources{inDebt, rise()}); diff != "" {
		t.Errorf("rises before and after the debt is paid (-want +got):\n%s", diff)
	}
}
