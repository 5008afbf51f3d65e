package caprocessor_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/node/caprocessor"
)

func TestAllProcessorsUnderLoadAndOneAfterIt(t *testing.T) {
	steps := []struct {
		share float64
		want  int
	}{
		{0.01, 1},
		{0.49, 1},
		{0.5, 8},
		{3, 8},
		// Idle for four seconds, then a little work, which starts the wait again.
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
	now, spent := time.Unix(0, 0), time.Duration(0)
	g := caprocessor.NewGovernor(8, now, spent)
	var got, want []int
	for _, s := range steps {
		now = now.Add(time.Second)
		spent += time.Duration(s.share * float64(time.Second))
		got, want = append(got, g.Choose(now, spent)), append(want, s.want)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("processors (-want +got):\n%s", diff)
	}
}

func TestOneProcessorIsTheLeast(t *testing.T) {
	now := time.Unix(0, 0)
	g := caprocessor.NewGovernor(0, now, 0)
	if diff := cmp.Diff(1, g.Choose(now.Add(time.Second), 10*time.Second)); diff != "" {
		t.Errorf("processors (-want +got):\n%s", diff)
	}
}
