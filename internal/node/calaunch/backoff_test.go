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

// oneCoreDirectory lists every upstream as live with one core.
type oneCoreDirectory struct{ Directory }

func (oneCoreDirectory) Upstream(id cawork.UpstreamID) (caplatform.VM, bool) {
	return oneCoreVM(id), true
}

func oneCoreVM(id cawork.UpstreamID) caplatform.VM {
	return caplatform.VM{ID: cawork.VMID(id), Zone: "z1", State: caplatform.VMStateLive, Capacity: oneCore}
}

var oneCore = cawork.Resources{CPU: cawork.Cores(1), Memory: cawork.GiB}

// TestStartBackoffAfterRefusal covers an upstream with less capacity than the
// platform lists: without a backoff it was sent the same start again
// immediately, without end.
func TestStartBackoffAfterRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLauncher(Config{
			Self: "e1", Shard: "e1-1", Timer: catimer.NewService(), Directory: oneCoreDirectory{},
			Scheduler: cadecide.New(casched.DefaultPolicy(), func(v *casched.Violation) { t.Error(v) }),
		})
		l.table.AddUpstream("u1", nil)
		l.putUpstream(oneCoreVM("u1"))
		refusal := cakind.New(cakind.KindNotStarted, "not enough capacity")
		var got []bool
		check := func(after time.Duration) {
			time.Sleep(after)
			l.expireStartBackoffs()
			got = append(got, l.Scheduler.LargestFree(cawork.Constraints{}) == oneCore)
		}
		check(0)
		l.updateStartBackoff("u1", refusal)
		l.updateStartBackoff("u1", refusal)
		check(initialStartBackoff - time.Millisecond)
		check(time.Millisecond)
		l.updateStartBackoff("u1", refusal)
		check(2*initialStartBackoff - time.Millisecond)
		check(time.Millisecond)
		l.updateStartBackoff("u1", refusal)
		check(time.Second)
		l.updateStartBackoff("u1", nil)
		check(0)
		l.updateStartBackoff("u1", refusal)
		check(initialStartBackoff)
		if diff := cmp.Diff([]bool{true, false, true, false, true, false, true, true}, got); diff != "" {
			t.Errorf("capacity available at each check (-want +got):\n%s", diff)
		}
	})
}
