package caleader

import (
	"slices"
	"sync"
	"time"
)

// part is a user of the lock of a leader. Parts with lower numbers go first.
type part int

// The users of the lock.
const (
	// partCommit stores changes and renews the claim.
	partCommit part = iota
	// partCall answers cancellations and queries.
	partCall
	// partReport applies the reports and answers of upstreams.
	partReport
	// partSubmit accepts or rejects submissions.
	partSubmit
	// partPlan makes plans.
	partPlan
	partCount
)

// maxPartWait is the wait for the lock after which a user goes first, whatever its part, each
// second time.
const maxPartWait = 100 * time.Millisecond

// partNames are the names of the parts in the log.
var partNames = [partCount]string{"commit", "call", "report", "submit", "plan"}

// lockUsage is how a part has used the lock.
type lockUsage struct {
	held, longestHold, longestWait time.Duration
	count                          int
}

// partLock is a mutual exclusion lock for parts of different urgency. A user waits for the
// holder, for waiting parts with lower numbers and for users that have waited for maxPartWait.
// The lock records how it is used.
type partLock struct {
	now func() time.Time

	// mu guards the fields below. It is held for moments only.
	mu      sync.Mutex
	held    bool
	waiters [partCount][]*lockWaiter
	// wasOverdue is set if the lock was last taken by a user because it had waited for long.
	wasOverdue bool

	// The fields below belong to the holder.
	holder    part
	heldSince time.Time
	usage     [partCount]lockUsage
}

// lockWaiter waits for the lock.
type lockWaiter struct {
	since time.Time
	// woken receives a value when the waiter should try again.
	woken chan struct{}
}

// lock acquires the lock for a part.
func (l *partLock) lock(p part) {
	began := l.now()
	l.mu.Lock()
	if !l.mayTake(p, nil) {
		l.wait(p, began)
	}
	l.wasOverdue = !l.wasOverdue && l.now().Sub(began) > maxPartWait
	l.held = true
	l.mu.Unlock()
	l.holder, l.heldSince = p, l.now()
	u := &l.usage[p]
	u.count++
	u.longestWait = max(u.longestWait, l.heldSince.Sub(began))
}

// mayTake reports whether the lock is free and no other waiter goes before a user, which is a
// waiter or has just come (w is nil). mu is held.
func (l *partLock) mayTake(p part, w *lockWaiter) bool {
	if l.held {
		return false
	}
	if overdue := l.overduePart(); overdue != partCount {
		return l.waiters[overdue][0] == w
	}
	return p <= l.next()
}

// wait waits until the part may take the lock. mu is held.
func (l *partLock) wait(p part, began time.Time) {
	w := &lockWaiter{since: began, woken: make(chan struct{}, 1)}
	l.waiters[p] = append(l.waiters[p], w)
	for !l.mayTake(p, w) {
		l.wakeNext()
		l.mu.Unlock()
		<-w.woken
		l.mu.Lock()
	}
	i := slices.Index(l.waiters[p], w)
	l.waiters[p] = slices.Delete(l.waiters[p], i, i+1)
}

// wakeNext wakes the waiter that goes first if the lock is free. mu is held.
func (l *partLock) wakeNext() {
	p := l.next()
	if l.held || p == partCount {
		return
	}
	select {
	case l.waiters[p][0].woken <- struct{}{}:
	default:
	}
}

// overduePart returns the part that has waited longest, if for so long that it goes first, and
// partCount otherwise. After such a turn the next one goes by the order of the parts, so that many
// users of one part do not hold up those before it. mu is held.
func (l *partLock) overduePart() part {
	if l.wasOverdue {
		return partCount
	}
	oldest, since := partCount, l.now().Add(-maxPartWait)
	for p, waiters := range l.waiters {
		if len(waiters) > 0 && waiters[0].since.Before(since) {
			oldest, since = part(p), waiters[0].since
		}
	}
	return oldest
}

// next returns the waiting part that goes first, partCount without any. mu is held.
func (l *partLock) next() part {
	if overdue := l.overduePart(); overdue != partCount {
		return overdue
	}
	for p, waiters := range l.waiters {
		if len(waiters) > 0 {
			return part(p)
		}
	}
	return partCount
}

// unlock releases the lock.
func (l *partLock) unlock() {
	held := l.now().Sub(l.heldSince)
	u := &l.usage[l.holder]
	u.held += held
	u.longestHold = max(u.longestHold, held)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = false
	l.wakeNext()
}

// takeUsage returns the usage since the last call. The lock is held.
func (l *partLock) takeUsage() [partCount]lockUsage {
	usage := l.usage
	l.usage = [partCount]lockUsage{}
	return usage
}
