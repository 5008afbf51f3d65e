package cagate

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestBusyLeaderIsNotDeposed guards against takeovers from a leader whose appends take long
// since its processor is busy, while the store answers others at once: its successor would load
// all jobs and have more to do.
func TestBusyLeaderIsNotDeposed(t *testing.T) {
	runInTestCell(t, 4, func(t *testing.T, c *testCell) {
		c.load(time.Second)
		c.busyEntry.Store(c.leader())
		tokens := make(map[int64]bool)
		for _, delay := range []time.Duration{100, 200, 300, 450, 600, 800, 800, 800} {
			c.appendDelay.Store(int64(delay * time.Millisecond))
			for began := time.Now(); time.Since(began) < time.Second; time.Sleep(10 * time.Millisecond) {
				c.submit()
				for _, gate := range c.gates() {
					if leader, _, _ := gate.links[0].target(); leader != nil {
						tokens[leader.Token()] = true
					}
				}
			}
		}
		c.appendDelay.Store(0)
		if diff := cmp.Diff(1, len(tokens)); diff != "" {
			t.Errorf("leaders while appends took up to 0.8 s (-want +got):\n%s", diff)
		}
	})
}
