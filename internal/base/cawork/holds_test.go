package cawork_test

import (
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

func TestHolds(t *testing.T) {
	capacity := cawork.Resources{CPU: cawork.Cores(16), Memory: 64 * cawork.GiB, Accelerators: 2}
	tests := []struct {
		name     string
		capacity cawork.Resources
		size     cawork.Resources
		want     int
	}{
		{"by processors", capacity, cawork.Resources{CPU: 4500, Memory: cawork.GiB}, 3},
		{"by memory", capacity, cawork.Resources{CPU: 100, Memory: 33 * cawork.GiB}, 1},
		{"by accelerators", capacity, cawork.Resources{CPU: 100, Accelerators: 1}, 2},
		{"too large", capacity, cawork.Resources{Accelerators: 3}, 0},
		{"zero size", capacity, cawork.Resources{}, math.MaxInt32},
		{"negative capacity", cawork.Resources{CPU: -2000}, cawork.Resources{CPU: 500}, 0},
	}
	for _, test := range tests {
		if diff := cmp.Diff(test.want, test.capacity.Holds(test.size)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", test.name, diff)
		}
	}
}
