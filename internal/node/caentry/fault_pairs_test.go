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

var pairName = flag.String("pair", "", "name of the only fault pair to draw")

// maxLag is the maximum time between the two faults of a pair.
const maxLag = 4 * time.Second

// faultPairs are pairs of faults that overlap in time.
var faultPairs = []fault{
	{"owner and backup die", func(w *world) func() {
		id := w.randomEntryID()
		backup := w.backupOf(id)
		restart := w.killIfRunning(id)
		w.sleepLag()
		restartBackup := w.killIfRunning(backup)
		return healBoth(w, restart, restartBackup)
	}},
	{"two entries die", func(w *world) func() {
		restart := w.killIfRunning(w.randomEntryID())
		w.sleepLag()
		return healBoth(w, restart, w.killIfRunning(w.randomEntryID()))
	}},
	{"log down and owner and backup die", func(w *world) func() {
		w.setLogFailure(castandlog.Failure{Down: true})
		w.sleepLag()
		id := w.randomEntryID()
		backup := w.backupOf(id)
		restart, restartBackup := w.killIfRunning(id), w.killIfRunning(backup)
		return func() {
			w.setLogFailure(castandlog.Failure{})
			healBoth(w, restart, restartBackup)()
		}
	}},
	{"log down and an entry dies", func(w *world) func() {
		w.setLogFailure(castandlog.Failure{Down: true})
		w.sleepLag()
		return healBoth(w, w.killIfRunning(w.randomEntryID()), func() { w.setLogFailure(castandlog.Failure{}) })
	}},
	{"zone cut and an entry of it dies", func(w *world) func() {
		z := w.rng.IntN(zoneCount)
		w.setZoneCut(z, true)
		w.sleepLag()
		return healBoth(w, w.killIfRunning(w.randomEntryIDIn(zoneName(z))), func() { w.setZoneCut(z, false) })
	}},
	{"an entry dies and its zone is cut", func(w *world) func() {
		id := w.randomEntryID()
		z := int(id[1] - '0')
		restart := w.killIfRunning(id)
		w.sleepLag()
		w.setZoneCut(z, true)
		return healBoth(w, restart, func() { w.setZoneCut(z, false) })
	}},
	{"zone cut and log down", func(w *world) func() {
		z := w.rng.IntN(zoneCount)
		w.setZoneCut(z, true)
		w.sleepLag()
		w.setLogFailure(castandlog.Failure{Down: true})
		return healBoth(w, func() { w.setZoneCut(z, false) }, func() { w.setLogFailure(castandlog.Failure{}) })
	}},
	{"pause of an entry and death of its backup", func(w *world) func() {
		id := w.randomEntryID()
		backup := w.backupOf(id)
		w.network.pause(id)
		w.sleepLag()
		restart := w.killIfRunning(backup)
		return healBoth(w, restart, func() { w.network.resume(id) })
	}},
	{"death of an entry and pause of its backup", func(w *world) func() {
		id := w.randomEntryID()
		backup := w.backupOf(id)
		restart := w.killIfRunning(id)
		w.sleepLag()
		w.network.pause(backup)
		return healBoth(w, restart, func() { w.network.resume(backup) })
	}},
	{"drain and death of the receiver", func(w *world) func() {
		id := w.randomEntryID()
		backup := w.backupOf(id)
		zone := w.entries[id].zone
		wait := w.drain(id)
		w.sleepLag()
		restart := w.killIfRunning(backup)
		return healBoth(w, restart, func() {
			wait()
			w.startEntry(id, zone)
		})
	}},
	{"an upstream is lost and its owner dies", func(w *world) func() {
		id := w.randomEntryID()
		w.loseUpstream(fmt.Sprintf("u%c%d", id[1], w.rng.IntN(upstreamsPerZone)))
		w.sleepLag()
		return w.killIfRunning(id)
	}},
	{"an upstream is cut off and an entry dies", func(w *world) func() {
		id := w.randomEntryID()
		upstream := fmt.Sprintf("u%c%d", id[1], w.rng.IntN(upstreamsPerZone))
		w.setIsolated(upstream, true)
		w.sleepLag()
		return healBoth(w, w.killIfRunning(id), func() { w.setIsolated(upstream, false) })
	}},
	{"any two faults", func(w *world) func() {
		first := faults[w.rng.IntN(len(faults))].start(w)
		w.sleepLag()
		return healBoth(w, first, faults[w.rng.IntN(len(faults))].start(w))
	}},
}

// TestTwoFaults injects pairs of faults that overlap in time. Two faults may
// delay work but must neither run it twice nor break another guarantee. Only a
// job whose copies are all lost may be lost.
func TestTwoFaults(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runInWorld(t, seed, func(w *world) { w.runFaults(pairDrawer(slices.Concat(faultPairs, hangPairs))) })
		})
	}
}

// pairRegressionSeeds are the seeds with which TestTwoFaults failed;
// docs/FAULTS.md describes the faults found.
var pairRegressionSeeds = []uint64{9, 19, 36, 63, 100, 102, 185, 209, 257, 331}

// hangPairRegressionSeeds are the seeds with which it failed since hangPairs
// are drawn too.
var hangPairRegressionSeeds = []uint64{729}

func TestTwoFaultsThatFailedBefore(t *testing.T) {
	for _, regression := range []struct {
		seeds []uint64
		pairs []fault
	}{
		{pairRegressionSeeds, faultPairs},
		{hangPairRegressionSeeds, slices.Concat(faultPairs, hangPairs)},
	} {
		for _, seed := range regression.seeds {
			t.Run(fmt.Sprintf("seed %d of %d pairs", seed, len(regression.pairs)), func(t *testing.T) {
				runInWorld(t, seed, func(w *world) { w.runFaults(pairDrawer(regression.pairs)) })
			})
		}
	}
}

// TestBackupLossBeforeNewCopyExists guards against lost jobs after two losses
// in sequence. An entry is killed, then its backup as soon as it has taken over
// the shard and holds the only copy in an entry. The job must be rebuilt from
// the log.
func TestBackupLossBeforeNewCopyExists(t *testing.T) {
	runInWorld(t, 1, func(w *world) {
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
		if answer, err := w.waitOutcome(s.id, time.Second); err != nil || answer.Outcome != cawork.OutcomeDone {
			t.Errorf("outcome %v, %v", answer.Outcome, err)
		}
	})
}

func (w *world) leads(id string, shard cawork.ShardID) bool {
	return slices.ContainsFunc(w.entries[id].entry.shardStatuses(), func(s ShardStatus) bool { return s.Shard == shard && s.Leads })
}

// pairDrawer returns a function that draws a random pair from choices, or the
// pair that the flag -pair names.
func pairDrawer(choices []fault) func(w *world) (name string, start func() (heal func())) {
	if *pairName != "" {
		choices = slices.DeleteFunc(slices.Clone(choices), func(f fault) bool { return f.name != *pairName })
	}
	return func(w *world) (string, func() func()) {
		f := choices[w.rng.IntN(len(choices))]
		return f.name, func() func() { return f.start(w) }
	}
}

// sleepLag waits for a random time of less than maxLag.
func (w *world) sleepLag() { time.Sleep(time.Duration(w.rng.Int64N(int64(maxLag)))) }

// healBoth returns a function that ends two faults in random order, with a lag
// in between.
func healBoth(w *world, a, b func()) func() {
	return func() {
		if w.rng.IntN(2) == 0 {
			a, b = b, a
		}
		a()
		w.sleepLag()
		b()
	}
}

// killIfRunning kills an entry, unless it has ended, and returns a function
// that starts it again.
func (w *world) killIfRunning(id string) (restart func()) {
	e, running := w.entries[id]
	if !running {
		return func() {}
	}
	w.kill(id)
	return func() { w.startEntry(id, e.zone) }
}

// backupOf returns the backup of a shard that the entry leads, or a random
// other entry of its zone if it leads none that has a backup.
func (w *world) backupOf(id string) string {
	for _, s := range w.entries[id].entry.shardStatuses() {
		if _, running := w.entries[string(s.Backup)]; s.Leads && running {
			return string(s.Backup)
		}
	}
	others := slices.DeleteFunc(w.entryIDs(), func(other string) bool {
		return other == id || w.entries[other].zone != w.entries[id].zone
	})
	return others[w.rng.IntN(len(others))]
}

func (w *world) randomEntryIDIn(zone cawork.ZoneName) string {
	ids := slices.DeleteFunc(w.entryIDs(), func(id string) bool { return w.entries[id].zone != zone })
	return ids[w.rng.IntN(len(ids))]
}
