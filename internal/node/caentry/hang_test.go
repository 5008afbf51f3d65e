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

// hang makes an upstream answer nobody any more. The list goes on naming it.
func (w *world) hang(id string) (wake func()) {
	w.isolate(id, true)
	return func() { w.isolate(id, false) }
}

// longestHang bounds the hang of an upstream that wakes up again.
const longestHang = 150 * time.Second

// hangFault lets an upstream hang, for ever or until it wakes up. Another one
// takes up its work.
var hangFault = fault{"upstream hangs", func(w *world) func() {
	_, wake := w.hangIn(w.rng.IntN(zoneCount))
	if w.rng.IntN(2) == 0 {
		w.endHang(wake)
	}
	return func() {}
}}

// hangIn lets an upstream of the zone hang and lists a further one.
func (w *world) hangIn(z int) (id string, wake func()) {
	id = fmt.Sprintf("u%d%d", z, w.rng.IntN(upstreamsPerZone))
	wake = w.hang(id)
	w.list.Put(w.freshUpstream(z))
	return id, wake
}

// endHang ends a hang after a random time.
func (w *world) endHang(wake func()) {
	after := time.Duration(w.rng.Int64N(int64(longestHang)))
	go func() {
		select {
		case <-time.After(after):
			wake()
		case <-w.ctx.Done():
		}
	}()
}

// hangForAWhile lets an upstream of the zone hang until it wakes up or the list
// drops it: a shard that has lost its witness and its primary waits for that.
func (w *world) hangForAWhile(z int) {
	id, wake := w.hangIn(z)
	if w.rng.IntN(2) == 0 {
		wake = func() { w.drop(id) }
	}
	w.endHang(wake)
}

// hangPairs are the pairs with an upstream that hangs. They stand apart so that
// the seeds of former runs go on drawing the same faults.
var hangPairs = []fault{
	{"an upstream hangs and an entry of its zone dies", func(w *world) func() {
		id := w.pickEntry()
		w.hangForAWhile(int(id[1] - '0'))
		w.lag()
		return w.killFor(id)
	}},
	{"an entry pauses and an upstream hangs", func(w *world) func() {
		id := w.pickEntry()
		w.network.hold(id)
		w.lag()
		w.hangForAWhile(int(id[1] - '0'))
		return func() { w.network.release(id) }
	}},
	{"an upstream hangs and its zone is cut", func(w *world) func() {
		z := w.rng.IntN(zoneCount)
		w.hangForAWhile(z)
		w.lag()
		w.cutZone(z, true)
		return func() { w.cutZone(z, false) }
	}},
}

// TestTasksOfAHungUpstreamEnd lets an upstream hang for good. What is
// idempotent runs again elsewhere; the rest is told as unknown.
func TestTasksOfAHungUpstreamEnd(t *testing.T) {
	inWorld(t, 1, func(w *world) {
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
		w.hang(w.busiest(accepted[1].id))
		w.checkEnded(accepted, 2*time.Minute)
		var outcomes []cawork.Outcome
		for _, s := range accepted {
			answer, err := w.outcome(s.id, time.Second)
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

// busiest returns the upstream that runs most tasks of the job.
func (w *world) busiest(job cawork.JobID) string {
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

// TestUpstreamThatOneEntryReachesIsNotGivenUp cuts an upstream from all entries
// but one, which is itself cut from the rest and goes on renewing the leases.
// Nothing there may be settled before the cut ends.
func TestUpstreamThatOneEntryReachesIsNotGivenUp(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		s, ok := w.submit(w.entries["e00"].entry, "free", cawork.JobSpec{
			Kind: cawork.WorkKindBatch, Tasks: 6, MaxAttempts: 3, Idempotent: true,
			Size: cawork.Resources{CPU: cawork.Cores(4), Memory: cawork.GiB}, Payload: []byte(`{"run_ms": 200000}`),
		})
		if !ok {
			t.Fatal("the job was not accepted")
		}
		time.Sleep(2 * time.Second)
		upstream, owner := w.ownedElsewhere(s.id, "e00")
		for _, place := range w.places() {
			if place != owner && place != upstream {
				w.cutBoth(place, upstream, true)
				w.cutBoth(place, owner, true)
			}
		}
		time.Sleep(150 * time.Second)
		if diff := cmp.Diff(6, w.running()); diff != "" {
			t.Errorf("running tasks mismatch (-want +got):\n%s", diff)
		}
		for _, place := range w.places() {
			if place != owner && place != upstream {
				w.cutBoth(place, upstream, false)
				w.cutBoth(place, owner, false)
			}
		}
		w.checkEnded([]submission{s}, 4*time.Minute)
		answer, err := w.outcome(s.id, time.Second)
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

// ownedElsewhere returns an upstream that runs a task of the job and is owned
// by another entry than the one named.
func (w *world) ownedElsewhere(job cawork.JobID, not string) (upstream, owner string) {
	for _, id := range w.entryIDs() {
		for _, u := range w.entries[id].entry.owner.Owned() {
			runs := slices.ContainsFunc(w.upstreams[string(u)].Tasks(), func(s caplatform.TaskStatus) bool {
				return s.Task.Job == job && s.State == cawork.TaskStateRunning
			})
			if runs && id != not {
				return string(u), id
			}
		}
	}
	w.t.Fatalf("no upstream of another entry runs a task of job %s", job)
	return "", ""
}

// cutBoth cuts or heals both directions between two places.
func (w *world) cutBoth(a, b string, on bool) {
	w.network.cut(a, b, on)
	w.network.cut(b, a, on)
}
