package camember_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/coord/camember"
)

func TestPauseIsShortWhileAMemberIsSuspected(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.run(0, 30*time.Second)
	short := camember.DefaultConfig().Period / 4
	a := g.states["a"]
	if got := a.Pause(at(30 * time.Second)); a.IsUrgent() || got < 0 || got > camember.DefaultConfig().Period {
		t.Errorf("urgent %v and pause %v in a calm group, want false and at most a period", a.IsUrgent(), got)
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
		g.run(now, now+250*time.Millisecond)
	}
	if !suspected() {
		t.Fatal("a silent member was not suspected within 30 s")
	}
	if diff := cmp.Diff(short, a.Pause(at(now))); diff != "" {
		t.Errorf("pause with a suspected member (-want +got):\n%s", diff)
	}
}
