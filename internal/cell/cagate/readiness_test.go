package cagate

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/cell/caleader"
	"celeryarch.example/celeryarch/platform/standin"
)

// unreadyTimes returns how often each entry was not ready, in samples of 10 ms.
func (c *testCell) unreadyTimes(during time.Duration) map[string]int {
	unready := make(map[string]int)
	for began := time.Now(); time.Since(began) < during; time.Sleep(10 * time.Millisecond) {
		for name, gate := range c.gates() {
			if !gate.IsReady() {
				unready[name]++
			}
		}
	}
	return unready
}

// TestEntriesOfBusyLeaderAreReady guards against entries that all report themselves not ready since
// the appends of their leader take long, while it leads, stores jobs and answers.
func TestEntriesOfBusyLeaderAreReady(t *testing.T) {
	runInTestCell(t, 4, func(t *testing.T, c *testCell) {
		c.load(time.Second)
		c.busyEntry.Store(c.leader())
		for _, delay := range []time.Duration{400, 600, 800, 850} {
			c.appendDelay.Store(int64(delay * time.Millisecond))
			if diff := cmp.Diff(map[string]int{}, c.unreadyTimes(3*time.Second)); diff != "" {
				t.Errorf("times that entries were not ready while appends took %d ms (-want +got):\n%s", delay, diff)
			}
		}
		c.appendDelay.Store(0)
	})
}

// TestEntriesOfBusyLeaderAreUnreadyWithoutStore guards against entries that stay ready without a
// store for longer than their leader may grant leases, since its appends took long before.
func TestEntriesOfBusyLeaderAreUnreadyWithoutStore(t *testing.T) {
	runInTestCell(t, 4, func(t *testing.T, c *testCell) {
		c.busyEntry.Store(c.leader())
		c.appendDelay.Store(int64(850 * time.Millisecond))
		time.Sleep(3 * time.Second)
		c.store.SetFault(func(string) standin.Fault { return standin.FaultUnavailable })
		time.Sleep(caleader.MaxClaimAge + maxHelloPeriod)
		for name, gate := range c.gates() {
			if gate.IsReady() {
				t.Errorf("entry %s is ready %v after the store failed", name, caleader.MaxClaimAge+maxHelloPeriod)
			}
		}
		c.appendDelay.Store(0)
		c.clearStoreFaults()
		time.Sleep(3 * time.Second)
		c.load(time.Second)
	})
}

// TestReadyReplyAgeFollowsLatency guards against entries that report themselves not ready since a
// leader that answers later and later has not answered for a fixed time.
func TestReadyReplyAgeFollowsLatency(t *testing.T) {
	var got []time.Duration
	for _, latency := range []time.Duration{0, 50 * time.Millisecond, 120 * time.Millisecond, 700 * time.Millisecond} {
		status := leaderStatus{helloLatency: latency}
		got = append(got, status.maxReadyReplyAge())
	}
	want := []time.Duration{minReadyReplyAge, minReadyReplyAge, minReadyReplyAge + 280*time.Millisecond, minReadyReplyAge + 600*time.Millisecond}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("ages of replies up to which a leader counts as available (-want +got):\n%s", diff)
	}
}
