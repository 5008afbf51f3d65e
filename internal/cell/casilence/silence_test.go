package casilence

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestSightingsAreNotMistakenForOneAnother covers what must not shorten the wait for a lease: a later
// declaration, one of another incarnation, one of a build that does not identify them, and one
// after a claim that did not declare the upstream.
func TestSightingsAreNotMistakenForOneAnother(t *testing.T) {
	first := Upstream{Upstream: "up", Incarnation: 1, LeaseRemaining: 4 * time.Second, Declaration: 7}
	later, reborn, unknown := first, first, first
	later.Declaration, reborn.Incarnation, unknown.Declaration = 8, 2, 0
	const elapsed = 3 * time.Second
	tests := map[string][][]Upstream{
		"same declaration":    {{first}, {first}},
		"later declaration":   {{first}, {later}},
		"other incarnation":   {{first}, {reborn}},
		"former build":        {{unknown}, {unknown}},
		"not declared before": {{first}, nil, {first}},
	}
	got := make(map[string]time.Duration)
	for name, claims := range tests {
		var s Sightings
		readAt := time.Unix(1000, 0)
		for _, silent := range claims {
			s.Observe(silent, readAt)
			readAt = readAt.Add(elapsed)
		}
		readAt = readAt.Add(-elapsed)
		got[name] = s.Remaining(claims[len(claims)-1], readAt.Add(500*time.Millisecond))[0].LeaseRemaining
	}
	const fresh = 3500 * time.Millisecond
	want := map[string]time.Duration{
		"same declaration": 500 * time.Millisecond, "later declaration": fresh, "other incarnation": fresh, "former build": fresh, "not declared before": fresh,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("remaining lease 500 ms after the last claim was read (-want +got):\n%s", diff)
	}
}
