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

func names(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("upstream-%d", i)
	}
	return out
}

func able(vms []cawork.VMID) []carendezvous.Entry {
	var out []carendezvous.Entry
	for _, vm := range vms {
		out = append(out, carendezvous.Entry{VM: vm})
	}
	return out
}

// naiveAssign sorts all pairs and takes them in turn.
func naiveAssign(names []string, entries []carendezvous.Entry, capacity int) map[string]cawork.VMID {
	type pair struct {
		name string
		vm   cawork.VMID
	}
	var pairs []pair
	for _, name := range names {
		var some bool
		for _, e := range entries {
			some = some || !e.Unable(name)
		}
		for _, e := range entries {
			if !some || !e.Unable(name) {
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
		all := names(rapid.IntRange(0, 40).Draw(t, "names"))
		list := able(entries(rapid.IntRange(0, 8).Draw(t, "entries")))
		unable := rapid.SliceOf(rapid.IntRange(0, 400)).Draw(t, "unable")
		for i := range list {
			list[i].Unable = func(name string) bool {
				return slices.ContainsFunc(unable, func(u int) bool {
					return u%8 == i && (u/8 == 49 || fmt.Sprint("upstream-", u/8) == name)
				})
			}
		}
		capacity := rapid.IntRange(1, 8).Draw(t, "capacity")
		want := naiveAssign(all, list, capacity)
		if diff := gocmp.Diff(want, carendezvous.Assign(all, list, capacity)); diff != "" {
			t.Fatalf("assignment (-naive +got):\n%s", diff)
		}
		shuffle := rand.New(rand.NewPCG(1, 2))
		shuffle.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		shuffle.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		if diff := gocmp.Diff(want, carendezvous.Assign(all, list, capacity)); diff != "" {
			t.Fatalf("assignment in another order (-naive +got):\n%s", diff)
		}
	})
}

// assigner is a way to spread names over entries.
type assigner func(names []string, vms []cawork.VMID) map[string]cawork.VMID

func firstChoice(names []string, vms []cawork.VMID) map[string]cawork.VMID {
	out := map[string]cawork.VMID{}
	for _, name := range names {
		out[name], _ = carendezvous.First(name, vms)
	}
	return out
}

func bounded(slack float64) assigner {
	return func(names []string, vms []cawork.VMID) map[string]cawork.VMID {
		mean := float64(len(names)) / float64(len(vms))
		capacity := max(carendezvous.Capacity(len(names), len(vms)), int(mean*slack))
		return carendezvous.Assign(names, able(vms), capacity)
	}
}

// TestBalance measures the largest load over the mean, and the names that move
// when an entry leaves, which is also what moves when it joins, over the mean
// load. Without a slack, no entry has more than the mean rounded up; the other
// ways are only measured, with -v.
func TestBalance(t *testing.T) {
	ways := []struct {
		name string
		assigner
	}{{"first choice", firstChoice}, {"bounded", bounded(1)}, {"bounded, 1.1", bounded(1.1)}, {"bounded, 1.25", bounded(1.25)}}
	for _, size := range []struct{ entries, names int }{{3, 13}, {9, 50}, {25, 910}} {
		for _, way := range ways {
			if way.name != "bounded" && !testing.Verbose() {
				continue
			}
			largest, moved, worst, mean := balance(size.entries, size.names, way.assigner)
			t.Logf("%2d entries, %3d names, %-13s: largest/mean %.2f, moves per leave %.2f x mean load, at most %.2f",
				size.entries, size.names, way.name, float64(largest)/mean, moved/mean, float64(worst)/mean)
			if bound := carendezvous.Capacity(size.names, size.entries); way.name == "bounded" && largest > bound {
				t.Errorf("%d of %d names are at one of %d entries, want at most %d", largest, size.names, size.entries, bound)
			}
		}
	}
}

// balance returns the largest load, and the mean and largest number of moves
// per leave, over each entry that may leave and several sets of entries.
func balance(entries, count int, way assigner) (largest int, moved float64, worst int, mean float64) {
	const sets = 4
	all := names(count)
	total := 0
	for set := range sets {
		vms := make([]cawork.VMID, entries)
		for i := range vms {
			vms[i] = cawork.VMID(fmt.Sprintf("set-%d-entry-%d", set, i))
		}
		before, load := way(all, vms), map[cawork.VMID]int{}
		for _, vm := range before {
			load[vm]++
			largest = max(largest, load[vm])
		}
		for i := range vms {
			after := way(all, slices.Delete(slices.Clone(vms), i, i+1))
			moves := 0
			for name, vm := range before {
				if after[name] != vm {
					moves++
				}
			}
			total += moves
			worst = max(worst, moves)
		}
	}
	return largest, float64(total) / float64(sets*entries), worst, float64(count) / float64(entries)
}

func BenchmarkAssign(b *testing.B) {
	all, list := names(910), able(entries(25))
	for b.Loop() {
		carendezvous.Assign(all, list, carendezvous.Capacity(910, 25))
	}
}
