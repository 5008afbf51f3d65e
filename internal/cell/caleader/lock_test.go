package caleader

import (
	"sync"
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

// TestCheapCallsGoBeforeSubmissionsAndPlans guards against cancellations, queries and renewals
// of the claim that wait behind hundreds of submissions and behind plans. A plan goes first
// once it has waited for maxPartWait.
func TestCheapCallsGoBeforeSubmissionsAndPlans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := partLock{now: time.Now}
		var order []part
		take := func(p part) {
			l.lock(p)
			order = append(order, p)
			l.unlock()
		}
		queue := func(parts ...part) {
			for _, p := range parts {
				go take(p)
				synctest.Wait()
			}
		}
		l.lock(partPlan)
		queue(partPlan, partSubmit, partSubmit, partReport, partCall, partCommit)
		l.unlock()
		synctest.Wait()
		l.lock(partSubmit)
		queue(partPlan)
		time.Sleep(2 * maxPartWait)
		queue(partCall)
		l.unlock()
		synctest.Wait()
		want := []part{partCommit, partCall, partReport, partSubmit, partSubmit, partPlan, partPlan, partCall}
		if diff := cmp.Diff(want, order); diff != "" {
			t.Errorf("order (-want +got):\n%s", diff)
		}
	})
}

// TestContendedLockIsNeverForgotten guards against a lost wake-up, after which all parts
// of a leader would wait for a free lock.
func TestContendedLockIsNeverForgotten(t *testing.T) {
	l := partLock{now: time.Now}
	var users sync.WaitGroup
	total := 0
	for i := range 40 {
		users.Go(func() {
			for range 500 {
				l.lock(part(i) % partCount)
				total++
				l.unlock()
			}
		})
	}
	users.Wait()
	if diff := cmp.Diff(40*500, total); diff != "" {
		t.Errorf("uses of the lock (-want +got):\n%s", diff)
	}
}
