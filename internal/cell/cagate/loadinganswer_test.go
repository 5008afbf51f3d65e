package cagate

import (
	"sync/atomic"
	"testing"
	"time"
)

// maxOutageAfterLostRead is how long a cell may accept no job after its leader was killed and the next one
// got no answer to one read: an election, the bound on the read, and a second one.
const maxOutageAfterLostRead = 6 * time.Second

// TestLeaderWithoutAnswerWhileLoadingHoldsClaim guards against a leader that waits for the answer to one
// read of the jobs or the upstreams without end and renews its claim meanwhile, so that no job is
// accepted any more.
func TestLeaderWithoutAnswerWhileLoadingHoldsClaim(t *testing.T) {
	tests := map[string]func(*testCell) *atomic.Int64{
		"jobs":      func(c *testCell) *atomic.Int64 { return &c.lostReads },
		"upstreams": func(c *testCell) *atomic.Int64 { return &c.lostLists },
	}
	for name, lost := range tests {
		t.Run(name, func(t *testing.T) {
			runInTestCell(t, 4, func(t *testing.T, c *testCell) {
				c.load(time.Second)
				c.kill(c.leader())
				lost(c).Store(1)
				killed := time.Now()
				for c.leader() == "" || submitTo(c.gates()[c.leader()], testSubmission(c.nextJob())) != nil {
					if time.Since(killed) > 30*time.Second {
						break
					}
					time.Sleep(50 * time.Millisecond)
				}
				if took := time.Since(killed); took > maxOutageAfterLostRead {
					t.Errorf("no job was accepted for %v after the loss of the leader, want %v at most", took, maxOutageAfterLostRead)
				}
			})
		})
	}
}
