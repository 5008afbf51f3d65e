package caprocessor_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/node/caprocessor"
)

func TestGovernorFollowsLoad(t *testing.T) {
	steps := []struct {
		load float64
		want int
	}{
		{0.01, 1},
		{0.49, 1},
		{0.5, 8},
		{3, 8},
		// Four idle seconds, then a load above idleThreshold, which restarts
		// idleTimeout.
		{0.1, 8},
		{0.1, 8},
		{0.1, 8},
		{0.1, 8},
		{0.3, 8},
		{0, 8},
		{0, 8},
		{0, 8},
		{0, 8},
		{0, 1},
		{0.3, 1},
		{0.9, 8},
	}
	now, cpuTime := time.Unix(0, 0), time.Duration(0)
	g := caprocessor.NewGovernor(8, now, cpuTime)
	var got, want []int
	for _, s := range steps {
		now = now.Add(time.Second)
		cpuTime += time.Duration(s.load * float64(time.Second))
		got, want = append(got, g.Choose(now, cpuTime)), append(want, s.want)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("processors (-want +got):\n%s", diff)
	}
}

func TestGovernorUsesAtLeastOneProcessor(t *testing.T) {
	now := time.Unix(0, 0)
	g := caprocessor.NewGovernor(0, now, 0)
	if diff := cmp.Diff(1, g.Choose(now.Add(time.Second), 10*time.Second)); diff != "" {
		t.Errorf("processors (-want +got):\n%s", diff)
	}
}
