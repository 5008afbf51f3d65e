package cagate

import (
	"testing"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caboard"
	"celeryarch.example/celeryarch/platform/standin"
)

// declarationTime is how long a leader takes to declare that an upstream is silent: the renewal that waits
// there ends within a second, and the next one has no answer after 1.7 s.
const declarationTime = 3 * time.Second

// claimChainTime is for how long leaders follow one another without an append of their own.
const claimChainTime = 3500 * time.Millisecond

// TestChainOfClaimsProlongsWaitForLostUpstream loses an upstream for good. Its leader declares that the
// upstream is silent; then the store refuses it, and each of its successors as soon as it has claimed the
// shard. A claim copies the declaration of the one before, so that each reader took the lease to last for
// the same time from then on.
func TestChainOfClaimsProlongsWaitForLostUpstream(t *testing.T) {
	runInTestCell(t, 7, func(t *testing.T, c *testCell) {
		c.fleet.SetRunTime(func(caboard.RunID) (time.Duration, bool) { return lostRunTime, false })
		c.load(time.Second)
		c.callers.Wait()
		const lost = cawork.UpstreamID("up-0")
		c.fleet.SetReachable(func(_ string, id cawork.UpstreamID) bool { return id != lost })
		lostAt := time.Now()
		time.Sleep(declarationTime)
		leaders := 0
		for token := int64(0); time.Since(lostAt) < declarationTime+claimChainTime; time.Sleep(time.Millisecond) {
			if name, newest := c.newestLeader(); newest > token {
				c.failStoreFor(name, standin.FaultUnavailable)
				token = newest
				leaders++
			}
		}
		c.clearStoreFaults()
		time.Sleep(restartAfterLossBound - time.Since(lostAt))
		elsewhere := c.runsAt(func(id cawork.UpstreamID) bool { return id != lost })
		for task, number := range c.runsAt(func(id cawork.UpstreamID) bool { return id == lost }) {
			if elsewhere[task] <= number {
				t.Errorf("task %v was not restarted within %v after the loss of its upstream, %v of them under %d leaders", task, restartAfterLossBound, claimChainTime, leaders)
			}
		}
	})
}

// newestLeader returns the entry that led the first shard last, and its fencing token.
func (c *testCell) newestLeader() (name string, token int64) {
	for entry, gate := range c.gates() {
		if l, _, _ := gate.links[0].target(); l != nil && l.Token() > token {
			name, token = entry, l.Token()
		}
	}
	return name, token
}
