package cagate

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/cell/caroster"
)

// TestLeaderIsAliveDuringLongPlan guards against a leader that is taken for a failed one, or an
// entry for one that is not ready, since their answers wait for a plan to end.
func TestLeaderIsAliveDuringLongPlan(t *testing.T) {
	c, gate, delay, _ := newSlowCell(t)
	delay.Store(int64(time.Second))
	time.Sleep(100 * time.Millisecond)
	within(t, "an answer to hello", helloTimeout, func() {
		if _, err := gate.handleHello(context.Background(), helloRequest{From: caroster.Peer{VM: "entry-1"}}); err != nil {
			t.Errorf("hello: %v", err)
		}
	})
	within(t, "an answer on readiness", helloTimeout, func() { gate.IsReady() })
	within(t, "a count of pending jobs", helloTimeout, func() {
		if _, err := gate.Pending(context.Background(), "queue"); err != nil {
			t.Errorf("count of pending jobs: %v", err)
		}
	})
	within(t, "a newer policy", helloTimeout, func() {
		policy := testPolicy()
		policy.Version++
		gate.applyPolicy(policy, "test")
	})
	delay.Store(0)
	c.callers.Wait()
}

// TestLeaderThatLoadsIsNotDeposed guards against takeovers from a leader that still loads the
// jobs: each successor would begin anew, and no job would be stored. One takeover is enough
// after the leader was killed.
func TestLeaderThatLoadsIsNotDeposed(t *testing.T) {
	runInTestCell(t, 4, func(t *testing.T, c *testCell) {
		c.load(time.Second)
		c.loadTime.Store(int64(2500 * time.Millisecond))
		old := c.leader()
		c.kill(old)
		tokens := make(map[int64]bool)
		for began := time.Now(); time.Since(began) < 8*time.Second; time.Sleep(10 * time.Millisecond) {
			for _, gate := range c.gates() {
				if leader, _, _ := gate.links[0].target(); leader != nil {
					tokens[leader.Token()] = true
				}
			}
		}
		if diff := cmp.Diff(1, len(tokens)); diff != "" {
			t.Errorf("leaders in 8 s after the kill (-want +got):\n%s", diff)
		}
	})
}

// TestLeaderIsNotDeposedBeforeItsClaimIsAnswered guards against a second claim right after a takeover: the others
// read the claim before the store's answer has reached the entry that made it, and took its answer
// that it does not lead for proof that it no longer leads.
func TestLeaderIsNotDeposedBeforeItsClaimIsAnswered(t *testing.T) {
	runInTestCell(t, 7, func(t *testing.T, c *testCell) {
		c.load(time.Second)
		c.answerDelay.Store(int64(100 * time.Millisecond))
		before := c.claims.Load()
		c.kill(c.leader())
		time.Sleep(3 * time.Second)
		c.answerDelay.Store(0)
		if diff := cmp.Diff(int64(1), c.claims.Load()-before); diff != "" {
			t.Errorf("claims in 3 s after the kill (-want +got):\n%s", diff)
		}
	})
}
