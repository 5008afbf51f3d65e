package cagate

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caleader"
)

const (
	// strongAge is how long an entry counts as present after it called or another
	// told of it.
	strongAge = 3 * time.Second
	// yieldAfter is how long a weak entry leads before it looks for a stronger
	// one, and yieldPeriod the least time between two times that it hands over.
	yieldAfter  = 1500 * time.Millisecond
	yieldPeriod = 4 * time.Second
	// yieldSeen is how long a strong entry is present before one hands over to it,
	// so that the other weak entries were told of it and leave it the claim.
	yieldSeen = 800 * time.Millisecond
	// yieldStoreAge bounds the age of the last append of a leader that hands over.
	yieldStoreAge = 500 * time.Millisecond
)

// isStrong reports whether an entry has the power that a leader should have.
func (p *peerState) isStrong() bool { return p.Power >= fullPower }

// knowsStronger reports whether another strong entry than the given one was
// present lately. The lock is held.
func (g *Gate) knowsStronger(than cawork.VMID) bool {
	since := g.Timer.Now().Add(-strongAge)
	for _, p := range g.peers {
		if p.isStrong() && p.VM != than && (p.toldAt.After(since) || p.seenAt.After(since)) {
			return true
		}
	}
	return false
}

// yield hands the shard over when this entry is weak and a strong one calls
// that reaches the store.
func (l *link) yield(leader *caleader.Leader) {
	g := l.gate
	if g.Self.Power >= fullPower || leader.StoreAge() > yieldStoreAge {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Timer.Now()
	if now.Sub(l.ledSince) < yieldAfter || !l.yieldedAt.IsZero() && now.Sub(l.yieldedAt) < yieldPeriod {
		return
	}
	for _, p := range g.peers {
		present := now.Sub(p.seenAt) < agentAge && now.Sub(p.presentSince) >= yieldSeen
		if p.isStrong() && p.reachesStore && present {
			l.yieldedAt = now
			caevent.Info(g.Log, caevent.LeadershipYielded).Int("shard", l.shard).Int64("token", leader.Token()).
				Str("to", string(p.VM)).Float64("power", g.Self.Power).Float64("power_there", p.Power).
				Dur("last_call", now.Sub(p.seenAt)).Send()
			leader.Release()
			return
		}
	}
}

// reachesStore reports whether the store answers this entry.
func (g *Gate) reachesStore() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.feedLost.IsZero()
}
