package calaunch

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/caowner"
	"celeryarch.example/celeryarch/internal/core/cadecide"
	"celeryarch.example/celeryarch/internal/core/casched"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// noLeases is the lease table of an entry that owns no upstream.
type noLeases struct{}

func (noLeases) Lease(cawork.UpstreamID) (caowner.Lease, bool) { return caowner.Lease{}, false }

func (noLeases) TimeSinceAnswer(cawork.UpstreamID) time.Duration { return 0 }

// noDirectory is a directory without VMs.
type noDirectory struct{ Directory }

func (noDirectory) Upstream(cawork.UpstreamID) (caplatform.VM, bool) { return caplatform.VM{}, false }

// TestLateEndOfPreviousAttemptFreesNothing reproduces the trace of TestFaults,
// seed 1: the answer to the stop of a gang attempt arrived after the next
// attempt of its task had started, and freed the capacity of the new attempt.
func TestLateEndOfPreviousAttemptFreesNothing(t *testing.T) {
	size := cawork.Resources{CPU: cawork.Cores(1), Memory: cawork.GiB}
	l := NewLauncher(Config{
		Self: "e1", Shard: "e1-1", Timer: catimer.NewService(), Leases: noLeases{}, Directory: noDirectory{},
		Scheduler: cadecide.New(casched.DefaultPolicy(), func(v *casched.Violation) { t.Error(v) }),
	})
	l.Scheduler.PutUpstream(casched.Upstream{ID: "u1", Zone: "z1", Capacity: size}, l.now())
	reserve := func(id casched.ReservationID) error {
		_, err := l.Scheduler.Reserve(casched.ReserveRequest{
			ID: id, Job: "e2-1.1x1", Team: "north", Kind: cawork.WorkKindBatch, Size: size,
			Count: 1, Min: 1, Expires: l.now().Add(time.Hour),
		}, l.now())
		return err
	}
	task := cawork.TaskRef{Job: "e2-1.1x1"}
	start := func(id casched.ReservationID, a cawork.AttemptID) {
		t.Helper()
		if err := reserve(id); err != nil {
			t.Fatalf("reserve capacity for attempt %s: %v", a, err)
		}
		call := StartReservedCall{ID: id, Starts: []UpstreamStart{{
			Upstream: "u1", Start: caplatform.Start{Task: task, Attempt: a, Size: size},
		}}}
		if _, err := l.commitReserved(call); err != nil {
			t.Fatalf("commit attempt %s: %v", a, err)
		}
	}
	failed := caplatform.TaskStatus{Task: task, Attempt: "a1", State: cawork.TaskStateFailed}

	start("r1", "a1")
	l.foreignTaskChanged(failed)
	start("r2", "a2")
	l.endForeign(task, "a1", failed)
	l.foreignStartFailed(task, "a1", true)
	l.withdrawForeign(task, "a1")

	if diff := cmp.Diff(cakind.KindUnavailable, cakind.Of(reserve("r3"))); diff != "" {
		t.Errorf("kind of error of a reservation while the second attempt runs (-want +got):\n%s", diff)
	}
	l.endForeign(task, "a2", caplatform.TaskStatus{State: cawork.TaskStateDone})
	if err := reserve("r4"); err != nil {
		t.Errorf("reserve capacity after the second attempt: %v", err)
	}
}
