package cashare_test

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/cashare"
)

func ExampleTable() {
	b := cashare.NewTable()
	b.SetTotal(cawork.Resources{CPU: cawork.Cores(100), Memory: 400 * cawork.GiB})
	north, south := b.Team("north"), b.Team("south")
	b.SetWeight(north, 2)
	b.Charge(north, cawork.Resources{CPU: cawork.Cores(10), Memory: 80 * cawork.GiB})
	b.Charge(south, cawork.Resources{CPU: cawork.Cores(11)})
	fmt.Println(north.Share(), south.Share(), north.Entitlement(0.25), south.Entitlement(0.25))
	// Output: 0.1 0.11 0.5 0.25
}

// randomTeam is a randomly generated team. Its use is in thousandths of the total.
type randomTeam struct {
	weight    int
	use       int64
	wantsMore bool
}

// TestLevelIsMaxMinFair guards against a level whose entitlements do not add up to
// the share in use, so that preemption takes too much or too little.
func TestLevelIsMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draws := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) randomTeam {
			return randomTeam{
				weight:    rapid.IntRange(1, 5).Draw(t, "weight"),
				use:       rapid.Int64Range(0, 300).Draw(t, "use"),
				wantsMore: rapid.Bool().Draw(t, "wants"),
			}
		}), 1, 8).Draw(t, "teams")
		b := cashare.NewTable()
		b.SetTotal(cawork.Resources{CPU: 1000})
		wantsMore := map[*cashare.Team]bool{}
		inUse := 0.0
		for i, d := range draws {
			team := b.Team(cawork.TeamName(fmt.Sprint(i)))
			b.SetWeight(team, d.weight)
			b.Charge(team, cawork.Resources{CPU: cawork.MilliCPU(d.use)})
			wantsMore[team] = d.wantsMore
			inUse += b.DominantShareWith(team, cawork.Resources{})
		}
		level := b.FairLevel(func(team *cashare.Team) bool { return wantsMore[team] })
		allotted, anyWantsMore := 0.0, false
		for _, team := range b.Teams() {
			entitled := team.Entitlement(level)
			if !wantsMore[team] {
				entitled = min(entitled, b.DominantShareWith(team, cawork.Resources{}))
			}
			allotted += entitled
			anyWantsMore = anyWantsMore || wantsMore[team]
		}
		if anyWantsMore && math.Abs(allotted-inUse) > 1e-9 {
			t.Errorf("at level %v the teams are entitled to %v, want the %v in use", level, allotted, inUse)
		}
	})
}
