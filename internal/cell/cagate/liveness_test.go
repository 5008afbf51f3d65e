package cagate

import (
	"context"
	"testing"
	"time"

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
	within(t, "a newer policy", helloTimeout, func() {
		policy := testPolicy()
		policy.Version++
		gate.applyPolicy(policy, "test")
	})
	delay.Store(0)
	c.callers.Wait()
}
