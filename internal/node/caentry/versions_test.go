package caentry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cagolden"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/config/cacell"
	"celeryarch.example/celeryarch/internal/coord/calog"
	"celeryarch.example/celeryarch/internal/coord/camember"
)

var (
	// previousVersion is version 0.2.0, which sends no greetings.
	previousVersion = Version{
		Protocols: caversion.UnnumberedGreeting().Protocols(), Format: caversion.FormatUnnumbered,
	}
	newestVersion = Version{Protocols: caversion.Supported(), Format: caversion.FormatNewest}
	// foreignVersion has no protocol version in common with this program.
	foreignVersion = Version{Protocols: caversion.Range{Oldest: 7, Newest: 8}, Format: 9}
)

func (w *world) versionOf(id string) Version {
	w.mu.Lock()
	defer w.mu.Unlock()
	if v, ok := w.entryVersions[id]; ok {
		return v
	}
	return w.defaultVersion
}

func (w *world) setVersion(id string, v Version) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entryVersions[id] = v
}

// formatWatcher tracks the formats of the records and snapshots in the log.
type formatWatcher struct {
	fold *calog.Replay
	// highest is the newest format found in the log.
	highest caversion.Format
}

// newestCommonFormat returns the newest format that is read by all running
// entries, except those that have announced their end.
func (w *world) newestCommonFormat() caversion.Format {
	format := caversion.FormatNewest
	for _, e := range w.entries {
		if e.entry.members.Self().Liveness != camember.LivenessLeft {
			format = min(format, e.entry.version.Format)
		}
	}
	return format
}

// watchFormats reports a violation when a record is appended in a format that a
// running entry cannot read. It returns the watcher of the formats.
func (w *world) watchFormats() *formatWatcher {
	f := &formatWatcher{fold: calog.NewReplay()}
	onAppend := func(topic string, payloads [][]byte) {
		if topic != "shards" {
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, p := range payloads {
			if err := f.fold.Apply(p); err != nil {
				w.reportViolation("payload in the log: %v", err)
			}
		}
		f.update()
		if newest := w.newestCommonFormat(); f.highest > newest {
			w.reportViolation("format %d is written while an entry reads formats up to %d only", f.highest, newest)
		}
	}
	w.onAppend.Store(&onAppend)
	return f
}

func (f *formatWatcher) update() {
	for _, image := range f.fold.Images() {
		for _, body := range append(image.Records[:len(image.Records):len(image.Records)], image.State) {
			var head struct{ Format caversion.Format }
			if cbor.Unmarshal(body, &head) == nil {
				f.highest = max(f.highest, head.Format)
			}
		}
	}
}

// replaceEntries replaces the entries by entries of the given version, one at a
// time and in random order, while jobs are submitted. Most entries are drained;
// the others are killed.
func (w *world) replaceEntries(to Version, afterEach func(id string)) []submission {
	var accepted []submission
	ids := w.entryIDs()
	w.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids {
		zone := w.entries[id].zone
		if w.rng.IntN(3) == 0 {
			w.kill(id)
			accepted = append(accepted, w.submitRandomJobs()...)
		} else {
			wait := w.drain(id)
			accepted = append(accepted, w.submitRandomJobs()...)
			wait()
		}
		w.setVersion(id, to)
		w.startEntry(id, zone)
		afterEach(id)
		accepted = append(accepted, w.submitRandomJobs()...)
		time.Sleep(w.randomPause(6 * time.Second))
	}
	return accepted
}

// checkFormats checks that all entries write the format.
func (w *world) checkFormats(want caversion.Format) {
	w.t.Helper()
	for _, id := range w.entryIDs() {
		if got := w.entries[id].entry.recordFormat(); got != want {
			w.t.Errorf("entry %s writes format %d, not %d: %+v", id, got, want, w.entries[id].entry.versionStatus())
		}
	}
}

// discoveryTime is the time in which entries discover all others.
const discoveryTime = 30 * time.Second

// TestRollingUpdate guards against records that entries of the previous version
// cannot read. It replaces the entries of a cell by entries of the next
// version, one at a time, while jobs are submitted and some entries are killed.
// All accepted jobs must end with a correct outcome.
func TestRollingUpdate(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runInWorldOfVersion(t, seed, previousVersion, func(w *world) {
				watcher := w.watchFormats()
				accepted := w.replaceEntries(newestVersion, func(string) {})
				time.Sleep(discoveryTime)
				w.checkFormats(caversion.FormatNewest)
				accepted = append(accepted, w.submitRandomJobs()...)
				w.checkEnded(accepted, recoveryTime)
				w.mu.Lock()
				defer w.mu.Unlock()
				if watcher.highest != caversion.FormatNewest {
					t.Errorf("the newest format was never written, only formats up to %d", watcher.highest)
				}
			})
		})
	}
}

// TestRollingUpdateUnderFaults injects a fault after each replacement of a
// rolling update.
func TestRollingUpdateUnderFaults(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runInWorldOfVersion(t, seed, previousVersion, func(w *world) {
				var accepted []submission
				accepted = append(accepted, w.replaceEntries(newestVersion, func(string) {
					name, start := drawSingleFault(w)
					w.t.Log(name)
					heal := start()
					time.Sleep(w.randomPause(2 * time.Second))
					heal()
				})...)
				w.checkEnded(accepted, recoveryTime)
			})
		})
	}
}

// TestRollingDowngrade guards against jobs lost in a downgrade to the previous
// version, whose entries cannot read the records of the newer one.
func TestRollingDowngrade(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runInWorldOfVersion(t, seed, newestVersion, func(w *world) {
				time.Sleep(discoveryTime)
				w.checkFormats(caversion.FormatNewest)
				accepted := w.submitRandomJobs()
				accepted = append(accepted, w.replaceEntries(previousVersion, func(string) { time.Sleep(5 * time.Second) })...)
				w.checkFormats(caversion.FormatUnnumbered)
				w.checkEnded(accepted, recoveryTime)
			})
		})
	}
}

// fourTaskSpec is a job of four idempotent tasks.
func fourTaskSpec(runMillis int) cawork.JobSpec {
	return cawork.JobSpec{
		Kind: cawork.WorkKindBatch, Tasks: 4, MaxAttempts: 3, Idempotent: true,
		Size: cawork.Resources{CPU: cawork.Cores(2), Memory: cawork.GiB}, Payload: fmt.Appendf(nil, `{"run_ms": %d}`, runMillis),
	}
}

// TestUnreadableShardWaitsForNewerEntry guards against a job that is lost or
// run only in part because the entries that restore its shard cannot read its
// format. All entries of a zone are killed after they wrote the newest format,
// and start again in the previous version. The job must wait for an entry that
// can read the shard.
func TestUnreadableShardWaitsForNewerEntry(t *testing.T) {
	runInWorldOfVersion(t, 1, newestVersion, func(w *world) {
		time.Sleep(discoveryTime)
		s, ok := w.submit(w.entries["e00"].entry, "free", fourTaskSpec(30000))
		if !ok {
			t.Fatal("the job was not accepted")
		}
		time.Sleep(3 * time.Second)
		zone := []string{"e00", "e01", "e02"}
		for _, id := range zone {
			w.kill(id)
		}
		for _, id := range zone {
			w.setVersion(id, previousVersion)
			w.startEntry(id, "zone-0")
		}
		time.Sleep(time.Minute)
		if unreadable := w.entries["e00"].entry.versionStatus().UnreadableShards; !slices.Contains(unreadable, shardOf(s.id)) {
			t.Errorf("shard %s is not reported as unreadable: %v", shardOf(s.id), unreadable)
		}
		_, err := jobs{launcher: w.entries["e01"].entry.launcher}.Get(w.ctx, s.id)
		if diff := cmp.Diff(cakind.KindUnavailable, cakind.Of(err)); diff != "" {
			t.Errorf("error of a query for an unreadable job mismatch (-want +got):\n%s", diff)
		}
		w.kill("e02")
		w.setVersion("e02", newestVersion)
		w.startEntry("e02", "zone-0")
		w.checkEnded([]submission{s}, recoveryTime)
		// The status is that of the last read of the log, at most 90 s ago.
		time.Sleep(2 * time.Minute)
		if unreadable := w.entries["e00"].entry.versionStatus().UnreadableShards; len(unreadable) > 0 {
			t.Errorf("shards still reported as unreadable: %v", unreadable)
		}
	})
}

// TestThreeVersionsInOneCell runs entries of three versions, of which the first
// and the last have no protocol in common with each other and the second
// supports both, under load and single faults. Progress is not guaranteed with
// more than two versions, so that only the invariants are checked until the
// update is complete.
func TestThreeVersionsInOneCell(t *testing.T) {
	mixedVersions := []Version{previousVersion, newestVersion, {Protocols: caversion.Range{Oldest: 2, Newest: 3}, Format: caversion.FormatNewest}}
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runInWorldOfVersion(t, seed, previousVersion, func(w *world) {
				for _, id := range w.entryIDs() {
					w.drain(id)()
					w.setVersion(id, mixedVersions[w.rng.IntN(len(mixedVersions))])
					w.startEntry(id, zoneName(int(id[1]-'0')))
				}
				var accepted []submission
				for range 4 {
					_, start := drawSingleFault(w)
					heal := start()
					accepted = append(accepted, w.submitRandomJobs()...)
					heal()
				}
				accepted = append(accepted, w.replaceEntries(newestVersion, func(string) {})...)
				w.checkEnded(accepted, recoveryTime)
			})
		})
	}
}

// TestForeignEntryIsAliveButUnused runs an entry that no other entry of the
// cell understands. The others must consider it alive, but must not give it
// work or copies of shards.
func TestForeignEntryIsAliveButUnused(t *testing.T) {
	runInWorld(t, 1, func(w *world) {
		w.drain("e02")()
		w.setVersion("e02", foreignVersion)
		w.startEntry("e02", "zone-0")
		time.Sleep(discoveryTime)
		for _, id := range w.entryIDs() {
			if id != "e02" {
				w.checkForeign(id, "e02")
			}
		}
		if diff := cmp.Diff([]bool{true, false}, []bool{w.entries["e00"].entry.Ready(), w.entries["e02"].entry.Ready()}); diff != "" {
			t.Errorf("ready mismatch (-want +got):\n%s", diff)
		}
		// A job of an entry that cannot be queried is reported as unavailable
		// rather than as not found.
		submitted, ok := w.submit(w.entries["e00"].entry, "free", fourTaskSpec(3000))
		if !ok {
			t.Fatal("an entry of the cell did not accept a job")
		}
		foreignJob := cawork.JobID(string(w.entries["e02"].entry.shard) + ".1")
		_, err := jobs{launcher: w.entries["e00"].entry.launcher}.Get(w.ctx, foreignJob)
		if diff := cmp.Diff(cakind.KindUnavailable, cakind.Of(err)); diff != "" {
			t.Errorf("error of a query for a job of the foreign entry mismatch (-want +got):\n%s", diff)
		}
		time.Sleep(20 * time.Second)
		w.drain("e02")()
		w.setVersion("e02", newestVersion)
		w.startEntry("e02", "zone-0")
		w.checkEnded([]submission{submitted}, recoveryTime)
		time.Sleep(discoveryTime)
		w.checkFormats(caversion.FormatNewest)
	})
}

// checkForeign checks that an entry reports another as foreign and alive, and
// gives it no work or copies of shards.
func (w *world) checkForeign(id, foreign string) {
	w.t.Helper()
	e := w.entries[id].entry
	for _, m := range e.members.Members() {
		if m.VM != cawork.VMID(foreign) {
			continue
		}
		if !m.Foreign || m.Liveness != camember.LivenessAlive || m.Protocols != foreignVersion.Protocols {
			w.t.Errorf("entry %s has a wrong record of the foreign entry: %+v", id, m)
		}
	}
	for _, m := range e.directory.LivePeers() {
		if m.VM == cawork.VMID(foreign) {
			w.t.Errorf("entry %s uses the foreign entry as a peer", id)
		}
	}
	for _, s := range e.shardStatuses() {
		if s.Leads && s.Backup == cawork.VMID(foreign) {
			w.t.Errorf("entry %s has the foreign entry as backup", id)
		}
	}
}

// TestEntriesContinueAfterUnreadableRecords guards against entries that stop at
// records of a later format in any topic. They must keep running with the state
// that they have and report the records in their status.
func TestEntriesContinueAfterUnreadableRecords(t *testing.T) {
	runInWorld(t, 1, func(w *world) {
		for topic, field := range map[string]string{cacell.Topic: "format", "mint": "Format", "shards": "Format"} {
			payload := cagolden.EncodeNewerFormat(field, int(caversion.FormatNewest)+1)
			if _, err := w.log.Append(w.ctx, topic, [][]byte{payload}); err != nil {
				t.Fatal(err)
			}
		}
		w.kill("e02")
		w.startEntry("e02", "zone-0")
		time.Sleep(discoveryTime)
		s, ok := w.submit(w.entries["e00"].entry, "limited", fourTaskSpec(1000))
		if !ok {
			t.Fatal("a job was not accepted")
		}
		w.checkEnded([]submission{s}, time.Minute)
		got := w.entries["e00"].entry.versionStatus()
		want := VersionStatus{
			Protocols: "1-2", Format: caversion.FormatNewest, NewestReadable: caversion.FormatNewest,
			UnreadableShards: []cawork.ShardID{"*"}, UnreadableConfigFormat: caversion.FormatNewest + 1, UnreadableMintFormat: caversion.FormatNewest + 1,
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("status mismatch (-want +got):\n%s", diff)
		}
	})
}
