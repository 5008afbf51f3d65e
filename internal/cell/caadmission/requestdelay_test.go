package caadmission

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestInheritedDelayGivesWay checks that a delay which another leader observed counts until own requests
// outweigh it, and that the mean of several queues is that of all their requests.
func TestInheritedDelayGivesWay(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var inherited, none RequestDelay
	inherited.Inherit(now, time.Second)
	none.Inherit(now, 0)
	both := MeanOf(now, slices.Values([]*RequestDelay{&inherited, &none}))
	if diff := cmp.Diff([]any{800 * time.Millisecond, time.Duration(0), 800 * time.Millisecond}, []any{inherited.Value(now), none.Value(now), both}); diff != "" {
		t.Errorf("inherited delays and their mean (-want +got):\n%s", diff)
	}
	for range 100 {
		inherited.Add(now, 10*time.Millisecond, 0)
	}
	if got := inherited.Value(now); got > 150*time.Millisecond {
		t.Errorf("delay of %v after 100 requests without one", got)
	}
}
