package caleader

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// TestUpstreamsUnlistedInAnOutageAreRetained replays an outage of the registry in
// which the registration of an upstream expires. The upstream must count as listed
// for the grace period, in which it can register again, and as gone after it.
func TestUpstreamsUnlistedInAnOutageAreRetained(t *testing.T) {
	list := func(ids ...cawork.UpstreamID) []caspec.Upstream {
		var all []caspec.Upstream
		for _, id := range ids {
			all = append(all, caspec.Upstream{ID: id})
		}
		return all
	}
	start := time.Unix(1000, 0)
	steps := []struct {
		name         string
		at           time.Duration
		afterFailure bool
		list         []caspec.Upstream
		want         []cawork.UpstreamID
	}{
		{"first read", 0, false, list("a", "b", "c"), []cawork.UpstreamID{"a", "b", "c"}},
		{"one unlisted without an outage", time.Second, false, list("a", "b"), []cawork.UpstreamID{"a", "b"}},
		{"first read after an outage", 8 * time.Second, true, list("a"), []cawork.UpstreamID{"a", "b"}},
		{"within the grace period", 9 * time.Second, false, list("a", "d"), []cawork.UpstreamID{"a", "b", "d"}},
		{"after the grace period", 11 * time.Second, false, list("a", "d"), []cawork.UpstreamID{"a", "d"}},
	}
	var r listRetention
	for _, s := range steps {
		now := start.Add(s.at)
		r.noteRead(now, s.afterFailure)
		var got []cawork.UpstreamID
		for _, u := range r.complete(now, s.list) {
			got = append(got, u.ID)
		}
		slices.Sort(got)
		if diff := cmp.Diff(s.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", s.name, diff)
		}
	}
}
