package cagate

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/cell/caleader"
)

const (
	// handoverMinTerm is how long an entry that is not strong leads a shard before it may
	// hand it over to a fitter one.
	handoverMinTerm = 1500 * time.Millisecond
	// handoverMinInterval is the minimum time between two such handovers of a shard.
	handoverMinInterval = 4 * time.Second
	// handoverMaxAppendAge is the maximum age of a leader's last append for a handover.
	handoverMaxAppendAge = 500 * time.Millisecond
	// surplusMinInterval is the minimum time between two handovers of shards of which this entry leads
	// several.
	surplusMinInterval = 2 * time.Second
)

// handOverToFitter releases the shard if this entry is not strong and a clearly fitter one is
// present that reaches the store.
func (l *link) handOverToFitter(leader *caleader.Leader) {
	g := l.gate
	if g.Self.IsStrong() || leader.LastAppendAge() > handoverMaxAppendAge {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Timer.Now()
	if now.Sub(l.leadingSince) < handoverMinTerm || !l.handedOverAt.IsZero() && now.Sub(l.handedOverAt) < handoverMinInterval {
		return
	}
	p, sinceCall, ok := g.roster.Successor(now, g.Self)
	if !ok {
		return
	}
	l.handedOverAt = now
	caevent.Info(g.Log, caevent.LeadershipYielded).Int("shard", l.shard).Int64("token", leader.Token()).
		Str("to", string(p.VM)).Float64("power", g.Self.CPUShare).Float64("power_there", p.CPUShare).
		Float64("fitness", g.Self.Fitness()).Float64("fitness_there", p.Fitness()).Dur("last_call", sinceCall).Send()
	leader.Release()
}

// handOverSurplus releases the shard if this entry leads others as well, and one that is as fit leads none.
func (l *link) handOverSurplus(leader *caleader.Leader) {
	g := l.gate
	if leader.LastAppendAge() > handoverMaxAppendAge {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Timer.Now()
	isRecent := now.Sub(l.leadingSince) < handoverMinTerm || !g.surplusAt.IsZero() && now.Sub(g.surplusAt) < surplusMinInterval
	if isRecent || g.ledShardCount() < 2 {
		return
	}
	p, sinceCall, ok := g.roster.SpareLeader(now, g.Self)
	if !ok {
		return
	}
	g.surplusAt = now
	caevent.Info(g.Log, caevent.LeadershipYielded).Int("shard", l.shard).Int64("token", leader.Token()).
		Str("to", string(p.VM)).Int("led", g.ledShardCount()).Float64("fitness", g.Self.Fitness()).
		Float64("fitness_there", p.Fitness()).Dur("last_call", sinceCall).Send()
	leader.Release()
}

// releaseUnreadable releases the shard if its leader on this entry fails to read the jobs while
// another entry reaches the store.
func (l *link) releaseUnreadable(leader *caleader.Leader) {
	if !leader.IsLoadFailing() {
		return
	}
	g := l.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Timer.Now()
	if !g.roster.AnyReachesStore(now) {
		return
	}
	l.unreadableAt = now
	leader.Release()
}

// reachesStore reports whether this entry can read the store.
func (g *Gate) reachesStore() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.feedLostAt.IsZero()
}
