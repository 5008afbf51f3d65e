package caleader

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestLockRecordsUsage guards the figures of the event leader_busy: without them, nothing
// tells which part of a busy leader delays the others.
func TestLockRecordsUsage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := partLock{now: time.Now}
		for _, held := range []time.Duration{30, 10} {
			l.lock(partPlan)
			time.Sleep(held * time.Millisecond)
			l.unlock()
		}
		l.lock(partCall)
		got := l.takeUsage()
		l.unlock()
		want := [partCount]lockUsage{
			partPlan: {held: 40 * time.Millisecond, longestHold: 30 * time.Millisecond, count: 2},
			partCall: {count: 1},
		}
		if diff := cmp.Diff(want, got, cmp.AllowUnexported(lockUsage{})); diff != "" {
			t.Errorf("usage (-want +got):\n%s", diff)
		}
	})
}
