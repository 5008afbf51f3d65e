package carendezvous_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/carendezvous"
)

func vmIDs(n int) []cawork.VMID {
	vms := make([]cawork.VMID, n)
	for i := range vms {
		vms[i] = cawork.VMID(fmt.Sprintf("e%d", i))
	}
	return vms
}

func TestOnlyUpstreamsOfRemovedEntryMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := vmIDs(rapid.IntRange(2, 60).Draw(t, "entries"))
		removed := rapid.IntRange(0, len(vms)-1).Draw(t, "lost")
		rest := slices.Delete(slices.Clone(vms), removed, removed+1)
		for i := range 50 {
			name := fmt.Sprintf("u%d", i)
			before, _ := carendezvous.First(name, vms)
			after, _ := carendezvous.First(name, rest)
			if before != vms[removed] && before != after {
				t.Errorf("%s moved from %s to %s, though %s was removed", name, before, after, vms[removed])
			}
		}
	})
}

func TestFirstMatchesRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := vmIDs(rapid.IntRange(1, 60).Draw(t, "entries"))
		name := rapid.String().Draw(t, "name")
		first, ok := carendezvous.First(name, vms)
		if diff := cmp.Diff(carendezvous.Rank(name, vms)[0], first); diff != "" || !ok {
			t.Errorf("first mismatch, ok %t (-want +got):\n%s", ok, diff)
		}
	})
}

func TestFirstWithoutEntries(t *testing.T) {
	if vm, ok := carendezvous.First("u", nil); ok {
		t.Errorf("First of no entries = %q", vm)
	}
}
