package cagate

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// callerTimeout is how long callers wait for an answer.
const callerTimeout = 3 * time.Second

// newSlowCell returns a cell of one entry, in real time, whose leader holds its lock for the
// returned delay longer each time that it takes it. One job is accepted.
func newSlowCell(t *testing.T) (*testCell, *Gate, *atomic.Int64, caspec.Submission) {
	t.Helper()
	var delay atomic.Int64
	c := newTestCell(t, 0, testUpstreams+1)
	c.onClockRead = func() { time.Sleep(time.Duration(delay.Load())) }
	c.start(entryName(0))
	t.Cleanup(c.close)
	gate := c.gates()[entryName(0)]
	s := testSubmission(c.nextJob())
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		err := submitTo(gate, s)
		if err == nil {
			return c, gate, &delay, s
		}
		if time.Since(began) > 10*time.Second {
			t.Fatalf("no job was accepted in 10 s: %v", err)
		}
	}
}

func testSubmission(n int) caspec.Submission {
	return caspec.Submission{ID: jobID(n), Queue: "queue", Team: "north", Steps: []caspec.Step{testStep()}}
}

func submitTo(g *Gate, s caspec.Submission) error {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	return g.Submit(ctx, s)
}

// within calls f and reports an error if it takes longer than the bound.
func within(t *testing.T, what string, bound time.Duration, f func()) {
	t.Helper()
	began := time.Now()
	f()
	if took := time.Since(began); took > bound {
		t.Errorf("%s took %v, want %v at most", what, took, bound)
	}
}

// TestCallsAreAnsweredWhileSubmissionsPressOn guards against cancellations and queries that wait
// behind all submissions that came before them, each of which holds the lock of the leader.
func TestCallsAreAnsweredWhileSubmissionsPressOn(t *testing.T) {
	const submissions = 2500
	c, gate, delay, accepted := newSlowCell(t)
	delay.Store(int64(2 * time.Millisecond))
	var callers sync.WaitGroup
	for range submissions {
		s := testSubmission(c.nextJob())
		callers.Go(func() { _ = submitTo(gate, s) })
	}
	time.Sleep(100 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	within(t, "a query", callerTimeout/3, func() {
		if _, err := gate.Phase(ctx, caspec.Caller{Team: accepted.Team}, accepted.ID); err != nil {
			t.Errorf("query of an accepted job: %v", err)
		}
	})
	within(t, "a cancellation", callerTimeout, func() {
		if err := gate.Cancel(ctx, caspec.Caller{Team: accepted.Team}, accepted.ID); err != nil {
			t.Errorf("cancellation of an accepted job: %v", err)
		}
	})
	delay.Store(0)
	callers.Wait()
}
