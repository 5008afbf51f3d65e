package cafault_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/coord/camember"
)

// countDeaths counts how often running entries declare members of their own zone
// dead.
func (w *world) countDeaths() *int {
	count := new(int)
	for _, p := range w.running() {
		changes := p.membership.Subscribe()
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

// TestZonePartitionCausesNoFalseDeathsInZone guards against entries that declare
// live members of their own zone dead during a partition between two zones or when
// their member lists merge afterwards.
func TestZonePartitionCausesNoFalseDeathsInZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(9, 2, 5, 5)
		w.seedAddresses = []string{w.addresses[0], w.addresses[5]}
		w.boot()
		owners := actualOwners(w)
		died := w.countDeaths()
		w.cutLinks(w.linksBetweenZones(), time.Minute)
		time.Sleep(time.Minute)
		for vm, live := range liveViews(w) {
			if len(live) != 5 {
				t.Errorf("%s considers %v alive during the partition, want the 5 entries of its zone", vm, live)
			}
		}
		healed := time.Now()
		for !cmp.Equal(actualLiveViews(w), liveViews(w)) && time.Since(healed) < time.Minute {
			time.Sleep(100 * time.Millisecond)
		}
		t.Logf("member lists agree %v after the partition", time.Since(healed))
		time.Sleep(recoveryTime)
		if diff := cmp.Diff(actualLiveViews(w), liveViews(w)); diff != "" {
			t.Errorf("members mismatch (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(owners, actualOwners(w)); diff != "" {
			t.Errorf("owners mismatch (-before +after):\n%s", diff)
		}
		w.stop()
		if *died > 0 {
			t.Errorf("entries declared members of their zone dead %d times", *died)
		}
	})
}
