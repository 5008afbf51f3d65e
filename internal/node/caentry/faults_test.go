package caentry

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/node/caapi"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
	"celeryarch.example/celeryarch/internal/standin/castandlog"
)

var (
	firstSeed = flag.Uint64("first_seed", 1, "first seed of the tests with random faults")
	seedCount = flag.Uint64("seeds", 4, "number of seeds of the tests with random faults")
	runLong   = flag.Bool("long", false, "run the long tests under the race detector too")
	entryLogs = flag.Bool("entry_logs", false, "print the logs of the entries")
)

var entryLogLevel = zerolog.Disabled

const (
	// settleTime is the time in which a new cell becomes operational.
	settleTime = 15 * time.Second
	// faultDuration is the time during which faults are injected.
	faultDuration = 90 * time.Second
	// recoveryTime is the time after the last fault in which all jobs must end.
	recoveryTime = 4 * time.Minute
	// submitTimeout bounds a job submission.
	submitTimeout = 5 * time.Second
	// capacityTime is the time in which tasks of unacknowledged jobs end and
	// free their capacity.
	capacityTime = 3 * time.Minute
)

func (w *world) entryIDs() []string {
	var ids []string
	for id := range w.entries {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// runInWorld runs a test in a new world, in virtual time.
//
// Under the race detector long tests are skipped unless -long is given. CI runs
// all of them again without the race detector.
func runInWorld(t *testing.T, seed uint64, test func(w *world)) {
	runInWorldOfVersion(t, seed, Version{}, test)
}

// runInWorldOfVersion is like runInWorld, with entries of the given version.
func runInWorldOfVersion(t *testing.T, seed uint64, version Version, test func(w *world)) {
	name, _, _ := strings.Cut(t.Name(), "/")
	if raceEnabled && !*runLong && slices.Contains(longTests, name) {
		t.Skip("too long under the race detector")
	}
	if *entryLogs {
		entryLogLevel = zerolog.InfoLevel
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newWorld(ctx, t, seed, version)
		time.Sleep(settleTime)
		test(w)
		for _, id := range w.entryIDs() {
			w.network.resume(id)
		}
		cancel()
		for _, e := range w.entries {
			<-e.entry.Done()
		}
	})
}

// longTests are the tests that take more than 20 s under the race detector.
var longTests = []string{
	"TestFullZoneHandsJobsToOtherZones", "TestLimitRedivisionWaitsForPartitionedZone", "TestTwoFaults",
	"TestTwoFaultsThatFailedBefore", "TestRebuiltZoneDoesNotReuseTransferredAllowance", "TestMintOfLostShardIsReclaimed",
	"TestRollingUpdate", "TestRollingUpdateUnderFaults", "TestRollingDowngrade", "TestThreeVersionsInOneCell",
	"TestDeadlyTaskIsStartedWithinItsAttempts",
}

// submission is a job that was submitted to an entry.
type submission struct {
	id         cawork.JobID
	spec       cawork.JobSpec
	team       cawork.TeamName
	acceptedAt time.Time
}

func (w *world) randomSpec() cawork.JobSpec {
	payload := fmt.Sprintf(`{"run_ms": %d, "fail": %v}`, 200+w.rng.IntN(8000), w.rng.IntN(12) == 0)
	spec := cawork.JobSpec{
		Kind: cawork.WorkKindBatch, Tasks: 1 + w.rng.IntN(4), Idempotent: w.rng.IntN(2) == 0, MaxAttempts: 3,
		Size: cawork.Resources{CPU: cawork.MilliCPU(500 * (1 + w.rng.IntN(6))), Memory: cawork.GiB}, Payload: json.RawMessage(payload),
	}
	if w.rng.IntN(5) == 0 {
		spec.Kind = cawork.WorkKindGang
	}
	return spec
}

// submit submits a job to an entry and reports whether the entry accepted it.
func (w *world) submit(e *Entry, team cawork.TeamName, spec cawork.JobSpec) (submission, bool) {
	ctx, cancel := context.WithTimeout(w.ctx, submitTimeout)
	defer cancel()
	id, err := jobs{launcher: e.launcher}.Submit(ctx, team, spec, "")
	if err == nil && !spec.Idempotent {
		w.mu.Lock()
		w.nonIdempotent[id] = true
		w.mu.Unlock()
	}
	return submission{id: id, spec: spec, team: team, acceptedAt: time.Now()}, err == nil
}

// waitOutcome waits for the final outcome of a job at a random entry.
func (w *world) waitOutcome(id cawork.JobID, timeout time.Duration) (caapi.JobStatus, error) {
	ctx, cancel := context.WithTimeout(w.ctx, timeout)
	defer cancel()
	return jobs{launcher: w.randomEntry().launcher}.Wait(ctx, id)
}

// checkEnded checks that the accepted jobs have a correct final outcome within
// the given time. Jobs may be lost only where isLossAllowed reports so.
func (w *world) checkEnded(accepted []submission, within time.Duration) {
	deadline := time.Now().Add(within)
	outcomes := make(map[cawork.Outcome]int)
	lost := 0
	defer func() { w.t.Logf("%d jobs accepted: %v, %d lost as allowed", len(accepted), outcomes, lost) }()
	for _, s := range accepted {
		answer, err := w.waitOutcome(s.id, max(time.Until(deadline), 100*time.Millisecond))
		outcomes[answer.Outcome]++
		switch {
		case err != nil && w.isLossAllowed(s):
			lost++
		case err != nil:
			w.t.Errorf("job %s (%v) accepted at %v: %v; %s", s.id, s.spec.Kind, s.acceptedAt.Format(time.TimeOnly), err, w.describeLosses(s.id))
		case answer.Outcome == cawork.OutcomePending:
			w.t.Errorf("job %s of %d tasks (%v, idempotent %v) is pending: %+v", s.id, s.spec.Tasks, s.spec.Kind, s.spec.Idempotent, answer.Tasks)
		case answer.Outcome == cawork.OutcomeNotRun && w.hasStarted(s.id):
			w.t.Errorf("job %s ran but has outcome not_run", s.id)
		}
	}
}

// checkCapacityFreed checks that all capacity of the upstreams is free within
// the given time after every job has ended. It guards against capacity that
// stays reserved for an attempt that never reports again.
func (w *world) checkCapacityFreed(within time.Duration) {
	deadline := time.Now().Add(within)
	for _, id := range w.entryIDs() {
		load := w.entries[id].entry.launcher.Load(w.ctx)
		for load.Free != load.Capacity && time.Now().Before(deadline) {
			time.Sleep(time.Second)
			load = w.entries[id].entry.launcher.Load(w.ctx)
		}
		if diff := cmp.Diff(load.Capacity, load.Free); diff != "" {
			w.t.Errorf("%s has not freed all capacity, with %d attempts and %d queued (-capacity +free):\n%s", id, load.OpenAttempts, load.QueuedTasks, diff)
		}
	}
}

func TestJobsRunInEveryZone(t *testing.T) {
	runInWorld(t, 1, func(w *world) {
		var accepted []submission
		for _, id := range w.entryIDs() {
			s, ok := w.submit(w.entries[id].entry, "limited", cawork.JobSpec{
				Kind: cawork.WorkKindBatch, Tasks: 4, MaxAttempts: 3, Size: cawork.Resources{CPU: cawork.Cores(1), Memory: cawork.GiB},
			})
			if !ok {
				t.Errorf("entry %s did not accept a job", id)
			}
			accepted = append(accepted, s)
		}
		w.checkEnded(accepted, time.Minute)
	})
}

func TestAcceptedJobsSurviveTheLossOfAnyEntry(t *testing.T) {
	runInWorld(t, 1, func(w *world) {
		spec := cawork.JobSpec{
			Kind: cawork.WorkKindBatch, Tasks: 6, MaxAttempts: 3, Idempotent: true,
			Size: cawork.Resources{CPU: cawork.Cores(2), Memory: cawork.GiB}, Payload: []byte(`{"run_ms": 4000}`),
		}
		var accepted []submission
		for _, id := range []string{"e00", "e10", "e20"} {
			s, ok := w.submit(w.entries[id].entry, "free", spec)
			if !ok {
				t.Fatalf("entry %s did not accept a job", id)
			}
			accepted = append(accepted, s)
		}
		time.Sleep(time.Second)
		w.kill("e00")
		w.kill("e10")
		w.kill("e20")
		w.checkEnded(accepted, 2*time.Minute)
	})
}

func TestTasksOfALostUpstreamRunElsewhere(t *testing.T) {
	runInWorld(t, 1, func(w *world) {
		s, ok := w.submit(w.entries["e00"].entry, "free", cawork.JobSpec{
			Kind: cawork.WorkKindBatch, Tasks: 6, MaxAttempts: 3, Idempotent: true,
			Size: cawork.Resources{CPU: cawork.Cores(2), Memory: cawork.GiB}, Payload: []byte(`{"run_ms": 30000}`),
		})
		if !ok {
			t.Fatal("the job was not accepted")
		}
		time.Sleep(2 * time.Second)
		w.loseUpstream("u00")
		w.checkEnded([]submission{s}, 2*time.Minute)
		if answer, err := w.waitOutcome(s.id, time.Second); err != nil || answer.Outcome != cawork.OutcomeDone {
			t.Errorf("outcome %v, %v", answer.Outcome, err)
		}
	})
}

func TestShardIsRebuiltFromTheLog(t *testing.T) {
	runInWorld(t, 1, func(w *world) {
		s, ok := w.submit(w.entries["e00"].entry, "free", cawork.JobSpec{
			Kind: cawork.WorkKindBatch, Tasks: 4, MaxAttempts: 3, Idempotent: true,
			Size: cawork.Resources{CPU: cawork.Cores(2), Memory: cawork.GiB}, Payload: []byte(`{"run_ms": 30000}`),
		})
		if !ok {
			t.Fatal("the job was not accepted")
		}
		time.Sleep(3 * time.Second)
		for _, id := range []string{"e00", "e01", "e02"} {
			w.kill(id)
		}
		for _, id := range []string{"e00", "e01", "e02"} {
			w.startEntry(id, "zone-0")
		}
		w.checkEnded([]submission{s}, 3*time.Minute)
	})
}

func TestPartitionedZoneRunsJobs(t *testing.T) {
	runInWorld(t, 1, func(w *world) {
		w.setZoneCut(1, true)
		time.Sleep(20 * time.Second)
		s, ok := w.submit(w.entries["e11"].entry, "limited", cawork.JobSpec{
			Kind: cawork.WorkKindBatch, Tasks: 2, MaxAttempts: 3, Size: cawork.Resources{CPU: cawork.Cores(1), Memory: cawork.GiB},
		})
		if !ok {
			t.Fatal("the cut zone did not accept a job")
		}
		ctx, cancel := context.WithTimeout(w.ctx, time.Minute)
		defer cancel()
		answer, err := jobs{launcher: w.entries["e12"].entry.launcher}.Wait(ctx, s.id)
		if err != nil || answer.Outcome != cawork.OutcomeDone {
			t.Errorf("outcome in the cut zone: %v, %v", answer.Outcome, err)
		}
		_, err = jobs{launcher: w.entries["e00"].entry.launcher}.Get(w.ctx, s.id)
		if diff := cmp.Diff(cakind.KindUnavailable, cakind.Of(err)); diff != "" {
			t.Errorf("error of a query from outside the zone mismatch (-want +got):\n%s", diff)
		}
		w.setZoneCut(1, false)
	})
}

func TestGangsRunFromEveryEntry(t *testing.T) {
	runInWorld(t, 1, func(w *world) {
		var accepted []submission
		// Some entries own no upstream.
		for _, id := range w.entryIDs() {
			s, ok := w.submit(w.entries[id].entry, "free", cawork.JobSpec{
				Kind: cawork.WorkKindGang, Tasks: 3, MaxAttempts: 3, Size: cawork.Resources{CPU: cawork.Cores(1), Memory: cawork.GiB},
			})
			if !ok {
				t.Fatalf("entry %s did not accept a gang", id)
			}
			accepted = append(accepted, s)
		}
		w.checkEnded(accepted, time.Minute)
		if diff := cmp.Diff(0, w.countRunningTasks()); diff != "" {
			t.Errorf("tasks still running mismatch (-want +got):\n%s", diff)
		}
	})
}

func TestPausedEntryAcceptsJobsAgain(t *testing.T) {
	runInWorld(t, 1, func(w *world) {
		w.network.pause("e00")
		time.Sleep(10 * time.Second)
		w.network.resume("e00")
		time.Sleep(10 * time.Second)
		s, ok := w.submit(w.entries["e00"].entry, "free", cawork.JobSpec{
			Kind: cawork.WorkKindBatch, Tasks: 1, MaxAttempts: 3, Size: cawork.Resources{CPU: cawork.Cores(1), Memory: cawork.GiB},
		})
		if !ok {
			t.Fatal("an entry whose shard was taken over does not accept jobs")
		}
		w.checkEnded([]submission{s}, time.Minute)
	})
}

func TestFullZoneHandsJobsToOtherZones(t *testing.T) {
	runInWorld(t, 1, func(w *world) {
		spec := cawork.JobSpec{
			Kind: cawork.WorkKindBatch, Tasks: 1, MaxAttempts: 3,
			Size: cawork.Resources{CPU: cawork.Cores(4), Memory: cawork.GiB}, Payload: []byte(`{"run_ms": 60000}`),
		}
		var accepted []submission
		for range 15 {
			s, ok := w.submit(w.entries["e00"].entry, "free", spec)
			if !ok {
				t.Fatal("a job was not accepted")
			}
			accepted = append(accepted, s)
		}
		time.Sleep(30 * time.Second)
		if diff := cmp.Diff(15, w.countRunningTasks()); diff != "" {
			t.Errorf("running tasks of all zones mismatch (-want +got):\n%s", diff)
		}
		w.checkEnded(accepted, 2*time.Minute)
		// Outcomes stay available after the loss of entries that ran the jobs.
		w.kill("e10")
		w.kill("e21")
		time.Sleep(10 * time.Second)
		w.checkEnded(accepted, 10*time.Second)
	})
}

func TestJobRunsInRequiredZone(t *testing.T) {
	runInWorld(t, 1, func(w *world) {
		s, ok := w.submit(w.entries["e00"].entry, "free", cawork.JobSpec{
			Kind: cawork.WorkKindBatch, Tasks: 1, MaxAttempts: 3, Constraints: cawork.Constraints{Zone: "zone-2"},
			Size: cawork.Resources{CPU: cawork.Cores(1), Memory: cawork.GiB},
		})
		if !ok {
			t.Fatal("the job was not accepted")
		}
		w.checkEnded([]submission{s}, time.Minute)
		if !strings.HasPrefix(string(s.id), "e2") {
			t.Errorf("job %s was accepted outside of zone-2", s.id)
		}
	})
}

// countRunningTasks counts the running tasks on all upstreams.
func (w *world) countRunningTasks() int {
	count := 0
	for _, u := range w.upstreams {
		for _, s := range u.Tasks() {
			if s.State == cawork.TaskStateRunning {
				count++
			}
		}
	}
	return count
}

func TestLimitRedivisionWaitsForPartitionedZone(t *testing.T) {
	runInWorld(t, 1, func(w *world) {
		spec := cawork.JobSpec{
			Kind: cawork.WorkKindBatch, Tasks: 30, MaxAttempts: 3, Idempotent: true,
			Size: cawork.Resources{CPU: cawork.Cores(1), Memory: cawork.GiB}, Payload: []byte(`{"run_ms": 40000}`),
		}
		w.setZoneCut(1, true)
		time.Sleep(10 * time.Second)
		inCutZone, ok := w.submit(w.entries["e10"].entry, "limited", spec)
		if !ok {
			t.Fatal("the cut zone did not accept a job")
		}
		w.publishConfig(90, 5, 5)
		time.Sleep(5 * time.Second)
		inOtherZone, ok := w.submit(w.entries["e00"].entry, "limited", spec)
		if !ok {
			t.Fatal("the other zone did not accept a job")
		}
		time.Sleep(30 * time.Second)
		w.setZoneCut(1, false)
		w.checkEnded([]submission{inCutZone, inOtherZone}, 4*time.Minute)
	})
}

// fault injects a fault. start returns the function that ends it.
type fault struct {
	name  string
	start func(w *world) (end func())
}

var faults = []fault{
	{"kill", func(w *world) func() {
		id := w.randomEntryID()
		zone := w.entries[id].zone
		w.kill(id)
		return func() { w.startEntry(id, zone) }
	}},
	{"pause", func(w *world) func() {
		id := w.randomEntryID()
		w.network.pause(id)
		return func() { w.network.resume(id) }
	}},
	{"cut zone", func(w *world) func() {
		z := w.rng.IntN(zoneCount)
		w.setZoneCut(z, true)
		return func() { w.setZoneCut(z, false) }
	}},
	{"one-way cut", func(w *world) func() {
		endpoints := w.endpoints()
		slices.Sort(endpoints)
		a, b := endpoints[w.rng.IntN(len(endpoints))], endpoints[w.rng.IntN(len(endpoints))]
		w.network.setCut(a, b, true)
		return func() { w.network.setCut(a, b, false) }
	}},
	{"log down", func(w *world) func() {
		w.setLogFailure(castandlog.Failure{Down: true})
		return func() { w.setLogFailure(castandlog.Failure{}) }
	}},
	{"log responses lost", func(w *world) func() {
		w.setLogFailure(castandlog.Failure{LoseAnswers: true})
		return func() { w.setLogFailure(castandlog.Failure{}) }
	}},
	{"VM list down", func(w *world) func() {
		w.vmList.SetDown(true)
		return func() { w.vmList.SetDown(false) }
	}},
	{"upstream is lost", func(w *world) func() {
		w.loseUpstream(fmt.Sprintf("u%d%d", w.rng.IntN(zoneCount), w.rng.IntN(upstreamsPerZone)))
		return func() {}
	}},
	{"upstream leaves", func(w *world) func() {
		id := fmt.Sprintf("u%d%d", w.rng.IntN(zoneCount), w.rng.IntN(upstreamsPerZone))
		w.vmList.SetState(cawork.VMID(id), caplatform.VMStateLeaving)
		return func() { w.vmList.SetState(cawork.VMID(id), caplatform.VMStateLive) }
	}},
}

func (w *world) randomEntryID() string {
	ids := w.entryIDs()
	return ids[w.rng.IntN(len(ids))]
}

// randomPause returns a random time between two steps, from 0.5 s up to 0.5 s
// plus the bound.
func (w *world) randomPause(bound time.Duration) time.Duration {
	return 500*time.Millisecond + time.Duration(w.rng.Int64N(int64(bound)))
}

// TestFaults injects single faults, one after the other, while jobs are
// submitted. Every accepted job must end with a correct outcome, and the world
// checks its invariants throughout.
func TestFaults(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runInWorld(t, seed, func(w *world) { w.runFaults(drawSingleFault) })
		})
	}
}

// singleFaultRegressionSeeds are the seeds with which TestFaults failed since
// hanging upstreams are among its faults.
var singleFaultRegressionSeeds = []uint64{1046}

func TestFaultsThatFailedBefore(t *testing.T) {
	for _, seed := range singleFaultRegressionSeeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runInWorld(t, seed, func(w *world) { w.runFaults(drawSingleFault) })
		})
	}
}

// drawSingleFault draws a single fault.
func drawSingleFault(w *world) (name string, start func() (heal func())) {
	all := append(slices.Clone(faults), hangFault)
	f := all[w.rng.IntN(len(all))]
	return f.name, func() func() { return f.start(w) }
}

// runFaults injects faults from draw while jobs are submitted. It then checks
// that every accepted job ends with a correct outcome and that all capacity is
// freed.
func (w *world) runFaults(draw func(w *world) (string, func() func())) {
	var accepted []submission
	var names []string
	end := time.Now().Add(faultDuration)
	for time.Now().Before(end) {
		name, start := draw(w)
		names = append(names, name)
		heal := start()
		accepted = append(accepted, w.submitRandomJobs()...)
		heal()
		time.Sleep(w.randomPause(6 * time.Second))
	}
	w.checkEnded(accepted, recoveryTime)
	w.checkCapacityFreed(capacityTime)
	if w.t.Failed() {
		w.t.Logf("faults: %s", strings.Join(names, ", "))
		for _, id := range w.entryIDs() {
			w.t.Logf("%s: shards %+v, load %+v", id, w.entries[id].entry.shardStatuses(), w.entries[id].entry.launcher.Load(w.ctx))
		}
	}
	if len(accepted) == 0 {
		w.t.Errorf("no job was accepted during the run: %v", cakind.KindUnavailable)
	}
}

// submitRandomJobs submits a few jobs to random entries and returns the
// accepted ones.
func (w *world) submitRandomJobs() []submission {
	var accepted []submission
	for range 1 + w.rng.IntN(4) {
		team := cawork.TeamName("limited")
		if w.rng.IntN(3) == 0 {
			team = "free"
		}
		if s, ok := w.submit(w.randomEntry(), team, w.randomSpec()); ok {
			accepted = append(accepted, s)
		}
		time.Sleep(w.randomPause(2 * time.Second))
	}
	return accepted
}
