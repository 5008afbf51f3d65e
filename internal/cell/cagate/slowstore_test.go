package cagate

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
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
				accepted, refused, unknown := c.accepted.Len(), c.refused.Len(), c.unknown.Len()
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
				refused, unknown := c.refused.Sorted(), c.unknown.Sorted()
				c.load(5 * time.Second)
				c.callers.Wait()
				if diff := cmp.Diff(refused, c.refused.Sorted()); diff != "" {
					t.Errorf("refused jobs (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(unknown, c.unknown.Sorted()); diff != "" {
					t.Errorf("jobs without an answer (-want +got):\n%s", diff)
				}
				c.readDelay.Store(0)
			})
		})
	}
}

// TestUpstreamsAreFoundWhileListsAreSlow guards against a leader that gives up each read of the list of
// upstreams after a fixed time though it is answered: upstreams that joined got no work.
func TestUpstreamsAreFoundWhileListsAreSlow(t *testing.T) {
	isLate := func(id cawork.UpstreamID) bool { return id != "up-0" }
	for _, delay := range []time.Duration{900 * time.Millisecond, 1200 * time.Millisecond, 1800 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			runInTestCell(t, 3, func(t *testing.T, c *testCell) {
				c.listDelay.Store(int64(delay))
				time.Sleep(2 * time.Second)
				c.alterList(nil)
				c.load(10 * time.Second)
				c.callers.Wait()
				if runs := c.runsAt(isLate); len(runs) == 0 {
					t.Error("no run at the upstreams that joined, in 10 s")
				}
				c.listDelay.Store(0)
			}, func(c *testCell) {
				c.alterList(func(list []caspec.Upstream) []caspec.Upstream {
					return slices.DeleteFunc(slices.Clone(list), func(u caspec.Upstream) bool { return isLate(u.ID) })
				})
			})
		})
	}
}
