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
			s.note(took)
		}
		got = append(got, s.timeout())
	}
	want := []time.Duration{startTimeoutLeast, startTimeoutMost, startTimeoutLeast}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("time-outs (-want +got):\n%s", diff)
	}
}
