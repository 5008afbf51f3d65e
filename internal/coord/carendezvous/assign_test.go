package carendezvous_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	gocmp "github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/carendezvous"
)

func upstreamNames(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("upstream-%d", i)
	}
	return out
}

func unrestrictedEntries(vms []cawork.VMID) []carendezvous.Entry {
	var out []carendezvous.Entry
	for _, vm := range vms {
		out = append(out, carendezvous.Entry{VM: vm})
	}
	return out
}

// naiveAssign is the reference implementation of Assign. It sorts all pairs and
// takes them in turn.
func naiveAssign(names []string, entries []carendezvous.Entry, capacity int) map[string]cawork.VMID {
	type pair struct {
		name string
		vm   cawork.VMID
	}
	var pairs []pair
	for _, name := range names {
		var anyEligible bool
		for _, e := range entries {
			anyEligible = anyEligible || !e.Ineligible(name)
		}
		for _, e := range entries {
			if !anyEligible || !e.Ineligible(name) {
				pairs = append(pairs, pair{name, e.VM})
			}
		}
	}
	slices.SortFunc(pairs, func(x, y pair) int {
		return cmp.Compare(carendezvous.Score(y.name, y.vm), carendezvous.Score(x.name, x.vm))
	})
	out, first, load := map[string]cawork.VMID{}, map[string]cawork.VMID{}, map[cawork.VMID]int{}
	for _, p := range pairs {
		if _, ok := first[p.name]; !ok {
			first[p.name] = p.vm
		}
		if _, ok := out[p.name]; !ok && load[p.vm] < capacity {
			out[p.name] = p.vm
			load[p.vm]++
		}
	}
	for name, vm := range first {
		if _, ok := out[name]; !ok {
			out[name] = vm
		}
	}
	return out
}

func TestAssignAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := upstreamNames(rapid.IntRange(0, 40).Draw(t, "names"))
		entries := unrestrictedEntries(vmIDs(rapid.IntRange(0, 8).Draw(t, "entries")))
		exclusions := rapid.SliceOf(rapid.IntRange(0, 400)).Draw(t, "unable")
		for i := range entries {
			entries[i].Ineligible = func(name string) bool {
				return slices.ContainsFunc(exclusions, func(u int) bool {
					return u%8 == i && (u/8 == 49 || fmt.Sprint("upstream-", u/8) == name)
				})
			}
		}
		capacity := rapid.IntRange(1, 8).Draw(t, "capacity")
		want := naiveAssign(names, entries, capacity)
		if diff := gocmp.Diff(want, carendezvous.Assign(names, entries, capacity)); diff != "" {
			t.Fatalf("assignment (-naive +got):\n%s", diff)
		}
		shuffle := rand.New(rand.NewPCG(1, 2))
		shuffle.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		shuffle.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
		if diff := gocmp.Diff(want, carendezvous.Assign(names, entries, capacity)); diff != "" {
			t.Fatalf("assignment in another order (-naive +got):\n%s", diff)
		}
	})
}

// assignFunc is a method of assigning names to entries.
type assignFunc func(names []string, vms []cawork.VMID) map[string]cawork.VMID

func assignFirstChoice(names []string, vms []cawork.VMID) map[string]cawork.VMID {
	out := map[string]cawork.VMID{}
	for _, name := range names {
		out[name], _ = carendezvous.First(name, vms)
	}
	return out
}

func assignBounded(slack float64) assignFunc {
	return func(names []string, vms []cawork.VMID) map[string]cawork.VMID {
		mean := float64(len(names)) / float64(len(vms))
		capacity := max(carendezvous.Capacity(len(names), len(vms)), int(mean*slack))
		return carendezvous.Assign(names, unrestrictedEntries(vms), capacity)
	}
}

// TestBalance measures the maximum load of an entry, and the number of names that
// move when an entry leaves, both relative to the mean load. The same names move
// when the entry joins. Without slack, no entry may have more names than the
// mean, rounded up. The other methods are only measured, with -v.
func TestBalance(t *testing.T) {
	methods := []struct {
		name string
		assignFunc
	}{{"first choice", assignFirstChoice}, {"bounded", assignBounded(1)}, {"bounded, 1.1", assignBounded(1.1)}, {"bounded, 1.25", assignBounded(1.25)}}
	for _, size := range []struct{ entries, names int }{{3, 13}, {9, 50}, {25, 910}} {
		for _, method := range methods {
			if method.name != "bounded" && !testing.Verbose() {
				continue
			}
			maxLoad, meanMoves, maxMoves, meanLoad := measureBalance(size.entries, size.names, method.assignFunc)
			t.Logf("%2d entries, %3d names, %-13s: max load %.2f x mean, moves per leave %.2f x mean load, at most %.2f",
				size.entries, size.names, method.name, float64(maxLoad)/meanLoad, meanMoves/meanLoad, float64(maxMoves)/meanLoad)
			if bound := carendezvous.Capacity(size.names, size.entries); method.name == "bounded" && maxLoad > bound {
				t.Errorf("%d of %d names are assigned to one of %d entries, want at most %d", maxLoad, size.names, size.entries, bound)
			}
		}
	}
}

// measureBalance returns the maximum load, the mean and maximum number of moves
// when an entry leaves, and the mean load. It removes each entry in turn, from
// several sets of entries.
func measureBalance(entries, count int, assign assignFunc) (maxLoad int, meanMoves float64, maxMoves int, meanLoad float64) {
	const sets = 4
	names := upstreamNames(count)
	totalMoves := 0
	for set := range sets {
		vms := make([]cawork.VMID, entries)
		for i := range vms {
			vms[i] = cawork.VMID(fmt.Sprintf("set-%d-entry-%d", set, i))
		}
		before, load := assign(names, vms), map[cawork.VMID]int{}
		for _, vm := range before {
			load[vm]++
			maxLoad = max(maxLoad, load[vm])
		}
		for i := range vms {
			after := assign(names, slices.Delete(slices.Clone(vms), i, i+1))
			moves := 0
			for name, vm := range before {
				if after[name] != vm {
					moves++
				}
			}
			totalMoves += moves
			maxMoves = max(maxMoves, moves)
		}
	}
	return maxLoad, float64(totalMoves) / float64(sets*entries), maxMoves, float64(count) / float64(entries)
}

func BenchmarkAssign(b *testing.B) {
	names, entries := upstreamNames(910), unrestrictedEntries(vmIDs(25))
	for b.Loop() {
		carendezvous.Assign(names, entries, carendezvous.Capacity(910, 25))
	}
}
