package cafault_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/coord/camember"
)

// deaths counts, per pair of entries, how often the first took the second, of
// the same zone, for dead.
func (w *world) countDeaths() *int {
	count := new(int)
	for _, p := range w.running() {
		changes := p.members.Subscribe()
		go func() {
			for c := range changes.C {
				if c.Cause == camember.CauseDied && c.Member.Zone == p.zone {
					w.mu.Lock()
					*count++
					w.mu.Unlock()
				}
			}
		}()
	}
	return count
}

func TestMergeOfZonesTakesNoNeighborForDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(9, 2, 5, 5)
		w.seeds = []string{w.addresses[0], w.addresses[5]}
		w.boot()
		owners := actualOwners(w)
		died := w.countDeaths()
		w.cutFor(w.betweenZones(), time.Minute)
		time.Sleep(time.Minute)
		for vm, live := range views(w) {
			if len(live) != 5 {
				t.Errorf("%s takes %v for live in the cut, want its zone", vm, live)
			}
		}
		healed := time.Now()
		for !cmp.Equal(trueViews(w), views(w)) && time.Since(healed) < time.Minute {
			time.Sleep(100 * time.Millisecond)
		}
		t.Logf("members agree %v after the cut", time.Since(healed))
		time.Sleep(quietTime)
		if diff := cmp.Diff(trueViews(w), views(w)); diff != "" {
			t.Errorf("members mismatch (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(owners, actualOwners(w)); diff != "" {
			t.Errorf("owners mismatch (-before +after):\n%s", diff)
		}
		w.stop()
		if *died > 0 {
			t.Errorf("entries took neighbors of their zone for dead %d times", *died)
		}
	})
}
