package caentry

import (
	"testing"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/standin/castandlog"
)

// TestRebuiltZoneDoesNotSpendTwice takes the log away, lets a zone give most of
// its allowance to another, and then loses all entries of the zone. The log
// does not tell that the allowance was given.
func TestRebuiltZoneDoesNotSpendTwice(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		spec := cawork.JobSpec{
			Kind: cawork.WorkKindBatch, Tasks: 24, MaxAttempts: 3, Idempotent: true,
			Size: cawork.Resources{CPU: cawork.Cores(1), Memory: cawork.GiB}, Payload: []byte(`{"run_ms": 150000}`),
		}
		w.failLog(castandlog.Failure{Down: true})
		first, ok := w.submit(w.entries["e20"].entry, "limited", spec)
		if !ok {
			t.Fatal("the job was not accepted")
		}
		time.Sleep(10 * time.Second)
		if w.running() < 20 {
			t.Fatalf("%d tasks run: the allowance did not move", w.running())
		}
		for _, id := range []string{"e00", "e01", "e02"} {
			w.kill(id)
		}
		w.failLog(castandlog.Failure{})
		for _, id := range []string{"e00", "e01", "e02"} {
			w.startEntry(id, "zone-0")
		}
		time.Sleep(40 * time.Second)
		second, ok := w.submit(w.entries["e00"].entry, "limited", spec)
		if !ok {
			t.Fatal("the zone does not accept a job after it was rebuilt")
		}
		time.Sleep(30 * time.Second)
		if w.running() <= 24 {
			t.Errorf("%d tasks run: what was not given is stranded", w.running())
		}
		w.checkEnded([]submission{first, second}, 10*time.Minute)
	})
}
