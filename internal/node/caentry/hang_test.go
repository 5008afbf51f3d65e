package caentry

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// hangUpstream makes an upstream unreachable for all entries while the VM list
// still contains it.
func (w *world) hangUpstream(id string) (resume func()) {
	w.setIsolated(id, true)
	return func() { w.setIsolated(id, false) }
}

// maxHang bounds the duration of a temporary hang.
const maxHang = 150 * time.Second

// hangFault makes an upstream hang, either permanently or temporarily, and adds
// a replacement to the VM list.
var hangFault = fault{"upstream hangs", func(w *world) func() {
	_, resume := w.hangRandomUpstream(w.rng.IntN(zoneCount))
	if w.rng.IntN(2) == 0 {
		w.endHangLater(resume)
	}
	return func() {}
}}

// hangRandomUpstream makes an upstream of the zone hang and adds a replacement
// to the VM list.
func (w *world) hangRandomUpstream(z int) (id string, resume func()) {
	id = fmt.Sprintf("u%d%d", z, w.rng.IntN(upstreamsPerZone))
	resume = w.hangUpstream(id)
	w.vmList.Put(w.addReplacement(z))
	return id, resume
}

// endHangLater calls end after a random time.
func (w *world) endHangLater(end func()) {
	delay := time.Duration(w.rng.Int64N(int64(maxHang)))
	go func() {
		select {
		case <-time.After(delay):
			end()
		case <-w.ctx.Done():
		}
	}()
}

// hangTemporarily makes an upstream of the zone hang until it resumes or is
// removed from the VM list. A shard that has lost its primary and its witness
// waits for one of these.
func (w *world) hangTemporarily(z int) {
	id, end := w.hangRandomUpstream(z)
	if w.rng.IntN(2) == 0 {
		end = func() { w.unlistUpstream(id) }
	}
	w.endHangLater(end)
}

// hangPairs are the fault pairs with a hanging upstream. They are separate from
// faultPairs so that existing seeds still draw the same faults.
var hangPairs = []fault{
	{"an upstream hangs and an entry of its zone dies", func(w *world) func() {
		id := w.randomEntryID()
		w.hangTemporarily(int(id[1] - '0'))
		w.sleepLag()
		return w.killIfRunning(id)
	}},
	{"an entry pauses and an upstream hangs", func(w *world) func() {
		id := w.randomEntryID()
		w.network.pause(id)
		w.sleepLag()
		w.hangTemporarily(int(id[1] - '0'))
		return func() { w.network.resume(id) }
	}},
	{"an upstream hangs and its zone is cut", func(w *world) func() {
		z := w.rng.IntN(zoneCount)
		w.hangTemporarily(z)
		w.sleepLag()
		w.setZoneCut(z, true)
		return func() { w.setZoneCut(z, false) }
	}},
}

// TestTasksOfAHungUpstreamEnd guards against tasks that never end because their
// upstream hangs permanently. Idempotent tasks must run again on another
// upstream; the others must end with outcome unknown.
func TestTasksOfAHungUpstreamEnd(t *testing.T) {
	runInWorld(t, 1, func(w *world) {
		var accepted []submission
		for _, idempotent := range []bool{true, false} {
			s, ok := w.submit(w.entries["e00"].entry, "free", cawork.JobSpec{
				Kind: cawork.WorkKindBatch, Tasks: 6, MaxAttempts: 3, Idempotent: idempotent,
				Size: cawork.Resources{CPU: cawork.Cores(1), Memory: cawork.GiB}, Payload: []byte(`{"run_ms": 30000}`),
			})
			if !ok {
				t.Fatal("a job was not accepted")
			}
			accepted = append(accepted, s)
		}
		time.Sleep(2 * time.Second)
		w.hangUpstream(w.busiestUpstream(accepted[1].id))
		w.checkEnded(accepted, 2*time.Minute)
		var outcomes []cawork.Outcome
		for _, s := range accepted {
			answer, err := w.waitOutcome(s.id, time.Second)
			if err != nil {
				t.Fatalf("job %s: %v", s.id, err)
			}
			outcomes = append(outcomes, answer.Outcome)
		}
		if diff := cmp.Diff([]cawork.Outcome{cawork.OutcomeDone, cawork.OutcomeUnknown}, outcomes); diff != "" {
			t.Errorf("outcomes mismatch (-want +got):\n%s", diff)
		}
	})
}

// busiestUpstream returns the upstream that runs the most tasks of the job.
func (w *world) busiestUpstream(job cawork.JobID) string {
	best, most := "", 0
	for _, id := range slices.Sorted(maps.Keys(w.upstreams)) {
		count := 0
		for _, s := range w.upstreams[id].Tasks() {
			if s.Task.Job == job && s.State == cawork.TaskStateRunning {
				count++
			}
		}
		if count > most {
			best, most = id, count
		}
	}
	return best
}

// TestUpstreamReachedByOneEntryIsNotGivenUp guards against tasks that are
// restarted while their upstream still runs them. The upstream is reachable
// only by its owner, which is cut off from the other entries and keeps renewing
// its leases. No task on the upstream may be settled before the cut ends.
func TestUpstreamReachedByOneEntryIsNotGivenUp(t *testing.T) {
	runInWorld(t, 1, func(w *world) {
		s, ok := w.submit(w.entries["e00"].entry, "free", cawork.JobSpec{
			Kind: cawork.WorkKindBatch, Tasks: 6, MaxAttempts: 3, Idempotent: true,
			Size: cawork.Resources{CPU: cawork.Cores(4), Memory: cawork.GiB}, Payload: []byte(`{"run_ms": 200000}`),
		})
		if !ok {
			t.Fatal("the job was not accepted")
		}
		time.Sleep(2 * time.Second)
		upstream, owner := w.upstreamOfOtherOwner(s.id, "e00")
		for _, endpoint := range w.endpoints() {
			if endpoint != owner && endpoint != upstream {
				w.setCutBothWays(endpoint, upstream, true)
				w.setCutBothWays(endpoint, owner, true)
			}
		}
		time.Sleep(150 * time.Second)
		if diff := cmp.Diff(6, w.countRunningTasks()); diff != "" {
			t.Errorf("running tasks mismatch (-want +got):\n%s", diff)
		}
		for _, endpoint := range w.endpoints() {
			if endpoint != owner && endpoint != upstream {
				w.setCutBothWays(endpoint, upstream, false)
				w.setCutBothWays(endpoint, owner, false)
			}
		}
		w.checkEnded([]submission{s}, 4*time.Minute)
		answer, err := w.waitOutcome(s.id, time.Second)
		if err != nil || answer.Outcome != cawork.OutcomeDone {
			t.Fatalf("outcome %v, %v", answer.Outcome, err)
		}
		for i, task := range answer.Tasks {
			if diff := cmp.Diff(1, task.Attempts); diff != "" {
				t.Errorf("attempts of task %d mismatch (-want +got):\n%s", i, diff)
			}
		}
	})
}

// upstreamOfOtherOwner returns an upstream that runs a task of the job and is
// owned by an entry other than excluded, and its owner.
func (w *world) upstreamOfOtherOwner(job cawork.JobID, excluded string) (upstream, owner string) {
	for _, id := range w.entryIDs() {
		for _, u := range w.entries[id].entry.ownership.Owned() {
			runs := slices.ContainsFunc(w.upstreams[string(u)].Tasks(), func(s caplatform.TaskStatus) bool {
				return s.Task.Job == job && s.State == cawork.TaskStateRunning
			})
			if runs && id != excluded {
				return string(u), id
			}
		}
	}
	w.t.Fatalf("no upstream of another entry runs a task of job %s", job)
	return "", ""
}

// setCutBothWays adds or removes a cut in both directions between two
// endpoints.
func (w *world) setCutBothWays(a, b string, cut bool) {
	w.network.setCut(a, b, cut)
	w.network.setCut(b, a, cut)
}
