package camember_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/camember"
	"celeryarch.example/celeryarch/internal/coord/carendezvous"
)

func deltaOf(vm cawork.VMID, l camember.Liveness, since uint64, sections ...camember.Section) camember.Delta {
	return camember.Delta{
		Key: carendezvous.Key(vm), Incarnation: 5, Standing: camember.NewStanding(0, l), Since: since, Sections: sections,
	}
}

func placeOf(vm cawork.VMID) camember.Section {
	return camember.Section{Version: 1, Place: &camember.Place{VM: vm, Address: string(vm), Zone: "z"}}
}

func configOf(version uint64, config int64) camember.Section {
	return camember.Section{Version: version, Config: &camember.ConfigVersion{Version: config}}
}

// Deltas that are stale, start after the known version, or lack the place of an
// unknown member must not corrupt the records.
func TestInapplicableDeltasAreIgnored(t *testing.T) {
	tests := []struct {
		name  string
		delta camember.Delta
		want  int64
	}{
		{"next", deltaOf("b", camember.LivenessAlive, 2, configOf(3, 30)), 30},
		{"stale", deltaOf("b", camember.LivenessAlive, 1, configOf(2, 19)), 20},
		{"gap", deltaOf("b", camember.LivenessAlive, 3, configOf(4, 40)), 20},
		{"unknown and dead", deltaOf("d", camember.LivenessDead, 0, placeOf("d"), configOf(2, 1)), 20},
		{"unknown without place", deltaOf("d", camember.LivenessAlive, 1, configOf(2, 1)), 20},
		{"place of another VM", deltaOf("d", camember.LivenessAlive, 0, placeOf("x")), 20},
		{"permanently gone", deltaOf("g", camember.LivenessAlive, 0, placeOf("g")), 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newGroup(t, "a").states["a"]
			s.SetListed(nil, []cawork.VMID{"g"})
			s.HandleRequest(startTime, camember.ExchangeRequest{Deltas: []camember.Delta{
				deltaOf("b", camember.LivenessAlive, 0, placeOf("b"), configOf(2, 20)),
			}})
			s.HandleRequest(startTime, camember.ExchangeRequest{Deltas: []camember.Delta{tt.delta}})
			var got []cawork.VMID
			for _, m := range s.Members() {
				got = append(got, m.VM)
			}
			if diff := cmp.Diff([]cawork.VMID{"a", "b"}, got); diff != "" {
				t.Errorf("members mismatch (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.want, s.Members()[1].App.ConfigVersion); diff != "" {
				t.Errorf("config of b mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

// After a pause of its own process an entry must not declare a member dead for
// missing replies during the pause.
func TestPauseOfOwnProcessRestartsSuspicions(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.runTicks(0, 5*time.Second)
	g.silent["b"] = true
	g.runTicks(5*time.Second, 6500*time.Millisecond)
	if diff := cmp.Diff(camember.LivenessSuspect, g.liveness("b", "a")); diff != "" {
		t.Errorf("liveness of b before the pause mismatch (-want +got):\n%s", diff)
	}
	step := g.states["a"].Tick(at(20 * time.Second))
	if len(step.Events) != 1 || step.Events[0].Cause != camember.CauseSelfPaused {
		t.Errorf("events after the pause: %v, want a single self_paused event", step.Events)
	}
	if diff := cmp.Diff(camember.LivenessSuspect, g.liveness("b", "a")); diff != "" {
		t.Errorf("liveness of b mismatch (-want +got):\n%s", diff)
	}
}

func TestMessagesRoundTrip(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.states["a"].SetLocal(camember.AppState{ConfigVersion: 3, Unreachable: []cawork.UpstreamID{"u"}})
	g.runTicks(0, 5*time.Second)
	probes := g.states["a"].AnnouncementProbes()
	want := probes[0].Request
	want.Deltas = []camember.Delta{deltaOf("b", camember.LivenessLeft, 1, placeOf("b"), configOf(2, 20))}
	encoded, err := cbor.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	var got camember.ExchangeRequest
	if err := cbor.Unmarshal(encoded, &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(camember.ExchangeRequest{}, camember.Digest{}, camember.Delta{}, camember.Place{}, camember.ConfigVersion{})); diff != "" {
		t.Errorf("request mismatch (-want +got):\n%s", diff)
	}
	if len(want.Digest) != 3 {
		t.Errorf("digest has %d entries, want 3", len(want.Digest))
	}
}
