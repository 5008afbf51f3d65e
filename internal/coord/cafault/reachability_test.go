package cafault_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/camember"
)

// TestUpstreamUnreachableByItsOwnerIsTakenOver guards against an upstream without a
// working owner: its owner is alive but its calls do not reach the upstream, while
// those of other entries do.
func TestUpstreamUnreachableByItsOwnerIsTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(3, 1, 3, 6)
		w.boot()
		before := actualOwners(w)
		for id, owner := range before {
			w.net.setCut(string(owner), string(id), id == "u0.0")
		}
		cutAt := time.Now()
		for actualOwners(w)["u0.0"] == before["u0.0"] || actualOwners(w)["u0.0"] == "" {
			if time.Since(cutAt) > time.Minute {
				t.Fatal("nobody took the upstream over within a minute")
			}
			time.Sleep(100 * time.Millisecond)
		}
		t.Logf("taken over %v after the cut", time.Since(cutAt))
		after := actualOwners(w)
		for id, owner := range before {
			if id != "u0.0" && after[id] != owner {
				t.Errorf("%s moved from %s to %s", id, owner, after[id])
			}
		}
		w.net.setCut(string(before["u0.0"]), "u0.0", false)
		time.Sleep(recoveryTime)
		if diff := cmp.Diff(before, actualOwners(w)); diff != "" {
			t.Errorf("owners after the cut mismatch (-want +got):\n%s", diff)
		}
		w.stop()
		if v := w.violations(); len(v) > 0 {
			t.Errorf("violations: %v", v)
		}
	})
}

// reachability returns the liveness and reachability that the first entry records
// for the target.
func reachability(w *world, target cawork.VMID) (camember.Liveness, camember.Reach) {
	for _, m := range w.processes[0].membership.Members() {
		if m.VM == target {
			return m.Liveness, m.Reach
		}
	}
	return camember.LivenessLeft, camember.ReachNone
}

// TestCutPauseAndDeathAreDistinguished guards against failure detection that mistakes
// a cut link for a dead process, or the other way round.
func TestCutPauseAndDeathAreDistinguished(t *testing.T) {
	tests := []struct {
		name     string
		fault    func(w *world)
		liveness camember.Liveness
		reach    camember.Reach
	}{
		{"cut to one", func(w *world) { w.net.setCut("e0.0", "e0.1", true) }, camember.LivenessAlive, camember.ReachIndirect},
		{"cut from one", func(w *world) { w.net.setCut("e0.1", "e0.0", true) }, camember.LivenessAlive, camember.ReachIndirect},
		{"cut to all", func(w *world) {
			for _, a := range w.addresses {
				w.net.setCut(a, "e0.1", true)
			}
		}, camember.LivenessDead, camember.ReachHeard},
		{"pause", func(w *world) { w.net.pause("e0.1") }, camember.LivenessDead, camember.ReachNone},
		{"death", func(w *world) { w.kill(1) }, camember.LivenessDead, camember.ReachNone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(5, 1, 5, 1)
				w.boot()
				tt.fault(w)
				time.Sleep(20 * time.Second)
				liveness, reach := reachability(w, "e0.1")
				if liveness != tt.liveness || reach != tt.reach {
					t.Errorf("e0.1 has liveness %s and reachability %s, want %s and %s", liveness, reach, tt.liveness, tt.reach)
				}
				if tt.reach != camember.ReachNone {
					wantIsolated := tt.reach == camember.ReachHeard
					if got := w.processes[1].membership.Isolated(); got != wantIsolated {
						t.Errorf("e0.1 considers itself isolated: %t, want %t", got, wantIsolated)
					}
				}
				w.stop()
			})
		})
	}
}
