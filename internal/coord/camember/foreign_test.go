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

func newSingleState(now time.Time) *State {
	check := cacheck.New(zerolog.Nop(), tally.NoopScope)
	return NewState(DefaultConfig(), Identity{VM: "self", Address: "1", Zone: "z"}, nil, now, 1, check)
}

func foreignGreeting(incarnation int64) caversion.Greeting {
	return caversion.Greeting{VM: "far", Incarnation: incarnation, Zone: "z", Address: "2", Oldest: 7, Newest: 8, Format: 9}
}

// memberView holds the fields of a Member that the tests compare.
type memberView struct {
	Liveness    Liveness
	Reach       Reach
	Incarnation Incarnation
	Foreign     bool
	Protocols   caversion.Range
}

func viewOf(s *State, vm cawork.VMID) memberView {
	m, known := s.Member(vm)
	if !known {
		return memberView{}
	}
	return memberView{m.Liveness, m.Reach, m.Incarnation, m.Foreign, m.Protocols}
}

// Guards against missing or false failure detection of an entry without a
// common protocol version, of which only greetings are received.
func TestForeignEntryIsAMember(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newSingleState(now)
	probe := Probe{Address: "2"}
	protocols := caversion.Range{Oldest: 7, Newest: 8}
	causes := []Cause{}
	greet := func(incarnation int64) {
		for _, e := range s.HandleForeign(now, probe, foreignGreeting(incarnation)).Events {
			causes = append(causes, e.Cause)
		}
	}
	wantMember := func(what string, w memberView) {
		t.Helper()
		if diff := cmp.Diff(w, viewOf(s, "far")); diff != "" {
			t.Errorf("%s mismatch (-want +got):\n%s", what, diff)
		}
	}
	greet(500)
	greet(500)
	wantMember("first greeting", memberView{LivenessAlive, ReachDirect, 500, true, protocols})
	probe.VM = "far"
	s.HandleProbeFailure(now, probe)
	wantMember("after a failed probe", memberView{LivenessSuspect, ReachNone, 500, true, protocols})
	greet(500)
	wantMember("after an answer", memberView{LivenessAlive, ReachDirect, 500, true, protocols})
	s.HandleProbeFailure(now, probe)
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		s.Tick(now)
	}
	wantMember("after the suspicion timeout", memberView{LivenessDead, ReachNone, 500, true, protocols})
	greet(600)
	wantMember("after a restart", memberView{LivenessAlive, ReachDirect, 600, true, protocols})
	greet(500)
	wantMember("after a delayed greeting of the earlier incarnation", memberView{LivenessAlive, ReachDirect, 600, true, protocols})
	wantCauses := []Cause{CauseJoined, CauseForeign, CauseRefuted, CauseReach, CauseRestarted, CauseForeign}
	if diff := cmp.Diff(wantCauses, causes, cmp.Transformer("countCauses", countCauses)); diff != "" {
		t.Errorf("causes mismatch (-want +got):\n%s", diff)
	}
}

// countCauses returns the number of events of each cause, because their order
// within a step is irrelevant.
func countCauses(causes []Cause) map[Cause]int {
	counts := map[Cause]int{}
	for _, c := range causes {
		counts[c]++
	}
	return counts
}

// A delayed greeting of an earlier incarnation must not replace the protocol
// versions of the current one.
func TestGreetingOfEarlierIncarnationIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newSingleState(now)
	s.HandleForeign(now, Probe{Address: "2"}, foreignGreeting(600))
	s.HandleGreeting("far", caversion.Greeting{VM: "far", Incarnation: 500, Oldest: 1, Newest: 2, Format: 2})
	if got := viewOf(s, "far"); !got.Foreign {
		t.Errorf("greeting of an earlier incarnation was stored: %+v", got)
	}
	s.HandleGreeting("far", caversion.Greeting{VM: "far", Incarnation: 600, Oldest: 1, Newest: 2, Format: 2})
	if diff := cmp.Diff(memberView{LivenessAlive, ReachDirect, 600, false, caversion.Range{Oldest: 1, Newest: 2}}, viewOf(s, "far")); diff != "" {
		t.Errorf("member mismatch (-want +got):\n%s", diff)
	}
}

// mutations is the number of mutated copies of the message.
const mutations = 3000

// TestMutatedExchangesDoNotPanic passes mutated copies of a valid request to a
// state, as an entry of another version could send them.
func TestMutatedExchangesDoNotPanic(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1000, 0)
	near, far := newSingleState(now), newSingleState(now)
	far.id.VM, far.self.key = "far", keyOf("far")
	far.records = map[uint64]*record{far.self.key: far.self}
	far.self.sections[0].Place = &Place{VM: "far", Address: "2", Zone: "z"}
	far.SetLocal(AppState{
		ConfigVersion: 3, TeamUse: []TeamUse{{Team: "t", Use: cawork.Resources{CPU: 1000}}},
		Shards: []LedShard{{Shard: "s", View: 2, Backup: "self"}}, Unreachable: []cawork.UpstreamID{"u"},
	})
	far.Tick(now.Add(time.Second))
	request := ExchangeRequest{From: "far", Digest: far.buildDigest(nil, 12), Deltas: []Delta{{
		Key: far.self.key, Incarnation: far.self.incarnation, Sections: far.self.sections,
	}}}
	data, err := cbor.Marshal(request)
	if err != nil {
		t.Fatal(err)
	}
	decoded := 0
	for range mutations {
		var mutated ExchangeRequest
		if cbor.Unmarshal(cagolden.Mutate(rng, data), &mutated) != nil {
			continue
		}
		decoded++
		now = now.Add(time.Second)
		near.HandleRequest(now, mutated)
		near.HandleReply(now, Probe{VM: "far", Address: "2"}, ExchangeReply{From: mutated.From, Digest: mutated.Digest, Deltas: mutated.Deltas})
		near.Tick(now)
		near.Members()
	}
	if decoded == 0 {
		t.Error("no mutated message could be decoded")
	}
}
