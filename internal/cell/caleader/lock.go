package caleader

import (
	"sync"
	"time"
)

// part is a user of the lock of a leader.
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

// partNames are the names of the parts in the log.
var partNames = [partCount]string{"commit", "call", "report", "submit", "plan"}

// lockUsage is how a part has used the lock.
type lockUsage struct {
	held, longestHold, longestWait time.Duration
	count                          int
}

// partLock is a mutual exclusion lock that records how its parts use it.
type partLock struct {
	now func() time.Time
	mu  sync.Mutex

	// The fields below belong to the holder.
	holder    part
	heldSince time.Time
	usage     [partCount]lockUsage
}

// lock acquires the lock for a part.
func (l *partLock) lock(p part) {
	began := l.now()
	l.mu.Lock()
	l.holder, l.heldSince = p, l.now()
	u := &l.usage[p]
	u.count++
	u.longestWait = max(u.longestWait, l.heldSince.Sub(began))
}

// unlock releases the lock.
func (l *partLock) unlock() {
	held := l.now().Sub(l.heldSince)
	u := &l.usage[l.holder]
	u.held += held
	u.longestHold = max(u.longestHold, held)
	l.mu.Unlock()
}

// takeUsage returns the usage since the last call. The lock is held.
func (l *partLock) takeUsage() [partCount]lockUsage {
	usage := l.usage
	l.usage = [partCount]lockUsage{}
	return usage
}
