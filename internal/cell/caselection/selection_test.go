package caselection

import (
	"cmp"
	"slices"
	"testing"

	gocmp "github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestSelectionIsThatOfWholeSort guards against requests that name other upstreams than those which a
// sort of all candidates puts first.
func TestSelectionIsThatOfWholeSort(tb *testing.T) {
	rapid.Check(tb, func(t *rapid.T) {
		list := rapid.SliceOfDistinct(rapid.Int(), func(x int) int { return x }).Draw(t, "list")
		n := rapid.IntRange(0, 20).Draw(t, "n")
		sorted := slices.Clone(list)
		slices.Sort(sorted)
		want := append([]int(nil), sorted[:min(n, len(sorted))]...)
		got := append([]int(nil), First(list, n, cmp.Compare[int])...)
		if diff := gocmp.Diff(want, got); diff != "" {
			t.Fatalf("first %d (-want +got):\n%s", n, diff)
		}
	})
}
