package camember

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	tally "github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/cagolden"
	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/cacheck"
)

func loneState(now time.Time) *State {
	check := cacheck.New(zerolog.Nop(), tally.NoopScope)
	return NewState(DefaultConfig(), Identity{VM: "self", Address: "1", Zone: "z"}, nil, now, 1, check)
}

func foreignGreeting(incarnation int64) caversion.Greeting {
	return caversion.Greeting{VM: "far", Incarnation: incarnation, Zone: "z", Address: "2", Oldest: 7, Newest: 8, Format: 9}
}

// seenMember is what a test looks at of a member.
type seenMember struct {
	Liveness    Liveness
	Reach       Reach
	Incarnation Incarnation
	Foreign     bool
	Protocols   caversion.Range
}

func seen(s *State, vm cawork.VMID) seenMember {
	m, met := s.Member(vm)
	if !met {
		return seenMember{}
	}
	return seenMember{m.Liveness, m.Reach, m.Incarnation, m.Foreign, m.Protocols}
}

func TestForeignEntryIsAMember(t *testing.T) {
	now := time.Unix(1000, 0)
	s := loneState(now)
	probe := Probe{Address: "2"}
	protocols := caversion.Range{Oldest: 7, Newest: 8}
	causes := []Cause{}
	greet := func(incarnation int64) {
		for _, e := range s.HandleForeign(now, probe, foreignGreeting(incarnation)).Events {
			causes = append(causes, e.Cause)
		}
	}
	want := func(what string, w seenMember) {
		t.Helper()
		if diff := cmp.Diff(w, seen(s, "far")); diff != "" {
			t.Errorf("%s mismatch (-want +got):\n%s", what, diff)
		}
	}
	greet(500)
	greet(500)
	want("first greeting", seenMember{LivenessAlive, ReachDirect, 500, true, protocols})
	probe.VM = "far"
	s.HandleFailure(now, probe)
	want("after silence", seenMember{LivenessSuspect, ReachNone, 500, true, protocols})
	greet(500)
	want("after it answered", seenMember{LivenessAlive, ReachDirect, 500, true, protocols})
	s.HandleFailure(now, probe)
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		s.Tick(now)
	}
	want("after a long silence", seenMember{LivenessDead, ReachNone, 500, true, protocols})
	greet(600)
	want("after a restart", seenMember{LivenessAlive, ReachDirect, 600, true, protocols})
	greet(500)
	want("after a late greeting of the former life", seenMember{LivenessAlive, ReachDirect, 600, true, protocols})
	wantCauses := []Cause{CauseJoined, CauseForeign, CauseRefuted, CauseReach, CauseRestarted, CauseForeign}
	if diff := cmp.Diff(wantCauses, causes, cmp.Transformer("sort", sorted)); diff != "" {
		t.Errorf("causes mismatch (-want +got):\n%s", diff)
	}
}

// sorted counts causes, as their order within a step tells nothing.
func sorted(causes []Cause) map[Cause]int {
	counts := map[Cause]int{}
	for _, c := range causes {
		counts[c]++
	}
	return counts
}

func TestGreetingOfAFormerLifeIsNotTaken(t *testing.T) {
	now := time.Unix(1000, 0)
	s := loneState(now)
	s.HandleForeign(now, Probe{Address: "2"}, foreignGreeting(600))
	s.HandleGreeting("far", caversion.Greeting{VM: "far", Incarnation: 500, Oldest: 1, Newest: 2, Format: 2})
	if got := seen(s, "far"); !got.Foreign {
		t.Errorf("a greeting of a former life was taken: %+v", got)
	}
	s.HandleGreeting("far", caversion.Greeting{VM: "far", Incarnation: 600, Oldest: 1, Newest: 2, Format: 2})
	if diff := cmp.Diff(seenMember{LivenessAlive, ReachDirect, 600, false, caversion.Range{Oldest: 1, Newest: 2}}, seen(s, "far")); diff != "" {
		t.Errorf("member mismatch (-want +got):\n%s", diff)
	}
}

// mutations is the number of changed copies of each message.
const mutations = 3000

// TestExchangesOfAnotherVersionDoNotPanic lets a state take changed copies of
// the messages of a real exchange.
func TestExchangesOfAnotherVersionDoNotPanic(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1000, 0)
	near, far := loneState(now), loneState(now)
	far.id.VM, far.self.key = "far", keyOf("far")
	far.records = map[uint64]*record{far.self.key: far.self}
	far.self.sections[0].Place = &Place{VM: "far", Address: "2", Zone: "z"}
	far.SetLocal(AppState{
		ConfigVersion: 3, TeamUse: []TeamUse{{Team: "t", Use: cawork.Resources{CPU: 1000}}},
		Shards: []LedShard{{Shard: "s", View: 2, Backup: "self"}}, Unreachable: []cawork.UpstreamID{"u"},
	})
	far.Tick(now.Add(time.Second))
	request := ExchangeRequest{From: "far", Digest: far.window(nil, 12), Deltas: []Delta{{
		Key: far.self.key, Incarnation: far.self.incarnation, Sections: far.self.sections,
	}}}
	data, err := cbor.Marshal(request)
	if err != nil {
		t.Fatal(err)
	}
	taken := 0
	for range mutations {
		var changed ExchangeRequest
		if cbor.Unmarshal(cagolden.Mutate(rng, data), &changed) != nil {
			continue
		}
		taken++
		now = now.Add(time.Second)
		near.Handle(now, changed)
		near.HandleReply(now, Probe{VM: "far", Address: "2"}, ExchangeReply{From: changed.From, Digest: changed.Digest, Deltas: changed.Deltas})
		near.Tick(now)
		near.Members()
	}
	if taken == 0 {
		t.Error("no changed message could be decoded")
	}
}
