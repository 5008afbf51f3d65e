package calaunch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/cadecide"
	"celeryarch.example/celeryarch/internal/core/casched"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// listed lists live upstreams of one core.
type listed struct{ Directory }

func (listed) Upstream(id cawork.UpstreamID) (caplatform.VM, bool) { return coreVM(id), true }

func coreVM(id cawork.UpstreamID) caplatform.VM {
	return caplatform.VM{ID: cawork.VMID(id), Zone: "z1", State: caplatform.VMStateLive, Capacity: oneCore}
}

var oneCore = cawork.Resources{CPU: cawork.Cores(1), Memory: cawork.GiB}

// TestUpstreamThatRefusesRests covers an upstream with less room than the list
// tells: it was asked again at once, for ever.
func TestUpstreamThatRefusesRests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLauncher(Config{
			Self: "e1", Shard: "e1-1", Timer: catimer.NewService(), Directory: listed{},
			Scheduler: cadecide.New(casched.DefaultPolicy(), func(v *casched.Violation) { t.Error(v) }),
		})
		l.table.Gain("u1", nil)
		l.putUpstream(coreVM("u1"))
		refusal := cakind.New(cakind.KindNotStarted, "no room")
		var got []bool
		look := func(after time.Duration) {
			time.Sleep(after)
			l.endRests()
			got = append(got, l.Scheduler.LargestHole(cawork.Constraints{}) == oneCore)
		}
		look(0)
		l.answered("u1", refusal)
		l.answered("u1", refusal)
		look(firstRest - time.Millisecond)
		look(time.Millisecond)
		l.answered("u1", refusal)
		look(2*firstRest - time.Millisecond)
		look(time.Millisecond)
		l.answered("u1", refusal)
		look(time.Second)
		l.answered("u1", nil)
		look(0)
		l.answered("u1", refusal)
		look(firstRest)
		if diff := cmp.Diff([]bool{true, false, true, false, true, false, true, true}, got); diff != "" {
			t.Errorf("room at each look (-want +got):\n%s", diff)
		}
	})
}
