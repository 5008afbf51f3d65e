package caleader

import (
	"testing"
	"testing/synctest"
	"time"
)

// maxSubmitWaitInTest is how long a submission may wait for the lock: what is not served is to be refused, and callers
// of the platform give up after 3 s.
const maxSubmitWaitInTest = time.Second

// TestSubmissionsWaitWithoutEndBehindReports covers reports that come as fast as they are applied: a submission gets
// its turn nevertheless, as a plan does.
func TestSubmissionsWaitWithoutEndBehindReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := partLock{now: time.Now}
		began := time.Now()
		for range 3 {
			go func() {
				for time.Since(began) < 5*time.Second {
					l.lock(partReport)
					time.Sleep(time.Millisecond)
					l.unlock()
				}
			}()
		}
		time.Sleep(10 * time.Millisecond)
		l.lock(partSubmit)
		took := time.Since(began)
		l.unlock()
		if took > maxSubmitWaitInTest {
			t.Errorf("a submission waited %v for the lock, want %v at most", took, maxSubmitWaitInTest)
		}
		time.Sleep(6 * time.Second)
	})
}
