package cagate

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/platform/standin"
)

const (
	// isolationDetectionTime is how long an entry may take to detect that it reaches neither
	// the leader nor the store: one call to each without an answer.
	isolationDetectionTime = 700 * time.Millisecond
	// maxRefusalTime bounds the duration of a call that is refused without waiting.
	maxRefusalTime = 20 * time.Millisecond
)

// isolate cuts an entry off from all others and from the store, or reconnects it.
func (c *testCell) isolate(entry string, on bool) {
	for name := range c.gates() {
		if name != entry {
			c.network.Cut(entry, name, on)
		}
	}
	if on {
		c.failStoreFor(entry, standin.FaultRequestLost)
	} else {
		c.clearStoreFaults()
	}
}

// follower returns an entry that does not lead the first shard.
func (c *testCell) follower() string {
	return c.otherThan(c.leader())
}

// TestIsolatedEntryRefusesWithoutWaiting reproduces the partition of an availability zone with
// an entry that still receives calls. The entry must soon be unready, so that callers are
// routed elsewhere, and must refuse calls without waiting, with a retry delay. After the
// partition it must serve again.
func TestIsolatedEntryRefusesWithoutWaiting(t *testing.T) {
	runInTestCell(t, 4, func(t *testing.T, c *testCell) {
		c.load(time.Second)
		name := c.follower()
		gate := c.gates()[name]
		c.isolate(name, true)
		time.Sleep(isolationDetectionTime)
		if gate.IsReady() {
			t.Errorf("the entry is still ready %v after the partition", isolationDetectionTime)
		}
		began := time.Now()
		err := gate.Submit(context.Background(), caspec.Submission{
			ID: "00000000000000ff", Queue: "queue", Team: "north", Steps: []caspec.Step{testStep()},
		})
		if took := time.Since(began); took > maxRefusalTime {
			t.Errorf("refused after %v, want at most %v", took, maxRefusalTime)
		}
		if cakind.ResponseTo(cakind.Of(err)).Execution != cakind.ExecutionNotRun || cakind.RetryAfterOf(err) <= 0 {
			t.Errorf("answer %v, retry after %v: want a refusal with a retry delay", err, cakind.RetryAfterOf(err))
		}
		if _, err := gate.Phase(context.Background(), caspec.Caller{Team: "north"}, "00000000000000ff"); cakind.Of(err) != cakind.KindUnavailable {
			t.Errorf("phase of a job: %v, want unavailable", err)
		}
		time.Sleep(3 * time.Second)
		c.isolate(name, false)
		time.Sleep(time.Second)
		if !gate.IsReady() {
			t.Error("the entry is not ready after the end of the partition")
		}
		c.load(time.Second)
	})
}

// TestLeaderFailureIsNotIsolation checks that entries that reach the store do not count as
// isolated after a leader failure, so that they wait for the next leader instead of refusing.
func TestLeaderFailureIsNotIsolation(t *testing.T) {
	runInTestCell(t, 4, func(t *testing.T, c *testCell) {
		c.load(time.Second)
		c.kill(c.leader())
		for range 30 {
			time.Sleep(50 * time.Millisecond)
			for name, gate := range c.gates() {
				if gate.links[0].isIsolated() {
					t.Fatalf("entry %s counts as isolated although it reaches the store", name)
				}
			}
		}
		c.load(time.Second)
	})
}

// TestStoreOutageIsNotIsolation guards against entries that all count as cut off, cancel their calls and
// refuse queries while the store refuses everybody: their leader lets others take over as long as it
// takes them to reach the store, but leads on and answers.
func TestStoreOutageIsNotIsolation(t *testing.T) {
	runInTestCell(t, 4, func(t *testing.T, c *testCell) {
		job := c.acceptedJobs(t, 1)[0]
		leader := c.leader()
		c.store.SetFault(func(string) standin.Fault { return standin.FaultUnavailable })
		isolated, refused := 0, 0
		for range 100 {
			time.Sleep(20 * time.Millisecond)
			for _, gate := range c.gates() {
				if gate.links[0].isIsolated() {
					isolated++
				}
			}
			c.callers.Go(func() {
				if err := callOnce(c.gates()[c.otherThan(leader)], job, false); err != nil {
					c.mu.Lock()
					defer c.mu.Unlock()
					refused++
				}
			})
		}
		c.callers.Wait()
		c.clearStoreFaults()
		if diff := cmp.Diff(0, isolated); diff != "" {
			t.Errorf("samples of 400 in which an entry counts as isolated (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(0, refused); diff != "" {
			t.Errorf("queries of 100 that were refused (-want +got):\n%s", diff)
		}
		time.Sleep(2 * time.Second)
		c.load(time.Second)
	})
}

// otherThan returns an entry other than the named one.
func (c *testCell) otherThan(name string) string {
	for i := range len(c.gates()) {
		if entryName(i) != name {
			return entryName(i)
		}
	}
	return ""
}
