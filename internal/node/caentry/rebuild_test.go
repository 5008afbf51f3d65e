package caentry

import (
	"testing"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/standin/castandlog"
)

// TestRebuiltZoneDoesNotReuseTransferredAllowance guards against a zone that
// spends allowance it has transferred to another zone. The log is down during
// the transfer, so that the log lacks it, and all entries of the zone are then
// lost and rebuilt from the log.
func TestRebuiltZoneDoesNotReuseTransferredAllowance(t *testing.T) {
	runInWorld(t, 1, func(w *world) {
		spec := cawork.JobSpec{
			Kind: cawork.WorkKindBatch, Tasks: 24, MaxAttempts: 3, Idempotent: true,
			Size: cawork.Resources{CPU: cawork.Cores(1), Memory: cawork.GiB}, Payload: []byte(`{"run_ms": 150000}`),
		}
		w.setLogFailure(castandlog.Failure{Down: true})
		first, ok := w.submit(w.entries["e20"].entry, "limited", spec)
		if !ok {
			t.Fatal("the job was not accepted")
		}
		time.Sleep(10 * time.Second)
		if w.countRunningTasks() < 20 {
			t.Fatalf("%d tasks run: the allowance was not transferred", w.countRunningTasks())
		}
		for _, id := range []string{"e00", "e01", "e02"} {
			w.kill(id)
		}
		w.setLogFailure(castandlog.Failure{})
		for _, id := range []string{"e00", "e01", "e02"} {
			w.startEntry(id, "zone-0")
		}
		time.Sleep(40 * time.Second)
		second, ok := w.submit(w.entries["e00"].entry, "limited", spec)
		if !ok {
			t.Fatal("the rebuilt zone did not accept a job")
		}
		time.Sleep(30 * time.Second)
		if w.countRunningTasks() <= 24 {
			t.Errorf("%d tasks run: the allowance that was not transferred is unusable", w.countRunningTasks())
		}
		w.checkEnded([]submission{first, second}, 10*time.Minute)
	})
}

// TestMintOfLostShardIsReclaimed guards against a permanently reduced limit.
// All entries of a zone are lost while the log is down for longer than its
// retention, so that no record of the shard that minted the allowance is left.
// The whole limit must become usable again and never be exceeded.
func TestMintOfLostShardIsReclaimed(t *testing.T) {
	runInWorld(t, 1, func(w *world) {
		spec := cawork.JobSpec{
			Kind: cawork.WorkKindBatch, Tasks: 15, MaxAttempts: 3, Idempotent: true,
			Size: cawork.Resources{CPU: cawork.Cores(1), Memory: cawork.GiB}, Payload: []byte(`{"run_ms": 200000}`),
		}
		w.setLogFailure(castandlog.Failure{Down: true})
		first, ok := w.submit(w.entries["e10"].entry, "limited", spec)
		if !ok {
			t.Fatal("the job was not accepted")
		}
		time.Sleep(10 * time.Second)
		for _, id := range []string{"e00", "e01", "e02"} {
			w.kill(id)
		}
		w.log.SetRetention(time.Second)
		time.Sleep(2 * time.Second)
		w.setLogFailure(castandlog.Failure{})
		time.Sleep(2 * time.Second)
		w.log.SetRetention(logRetention)
		for _, id := range []string{"e00", "e01", "e02"} {
			w.startEntry(id, "zone-0")
		}
		time.Sleep(time.Minute)
		second, ok := w.submit(w.entries["e20"].entry, "limited", spec)
		if !ok {
			t.Fatal("the second job was not accepted")
		}
		time.Sleep(30 * time.Second)
		// Each zone retains some allowance that is too small to start a task.
		if w.countRunningTasks() < limitCores-zoneCount {
			t.Errorf("%d cores of a limit of %d are in use", w.countRunningTasks(), limitCores)
		}
		w.checkEnded([]submission{first, second}, 10*time.Minute)
	})
}
