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

// classSet is a set of classes that a scan has to try.
type classSet map[caqueue.Key]bool

// TestTriedGroupsNeedNoScan guards against scans that skip a tried group although
// one of its classes has an entry to try. The expected classes come from a model
// that records for each class whether anything was pushed or its head was removed
// since the last scan.
func TestTriedGroupsNeedNoScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := caqueue.NewQueue[int]()
		var entries []*caqueue.Entry[int]
		untried := classSet{}
		capacitySeq := uint64(1)
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
				c := entries[i].Class()
				untried[c.Key] = untried[c.Key] || c.Head() == entries[i]
				q.Remove(entries[i])
				entries = slices.Delete(entries, i, i+1)
			default:
				capacitySeq++
				if diff := cmp.Diff(withEntries(entries, untried), scan(q, capacitySeq)); diff != "" {
					t.Fatalf("classes to try mismatch (-want +got):\n%s", diff)
				}
				untried = classSet{}
			}
		}
	})
}

// withEntries returns the classes of the set that have entries.
func withEntries(entries []*caqueue.Entry[int], set classSet) classSet {
	out := classSet{}
	for _, e := range entries {
		if k := e.Class().Key; set[k] {
			out[k] = true
		}
	}
	return out
}

// scan marks all classes as blocked and returns those that had an entry to try.
func scan(q *caqueue.Queue[int], capacitySeq uint64) classSet {
	out := classSet{}
	states := q.GroupStates()
	for i, g := range q.Groups() {
		if states[i].Tried(0) {
			states[i].BlockedAt = capacitySeq
			continue
		}
		q.MarkGroupUntried(g)
		for n, c := range g.Classes() {
			if s := g.ClassStates()[n]; s.BlockedAt == 0 || s.NewCount > 0 {
				out[c.Key] = true
			}
			q.MarkClassTried(c, capacitySeq, 0)
		}
		q.MarkGroupTried(g, capacitySeq, 0)
	}
	return out
}
