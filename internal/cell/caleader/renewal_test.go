package caleader

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/cell/caboard"
)

// TestRenewalTimeoutFollowsLatency guards against upstreams that answer later and later, and whose
// renewals count as unanswered after a fixed time, and against timeouts that stay long.
func TestRenewalTimeoutFollowsLatency(t *testing.T) {
	const ms = time.Millisecond
	answers := []struct {
		took, wait time.Duration
		want       time.Duration
	}{
		{took: 20 * ms, want: minRenewTimeout},
		{took: renewWait + 600*ms, wait: renewWait, want: 1200 * ms},
		{took: 900 * ms, wait: renewWait, want: 1200 * ms},
		{took: 1900 * ms, want: maxRenewTimeout},
		{took: 10 * ms, want: maxRenewTimeout},
		{took: 10 * ms, want: maxRenewTimeout},
		{took: 10 * ms, want: 1603125 * time.Microsecond},
		{took: renewWait + 10*ms, wait: renewWait, want: 1202344 * time.Microsecond},
		{took: 10 * ms, want: 901758 * time.Microsecond},
		{took: 10 * ms, want: minRenewTimeout},
	}
	var latency renewLatency
	for i, a := range answers {
		latency.observe(a.took, a.wait)
		if diff := cmp.Diff(a.want, latency.timeout().Round(time.Microsecond)); diff != "" {
			t.Errorf("timeout after answer %d (-want +got):\n%s", i, diff)
		}
	}
}

// TestLeaseOutlivesUnansweredRenewal guards against timeouts so long that the lease of an upstream
// that answers late has expired before a renewal that follows an overdue one is answered.
func TestLeaseOutlivesUnansweredRenewal(t *testing.T) {
	if longest := renewWait + 2*maxRenewTimeout + renewRetry; longest >= caboard.LeaseDuration {
		t.Errorf("two renewals take up to %v, want less than the lease of %v", longest, caboard.LeaseDuration)
	}
}
