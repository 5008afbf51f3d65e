package cadecide_test

import (
	"testing"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/casched"
)

// North uses half of the cell elsewhere, so that south goes first here though
// it uses more here.
func TestUseReportedByOthersCountsForTheShare(t *testing.T) {
	c := newScene(t, casched.DefaultPolicy(), 2)
	c.s.SetRemoteUse(casched.RemoteUse{
		Capacity: cawork.Resources{CPU: cawork.Cores(16), Memory: 64 * cawork.GiB},
		Teams:    []casched.TeamUse{{Team: "north", Use: size(16)}},
	}, c.now)
	c.submit("south1", "south", batch(1, 8))
	c.after(0)
	c.submit("north1", "north", batch(1, 8))
	c.submit("south2", "south", batch(1, 8))
	wantSummary(t, c.after(time.Second), "place lowest_share south2/1")
}

// A job that only upstreams of other entries could hold must not keep the next
// one of its team from being helped.
func TestJobForOtherEntriesKeepsNobodyFromRelief(t *testing.T) {
	c := newScene(t, casched.DefaultPolicy(), 2)
	c.s.SetRemoteUse(casched.RemoteUse{
		Capacity: size(8), Shapes: []casched.Upstream{{Rack: "far", Capacity: size(8)}},
	}, c.now)
	c.submit("full", "north", batch(8, 2))
	c.after(0)
	far := batch(1, 2)
	far.Constraints.Rack = "far"
	c.submit("far", "south", far)
	c.submit("near", "south", batch(1, 2))
	c.after(time.Minute)
	got := append(c.after(time.Second), c.after(time.Second)...)
	if n := count(c.after(time.Second), casched.DecisionPlace, "near"); n != 0 {
		t.Fatalf("%d tasks were placed on full upstreams", n)
	}
	wantSummary(t, got, "checkpoint share full/1")
}
