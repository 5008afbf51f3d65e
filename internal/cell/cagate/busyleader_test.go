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

// TestBusySuccessorIsNotDeposed guards against takeovers without end: a new leader renews its claim
// quickly while it loads, and is short of processor time from its first batch on, as its
// predecessor was.
func TestBusySuccessorIsNotDeposed(t *testing.T) {
	runInTestCell(t, 4, func(t *testing.T, c *testCell) {
		c.load(time.Second)
		c.appendDelay.Store(int64(800 * time.Millisecond))
		old := c.leader()
		c.kill(old)
		tokens := make(map[int64]bool)
		for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(10 * time.Millisecond) {
			for name, gate := range c.gates() {
				leader, _, _ := gate.links[0].target()
				if leader == nil {
					continue
				}
				tokens[leader.Token()] = true
				if _, loaded := leader.UnstartedJobs(); loaded {
					c.busyEntry.Store(name)
				}
			}
		}
		c.appendDelay.Store(0)
		if diff := cmp.Diff(1, len(tokens)); diff != "" {
			t.Errorf("leaders in 10 s after the kill (-want +got):\n%s", diff)
		}
	})
}

// TestHelloTimeoutFollowsLatency guards against a leader that is taken for a silent one since it
// has been answering later and later.
func TestHelloTimeoutFollowsLatency(t *testing.T) {
	got := []time.Duration{helloTimeoutFor(0), helloTimeoutFor(20 * time.Millisecond), helloTimeoutFor(120 * time.Millisecond), helloTimeoutFor(time.Second)}
	want := []time.Duration{helloTimeout, helloTimeout, 480 * time.Millisecond, maxHelloTimeout}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("timeouts of hello calls (-want +got):\n%s", diff)
	}
}
