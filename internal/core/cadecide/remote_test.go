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
