package caqueue_test

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/caqueue"
)

// passes are what a walk has to look at, by class.
type passes map[caqueue.Key]bool

// TestSettledGroupsHaveNothingToLookAt compares a walk that passes over settled
// groups with one that knows of each class whether its latest head was tried.
func TestSettledGroupsHaveNothingToLookAt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := caqueue.NewQueue[int]()
		var entries []*caqueue.Entry[int]
		untried := passes{}
		room := uint64(1)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			k := caqueue.Key{
				Kind: cawork.WorkKind(rapid.IntRange(0, 1).Draw(t, "kind")), CPU: rapid.IntRange(1, 3).Draw(t, "cpu"),
			}
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0, 1:
				due := time.Unix(int64(rapid.IntRange(0, 1e6).Draw(t, "due")), 0)
				entries = append(entries, q.Push(1, k, due))
				untried[k] = true
			case 2:
				if len(entries) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(entries)-1).Draw(t, "victim")
				class := entries[i].Class()
				untried[class.Key] = untried[class.Key] || class.Head() == entries[i]
				q.Remove(entries[i])
				entries = slices.Delete(entries, i, i+1)
			default:
				room++
				if diff := cmp.Diff(queued(entries, untried), walk(q, room)); diff != "" {
					t.Fatalf("classes to look at mismatch (-want +got):\n%s", diff)
				}
				untried = passes{}
			}
		}
	})
}

// queued returns the classes that have entries.
func queued(entries []*caqueue.Entry[int], of passes) passes {
	out := passes{}
	for _, e := range entries {
		if k := e.Class().Key; of[k] {
			out[k] = true
		}
	}
	return out
}

// walk marks all classes as blocked and returns those that were not.
func walk(q *caqueue.Queue[int], room uint64) passes {
	out := passes{}
	shapes := q.Shapes()
	for i, g := range q.Groups() {
		if shapes[i].Settled(0) {
			shapes[i].BlockedAt = room
			continue
		}
		q.Unsettle(g)
		for n, c := range g.Classes() {
			if m := g.Marks()[n]; m.BlockedAt == 0 || m.Fresh > 0 {
				out[c.Key] = true
			}
			q.Walked(c, room, 0)
		}
		q.Settle(g, room, 0)
	}
	return out
}
