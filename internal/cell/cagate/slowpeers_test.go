package cagate

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestCallsToSlowLeaderAreNotRefused guards against entries that refuse all calls without end, since the
// leader answers each of their hello calls, but later than a fixed time.
func TestCallsToSlowLeaderAreNotRefused(t *testing.T) {
	for _, delay := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			runInTestCell(t, 3, func(t *testing.T, c *testCell) {
				c.delayEntries(delay)
				// The entries need some answers to learn how long they take.
				c.load(5 * time.Second)
				c.callers.Wait()
				refused, unknown := c.refused.Sorted(), c.unknown.Sorted()
				c.load(10 * time.Second)
				c.callers.Wait()
				if diff := cmp.Diff(refused, c.refused.Sorted()); diff != "" {
					t.Errorf("refused jobs (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(unknown, c.unknown.Sorted()); diff != "" {
					t.Errorf("jobs without an answer (-want +got):\n%s", diff)
				}
				c.delayEntries(0)
			})
		})
	}
}

// delayEntries sets how long each write of an entry to another one takes.
func (c *testCell) delayEntries(delay time.Duration) {
	for name := range c.gates() {
		c.network.SetDelay(name, delay)
	}
}
