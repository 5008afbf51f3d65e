package caescrow

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

func TestDividedSharesAddUpToLimit(t *testing.T) {
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
			t.Fatalf("sum of the shares mismatch (-limit +sum):\n%s", diff)
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
		t.Errorf("holders mismatch (-want +got):\n%s", diff)
	}
}

func TestMintIncreaseWaitsForOtherZonesWhenZonesChange(t *testing.T) {
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
		t.Errorf("shares mismatch (-want +got):\n%s", diff)
	}
}

// TestMintIncreaseWaitsForDebts moves the whole share of a zone that has sent its
// allowance to another. The new share must wait until the debt is repaid, or the
// same allowance would be used twice.
func TestMintIncreaseWaitsForDebts(t *testing.T) {
	decreasing, increasing := NewAccount("a"), NewAccount("b")
	_ = decreasing.SetMint(MintShare{Team: team, Version: 1, Amount: cores(12)})
	_ = increasing.SetMint(MintShare{Team: team, Version: 1})
	tr, _ := decreasing.Send("b", team, cores(12))
	_, _ = increasing.Receive(tr)
	_ = increasing.Charge(team, cores(12))
	_ = decreasing.SetMint(MintShare{Team: team, Version: 2})
	wanted := MintShare{Team: team, Version: 2, Amount: cores(12)}
	nextAmount := func() cawork.Resources {
		return NextMint(increasing.balance(team).Mint, wanted, true, decreasing.IsMintEffective(team, 2)).Amount
	}
	inDebt := nextAmount()
	_ = increasing.Free(team, cores(12))
	back, _ := increasing.Send("a", team, cores(12))
	_, _ = decreasing.Receive(back)
	if diff := cmp.Diff([]cawork.Resources{{}, cores(12)}, []cawork.Resources{inDebt, nextAmount()}); diff != "" {
		t.Errorf("shares before and after the debt is repaid mismatch (-want +got):\n%s", diff)
	}
}
