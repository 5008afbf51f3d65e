package caentry

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
	"celeryarch.example/celeryarch/internal/standin/castandup"
)

const (
	// restartTime is how long a crashed upstream is away, and shortRestartTime a time shorter
	// than a takeover takes.
	restartTime      = 3 * time.Second
	shortRestartTime = 500 * time.Millisecond
	// crashDelay is how long a task runs before it crashes its upstream, where the start is
	// answered.
	crashDelay = 500 * time.Millisecond
	// deadlyAttempts is how often each task of the deadly job may be attempted.
	deadlyAttempts = 3
)

// deadlyTasks crashes each upstream that starts a task of a deadly job.
type deadlyTasks struct {
	world *world
	// answered is set if starts are answered before the crash.
	answered bool
	// replaced is set if a new upstream takes the place of a crashed one.
	replaced bool
	// restartTime is how long a crashed upstream is away.
	restartTime time.Duration

	mu     sync.Mutex
	starts int
}

// deadlyPayload marks the jobs whose tasks crash their upstreams.
const deadlyPayload = `{"run_ms": 60000, "result": "deadly"}`

func (d *deadlyTasks) started(upstream string, s caplatform.Start) {
	if string(s.Payload) != deadlyPayload {
		return
	}
	d.mu.Lock()
	d.starts++
	d.mu.Unlock()
	if !d.answered {
		d.world.setIsolated(upstream, true)
	}
	go d.crash(upstream)
}

// crash drops the state of an upstream, and brings it back without its tasks or adds a new
// one in its place.
func (d *deadlyTasks) crash(upstream string) {
	if d.answered {
		time.Sleep(crashDelay)
		d.world.setIsolated(upstream, true)
	}
	time.Sleep(d.restartTime)
	if d.replaced {
		d.world.loseUpstream(upstream)
		return
	}
	d.world.upstream(upstream).Restart()
	d.world.setIsolated(upstream, false)
}

// upstream returns the stand-in of an upstream.
func (w *world) upstream(id string) *castandup.Upstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.upstreams[id]
}

func (d *deadlyTasks) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.starts
}

// fillUpstream fills the upstream that an entry owns with a service, so that its further jobs
// run on upstreams of others.
func (w *world) fillUpstream(entry string) {
	_, ok := w.submit(w.entries[entry].entry, "free", cawork.JobSpec{
		Kind: cawork.WorkKindService, Tasks: 1, MaxAttempts: 1, Size: cawork.Resources{CPU: cawork.Cores(upstreamCores), Memory: cawork.GiB},
	})
	if !ok {
		w.t.Fatal("the service was not accepted")
	}
	time.Sleep(2 * time.Second)
}

// runDeadlyJob submits a job that crashes each upstream that starts its task, and waits for
// its end.
func (w *world) runDeadlyJob(idempotent bool) cawork.Outcome {
	s, ok := w.submit(w.entries["e00"].entry, "free", cawork.JobSpec{
		Kind: cawork.WorkKindBatch, Tasks: 1, MaxAttempts: deadlyAttempts, Idempotent: idempotent,
		Size: cawork.Resources{CPU: cawork.Cores(1), Memory: cawork.GiB}, Payload: json.RawMessage(deadlyPayload),
	})
	if !ok {
		w.t.Fatal("the deadly job was not accepted")
	}
	answer, err := w.waitOutcome(s.id, 20*time.Minute)
	if err != nil {
		w.t.Fatalf("the deadly job has no outcome: %v", err)
	}
	return answer.Outcome
}

// TestDeadlyTaskIsStartedWithinItsAttempts guards against a task that crashes each upstream
// that starts it and is started again and again, since no upstream ever reports its end. A
// task that is not idempotent must not start twice.
func TestDeadlyTaskIsStartedWithinItsAttempts(t *testing.T) {
	for _, answered := range []bool{true, false} {
		for _, replaced := range []bool{true, false} {
			for _, remote := range []bool{true, false} {
				for _, idempotent := range []bool{true, false} {
					name := fmt.Sprintf("answered=%v/replaced=%v/remote=%v/idempotent=%v", answered, replaced, remote, idempotent)
					t.Run(name, func(t *testing.T) {
						runInWorld(t, 1, func(w *world) {
							if remote {
								w.fillUpstream("e00")
							}
							deadly := &deadlyTasks{world: w, answered: answered, replaced: replaced, restartTime: restartTime}
							w.setOnStart(deadly.started)
							outcome := w.runDeadlyJob(idempotent)
							want := 1
							if idempotent {
								want = deadlyAttempts
							}
							if diff := cmp.Diff([]any{want, cawork.OutcomeUnknown}, []any{deadly.count(), outcome}); diff != "" {
								t.Errorf("starts and outcome (-want +got):\n%s", diff)
							}
						})
					})
				}
			}
		}
	}
}

// TestForgottenTaskIsNotRepeatedAfterTakeover guards against a second run of a task that is not
// idempotent when its entry dies and its upstream restarts without its attempts: the next
// primary fences the upstream, which lists nothing.
func TestForgottenTaskIsNotRepeatedAfterTakeover(t *testing.T) {
	for _, away := range []time.Duration{restartTime, shortRestartTime} {
		t.Run(fmt.Sprintf("away for %v", away), func(t *testing.T) {
			runInWorld(t, 1, func(w *world) {
				deadly := &deadlyTasks{world: w, answered: true, restartTime: away}
				w.setOnStart(deadly.started)
				s, ok := w.submit(w.entries["e00"].entry, "free", cawork.JobSpec{
					Kind: cawork.WorkKindBatch, Tasks: 1, MaxAttempts: deadlyAttempts,
					Size: cawork.Resources{CPU: cawork.Cores(1), Memory: cawork.GiB}, Payload: json.RawMessage(deadlyPayload),
				})
				if !ok {
					t.Fatal("the deadly job was not accepted")
				}
				time.Sleep(crashDelay + 100*time.Millisecond)
				w.kill("e00")
				answer, err := w.waitOutcome(s.id, 20*time.Minute)
				if diff := cmp.Diff([]any{1, cawork.OutcomeUnknown}, []any{deadly.count(), answer.Outcome}); diff != "" || err != nil {
					t.Errorf("starts and outcome (-want +got), error %v:\n%s", err, diff)
				}
			})
		})
	}
}
