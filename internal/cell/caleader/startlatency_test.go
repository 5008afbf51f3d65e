package caleader

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestStartTimeoutFollowsMeanLatency replays fast answers, slow answers, and fast
// answers again. The timeout must grow and shrink with them.
func TestStartTimeoutFollowsMeanLatency(t *testing.T) {
	var s startLatency
	var got []time.Duration
	for _, took := range []time.Duration{8 * time.Millisecond, 150 * time.Millisecond, 8 * time.Millisecond} {
		for range 500 {
			s.addInFlight(1)
			s.observe(took)
		}
		got = append(got, s.timeout())
	}
	want := []time.Duration{minStartTimeout, maxStartTimeout, minStartTimeout}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("timeouts (-want +got):\n%s", diff)
	}
}

// TestStartTimeoutGrowsWithStartsInFlight replays the recovery of the store after an
// outage of some seconds, when all delayed starts are sent at once. They must not
// time out because of each other.
func TestStartTimeoutGrowsWithStartsInFlight(t *testing.T) {
	var s startLatency
	s.addInFlight(450)
	if diff := cmp.Diff(maxStartTimeout, s.timeout()); diff != "" {
		t.Errorf("timeout of the first of 450 starts (-want +got):\n%s", diff)
	}
}

// TestPlanIntervalGrowsWithPlanDuration guards against plans that take all the CPU
// time while a long backlog makes them expensive.
func TestPlanIntervalGrowsWithPlanDuration(t *testing.T) {
	got := []time.Duration{
		planInterval(time.Millisecond), planInterval(8 * time.Millisecond), planInterval(20 * time.Millisecond), planInterval(time.Second),
	}
	want := []time.Duration{minPlanInterval, 32 * time.Millisecond, maxPlanInterval, 2 * time.Second}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("plan intervals (-want +got):\n%s", diff)
	}
}
