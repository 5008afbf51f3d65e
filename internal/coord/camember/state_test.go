package camember_test

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	tally "github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/cacheck"
	"celeryarch.example/celeryarch/internal/coord/camember"
)

var startTime = time.Unix(1_800_000_000, 0)

func at(d time.Duration) time.Time { return startTime.Add(d) }

// group is a set of states that call each other without delay.
type group struct {
	t      reporter
	check  *cacheck.Checker
	states map[string]*camember.State
	causes map[string][]camember.Cause
	silent map[string]bool
}

type reporter interface {
	Errorf(format string, args ...any)
}

func newGroup(t reporter, vms ...cawork.VMID) *group {
	g := &group{
		t: t, check: cacheck.New(zerolog.Nop(), tally.NoopScope), states: map[string]*camember.State{},
		causes: map[string][]camember.Cause{}, silent: map[string]bool{},
	}
	for _, vm := range vms {
		g.start(vm, 0)
	}
	return g
}

func (g *group) start(vm cawork.VMID, d time.Duration) {
	id := camember.Identity{VM: vm, Address: string(vm), Zone: "z"}
	g.states[string(vm)] = camember.NewState(camember.DefaultConfig(), id, []string{"a"}, at(d), 1, g.check)
}

// runTicks ticks all states that are not silent every 250 ms.
func (g *group) runTicks(from, to time.Duration) {
	for d := from; d < to; d += 250 * time.Millisecond {
		for _, name := range []string{"a", "b", "c"} {
			if s, ok := g.states[name]; ok && !g.silent[name] {
				g.execute(name, d, s.Tick(at(d)))
			}
		}
	}
}

// execute sends the requests of the step of a state and records its events.
func (g *group) execute(name string, d time.Duration, step camember.Step) {
	for _, e := range step.Events {
		if e.Cause != camember.CauseApp {
			g.causes[name] = append(g.causes[name], e.Cause)
		}
	}
	s := g.states[name]
	for _, p := range step.Probes {
		to, ok := g.states[p.Address]
		if !ok || g.silent[p.Address] {
			g.execute(name, d, s.HandleProbeFailure(at(d), p))
			continue
		}
		reply, toStep := to.HandleRequest(at(d), p.Request)
		g.execute(p.Address, d, toStep)
		g.execute(name, d, s.HandleReply(at(d), p, reply))
	}
	if len(step.Relays) > 0 {
		g.execute(name, d, s.HandleRelayResult(at(d), step.Relays[0].Target, !g.silent[step.Relays[0].Target.Address]))
	}
}

func (g *group) liveness(member, observer string) camember.Liveness {
	if m, known := g.states[observer].Member(cawork.VMID(member)); known {
		return m.Liveness
	}
	g.t.Errorf("%s does not know %s", observer, member)
	return camember.LivenessLeft
}

func (g *group) wantCauses(observer string, want ...camember.Cause) {
	slices.Sort(g.causes[observer])
	if diff := cmp.Diff(want, g.causes[observer]); diff != "" {
		g.t.Errorf("causes at %s mismatch (-want +got):\n%s", observer, diff)
	}
	g.causes[observer] = nil
	if v := g.check.Violations(); len(v) > 0 {
		g.t.Errorf("violations: %v", v)
	}
}

func TestEntriesDiscoverEachOtherThroughSeed(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.runTicks(0, 5*time.Second)
	g.wantCauses("b", camember.CauseJoined, camember.CauseJoined)
	g.states["a"].SetLocal(camember.AppState{
		ConfigVersion: 7, Free: cawork.Resources{CPU: cawork.Cores(3), Memory: 5 * cawork.GiB},
		TeamUse:     []camember.TeamUse{{Team: "t", Use: cawork.Resources{CPU: 100, Memory: cawork.MiB, Accelerators: 2}}},
		Shards:      []camember.LedShard{{Shard: "s", View: 3, Backup: "b"}},
		Unreachable: []cawork.UpstreamID{"u"}, QueueLength: 4, OwnedUpstreams: 9, FreeSlots: 72,
	})
	g.runTicks(5*time.Second, 10*time.Second)
	want, got := g.states["a"].Self().App, g.states["c"].Members()[0].App
	if diff := cmp.Diff(want, got); diff != "" || got.ConfigVersion != 7 || len(got.TeamUse) != 1 {
		t.Errorf("state of a at c mismatch (-want +got):\n%s", diff)
	}
	g.states["a"].SetLocal(camember.AppState{ConfigVersion: 8})
	g.runTicks(10*time.Second, 15*time.Second)
	if diff := cmp.Diff(camember.AppState{ConfigVersion: 8}, g.states["c"].Members()[0].App); diff != "" {
		t.Errorf("state of a at c after its use ended mismatch (-want +got):\n%s", diff)
	}
}

// A paused process keeps its state, a restarted one does not, so subscribers
// need to distinguish the two.
func TestPauseAndRestartAreDistinguished(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.runTicks(0, 5*time.Second)
	g.wantCauses("a", camember.CauseJoined, camember.CauseJoined)

	g.silent["b"] = true
	g.runTicks(5*time.Second, 20*time.Second)
	g.wantCauses("a", camember.CauseSuspected, camember.CauseDied, camember.CauseReach)
	g.silent["b"] = false
	g.runTicks(20*time.Second, 40*time.Second)
	if diff := cmp.Diff(camember.LivenessAlive, g.liveness("b", "a")); diff != "" {
		t.Errorf("liveness of b after its pause mismatch (-want +got):\n%s", diff)
	}
	if got := g.causes["a"]; len(got) == 0 || got[len(got)-1] != camember.CauseReach && got[len(got)-1] != camember.CauseReturned {
		t.Errorf("causes at a after the pause of b: %v", got)
	}
	if got := g.causes["b"]; len(got) == 0 || !slices.Contains(got, camember.CauseSelfPaused) {
		t.Errorf("causes at b after its pause: %v, want self_paused among them", got)
	}
	g.causes["a"] = nil

	g.start("b", 40*time.Second)
	g.runTicks(40*time.Second, 50*time.Second)
	g.wantCauses("a", camember.CauseRestarted)
}

// If the clock went back before a restart, the new process starts with the same
// or a lower incarnation than the others know, and has to raise it.
func TestRestartWithEarlierClockIsNewIncarnation(t *testing.T) {
	for _, startOffset := range []time.Duration{0, -time.Second, -time.Hour} {
		g := newGroup(t, "a", "b", "c")
		g.states["b"].SetLocal(camember.AppState{ConfigVersion: 7})
		g.runTicks(0, 5*time.Second)
		g.states["b"].SetLocal(camember.AppState{ConfigVersion: 8})
		g.runTicks(5*time.Second, 10*time.Second)
		g.causes["a"] = nil
		g.start("b", startOffset)
		g.runTicks(10*time.Second, 15*time.Second)
		g.wantCauses("a", camember.CauseRestarted)
		if diff := cmp.Diff(startTime.Unix()+1, int64(g.states["b"].Self().Incarnation)); diff != "" {
			t.Errorf("incarnation mismatch (-want +got):\n%s", diff)
		}
	}
}

// The silence of a member that left must not raise a suspicion, and other
// members must not reintroduce one that the platform lists as gone.
func TestLeftIsFinalAndUnlistedIsDropped(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.runTicks(0, 5*time.Second)
	g.causes["a"] = nil
	g.states["b"].Leave(false)
	g.runTicks(5*time.Second, 8*time.Second)
	g.wantCauses("a", camember.CauseLeaving)
	g.states["b"].Leave(true)
	g.runTicks(8*time.Second, 12*time.Second)
	g.wantCauses("a", camember.CauseLeft)
	g.silent["b"] = true
	g.runTicks(12*time.Second, 30*time.Second)
	g.wantCauses("a")
	g.states["a"].SetListed(nil, []cawork.VMID{"b"})
	g.runTicks(30*time.Second, 60*time.Second)
	g.wantCauses("a", camember.CauseUnlisted)
	if got := len(g.states["a"].Members()); got != 2 {
		t.Errorf("a knows %d members, want 2: c must not reintroduce the unlisted b", got)
	}
	if m, known := g.states["a"].Member("b"); known {
		t.Errorf("a still knows %+v", m)
	}
}

// The entry restarts without knowledge of other members while its seed does not
// answer, so the other members have to contact it.
func TestRestartAfterLeavingIsDiscoveredWithoutSeed(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.runTicks(0, 5*time.Second)
	g.states["b"].Leave(true)
	g.runTicks(5*time.Second, 10*time.Second)
	g.silent["a"] = true
	g.start("b", 20*time.Second)
	g.runTicks(20*time.Second, 40*time.Second)
	if diff := cmp.Diff(camember.LivenessAlive, g.liveness("b", "c")); diff != "" {
		t.Errorf("liveness of b at c mismatch (-want +got):\n%s", diff)
	}
}

// Members must not pass the record of a dead member back and forth after it
// expired.
func TestDeadMembersAreDroppedByAll(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.runTicks(0, 5*time.Second)
	g.silent["b"] = true
	g.runTicks(5*time.Second, 62*time.Minute)
	for _, name := range []string{"a", "c"} {
		if got := len(g.states[name].Members()); got != 2 {
			t.Errorf("%s knows %d members, want 2", name, got)
		}
	}
}

// A path that is cut in one direction must be distinguished from a member that
// does not run: others still reach it, or its own requests arrive.
func TestReachOfOneWayPartition(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.runTicks(0, 5*time.Second)
	probe := camember.Probe{VM: "b", Address: "b"}
	step := g.states["a"].HandleProbeFailure(at(5*time.Second), probe)
	if diff := cmp.Diff([]camember.Relay{{Address: "c", Target: probe}}, step.Relays); diff != "" {
		t.Errorf("relays mismatch (-want +got):\n%s", diff)
	}
	step = g.states["a"].HandleRelayResult(at(5*time.Second), probe, true)
	if diff := cmp.Diff(camember.ReachIndirect, step.Events[0].Member.Reach); diff != "" {
		t.Errorf("reach after an answer to a relay mismatch (-want +got):\n%s", diff)
	}
	g.states["a"].HandleRelayResult(at(5*time.Second), probe, false)
	_, step = g.states["a"].HandleRequest(at(6*time.Second), camember.ExchangeRequest{From: "b"})
	got := step.Events[0].Member
	if diff := cmp.Diff(camember.ReachHeard, got.Reach); diff != "" || got.Liveness != camember.LivenessSuspect {
		t.Errorf("b is %s, reach mismatch (-want +got):\n%s", got.Liveness, diff)
	}
}

// Another VM may reuse the address of a failed one, and its reply
// must not count as an answer of the probed member.
func TestReplyOfAnotherVMSuspectsProbedMember(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.runTicks(0, 5*time.Second)
	g.causes["a"] = nil
	step := g.states["a"].HandleReply(at(5*time.Second), camember.Probe{VM: "b", Address: "b"},
		camember.ExchangeReply{From: "c"})
	g.execute("a", 5*time.Second, step)
	if !slices.Contains(g.causes["a"], camember.CauseSuspected) {
		t.Errorf("causes at a: %v, want a suspicion of b", g.causes["a"])
	}
}

// If standings were not ordered, members could override each other's records
// for ever.
func TestStandingsAreOrdered(t *testing.T) {
	standing := rapid.Custom(func(t *rapid.T) camember.Standing {
		return camember.NewStanding(rapid.Uint32Max(3).Draw(t, "counter"),
			rapid.SampledFrom(camember.LivenessValues()).Draw(t, "liveness"))
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := standing.Draw(t, "a"), standing.Draw(t, "b"), standing.Draw(t, "c")
		if a.Newer(b) && b.Newer(a) {
			t.Errorf("%v and %v override each other", a, b)
		}
		if a.Newer(b) && b.Newer(c) && !a.Newer(c) {
			t.Errorf("%v overrides %v, which overrides %v, but the first does not override the last", a, b, c)
		}
	})
}

// shardsOf returns the shards of the member that the observer knows.
func (g *group) shardsOf(member, observer string) []camember.LedShard {
	for _, m := range g.states[observer].Members() {
		if string(m.VM) == member {
			return m.App.Shards
		}
	}
	return nil
}

// A section that changes all the time must not load all members, and its last
// value must still arrive.
func TestChangesOfFlappingSectionAreRateLimited(t *testing.T) {
	const seconds = 60
	g := newGroup(t, "a", "b", "c")
	g.runTicks(0, 10*time.Second)
	now := 10 * time.Second
	var last []camember.LedShard
	changes := 0
	for i := range 4 * seconds {
		g.states["a"].SetLocal(camember.AppState{Shards: []camember.LedShard{{Shard: "s", View: int64(i)}}})
		g.runTicks(now, now+250*time.Millisecond)
		now += 250 * time.Millisecond
		if got := g.shardsOf("a", "b"); !slices.Equal(got, last) {
			changes++
			last = got
		}
	}
	cfg := camember.DefaultConfig()
	wantMax := cfg.UrgentBurst + int(seconds*time.Second/cfg.UrgentPause)
	if changes > wantMax {
		t.Errorf("b received %d changes in a minute, want at most %d", changes, wantMax)
	}
	g.runTicks(now, now+2*cfg.UrgentPause)
	if diff := cmp.Diff([]camember.LedShard{{Shard: "s", View: 4*seconds - 1}}, g.shardsOf("a", "b")); diff != "" {
		t.Errorf("shards of a at b after the last change mismatch (-want +got):\n%s", diff)
	}
}
