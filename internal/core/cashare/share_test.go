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

// teamDraw is a team as drawn at random, with its use in thousandths.
type teamDraw struct {
	weight int
	use    int64
	wants  bool
}

func TestLevelIsMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draws := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) teamDraw {
			return teamDraw{
				weight: rapid.IntRange(1, 5).Draw(t, "weight"),
				use:    rapid.Int64Range(0, 300).Draw(t, "use"),
				wants:  rapid.Bool().Draw(t, "wants"),
			}
		}), 1, 8).Draw(t, "teams")
		b := cashare.NewTable()
		b.SetTotal(cawork.Resources{CPU: 1000})
		wants := map[*cashare.Team]bool{}
		inUse := 0.0
		for i, d := range draws {
			team := b.Team(cawork.TeamName(fmt.Sprint(i)))
			b.SetWeight(team, d.weight)
			b.Charge(team, cawork.Resources{CPU: cawork.MilliCPU(d.use)})
			wants[team] = d.wants
			inUse += b.Dominant(team, cawork.Resources{})
		}
		level := b.Level(func(team *cashare.Team) bool { return wants[team] })
		given, hungry := 0.0, false
		for _, team := range b.Teams() {
			owed := team.Entitlement(level)
			if !wants[team] {
				owed = min(owed, b.Dominant(team, cawork.Resources{}))
			}
			given += owed
			hungry = hungry || wants[team]
		}
		if hungry && math.Abs(given-inUse) > 1e-9 {
			t.Errorf("the level %v gives %v of %v", level, given, inUse)
		}
	})
}
