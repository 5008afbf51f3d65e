package caentry

import (
	"testing"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// TestFailedAttemptsDoNotFreeCapacity guards against overcommitted upstreams
// after a handover. The new owner of an upstream adopts failed attempts of a
// task together with the attempt that runs now; it must not free the capacity
// of the latter.
func TestFailedAttemptsDoNotFreeCapacity(t *testing.T) {
	runInWorld(t, 1, func(w *world) {
		spec := cawork.JobSpec{
			Kind: cawork.WorkKindBatch, Tasks: 3, MaxAttempts: 3, Idempotent: true,
			Size: cawork.Resources{CPU: cawork.Cores(5), Memory: cawork.GiB}, Payload: []byte(`{"run_ms": 8000, "fail": true}`),
		}
		var accepted []submission
		submit := func(id string) {
			s, ok := w.submit(w.entries[id].entry, "free", spec)
			if !ok {
				t.Fatalf("entry %s did not accept a job", id)
			}
			accepted = append(accepted, s)
		}
		submit("e00")
		time.Sleep(10 * time.Second)
		wait := w.drain("e01")
		for range 3 {
			submit("e02")
		}
		wait()
		time.Sleep(10 * time.Second)
		w.startEntry("e01", "zone-0")
		w.checkEnded(accepted, 3*time.Minute)
	})
}
