package cagate

import (
	"testing"
	"time"
)

// maxOutageAfterFailedReads is how long no job may be accepted where the reads of the first successor fail: until
// they count as failing, and until the next entry leads.
const maxOutageAfterFailedReads = 5 * time.Second

// TestLeaderWhoseReadsFailHoldsClaim guards against a leader that fails to read the jobs for good and renews its
// claim meanwhile, so that no job is accepted although other entries could lead.
func TestLeaderWhoseReadsFailHoldsClaim(t *testing.T) {
	runInTestCell(t, 4, func(t *testing.T, c *testCell) {
		c.load(time.Second)
		c.failFirstReader.Store(true)
		c.kill(c.leader())
		killed := time.Now()
		for c.leader() == "" || submitTo(c.gates()[c.leader()], testSubmission(c.nextJob())) != nil {
			if time.Since(killed) > 30*time.Second {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		if took := time.Since(killed); took > maxOutageAfterFailedReads {
			t.Errorf("no job was accepted for %v after the loss of the leader, want %v at most", took, maxOutageAfterFailedReads)
		}
		c.failFirstReader.Store(false)
	})
}

// TestLeaderAloneKeepsClaimWhileReadsFail guards against leaders that follow one another while the jobs can't be read
// by anybody else, since no other entry runs. It serves once it can read them.
func TestLeaderAloneKeepsClaimWhileReadsFail(t *testing.T) {
	runInTestCell(t, 1, func(t *testing.T, c *testCell) {
		c.load(time.Second)
		c.callers.Wait()
		c.kill(entryName(0))
		c.failFirstReader.Store(true)
		claims := c.claims.Load()
		c.start(entryName(0))
		time.Sleep(8 * time.Second)
		if claims = c.claims.Load() - claims; claims != 1 {
			t.Errorf("%d claims of the only entry, want 1", claims)
		}
		c.failFirstReader.Store(false)
		time.Sleep(time.Second)
		if err := submitTo(c.gates()[entryName(0)], testSubmission(c.nextJob())); err != nil {
			t.Errorf("no job was accepted once the jobs could be read: %v", err)
		}
	})
}
