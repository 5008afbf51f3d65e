package caboard

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/cell/caticket"
)

const (
	// smallBacklog and largeBacklog are numbers of steps that wait and can not start.
	smallBacklog = 100
	largeBacklog = 1000
	// maxExtraWork is how many more upstreams a plan may look at, and allocate, for the large
	// backlog than for the small one: about what the request for one step takes.
	maxExtraWork = 2 * loadedUpstreams
)

// leaveRoomAtRejected lets each step run on half of the upstreams, and takes their room.
func leaveRoomAtRejected(c *loadedCell) {
	for i, u := range c.planner.sortedUpstreams {
		isApproved := i%2 == 0
		if isApproved {
			u.used = cawork.Resources{CPU: cawork.Cores(10)}
		}
		for _, s := range c.planner.steps {
			if s.approvals.isDecided(u) {
				continue
			}
			s.approvals.hasAnswer = true
			s.approvals.answers.Decide(u.place(), loadedUpstreams)
			if isApproved {
				s.approvals.answers.Approve(u.place(), loadedUpstreams, caticket.Ticket{Value: "t", Expires: c.moment().Monotonic.Add(time.Hour)})
			}
		}
	}
}

// newBlockedCell returns a cell with so many steps that can not start.
func newBlockedCell(tb testing.TB, waiting int, team cawork.TeamName, block func(*loadedCell)) *loadedCell {
	tb.Helper()
	c := newLoadedCell(tb, 1)
	for i := range waiting {
		c.planner.open(caspec.Submission{ID: cawork.JobID(fmt.Sprintf("%016x", i)), Queue: "palette", Team: team, Steps: []caspec.Step{
			{Tasks: 8, CPU: 12000, Memory: cawork.GiB, Estimate: time.Hour},
		}}, false)
	}
	block(c)
	return c
}

// BenchmarkPlanWithoutRoom measures plans with steps that find room only where they may not run.
func BenchmarkPlanWithoutRoom(b *testing.B) {
	for _, waiting := range []int{smallBacklog, largeBacklog} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			c := newBlockedCell(b, waiting, "team-11", leaveRoomAtRejected)
			for range 20 {
				c.tick()
			}
			parts := make(map[string]*partCost)
			c.measured = func(part string, f func()) { measurePart(parts, part, f) }
			for range b.N {
				c.tick()
			}
			took := parts["plan"].took
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2]), "plan-ns")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// blockedBacklog opens steps that can not start, and lets the advisor approve half of the upstreams
// for each. It returns the most work of one plan after that: upstreams looked at, and allocations.
func blockedBacklog(t *testing.T, waiting int, team cawork.TeamName, block func(*loadedCell)) (visits int64, allocated float64) {
	t.Helper()
	c := newBlockedCell(t, waiting, team, block)
	for c.elapsed < 3*time.Second {
		c.tick()
		block(c)
	}
	for range 5 {
		before := c.planner.visits
		c.tick()
		visits = max(visits, c.planner.visits-before)
		block(c)
	}
	c.planner.SetNow(c.moment())
	return visits, testing.AllocsPerRun(20, func() { c.planner.Plan() })
}

// TestBlockedBacklogMakesNoPlanLonger guards against plans that look through upstreams for each of the steps
// that can not start: where the pool is full, where there is room but not where the steps may run, and
// where a team is at its upper limit. A burst would make plans so long that callers wait for seconds.
func TestBlockedBacklogMakesNoPlanLonger(t *testing.T) {
	runWithoutRace(t)
	tests := map[string]struct {
		team  cawork.TeamName
		block func(*loadedCell)
	}{
		"full pool": {team: "team-11", block: func(c *loadedCell) {
			for _, u := range c.planner.sortedUpstreams {
				u.used = cawork.Resources{CPU: cawork.Cores(10)}
			}
		}},
		"team at its limit": {team: "team-00", block: func(c *loadedCell) {
			team := c.planner.teamOf("team-00")
			team.Release(team.Used())
			team.Acquire(cawork.Resources{CPU: cawork.Cores(160)})
		}},
		"room at rejected upstreams": {team: "team-11", block: leaveRoomAtRejected},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			smallVisits, smallAllocated := blockedBacklog(t, smallBacklog, test.team, test.block)
			visits, allocated := blockedBacklog(t, largeBacklog, test.team, test.block)
			t.Logf("%d steps: %d upstreams looked at, %.0f allocations", smallBacklog, smallVisits, smallAllocated)
			t.Logf("%d steps: %d upstreams looked at, %.0f allocations", largeBacklog, visits, allocated)
			if visits > smallVisits+maxExtraWork {
				t.Errorf("a plan looks at %d upstreams for %d steps, want at most %d more than the %d for %d", visits, largeBacklog, maxExtraWork, smallVisits, smallBacklog)
			}
			if allocated > smallAllocated+maxExtraWork {
				t.Errorf("a plan allocates %.0f times for %d steps, want at most %d more than the %.0f for %d", allocated, largeBacklog, maxExtraWork, smallAllocated, smallBacklog)
			}
		})
	}
}
