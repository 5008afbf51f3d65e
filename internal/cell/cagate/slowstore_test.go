package cagate

import (
	"maps"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestSlowStoreKeepsItsLeader guards against leaders that give up each append to a store that stores it
// and answers late: they let other entries take over, which did the same, and no job was accepted.
func TestSlowStoreKeepsItsLeader(t *testing.T) {
	for _, delay := range []time.Duration{800 * time.Millisecond, 1200 * time.Millisecond, 1700 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			runInTestCell(t, 3, func(t *testing.T, c *testCell) {
				c.answerDelay.Store(int64(delay))
				c.load(5 * time.Second)
				before := c.claims.Load()
				c.load(10 * time.Second)
				c.callers.Wait()
				if diff := cmp.Diff(before, c.claims.Load()); diff != "" {
					t.Errorf("claims of leaders (-want +got):\n%s", diff)
				}
				c.mu.Lock()
				accepted, refused, unknown := len(c.accepted), len(c.refused), len(c.unknown)
				c.mu.Unlock()
				t.Logf("accepted %d, refused %d, unknown %d", accepted, refused, unknown)
				if accepted < refused+unknown {
					t.Errorf("%d jobs accepted, %d refused, %d without an outcome", accepted, refused, unknown)
				}
				c.answerDelay.Store(0)
			})
		})
	}
}

// TestLeaderIsReplacedWhileReadsAreSlow guards against entries that give up each read of the claim after
// a fixed time though the store answers it: no leader followed one that was killed, and all submissions
// were refused without end.
func TestLeaderIsReplacedWhileReadsAreSlow(t *testing.T) {
	for _, delay := range []time.Duration{900 * time.Millisecond, 1200 * time.Millisecond, 2 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			runInTestCell(t, 3, func(t *testing.T, c *testCell) {
				c.readDelay.Store(int64(delay))
				c.load(2 * time.Second)
				c.callers.Wait()
				c.kill(c.leader())
				time.Sleep(8 * time.Second)
				refused, unknown := maps.Clone(c.refused), maps.Clone(c.unknown)
				c.load(5 * time.Second)
				c.callers.Wait()
				if diff := cmp.Diff(refused, c.refused); diff != "" {
					t.Errorf("refused jobs (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(unknown, c.unknown); diff != "" {
					t.Errorf("jobs without an answer (-want +got):\n%s", diff)
				}
				c.readDelay.Store(0)
			})
		})
	}
}
