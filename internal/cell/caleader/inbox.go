package caleader

import (
	"sync"
	"sync/atomic"

	"celeryarch.example/celeryarch/internal/cell/caboard"
	"celeryarch.example/celeryarch/internal/cell/calayout"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// inbox holds what the entry passes to its leader until the next user of the leader's lock
// applies it. The entry never waits for that lock.
type inbox struct {
	filled atomic.Bool

	mu           sync.Mutex
	policy       *caspec.Policy
	layout       *calayout.Layout
	drains       *caboard.DrainView
	previousGone bool
}

// put changes the content of the inbox.
func (b *inbox) put(change func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change()
	b.filled.Store(true)
}

// lock acquires the lock for a part and applies the inbox.
func (l *Leader) lock(p part) {
	l.mu.lock(p)
	if l.inbox.filled.Load() {
		l.applyInbox()
	}
}

// applyInbox applies and empties the inbox. The lock is held.
func (l *Leader) applyInbox() {
	l.inbox.mu.Lock()
	policy, layout, drains, previousGone := l.inbox.policy, l.inbox.layout, l.inbox.drains, l.inbox.previousGone
	l.inbox.policy, l.inbox.layout, l.inbox.drains, l.inbox.previousGone = nil, nil, nil, false
	l.inbox.filled.Store(false)
	l.inbox.mu.Unlock()
	if layout != nil {
		l.applyLayout(*layout)
	}
	if policy != nil {
		l.applyPolicy(*policy)
	}
	if drains != nil {
		l.planner.SetDrains(*drains)
	}
	if previousGone {
		l.planner.SetNow(l.now())
		l.planner.MarkPreviousLeaderGone(maxGrantedLease, l.Previous.InheritedRemaining)
	}
}

// applyPolicy applies the part of a policy version that concerns this shard. The lock is held.
func (l *Leader) applyPolicy(p caspec.Policy) {
	if p.Version < l.policy.Version {
		return
	}
	l.policy = p
	l.applyShardPolicy()
}

// SetPolicy passes a policy version to the leader.
func (l *Leader) SetPolicy(p caspec.Policy) {
	l.inbox.put(func() {
		if l.inbox.policy == nil || p.Version >= l.inbox.policy.Version {
			l.inbox.policy = &p
		}
	})
	l.wakePlanner()
}

// SetLayout passes a newer edition of the layout to the leader.
func (l *Leader) SetLayout(layout calayout.Layout) {
	l.inbox.put(func() {
		if l.inbox.layout == nil || layout.IsNewerThan(*l.inbox.layout) {
			l.inbox.layout = &layout
		}
	})
	l.wakePlanner()
}

// SetDrains passes a newer view of the drained zones to the leader.
func (l *Leader) SetDrains(v caboard.DrainView) {
	l.inbox.put(func() { l.inbox.drains = &v })
	l.wakePlanner()
}
