package caplace_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/caplace"
	"celeryarch.example/celeryarch/internal/core/casched"
)

func init() {
	if err := flag.Set("rapid.seed", "20260"); err != nil {
		panic(err)
	}
}

func cores(n int64) caplace.Demand {
	return caplace.Demand{Size: cawork.Resources{CPU: cawork.Cores(n)}}
}

func ExampleIndex_Best() {
	x := caplace.NewIndex()
	for i, n := range []int64{8, 3, 5} {
		x.Put(casched.Upstream{ID: cawork.UpstreamID(fmt.Sprintf("u%d", i)), Capacity: cores(n).Size})
	}
	pack, _ := x.Best(&caplace.Query{Demand: cores(2)})
	spread, _ := x.Best(&caplace.Query{Demand: cores(2), Placement: cawork.PlacementSpread})
	fmt.Println(x.ID(pack), x.ID(spread))
	// Output: u1 u0
}

// allocation is capacity that was committed on an upstream.
type allocation struct {
	host   caplace.HostIndex
	demand caplace.Demand
}

// fitsAnywhere reports whether the query fits on any open upstream. It checks each
// of them.
func fitsAnywhere(x *caplace.Index, q *caplace.Query) bool {
	for h := range x.HostBound() {
		if x.StateOf(h) == caplace.StateOpen && x.Upstream(h).Admits(q.Constraints) && q.Demand.Fits(x.FreeOn(h)) {
			return true
		}
	}
	return false
}

// TestBestFindsUpstreamWheneverOneFits compares Best with a search without blocks
// while upstreams and tasks come and go, to guard against block maxima or totals
// that such a change leaves stale.
func TestBestFindsUpstreamWheneverOneFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := caplace.NewIndex()
		var allocations []allocation
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			id := cawork.UpstreamID(fmt.Sprintf("u%d", rapid.IntRange(0, 80).Draw(t, "upstream")))
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0:
				x.Put(casched.Upstream{
					ID: id, Rack: rapid.SampledFrom([]cawork.RackName{"r1", "r2"}).Draw(t, "rack"),
					Capacity: cores(8).Size, Leaving: rapid.IntRange(0, 4).Draw(t, "leaving") == 0,
				})
			case 1:
				x.Remove(id)
			case 2:
				if len(allocations) > 0 {
					last := allocations[len(allocations)-1]
					allocations = allocations[:len(allocations)-1]
					x.Release(last.host, last.demand)
				}
			default:
				q := &caplace.Query{Demand: cores(rapid.Int64Range(1, 9).Draw(t, "cores"))}
				q.Constraints.Rack = rapid.SampledFrom([]cawork.RackName{"", "r1", "r3"}).Draw(t, "wanted")
				h, ok := x.Best(q)
				if diff := cmp.Diff(fitsAnywhere(x, q), ok); diff != "" {
					t.Fatalf("found mismatch (-want +got):\n%s", diff)
				}
				if ok {
					x.CommitFor(h, q)
					allocations = append(allocations, allocation{h, q.Demand})
				}
			}
			if err := x.Check(); err != nil {
				t.Fatal(err)
			}
		}
	})
}
