package camember_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/coord/camember"
)

// A suspicion has to expire and be verified with little delay, although the
// ticks are far apart while no member is suspected.
func TestTicksAreFastWhileMemberIsSuspected(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.runTicks(0, 30*time.Second)
	fastTickDelay := camember.DefaultConfig().Period / 4
	a := g.states["a"]
	if got := a.TickDelay(at(30 * time.Second)); a.NeedsFastTicks() || got < 0 || got > camember.DefaultConfig().Period {
		t.Errorf("urgent %v and delay %v without a suspected member, want false and at most a period", a.NeedsFastTicks(), got)
	}
	g.silent["c"] = true
	suspected := func() bool {
		for _, m := range a.Members() {
			if m.Liveness == camember.LivenessSuspect {
				return true
			}
		}
		return false
	}
	now := 30 * time.Second
	for ; !suspected() && now < time.Minute; now += 250 * time.Millisecond {
		g.runTicks(now, now+250*time.Millisecond)
	}
	if !suspected() {
		t.Fatal("a silent member was not suspected within 30 s")
	}
	if diff := cmp.Diff(fastTickDelay, a.TickDelay(at(now))); diff != "" {
		t.Errorf("delay with a suspected member mismatch (-want +got):\n%s", diff)
	}
}
