package caversion_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/caversion"
)

func TestRangeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		oldest := rapid.IntRange(1, 99).Draw(t, "oldest")
		r := caversion.Range{
			Oldest: caversion.Protocol(oldest), Newest: caversion.Protocol(rapid.IntRange(oldest, 99).Draw(t, "newest")),
		}
		got, err := caversion.ParseRange(r.String())
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(r, got); diff != "" {
			t.Errorf("range mismatch (-want +got):\n%s", diff)
		}
	})
	for _, text := range []string{"", "1", "2-1", "0-1", "a-b", "-"} {
		if _, err := caversion.ParseRange(text); cakind.Of(err) != cakind.KindInvalid {
			t.Errorf("range %q: %v", text, err)
		}
	}
}

func ExampleRange_Overlaps() {
	own := caversion.Range{Oldest: 2, Newest: 3}
	for _, peer := range []caversion.Range{{Oldest: 1, Newest: 1}, {Oldest: 1, Newest: 2}, {Oldest: 4, Newest: 5}} {
		fmt.Println(peer, own.Overlaps(peer))
	}
	// Output:
	// 1-1 false
	// 1-2 true
	// 4-5 false
}
