package caspec_test

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// TestCheckRejectsOutOfBoundsSubmissions guards against overflows and unbounded
// allocations: Check must reject these values before a job is created from them.
func TestCheckRejectsOutOfBoundsSubmissions(t *testing.T) {
	step := caspec.Step{Tasks: 1, CPU: 1000}
	tests := []struct {
		name     string
		steps    []caspec.Step
		schedule caspec.Schedule
	}{
		{name: "no step"},
		{name: "tasks whose sum overflows", steps: []caspec.Step{{Tasks: math.MaxInt}, {Tasks: math.MaxInt}, {Tasks: 3}}},
		{name: "too many tasks", steps: []caspec.Step{{Tasks: 4000}, {Tasks: 4000}}},
		{name: "CPU whose product overflows", steps: []caspec.Step{{Tasks: 4, CPU: math.MaxInt64 / 2}}},
		{name: "memory whose product overflows", steps: []caspec.Step{{Tasks: 4, Memory: math.MaxInt64 / 2}}},
		{name: "accelerators whose product overflows", steps: []caspec.Step{{Tasks: 4, Accelerators: math.MaxInt64 / 2}}},
		{name: "a negative bound on the tasks of one upstream", steps: []caspec.Step{{Tasks: 4, MaxPerUpstream: -1}}},
		{name: "a negative disruption budget", steps: []caspec.Step{{Tasks: 4, DisruptionBudget: -1}}},
		{name: "a step that depends on itself", steps: []caspec.Step{{Tasks: 1, After: []int{0}}}},
		{name: "too many occurrences", steps: []caspec.Step{step}, schedule: caspec.Schedule{Occurrences: math.MaxInt}},
		{name: "a start time whose sum overflows", steps: []caspec.Step{step}, schedule: caspec.Schedule{Occurrences: 5, StartMS: math.MaxInt64 - 1, Interval: time.Hour}},
	}
	for _, test := range tests {
		s := caspec.Submission{ID: "0123456789abcdef", Steps: test.steps, Schedule: test.schedule}
		err := s.Check()
		kind := cakind.Of(err)
		if err == nil || kind != cakind.KindInvalid && kind != cakind.KindTooLarge {
			t.Errorf("%s: error %v of kind %v, want KindInvalid or KindTooLarge", test.name, err, kind)
		}
	}
}

// TestCheckAcceptsValidSubmission guards against bounds that reject a large but
// usual submission.
func TestCheckAcceptsValidSubmission(t *testing.T) {
	s := caspec.Submission{ID: "0123456789abcdef", Steps: []caspec.Step{
		{Tasks: 150, CPU: 64000, Memory: 1 << 40, Estimate: time.Hour},
		{Tasks: 1, After: []int{0}},
	}, Schedule: caspec.Schedule{Occurrences: 1000, StartMS: 1_800_000_000_000, Interval: time.Second}}
	if diff := cmp.Diff(nil, s.Check()); diff != "" {
		t.Errorf("error (-want +got):\n%s", diff)
	}
}

// TestFractionOfIntervalIsLost guards against occurrences that drift ahead of their times: an interval may have a
// fraction of a millisecond.
func TestFractionOfIntervalIsLost(t *testing.T) {
	s := caspec.Schedule{Occurrences: 2000, StartMS: 1000, Interval: 1500*time.Millisecond + 250*time.Microsecond}
	got := []int64{s.Due(0), s.Due(1), s.Due(4), s.Due(1000)}
	if diff := cmp.Diff([]int64{1000, 2501, 7001, 1_501_250}, got); diff != "" {
		t.Errorf("due times of occurrences 0, 1, 4 and 1000 (-want +got):\n%s", diff)
	}
}
