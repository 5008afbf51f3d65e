package caleader

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// TestEntriesThatLapsedInAnOutageAreKept replays an outage of the list in which the
// entry of an upstream lapses: it counts as listed until it had time to come back, and
// as gone after that.
func TestEntriesThatLapsedInAnOutageAreKept(t *testing.T) {
	list := func(ids ...cawork.UpstreamID) []caspec.Upstream {
		var all []caspec.Upstream
		for _, id := range ids {
			all = append(all, caspec.Upstream{ID: id})
		}
		return all
	}
	start := time.Unix(1000, 0)
	steps := []struct {
		name   string
		at     time.Duration
		failed bool
		list   []caspec.Upstream
		want   []cawork.UpstreamID
	}{
		{"calm", 0, false, list("a", "b", "c"), []cawork.UpstreamID{"a", "b", "c"}},
		{"one left on a calm day", time.Second, false, list("a", "b"), []cawork.UpstreamID{"a", "b"}},
		{"the list is back", 8 * time.Second, true, list("a"), []cawork.UpstreamID{"a", "b"}},
		{"a moment later", 9 * time.Second, false, list("a", "d"), []cawork.UpstreamID{"a", "b", "d"}},
		{"still missing", 11 * time.Second, false, list("a", "d"), []cawork.UpstreamID{"a", "d"}},
	}
	var l lapsedList
	for _, s := range steps {
		now := start.Add(s.at)
		l.read(now, s.failed)
		var got []cawork.UpstreamID
		for _, u := range l.complete(now, s.list) {
			got = append(got, u.ID)
		}
		slices.Sort(got)
		if diff := cmp.Diff(s.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", s.name, diff)
		}
	}
}
