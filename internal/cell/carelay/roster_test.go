package carelay

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

func vmIDs(list []Candidate) []cawork.VMID {
	var vms []cawork.VMID
	for _, c := range list {
		vms = append(vms, c.VM)
	}
	return vms
}

func TestAgentsAreMostPowerfulEntriesOfEachZone(t *testing.T) {
	candidates := []Candidate{
		{VM: "a-small", Zone: "a", Power: 0.2},
		{VM: "a-large", Zone: "a", Power: 0.8},
		{VM: "a-other", Zone: "a", Power: 0.8},
		{VM: "b-small", Zone: "b", Power: 0.2},
		{VM: "c-large", Zone: "c", Power: 0.8},
	}
	r := newRoster(candidates, map[cawork.ZoneName]int{"a": upstreamsPerAgent + 1, "b": 3})
	if diff := cmp.Diff([]cawork.VMID{"a-large", "a-other", "b-small"}, vmIDs(r.all)); diff != "" {
		t.Errorf("agents (-want +got):\n%s", diff)
	}
}

func TestAgentsShareTheUpstreamsOfTheirZone(t *testing.T) {
	candidates := []Candidate{
		{VM: "a-1", Zone: "a"}, {VM: "a-2", Zone: "a"}, {VM: "b-1", Zone: "b"},
	}
	r := newRoster(candidates, map[cawork.ZoneName]int{"a": 90, "b": 10, "c": 10})
	counts := make(map[cawork.VMID]int)
	for i := range 200 {
		agent, ok := r.agentFor(cawork.UpstreamID(fmt.Sprintf("up-%d", i)), "a")
		if !ok || agent.Zone != "a" {
			t.Fatalf("upstream %d of zone a: agent %q of zone %q", i, agent.VM, agent.Zone)
		}
		counts[agent.VM]++
	}
	for _, vm := range []cawork.VMID{"a-1", "a-2"} {
		if counts[vm] < 60 {
			t.Errorf("agent %s serves %d of 200 upstreams, want 60 or more", vm, counts[vm])
		}
	}
	if agent, ok := r.agentFor("up-c", "c"); !ok || agent.VM == "" {
		t.Error("an upstream of a zone without entries has no agent")
	}
}

// TestUpstreamsMoveOnlyToNewAgent guards against moving upstreams between agents
// that remain when another agent is added.
func TestUpstreamsMoveOnlyToNewAgent(t *testing.T) {
	before := newRoster([]Candidate{{VM: "a-1", Zone: "a"}, {VM: "a-2", Zone: "a"}}, map[cawork.ZoneName]int{"a": 135})
	after := newRoster([]Candidate{{VM: "a-1", Zone: "a"}, {VM: "a-2", Zone: "a"}, {VM: "a-3", Zone: "a"}}, map[cawork.ZoneName]int{"a": 135})
	for i := range 100 {
		id := cawork.UpstreamID(fmt.Sprintf("up-%d", i))
		was, _ := before.agentFor(id, "a")
		now, _ := after.agentFor(id, "a")
		if now.VM != was.VM && now.VM != "a-3" {
			t.Errorf("upstream %s moved from %s to %s", id, was.VM, now.VM)
		}
	}
}

func TestNoAgentWithoutCandidates(t *testing.T) {
	if agent, ok := newRoster(nil, map[cawork.ZoneName]int{"a": 90}).agentFor("up-1", "a"); ok {
		t.Errorf("agent %v without candidates", agent)
	}
}
