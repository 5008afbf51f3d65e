package caboard

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
)

// TestRequestsAreLeftToOthersWhileNobodyCanSubmit guards against steps late beyond use that take the requests of
// others, since a new leader, or one whose store is away, sees no others.
func TestRequestsAreLeftToOthersWhileNobodyCanSubmit(t *testing.T) {
	const half, allButOne = 4, 7
	begin := time.Unix(1000, 0)
	b := New(zerolog.Nop(), 1, ClockReading{Monotonic: begin}, begin)
	b.SetRequestLimits(RequestLimits{Total: 8})
	tests := []struct {
		name  string
		after time.Duration
		// awayBefore is set if the store was away until half a second ago.
		awayBefore bool
		want       int
	}{
		{name: "new leader", want: half},
		{name: "nobody else for long", after: 2 * time.Second, want: allButOne},
		{name: "store back after an outage without such steps", after: 10 * time.Second, awayBefore: true, want: half},
		{name: "nobody else since", after: 12 * time.Second, want: allButOne},
	}
	for _, test := range tests {
		b.SetNow(ClockReading{Monotonic: begin.Add(test.after - 500*time.Millisecond)})
		b.SetStoreUnavailable(test.awayBefore)
		b.SetNow(ClockReading{Monotonic: begin.Add(test.after)})
		b.SetStoreUnavailable(false)
		if diff := cmp.Diff(test.want, b.uselessRequestLimit()); diff != "" {
			t.Errorf("%s: requests in flight for steps late beyond use (-want +got):\n%s", test.name, diff)
		}
	}
}
