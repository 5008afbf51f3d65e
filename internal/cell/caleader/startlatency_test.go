package caleader

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestStartTimeoutFollowsMeanLatency replays fast answers, slow answers, and fast
// answers again. The timeout must grow and shrink with them.
func TestStartTimeoutFollowsMeanLatency(t *testing.T) {
	s := newStartLatency()
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
	s := newStartLatency()
	s.addInFlight(450)
	if diff := cmp.Diff(maxStartTimeout, s.timeout()); diff != "" {
		t.Errorf("timeout of the first of 450 starts (-want +got):\n%s", diff)
	}
}

// TestStartsOfSlowUpstreamsAreAwaited guards against starts that are given up after a fixed time though
// all upstreams take longer to answer, and carry them out: the runs were stopped and started again without
// end.
func TestStartsOfSlowUpstreamsAreAwaited(t *testing.T) {
	s := newStartLatency()
	for _, latency := range []time.Duration{8 * time.Millisecond, 900 * time.Millisecond} {
		for range 500 {
			s.addInFlight(1)
			s.observe(min(latency, s.timeout()))
		}
	}
	if got := s.timeout(); got <= 900*time.Millisecond || got > maxSlowStartTimeout {
		t.Errorf("timeout %v where all starts take 900 ms", got)
	}
	for range 500 {
		s.addInFlight(1)
		s.observe(8 * time.Millisecond)
	}
	if diff := cmp.Diff(minStartTimeout, s.timeout()); diff != "" {
		t.Errorf("timeout once they are fast again (-want +got):\n%s", diff)
	}
}

// TestLostAnswersKeepStartTimeoutShort covers upstreams of which a fifth leaves starts unanswered.
func TestLostAnswersKeepStartTimeoutShort(t *testing.T) {
	s := newStartLatency()
	for i := range 1000 {
		s.addInFlight(1)
		took := 8 * time.Millisecond
		if i%5 == 0 {
			took = s.timeout()
		}
		s.observe(took)
	}
	if got := s.timeout(); got > maxStartTimeout {
		t.Errorf("timeout %v, want at most %v", got, maxStartTimeout)
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
