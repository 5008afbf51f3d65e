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
	// formerVersion is that of version 0.2.0: it greets nobody.
	formerVersion = Version{
		Protocols: caversion.Unnumbered().Protocols(), Format: caversion.FormatUnnumbered,
	}
	newestVersion = Version{Protocols: caversion.Supported(), Format: caversion.FormatNewest}
	// farVersion has no protocol in common with this program.
	farVersion = Version{Protocols: caversion.Range{Oldest: 7, Newest: 8}, Format: 9}
)

func (w *world) versionOf(id string) Version {
	w.mu.Lock()
	defer w.mu.Unlock()
	if v, ok := w.versions[id]; ok {
		return v
	}
	return w.version
}

func (w *world) setVersion(id string, v Version) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.versions[id] = v
}

// formats watches the formats of the records and snapshots in the log.
type formats struct {
	fold *calog.Fold
	// highest is the highest format that was seen.
	highest caversion.Format
}

// readByAll returns the newest format that all entries read which run and have
// not told that they end.
func (w *world) readByAll() caversion.Format {
	format := caversion.FormatNewest
	for _, e := range w.entries {
		if e.entry.members.Self().Liveness != camember.LivenessLeft {
			format = min(format, e.entry.version.Format)
		}
	}
	return format
}

// watchFormats requires that nothing is appended in a format that a running
// entry does not read. It returns what it sees.
func (w *world) watchFormats() *formats {
	f := &formats{fold: calog.NewFold()}
	watch := func(topic string, payloads [][]byte) {
		if topic != "shards" {
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, p := range payloads {
			if err := f.fold.Apply(p); err != nil {
				w.violated("payload in the log: %v", err)
			}
		}
		f.look()
		if most := w.readByAll(); f.highest > most {
			w.violated("format %d is written while an entry reads up to %d", f.highest, most)
		}
	}
	w.appended.Store(&watch)
	return f
}

func (f *formats) look() {
	for _, image := range f.fold.Images() {
		for _, body := range append(image.Records[:len(image.Records):len(image.Records)], image.State) {
			var head struct{ Format caversion.Format }
			if cbor.Unmarshal(body, &head) == nil {
				f.highest = max(f.highest, head.Format)
			}
		}
	}
}

// roll replaces the entries one at a time, in random order and under load, by
// such of the version: most are drained, some die.
func (w *world) roll(to Version, during func(id string)) []submission {
	var accepted []submission
	ids := w.entryIDs()
	w.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids {
		zone := w.entries[id].zone
		if w.rng.IntN(3) == 0 {
			w.kill(id)
			accepted = append(accepted, w.load()...)
		} else {
			wait := w.drain(id)
			accepted = append(accepted, w.load()...)
			wait()
		}
		w.setVersion(id, to)
		w.startEntry(id, zone)
		during(id)
		accepted = append(accepted, w.load()...)
		time.Sleep(w.pause(6 * time.Second))
	}
	return accepted
}

// checkFormats requires that the format is in force at all entries.
func (w *world) checkFormats(want caversion.Format) {
	w.t.Helper()
	for _, id := range w.entryIDs() {
		if got := w.entries[id].entry.recordFormat(); got != want {
			w.t.Errorf("entry %s writes format %d, not %d: %+v", id, got, want, w.entries[id].entry.versionStatus())
		}
	}
}

// meetTime is the time in which entries meet all others.
const meetTime = 30 * time.Second

// TestRollingUpdate replaces the entries of a cell one at a time by such of the
// next version, under load, while some die. All work ends truthfully, and
// nothing is written that an entry of the former version would not read.
func TestRollingUpdate(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			inWorldOf(t, seed, formerVersion, func(w *world) {
				seen := w.watchFormats()
				accepted := w.roll(newestVersion, func(string) {})
				time.Sleep(meetTime)
				w.checkFormats(caversion.FormatNewest)
				accepted = append(accepted, w.load()...)
				w.checkEnded(accepted, healTime)
				w.mu.Lock()
				defer w.mu.Unlock()
				if seen.highest != caversion.FormatNewest {
					t.Errorf("the newest format was never written, only %d", seen.highest)
				}
			})
		})
	}
}

// TestRollingUpdateUnderFaults lets a fault come with each replacement.
func TestRollingUpdateUnderFaults(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			inWorldOf(t, seed, formerVersion, func(w *world) {
				var accepted []submission
				accepted = append(accepted, w.roll(newestVersion, func(string) {
					name, start := singleFaults(w)
					w.t.Log(name)
					heal := start()
					time.Sleep(w.pause(2 * time.Second))
					heal()
				})...)
				w.checkEnded(accepted, healTime)
			})
		})
	}
}

// TestRollingDowngrade takes a cell back to the former version, whose entries
// do not read the records that the later one has written.
func TestRollingDowngrade(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			inWorldOf(t, seed, newestVersion, func(w *world) {
				time.Sleep(meetTime)
				w.checkFormats(caversion.FormatNewest)
				accepted := w.load()
				accepted = append(accepted, w.roll(formerVersion, func(string) { time.Sleep(5 * time.Second) })...)
				w.checkFormats(caversion.FormatUnnumbered)
				w.checkEnded(accepted, healTime)
			})
		})
	}
}

// fourTasks is a job of four tasks that may run again.
func fourTasks(runMillis int) cawork.JobSpec {
	return cawork.JobSpec{
		Kind: cawork.WorkKindBatch, Tasks: 4, MaxAttempts: 3, Idempotent: true,
		Size: cawork.Resources{CPU: cawork.Cores(2), Memory: cawork.GiB}, Payload: fmt.Appendf(nil, `{"run_ms": %d}`, runMillis),
	}
}

// TestShardOfALaterFormatWaitsForAReader loses a zone whose shards are in the
// log in the newest format, and starts it again in the former version: the job is
// not lost and not run by halves, but waits for an entry that reads it.
func TestShardOfALaterFormatWaitsForAReader(t *testing.T) {
	inWorldOf(t, 1, newestVersion, func(w *world) {
		time.Sleep(meetTime)
		s, ok := w.submit(w.entries["e00"].entry, "free", fourTasks(30000))
		if !ok {
			t.Fatal("the job was not accepted")
		}
		time.Sleep(3 * time.Second)
		zone := []string{"e00", "e01", "e02"}
		for _, id := range zone {
			w.kill(id)
		}
		for _, id := range zone {
			w.setVersion(id, formerVersion)
			w.startEntry(id, "zone-0")
		}
		time.Sleep(time.Minute)
		if unreadable := w.entries["e00"].entry.versionStatus().Unreadable; !slices.Contains(unreadable, shardOf(s.id)) {
			t.Errorf("shard %s is not told as unreadable: %v", shardOf(s.id), unreadable)
		}
		_, err := jobs{launcher: w.entries["e01"].entry.launcher}.Get(w.ctx, s.id)
		if diff := cmp.Diff(cakind.KindUnavailable, cakind.Of(err)); diff != "" {
			t.Errorf("job that cannot be read mismatch (-want +got):\n%s", diff)
		}
		w.kill("e02")
		w.setVersion("e02", newestVersion)
		w.startEntry("e02", "zone-0")
		w.checkEnded([]submission{s}, healTime)
		// The status is as of the last reading of the log, at most a minute and
		// a half ago.
		time.Sleep(2 * time.Minute)
		if unreadable := w.entries["e00"].entry.versionStatus().Unreadable; len(unreadable) > 0 {
			t.Errorf("still told as unreadable: %v", unreadable)
		}
	})
}

// TestThreeVersionsInOneCell runs entries of which the first and the last do not
// understand each other, with others between that know both, under load and
// single faults. More than two versions are not promised to make progress, so
// only the promises that hold always are asserted until the update is over.
func TestThreeVersionsInOneCell(t *testing.T) {
	mix := []Version{formerVersion, newestVersion, {Protocols: caversion.Range{Oldest: 2, Newest: 3}, Format: caversion.FormatNewest}}
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			inWorldOf(t, seed, formerVersion, func(w *world) {
				for _, id := range w.entryIDs() {
					w.drain(id)()
					w.setVersion(id, mix[w.rng.IntN(len(mix))])
					w.startEntry(id, zoneName(int(id[1]-'0')))
				}
				var accepted []submission
				for range 4 {
					_, start := singleFaults(w)
					heal := start()
					accepted = append(accepted, w.load()...)
					heal()
				}
				accepted = append(accepted, w.roll(newestVersion, func(string) {})...)
				w.checkEnded(accepted, healTime)
			})
		})
	}
}

// TestForeignEntryIsNeitherDeadNorTrusted runs an entry that no other of the
// cell understands.
func TestForeignEntryIsNeitherDeadNorTrusted(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		w.drain("e02")()
		w.setVersion("e02", farVersion)
		w.startEntry("e02", "zone-0")
		time.Sleep(meetTime)
		for _, id := range w.entryIDs() {
			if id != "e02" {
				w.checkForeign(id, "e02")
			}
		}
		if diff := cmp.Diff([]bool{true, false}, []bool{w.entries["e00"].entry.Ready(), w.entries["e02"].entry.Ready()}); diff != "" {
			t.Errorf("ready mismatch (-want +got):\n%s", diff)
		}
		// Nothing is denied of an entry that cannot be asked.
		near, ok := w.submit(w.entries["e00"].entry, "free", fourTasks(3000))
		if !ok {
			t.Fatal("an entry of the cell accepts no job")
		}
		hidden := cawork.JobID(string(w.entries["e02"].entry.shard) + ".1")
		_, err := jobs{launcher: w.entries["e00"].entry.launcher}.Get(w.ctx, hidden)
		if diff := cmp.Diff(cakind.KindUnavailable, cakind.Of(err)); diff != "" {
			t.Errorf("job of the foreign entry mismatch (-want +got):\n%s", diff)
		}
		time.Sleep(20 * time.Second)
		w.drain("e02")()
		w.setVersion("e02", newestVersion)
		w.startEntry("e02", "zone-0")
		w.checkEnded([]submission{near}, healTime)
		time.Sleep(meetTime)
		w.checkFormats(caversion.FormatNewest)
	})
}

// checkForeign requires that an entry names another as foreign, and hands it
// nothing.
func (w *world) checkForeign(id, foreign string) {
	w.t.Helper()
	e := w.entries[id].entry
	for _, m := range e.members.Members() {
		if m.VM != cawork.VMID(foreign) {
			continue
		}
		if !m.Foreign || m.Liveness != camember.LivenessAlive || m.Protocols != farVersion.Protocols {
			w.t.Errorf("entry %s knows the foreign one as %+v", id, m)
		}
	}
	for _, m := range e.directory.Others() {
		if m.VM == cawork.VMID(foreign) {
			w.t.Errorf("entry %s deals with the foreign one", id)
		}
	}
	for _, s := range e.shardStatuses() {
		if s.Leads && s.Backup == cawork.VMID(foreign) {
			w.t.Errorf("entry %s has the foreign one as backup", id)
		}
	}
}

// TestLaterRecordsStopWhatDependsOnThem appends records of a later format to all
// topics. The entries go on with what they have and tell of it.
func TestLaterRecordsStopWhatDependsOnThem(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		for topic, field := range map[string]string{cacell.Topic: "format", "mint": "Format", "shards": "Format"} {
			payload := cagolden.Later(field, int(caversion.FormatNewest)+1)
			if _, err := w.log.Append(w.ctx, topic, [][]byte{payload}); err != nil {
				t.Fatal(err)
			}
		}
		w.kill("e02")
		w.startEntry("e02", "zone-0")
		time.Sleep(meetTime)
		s, ok := w.submit(w.entries["e00"].entry, "limited", fourTasks(1000))
		if !ok {
			t.Fatal("no job is accepted any more")
		}
		w.checkEnded([]submission{s}, time.Minute)
		got := w.entries["e00"].entry.versionStatus()
		want := VersionStatus{
			Protocols: "1-2", Format: caversion.FormatNewest, Reads: caversion.FormatNewest,
			Unreadable: []cawork.ShardID{"*"}, ConfigLater: caversion.FormatNewest + 1, MintLater: caversion.FormatNewest + 1,
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("status mismatch (-want +got):\n%s", diff)
		}
	})
}
