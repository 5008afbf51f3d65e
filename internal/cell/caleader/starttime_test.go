package caleader

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestTimeoutOfAStartFollowsTheAnswers replays a calm time, a time in which all
// answers are slow, and a calm one again.
func TestTimeoutOfAStartFollowsTheAnswers(t *testing.T) {
	var s startTimes
	var got []time.Duration
	for _, took := range []time.Duration{8 * time.Millisecond, 150 * time.Millisecond, 8 * time.Millisecond} {
		for range 500 {
			s.expect(1)
			s.end(took)
		}
		got = append(got, s.begin())
	}
	want := []time.Duration{startTimeoutLeast, startTimeoutMost, startTimeoutLeast}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("time-outs (-want +got):\n%s", diff)
	}
}

// TestTimeoutOfAStartAllowsForAFlood replays the return of the store after some
// seconds, when all starts that waited for it leave at once.
func TestTimeoutOfAStartAllowsForAFlood(t *testing.T) {
	var s startTimes
	s.expect(450)
	if diff := cmp.Diff(startTimeoutMost, s.begin()); diff != "" {
		t.Errorf("time-out of the first of 450 starts (-want +got):\n%s", diff)
	}
}

func TestLongPlansLeaveTimeForTheRest(t *testing.T) {
	got := []time.Duration{restAfterPlan(time.Millisecond), restAfterPlan(8 * time.Millisecond), restAfterPlan(time.Second)}
	if diff := cmp.Diff([]time.Duration{planPause, 32 * time.Millisecond, planRestMost}, got); diff != "" {
		t.Errorf("times between plans (-want +got):\n%s", diff)
	}
}
