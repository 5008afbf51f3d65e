package carendezvous

import (
	"cmp"
	"slices"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Entry is an entry to which names may be assigned, but for those that it is
// unable to take.
type Entry struct {
	VM     cawork.VMID
	Unable func(name string) bool
}

// Capacity returns how many of the names one of the entries may be assigned:
// the mean, rounded up.
func Capacity(names, entries int) int { return (names + entries - 1) / max(entries, 1) }

// Assign returns the entry of each name, so that no entry has more than the
// capacity while another that is able has less. Of the pairs of a name and an
// able entry, it takes the one of the highest score for which the name is free
// and the entry has room, until none is left. A name that finds no room
// goes to its first choice. All who pass the same names and entries, in any
// order, get the same result.
//
// Example: with a capacity of 1, names n and m, and entries a and b with the
// scores
//
//	n: a 9, b 7
//	m: a 8, b 2
//
// n goes to a, and m, whose first choice is full, to b.
func Assign(names []string, entries []Entry, capacity int) map[string]cawork.VMID {
	a := assignment{entries: entries, capacity: capacity, taken: make([][]candidate, len(entries))}
	for i, name := range names {
		a.names = append(a.names, rankedName{name: name, candidates: candidates(i, name, entries)})
	}
	for i := range a.names {
		a.place(i)
	}
	return a.result()
}

// candidate is a pair of a name and an entry, by their indexes.
type candidate struct {
	name  int
	entry int
	score uint64
}

// rankedName is a name with its candidates, best first, of which those before
// next have rejected it.
type rankedName struct {
	name       string
	candidates []candidate
	next       int
}

// assignment places names by deferred acceptance: each name asks its candidates
// in turn, and an entry that is full keeps the names of the highest scores.
// Since both sides prefer by the same scores, that is the result which Assign
// describes, without sorting all pairs.
type assignment struct {
	entries  []Entry
	capacity int
	names    []rankedName
	// taken holds the names of each entry, best first.
	taken [][]candidate
}

func candidates(index int, name string, entries []Entry) []candidate {
	var out []candidate
	for i, e := range entries {
		if e.Unable == nil || !e.Unable(name) {
			out = append(out, candidate{name: index, entry: i, score: Score(name, e.VM)})
		}
	}
	if len(out) == 0 {
		for i, e := range entries {
			out = append(out, candidate{name: index, entry: i, score: Score(name, e.VM)})
		}
	}
	slices.SortFunc(out, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(y.score, x.score), cmp.Compare(entries[x.entry].VM, entries[y.entry].VM))
	})
	return out
}

// place finds an entry for the name, and then for each name that it displaces.
func (a *assignment) place(name int) {
	for {
		n := &a.names[name]
		if n.next == len(n.candidates) {
			return
		}
		c := n.candidates[n.next]
		n.next++
		displaced, full := a.offer(c)
		if !full {
			return
		}
		name = displaced
	}
}

// offer adds a candidate to the names of its entry and returns the name that is
// left over.
func (a *assignment) offer(c candidate) (displaced int, full bool) {
	taken := a.taken[c.entry]
	at, _ := slices.BinarySearchFunc(taken, c, a.compare)
	taken = slices.Insert(taken, at, c)
	if len(taken) > a.capacity {
		displaced, full = taken[a.capacity].name, true
		taken = taken[:a.capacity]
	}
	a.taken[c.entry] = taken
	return displaced, full
}

// compare orders the names of one entry.
func (a *assignment) compare(x, y candidate) int {
	return cmp.Or(cmp.Compare(y.score, x.score), cmp.Compare(a.names[x.name].name, a.names[y.name].name))
}

func (a *assignment) result() map[string]cawork.VMID {
	out := make(map[string]cawork.VMID, len(a.names))
	for _, n := range a.names {
		if len(n.candidates) > 0 {
			out[n.name] = a.entries[n.candidates[0].entry].VM
		}
	}
	for i, taken := range a.taken {
		for _, c := range taken {
			out[a.names[c.name].name] = a.entries[i].VM
		}
	}
	return out
}
