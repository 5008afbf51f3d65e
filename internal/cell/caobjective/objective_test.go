package caobjective_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/cell/caobjective"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

func TestCriticalPaths(t *testing.T) {
	step := func(seconds int, after ...int) caspec.Step {
		return caspec.Step{Tasks: 1, Estimate: time.Duration(seconds) * time.Second, After: after}
	}
	got := caobjective.CriticalPaths([]caspec.Step{step(1), step(2, 0), step(5, 0), step(3, 1, 2), step(4)}, 0)
	want := []time.Duration{9 * time.Second, 5 * time.Second, 8 * time.Second, 3 * time.Second, 4 * time.Second}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("longest chains (-want +got):\n%s", diff)
	}
}

// TestOutageRetryGrowsWithObjective covers callers that give up after a few attempts: if
// all were told to retry as soon, jobs with long objectives would not outlast an outage.
func TestOutageRetryGrowsWithObjective(t *testing.T) {
	step := func(estimate time.Duration) []caspec.Step { return []caspec.Step{{Tasks: 1, Estimate: estimate}} }
	tests := []struct {
		name  string
		queue caspec.Queue
		steps []caspec.Step
		want  time.Duration
	}{
		{"urgent", caspec.Queue{Stretch: 1.5, TargetLatency: 300 * time.Millisecond}, step(640 * time.Millisecond), time.Second},
		{"between", caspec.Queue{Stretch: 2, TargetLatency: time.Second}, step(4 * time.Second), 1500 * time.Millisecond},
		{"patient", caspec.Queue{Stretch: 4, TargetLatency: 3 * time.Second}, step(5 * time.Second), 2 * time.Second},
	}
	for _, test := range tests {
		if diff := cmp.Diff(test.want, caobjective.OutageRetryAfter(test.queue, test.steps)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", test.name, diff)
		}
	}
}
