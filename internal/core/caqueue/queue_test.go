package caqueue_test

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"celeryarch.example/celeryarch/internal/core/caqueue"
)

// TestHeadIsEarliestRemainingEntry compares the head, the length and EachBefore
// with a plain list while entries are pushed and removed, to guard against heap
// positions that removals leave in the wrong order.
func TestHeadIsEarliestRemainingEntry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := caqueue.NewQueue[int]()
		start := time.Unix(0, 0)
		var remaining []int
		entries := map[int]*caqueue.Entry[int]{}
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			if len(remaining) == 0 || rapid.IntRange(0, 2).Draw(t, "op") > 0 {
				due := rapid.IntRange(0, 1e6).Draw(t, "due")
				if entries[due] != nil {
					continue
				}
				entries[due] = q.Push(due, caqueue.Key{}, start.Add(time.Duration(due)))
				remaining = append(remaining, due)
			} else {
				i := rapid.IntRange(0, len(remaining)-1).Draw(t, "victim")
				q.Remove(entries[remaining[i]])
				remaining = slices.Delete(remaining, i, i+1)
			}
			if diff := cmp.Diff(len(remaining), q.Len()); diff != "" {
				t.Fatalf("length mismatch (-want +got):\n%s", diff)
			}
			groups := q.Groups()
			if len(remaining) == 0 {
				if len(groups) != 0 {
					t.Fatalf("an empty queue has %d groups", len(groups))
				}
				continue
			}
			if diff := cmp.Diff(slices.Min(remaining), groups[0].Classes()[0].Head().Value); diff != "" {
				t.Fatalf("head mismatch (-want +got):\n%s", diff)
			}
			limit := rapid.IntRange(0, 1e6).Draw(t, "limit")
			var before []int
			q.EachBefore(0, start.Add(time.Duration(limit)), func(due int) bool {
				before = append(before, due)
				return true
			})
			want := slices.DeleteFunc(slices.Clone(remaining), func(due int) bool { return due >= limit })
			if diff := cmp.Diff(slices.Sorted(slices.Values(want)), slices.Sorted(slices.Values(before))); diff != "" {
				t.Fatalf("entries before the limit mismatch (-want +got):\n%s", diff)
			}
		}
	})
}
