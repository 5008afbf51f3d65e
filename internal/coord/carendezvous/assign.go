package carendezvous

import (
	"cmp"
	"slices"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Entry is an entry to which names can be assigned.
type Entry struct {
	VM cawork.VMID
	// Ineligible reports whether the entry is not eligible for the name. If nil, the
	// entry is eligible for all names.
	Ineligible func(name string) bool
}

// Capacity returns the maximum number of names for each entry: the mean, rounded
// up.
func Capacity(names, entries int) int { return (names + entries - 1) / max(entries, 1) }

// Assign returns the entry of each name, so that no entry exceeds the capacity
// while another eligible entry is below it. It goes through the pairs of a name
// and an eligible entry by descending score, and takes each pair whose name is
// unassigned and whose entry is below the capacity. A name without an eligible
// entry is eligible for all, and a name that is left over goes to its first
// choice. The result does not depend on the order of the names and entries.
//
// Example: with a capacity of 1, names n and m, and entries a and b with the
// scores
//
//	n: a 9, b 7
//	m: a 8, b 2
//
// n goes to a, and m, whose first choice is full, to b.
func Assign(names []string, entries []Entry, capacity int) map[string]cawork.VMID {
	a := assignment{entries: entries, capacity: capacity, assigned: make([][]candidate, len(entries))}
	for i, name := range names {
		a.names = append(a.names, rankedName{name: name, candidates: candidates(i, name, entries)})
	}
	for i := range a.names {
		a.place(i)
	}
	return a.result()
}

// candidate is a pair of a name and an entry, given by their indexes.
type candidate struct {
	name  int
	entry int
	score uint64
}

// rankedName is a name with its candidates, best first. The entries of those
// before nextCandidate have rejected the name.
type rankedName struct {
	name          string
	candidates    []candidate
	nextCandidate int
}

// assignment places names by deferred acceptance: each name proposes to its
// candidates in turn, and a full entry keeps the names with the highest scores.
// Since both sides rank by the same scores, the result equals the one that
// Assign describes, without sorting all pairs.
type assignment struct {
	entries  []Entry
	capacity int
	names    []rankedName
	// assigned holds the names of each entry, best first.
	assigned [][]candidate
}

func candidates(index int, name string, entries []Entry) []candidate {
	var out []candidate
	for i, e := range entries {
		if e.Ineligible == nil || !e.Ineligible(name) {
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

// place assigns an entry to the name, then to each name that this displaces.
func (a *assignment) place(name int) {
	for {
		n := &a.names[name]
		if n.nextCandidate == len(n.candidates) {
			return
		}
		c := n.candidates[n.nextCandidate]
		n.nextCandidate++
		displaced, rejected := a.offer(c)
		if !rejected {
			return
		}
		name = displaced
	}
}

// offer adds a candidate to the names of its entry. If that exceeds the
// capacity, it removes and returns the name with the lowest score.
func (a *assignment) offer(c candidate) (displaced int, rejected bool) {
	assigned := a.assigned[c.entry]
	position, _ := slices.BinarySearchFunc(assigned, c, a.compare)
	assigned = slices.Insert(assigned, position, c)
	if len(assigned) > a.capacity {
		displaced, rejected = assigned[a.capacity].name, true
		assigned = assigned[:a.capacity]
	}
	a.assigned[c.entry] = assigned
	return displaced, rejected
}

// compare orders the names of one entry by descending score, then by name.
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
	for i, assigned := range a.assigned {
		for _, c := range assigned {
			out[a.names[c.name].name] = a.entries[i].VM
		}
	}
	return out
}
