package caentry

import (
	"testing"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// TestEarlierAttemptsFreeNoRoom moves upstreams on which tasks run again after
// attempts that failed there. The new owners learn of the failed attempts, too,
// and must not start anything in the room of those that run.
func TestEarlierAttemptsFreeNoRoom(t *testing.T) {
	inWorld(t, 1, func(w *world) {
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
