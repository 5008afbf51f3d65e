package cadecide_test

import (
	"testing"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/casched"
)

// The north team uses half of the total capacity on other entries, so south is
// placed first although it uses more on this entry.
func TestRemoteUseCountsTowardTheShare(t *testing.T) {
	c := newScenario(t, casched.DefaultPolicy(), 2)
	c.s.SetRemoteUse(casched.RemoteUse{
		Capacity: cawork.Resources{CPU: cawork.Cores(16), Memory: 64 * cawork.GiB},
		Teams:    []casched.TeamUse{{Team: "north", Use: size(16)}},
	}, c.now)
	c.submit("south1", "south", batchSpec(1, 8))
	c.decideAfter(0)
	c.submit("north1", "north", batchSpec(1, 8))
	c.submit("south2", "south", batchSpec(1, 8))
	wantSummary(t, c.decideAfter(time.Second), "place lowest_share south2/1")
}

// A job that fits only on upstreams of other entries cannot be unblocked here.
// It must not prevent preemption for the next job of its team.
func TestJobForOtherEntriesDoesNotPreventPreemption(t *testing.T) {
	c := newScenario(t, casched.DefaultPolicy(), 2)
	c.s.SetRemoteUse(casched.RemoteUse{
		Capacity: size(8), Shapes: []casched.Upstream{{Rack: "far", Capacity: size(8)}},
	}, c.now)
	c.submit("full", "north", batchSpec(8, 2))
	c.decideAfter(0)
	far := batchSpec(1, 2)
	far.Constraints.Rack = "far"
	c.submit("far", "south", far)
	c.submit("near", "south", batchSpec(1, 2))
	c.decideAfter(time.Minute)
	got := append(c.decideAfter(time.Second), c.decideAfter(time.Second)...)
	if n := countDecisions(c.decideAfter(time.Second), casched.DecisionPlace, "near"); n != 0 {
		t.Fatalf("%d tasks were placed on full upstreams", n)
	}
	wantSummary(t, got, "checkpoint share full/1")
}
