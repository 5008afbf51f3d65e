package caentry

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/standin/castandlog"
)

var pairName = flag.String("pair", "", "the only pair of faults that is drawn")

// maxLag is the longest time between the two faults of a pair.
const maxLag = 4 * time.Second

// pairs are two faults that overlap in time.
var pairs = []fault{
	{"owner and backup die", func(w *world) func() {
		id := w.pickEntry()
		backup := w.backupOf(id)
		restart := w.killFor(id)
		w.lag()
		restartBackup := w.killFor(backup)
		return both(w, restart, restartBackup)
	}},
	{"two entries die", func(w *world) func() {
		restart := w.killFor(w.pickEntry())
		w.lag()
		return both(w, restart, w.killFor(w.pickEntry()))
	}},
	{"log down and owner and backup die", func(w *world) func() {
		w.failLog(castandlog.Failure{Down: true})
		w.lag()
		id := w.pickEntry()
		backup := w.backupOf(id)
		restart, restartBackup := w.killFor(id), w.killFor(backup)
		return func() {
			w.failLog(castandlog.Failure{})
			both(w, restart, restartBackup)()
		}
	}},
	{"log down and an entry dies", func(w *world) func() {
		w.failLog(castandlog.Failure{Down: true})
		w.lag()
		return both(w, w.killFor(w.pickEntry()), func() { w.failLog(castandlog.Failure{}) })
	}},
	{"zone cut and an entry of it dies", func(w *world) func() {
		z := w.rng.IntN(zoneCount)
		w.cutZone(z, true)
		w.lag()
		return both(w, w.killFor(w.pickEntryOf(zoneName(z))), func() { w.cutZone(z, false) })
	}},
	{"an entry dies and its zone is cut", func(w *world) func() {
		id := w.pickEntry()
		z := int(id[1] - '0')
		restart := w.killFor(id)
		w.lag()
		w.cutZone(z, true)
		return both(w, restart, func() { w.cutZone(z, false) })
	}},
	{"zone cut and log down", func(w *world) func() {
		z := w.rng.IntN(zoneCount)
		w.cutZone(z, true)
		w.lag()
		w.failLog(castandlog.Failure{Down: true})
		return both(w, func() { w.cutZone(z, false) }, func() { w.failLog(castandlog.Failure{}) })
	}},
	{"pause of an entry and death of its backup", func(w *world) func() {
		id := w.pickEntry()
		backup := w.backupOf(id)
		w.network.hold(id)
		w.lag()
		restart := w.killFor(backup)
		return both(w, restart, func() { w.network.release(id) })
	}},
	{"death of an entry and pause of its backup", func(w *world) func() {
		id := w.pickEntry()
		backup := w.backupOf(id)
		restart := w.killFor(id)
		w.lag()
		w.network.hold(backup)
		return both(w, restart, func() { w.network.release(backup) })
	}},
	{"drain and death of the receiver", func(w *world) func() {
		id := w.pickEntry()
		backup := w.backupOf(id)
		zone := w.entries[id].zone
		wait := w.drain(id)
		w.lag()
		restart := w.killFor(backup)
		return both(w, restart, func() {
			wait()
			w.startEntry(id, zone)
		})
	}},
	{"an upstream is lost and its owner dies", func(w *world) func() {
		id := w.pickEntry()
		w.loseUpstream(fmt.Sprintf("u%c%d", id[1], w.rng.IntN(upstreamsPerZone)))
		w.lag()
		return w.killFor(id)
	}},
	{"an upstream is cut off and an entry dies", func(w *world) func() {
		id := w.pickEntry()
		upstream := fmt.Sprintf("u%c%d", id[1], w.rng.IntN(upstreamsPerZone))
		w.isolate(upstream, true)
		w.lag()
		return both(w, w.killFor(id), func() { w.isolate(upstream, false) })
	}},
	{"any two faults", func(w *world) func() {
		first := faults[w.rng.IntN(len(faults))].start(w)
		w.lag()
		return both(w, first, faults[w.rng.IntN(len(faults))].start(w))
	}},
}

// TestTwoFaults runs cells under pairs of faults that overlap in time. Two
// faults may delay work but neither double it nor break another promise; only
// what has lost all its copies may be lost.
func TestTwoFaults(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			inWorld(t, seed, func(w *world) { w.faultRun(drawPairs(slices.Concat(pairs, hangPairs))) })
		})
	}
}

// foundSeeds are the seeds that found a fault. docs/FAULTS.md tells which.
var foundSeeds = []uint64{9, 19, 36, 63, 100, 102, 185, 209, 257, 331}

// foundHangSeeds are those that found one since upstreams hang as well.
var foundHangSeeds = []uint64{729}

func TestTwoFaultsThatFailedBefore(t *testing.T) {
	for _, found := range []struct {
		seeds []uint64
		pairs []fault
	}{
		{foundSeeds, pairs},
		{foundHangSeeds, slices.Concat(pairs, hangPairs)},
	} {
		for _, seed := range found.seeds {
			t.Run(fmt.Sprintf("seed %d of %d pairs", seed, len(found.pairs)), func(t *testing.T) {
				inWorld(t, seed, func(w *world) { w.faultRun(drawPairs(found.pairs)) })
			})
		}
	}
}

// TestLossInTheSoloWindow loses an entry, and its backup as soon as that has
// taken over and no other entry has a copy. The log has the job.
func TestLossInTheSoloWindow(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		s, ok := w.submit(w.entries["e00"].entry, "free", cawork.JobSpec{
			Kind: cawork.WorkKindBatch, Tasks: 4, MaxAttempts: 3, Idempotent: true,
			Size: cawork.Resources{CPU: cawork.Cores(2), Memory: cawork.GiB}, Payload: []byte(`{"run_ms": 30000}`),
		})
		if !ok {
			t.Fatal("the job was not accepted")
		}
		time.Sleep(time.Second)
		backup := w.backupOf("e00")
		w.kill("e00")
		for !w.leads(backup, shardOf(s.id)) {
			time.Sleep(messageDelay)
		}
		w.kill(backup)
		w.startEntry("e00", "zone-0")
		w.startEntry(backup, "zone-0")
		w.checkEnded([]submission{s}, 2*time.Minute)
		if answer, err := w.outcome(s.id, time.Second); err != nil || answer.Outcome != cawork.OutcomeDone {
			t.Errorf("outcome %v, %v", answer.Outcome, err)
		}
	})
}

func (w *world) leads(id string, shard cawork.ShardID) bool {
	return slices.ContainsFunc(w.entries[id].entry.shardStatuses(), func(s ShardStatus) bool { return s.Shard == shard && s.Leads })
}

// drawPairs draws from the pairs, or from the one of them that the flag names.
func drawPairs(from []fault) func(w *world) (name string, start func() (heal func())) {
	if *pairName != "" {
		from = slices.DeleteFunc(slices.Clone(from), func(f fault) bool { return f.name != *pairName })
	}
	return func(w *world) (string, func() func()) {
		f := from[w.rng.IntN(len(from))]
		return f.name, func() func() { return f.start(w) }
	}
}

// lag waits for a random time between the two faults of a pair.
func (w *world) lag() { time.Sleep(time.Duration(w.rng.Int64N(int64(maxLag)))) }

// both heals two faults in any order, with a pause between.
func both(w *world, a, b func()) func() {
	return func() {
		if w.rng.IntN(2) == 0 {
			a, b = b, a
		}
		a()
		w.lag()
		b()
	}
}

// killFor kills an entry, unless it has ended, and returns what starts it
// again.
func (w *world) killFor(id string) (restart func()) {
	e, runs := w.entries[id]
	if !runs {
		return func() {}
	}
	w.kill(id)
	return func() { w.startEntry(id, e.zone) }
}

// backupOf returns the backup of a shard that the entry leads, or any other
// entry of its zone when it has none.
func (w *world) backupOf(id string) string {
	for _, s := range w.entries[id].entry.shardStatuses() {
		if _, runs := w.entries[string(s.Backup)]; s.Leads && runs {
			return string(s.Backup)
		}
	}
	others := slices.DeleteFunc(w.entryIDs(), func(other string) bool {
		return other == id || w.entries[other].zone != w.entries[id].zone
	})
	return others[w.rng.IntN(len(others))]
}

func (w *world) pickEntryOf(zone cawork.ZoneName) string {
	ids := slices.DeleteFunc(w.entryIDs(), func(id string) bool { return w.entries[id].zone != zone })
	return ids[w.rng.IntN(len(ids))]
}
