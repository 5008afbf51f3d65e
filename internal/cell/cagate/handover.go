package cagate

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caleader"
)

const (
	// strongPeerMaxAge is how long a strong entry counts as present after it called or
	// after another entry listed it.
	strongPeerMaxAge = 3 * time.Second
	// handoverMinTerm is how long an entry that is not strong leads a shard before it may
	// hand it over to a strong one.
	handoverMinTerm = 1500 * time.Millisecond
	// handoverMinInterval is the minimum time between two such handovers of a shard.
	handoverMinInterval = 4 * time.Second
	// handoverMinPresence is how long a strong entry must be present before a shard is
	// handed over to it. By then the other entries know about it and delay their own claims.
	handoverMinPresence = 800 * time.Millisecond
	// handoverMaxAppendAge is the maximum age of a leader's last append for a handover.
	handoverMaxAppendAge = 500 * time.Millisecond
)

// isStrong reports whether an entry has the CPU share that a leader should have.
func (p *peerState) isStrong() bool { return p.CPUShare >= leaderCPUShare }

// hasOtherStrongPeer reports whether a strong entry other than the given one was present
// recently. The caller must hold g.mu.
func (g *Gate) hasOtherStrongPeer(except cawork.VMID) bool {
	since := g.Timer.Now().Add(-strongPeerMaxAge)
	for _, p := range g.peers {
		if p.isStrong() && p.VM != except && (p.reportedAt.After(since) || p.lastCallAt.After(since)) {
			return true
		}
	}
	return false
}

// handOverToStronger releases the shard if this entry is not strong and a strong entry is
// present that reaches the store.
func (l *link) handOverToStronger(leader *caleader.Leader) {
	g := l.gate
	if g.Self.CPUShare >= leaderCPUShare || leader.LastAppendAge() > handoverMaxAppendAge {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Timer.Now()
	if now.Sub(l.leadingSince) < handoverMinTerm || !l.handedOverAt.IsZero() && now.Sub(l.handedOverAt) < handoverMinInterval {
		return
	}
	for _, p := range g.peers {
		present := now.Sub(p.lastCallAt) < agentMaxAge && now.Sub(p.presentSince) >= handoverMinPresence
		if p.isStrong() && p.reachesStore && present {
			l.handedOverAt = now
			caevent.Info(g.Log, caevent.LeadershipYielded).Int("shard", l.shard).Int64("token", leader.Token()).
				Str("to", string(p.VM)).Float64("power", g.Self.CPUShare).Float64("power_there", p.CPUShare).
				Dur("last_call", now.Sub(p.lastCallAt)).Send()
			leader.Release()
			return
		}
	}
}

// reachesStore reports whether this entry can read the store.
func (g *Gate) reachesStore() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.feedLostAt.IsZero()
}
