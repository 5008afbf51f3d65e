package cabackfill_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/cabackfill"
	"celeryarch.example/celeryarch/internal/core/caplace"
)

func cores(n int64) caplace.Demand {
	return caplace.Demand{Size: cawork.Resources{CPU: cawork.Cores(n)}}
}

func ExampleFind() {
	now := time.Unix(0, 0)
	hosts := []cabackfill.Host{{Index: 0, Free: cores(4)}, {Index: 1, Free: cores(1)}}
	releases := []cabackfill.Release{
		{Host: 1, Demand: cores(2), At: now.Add(time.Minute)},
		{Host: 1, Demand: cores(3), At: now.Add(5 * time.Minute)},
	}
	p, ok := cabackfill.Find(hosts, releases, cores(4), 2, now)
	fmt.Println(ok, p.At.Sub(now), len(p.Allocations), p.Allocations[1].Slack.Size)
	// Output: true 5m0s 2 2.000 cores, 0 MiB, 0 accelerators
}

// TestFindWithoutEnoughReleases guards against a plan for a job that will not fit:
// no release is expected and the free cores are too few.
func TestFindWithoutEnoughReleases(t *testing.T) {
	now := time.Unix(0, 0)
	_, ok := cabackfill.Find([]cabackfill.Host{{Free: cores(1)}}, nil, cores(4), 1, now)
	if diff := cmp.Diff(false, ok); diff != "" {
		t.Errorf("Find() ok mismatch (-want +got):\n%s", diff)
	}
}
