package cagate

import (
	"context"
	"testing"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/platform/standin"
)

const (
	// cutOffKnown is when an entry that reaches neither the leader nor the store has to
	// know it: one call to the leader and one to the store without an answer.
	cutOffKnown = 700 * time.Millisecond
	// refusedAtOnce bounds the time of a refusal that waits for nothing.
	refusedAtOnce = 20 * time.Millisecond
)

// cutOff cuts an entry from all others and from the store, or ends that.
func (w *world) cutOff(entry string, on bool) {
	for name := range w.gates() {
		if name != entry {
			w.network.Cut(entry, name, on)
		}
	}
	if on {
		w.failStoreFor(entry, standin.FaultSilent)
	} else {
		w.mendStore()
	}
}

// follower returns an entry that does not lead.
func (w *world) follower() string {
	leader := w.leader()
	for i := range len(w.gates()) {
		if entryName(i) != leader {
			return entryName(i)
		}
	}
	return ""
}

// TestEntryThatIsCutOffRefusesAtOnce replays the cut of an availability zone with an
// entry whose callers go on: it is not ready soon, so that they are sent elsewhere, and
// refuses what it gets without a wait, with a time to come back; after the cut it serves.
func TestEntryThatIsCutOffRefusesAtOnce(t *testing.T) {
	inWorld(t, 4, func(t *testing.T, w *world) {
		w.load(time.Second)
		name := w.follower()
		gate := w.gates()[name]
		w.cutOff(name, true)
		time.Sleep(cutOffKnown)
		if gate.IsReady() {
			t.Errorf("the entry counts as ready %v after it was cut off", cutOffKnown)
		}
		began := time.Now()
		err := gate.Submit(context.Background(), caspec.Submission{
			ID: "00000000000000ff", Queue: "queue", Team: "north", Steps: []caspec.Step{testStep()},
		})
		if took := time.Since(began); took > refusedAtOnce {
			t.Errorf("refused after %v, want at most %v", took, refusedAtOnce)
		}
		if cakind.AnswerTo(cakind.Of(err)).Execution != cakind.ExecutionNotRun || cakind.RetryAfterOf(err) <= 0 {
			t.Errorf("answer %v, retry after %v: want a refusal with a time to come back", err, cakind.RetryAfterOf(err))
		}
		if _, err := gate.Phase(context.Background(), "north", "00000000000000ff"); cakind.Of(err) != cakind.KindUnavailable {
			t.Errorf("phase of a job: %v, want unavailable", err)
		}
		time.Sleep(3 * time.Second)
		w.cutOff(name, false)
		time.Sleep(time.Second)
		if !gate.IsReady() {
			t.Error("the entry is not ready after the cut")
		}
		w.load(time.Second)
	})
}

// TestLostLeaderIsNoCut tells that entries which reach the store wait for the next
// leader in place of refusing.
func TestLostLeaderIsNoCut(t *testing.T) {
	inWorld(t, 4, func(t *testing.T, w *world) {
		w.load(time.Second)
		w.kill(w.leader())
		for range 30 {
			time.Sleep(50 * time.Millisecond)
			for name, gate := range w.gates() {
				if gate.links[0].isCutOff() {
					t.Fatalf("entry %s counts as cut off, though the store answers it", name)
				}
			}
		}
		w.load(time.Second)
	})
}
