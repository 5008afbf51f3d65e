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

// TestMintOfALostShardReturns loses all entries of a zone while the log is away
// for longer than it keeps records, so that nothing tells of the shard that held
// the mint. The whole limit can be used again, and never more.
func TestMintOfALostShardReturns(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		spec := cawork.JobSpec{
			Kind: cawork.WorkKindBatch, Tasks: 15, MaxAttempts: 3, Idempotent: true,
			Size: cawork.Resources{CPU: cawork.Cores(1), Memory: cawork.GiB}, Payload: []byte(`{"run_ms": 200000}`),
		}
		w.failLog(castandlog.Failure{Down: true})
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
		w.failLog(castandlog.Failure{})
		time.Sleep(2 * time.Second)
		w.log.SetRetention(logKeeps)
		for _, id := range []string{"e00", "e01", "e02"} {
			w.startEntry(id, "zone-0")
		}
		time.Sleep(time.Minute)
		second, ok := w.submit(w.entries["e20"].entry, "limited", spec)
		if !ok {
			t.Fatal("the second job was not accepted")
		}
		time.Sleep(30 * time.Second)
		// Each zone keeps a part of its own that starts no task.
		if w.running() < limitCores-zoneCount {
			t.Errorf("%d cores of a limit of %d are in use", w.running(), limitCores)
		}
		w.checkEnded([]submission{first, second}, 10*time.Minute)
	})
}
