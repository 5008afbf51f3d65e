package cagate

import (
	"testing"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/platform/standin"
)

// cancelEach cancels the jobs through the named entry, one each 20 ms. It reports all that are not
// acknowledged by the first call.
func (c *testCell) cancelEach(t *testing.T, name string, jobs []caspec.Submission) {
	t.Helper()
	gate := c.gates()[name]
	for i, s := range jobs {
		began := time.Now()
		c.callers.Go(func() {
			if err := callOnce(gate, s, true); err != nil && cakind.Of(err) != cakind.KindNotFound {
				t.Errorf("cancellation %d through %s after %v: %v", i, name, time.Since(began), err)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
}

// acceptedJobs has the leader accept so many jobs.
func (c *testCell) acceptedJobs(t *testing.T, n int) []caspec.Submission {
	t.Helper()
	gate := c.gates()[c.leader()]
	var jobs []caspec.Submission
	for range n {
		s := testSubmission(c.nextJob())
		if err := submitTo(gate, s); err != nil {
			t.Fatalf("submit: %v", err)
		}
		jobs = append(jobs, s)
	}
	return jobs
}

// TestCancellationsAreAcknowledgedBesideHandover guards against cancellations that are refused while a
// leader that drains hands the shard over.
func TestCancellationsAreAcknowledgedBesideHandover(t *testing.T) {
	runInTestCell(t, 4, func(t *testing.T, c *testCell) {
		jobs := c.acceptedJobs(t, 60)
		leader := c.leader()
		other := c.follower()
		time.AfterFunc(100*time.Millisecond, func() { c.gates()[leader].Drain() })
		c.callers.Go(func() { c.cancelEach(t, leader, jobs[:30]) })
		c.cancelEach(t, other, jobs[30:])
		time.Sleep(time.Second)
		c.load(time.Second)
	})
}

// TestCancellationsAreAcknowledgedWhileStoreRefusesEntry guards against an entry that counts as cut off,
// and refuses cancellations, since the store refuses it and its leader has left one call without an
// answer, though the leader is well.
func TestCancellationsAreAcknowledgedWhileStoreRefusesEntry(t *testing.T) {
	runInTestCell(t, 4, func(t *testing.T, c *testCell) {
		jobs := c.acceptedJobs(t, 60)
		leader, name := c.leader(), c.follower()
		c.failStoreFor(name, standin.FaultUnavailable)
		c.callers.Go(func() {
			for range 3 {
				c.network.Cut(leader, name, true)
				time.Sleep(250 * time.Millisecond)
				c.network.Cut(leader, name, false)
				time.Sleep(600 * time.Millisecond)
			}
		})
		c.cancelEach(t, name, jobs)
		c.callers.Wait()
		c.clearStoreFaults()
		c.load(time.Second)
	})
}

// TestCancellationsAreAcknowledgedWhileStoreIsSilentForEntry guards against an entry that counts as cut
// off, and cancels its calls to the leader, since the appends of the leader take long and the store does
// not answer the entry, though the leader answers it.
func TestCancellationsAreAcknowledgedWhileStoreIsSilentForEntry(t *testing.T) {
	runInTestCell(t, 4, func(t *testing.T, c *testCell) {
		jobs := c.acceptedJobs(t, 100)
		leader, name := c.leader(), c.follower()
		c.busyEntry.Store(leader)
		c.appendDelay.Store(int64(600 * time.Millisecond))
		c.failStoreFor(name, standin.FaultRequestLost)
		time.Sleep(time.Second)
		c.cancelEach(t, name, jobs)
		c.callers.Wait()
		c.appendDelay.Store(0)
		c.clearStoreFaults()
		c.load(time.Second)
	})
}

// TestCancellationsAreAcknowledgedAtNewEntry guards against an entry that refuses cancellations at once
// since it has just begun and does not know the layout of the shards yet.
func TestCancellationsAreAcknowledgedAtNewEntry(t *testing.T) {
	runInTestCell(t, 3, func(t *testing.T, c *testCell) {
		jobs := c.acceptedJobs(t, 20)
		c.start("entry-3")
		c.cancelEach(t, "entry-3", jobs)
		time.Sleep(time.Second)
		c.load(time.Second)
	})
}

// TestCancellationsAreAcknowledgedAfterShortStoreOutage guards against cancellations that are given up
// while the store refuses all entries for a moment, though their callers wait for longer.
func TestCancellationsAreAcknowledgedAfterShortStoreOutage(t *testing.T) {
	runInTestCell(t, 4, func(t *testing.T, c *testCell) {
		jobs := c.acceptedJobs(t, 60)
		c.store.SetFault(func(string) standin.Fault { return standin.FaultUnavailable })
		time.AfterFunc(900*time.Millisecond, c.clearStoreFaults)
		c.cancelEach(t, c.follower(), jobs)
		c.callers.Wait()
		time.Sleep(time.Second)
		c.load(time.Second)
	})
}
