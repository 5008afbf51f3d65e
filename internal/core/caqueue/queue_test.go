package caqueue_test

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"celeryarch.example/celeryarch/internal/core/caqueue"
)

func TestHeadIsTheEarliestOfWhatIsLeft(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := caqueue.NewQueue[int]()
		start := time.Unix(0, 0)
		var left []int
		entries := map[int]*caqueue.Entry[int]{}
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			if len(left) == 0 || rapid.IntRange(0, 2).Draw(t, "op") > 0 {
				due := rapid.IntRange(0, 1e6).Draw(t, "due")
				if entries[due] != nil {
					continue
				}
				entries[due] = q.Push(due, caqueue.Key{}, start.Add(time.Duration(due)))
				left = append(left, due)
			} else {
				i := rapid.IntRange(0, len(left)-1).Draw(t, "victim")
				q.Remove(entries[left[i]])
				left = slices.Delete(left, i, i+1)
			}
			if diff := cmp.Diff(len(left), q.Len()); diff != "" {
				t.Fatalf("length mismatch (-want +got):\n%s", diff)
			}
			groups := q.Groups()
			if len(left) == 0 {
				if len(groups) != 0 {
					t.Fatalf("an empty queue has %d groups", len(groups))
				}
				continue
			}
			if diff := cmp.Diff(slices.Min(left), groups[0].Classes()[0].Head().Value); diff != "" {
				t.Fatalf("head mismatch (-want +got):\n%s", diff)
			}
			limit := rapid.IntRange(0, 1e6).Draw(t, "limit")
			var before []int
			q.EachBefore(0, start.Add(time.Duration(limit)), func(due int) bool {
				before = append(before, due)
				return true
			})
			want := slices.DeleteFunc(slices.Clone(left), func(due int) bool { return due >= limit })
			if diff := cmp.Diff(slices.Sorted(slices.Values(want)), slices.Sorted(slices.Values(before))); diff != "" {
				t.Fatalf("entries before the limit mismatch (-want +got):\n%s", diff)
			}
		}
	})
}
