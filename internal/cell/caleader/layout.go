package caleader

import (
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/cell/calayout"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// upstreamCountSettleTime is how long the number of upstreams must stay the same
// before the cell is divided into shards according to it.
const upstreamCountSettleTime = time.Second

// upstreamCount is the last number of upstreams of a cell that is not divided
// yet, and the time since when it has been the same.
type upstreamCount struct {
	count int
	since time.Time
}

// ownUpstreams returns the upstreams of this shard. The lock is held.
func (l *Leader) ownUpstreams(list []caspec.Upstream) []caspec.Upstream {
	if l.layout.IsZero() {
		return nil
	}
	if l.layout.Shards == 1 {
		return list
	}
	own := make([]caspec.Upstream, 0, len(list)/l.layout.Shards+1)
	for _, u := range list {
		if l.layout.ShardOfUpstream(u.ID) == l.Shard {
			own = append(own, u)
		}
	}
	return own
}

// proposeLayout decides the layout once the number of upstreams is stable, and
// adds its record to the next append. Only the leader of the first shard does
// so. The lock is held.
func (l *Leader) proposeLayout(upstreams int) {
	if l.Shard != 0 || !l.layout.IsZero() || !l.proposedLayout.IsZero() || upstreams == 0 || l.policy.IsZero() {
		return
	}
	now := l.Timer.Now()
	if upstreams != l.upstreamCount.count {
		l.upstreamCount = upstreamCount{count: upstreams, since: now}
		return
	}
	if now.Sub(l.upstreamCount.since) < upstreamCountSettleTime {
		return
	}
	layout, _ := calayout.Compute(upstreams, l.MaxShards, l.leaderFitness(), l.policy.Teams).WithPolicy(l.policy, l.WallClockMS())
	l.storeLayout(layout)
}

// storeLayout adds the record of a layout to the next append. The lock is held.
func (l *Leader) storeLayout(layout calayout.Layout) {
	entry, err := LayoutEntry(layout)
	if err != nil {
		caevent.Warn(l.Log, caevent.PartFailed).Str("part", "layout").Err(err).Send()
		return
	}
	l.proposedLayout = layout
	l.extraEntries = append(l.extraEntries, entry)
}

// LayoutEntry returns the record of a layout in the log of the first shard.
func LayoutEntry(layout calayout.Layout) (LogEntry, error) {
	value, err := layout.Encode()
	return LogEntry{Key: layoutKey, Value: value}, err
}

// keysCheckInterval is the longest time between two checks whether the layout has all keys of the policy, and
// none that it should drop.
const keysCheckInterval = time.Minute

// followKeys adds the layout to the next append if the policy lists other keys than before. Only the leader of the
// first shard does so. The lock is held.
func (l *Leader) followKeys() {
	if l.Shard != 0 || l.layout.IsZero() || l.policy.IsZero() || !l.proposedLayout.IsZero() {
		return
	}
	now := l.Timer.Now()
	if l.keysVersion == l.policy.Version && now.Sub(l.keysCheckedAt) < keysCheckInterval {
		return
	}
	l.keysVersion, l.keysCheckedAt = l.policy.Version, now
	if layout, changed := l.layout.WithPolicy(l.policy, l.WallClockMS()); changed {
		l.storeLayout(layout)
	}
}

// leaderFitness returns which fraction of what the leader of a full shard needs the fittest entry has.
func (l *Leader) leaderFitness() float64 {
	if l.LeaderFitness == nil {
		return 1
	}
	return l.LeaderFitness()
}

// applyStoredLayout applies the proposed layout after the append that should store it, unless the store has refused it.
func (l *Leader) applyStoredLayout(refused []LogEntry) {
	l.lock(partCommit)
	layout := l.proposedLayout
	if layout.IsZero() || len(l.extraEntries) > 0 {
		l.mu.unlock()
		return
	}
	l.proposedLayout = calayout.Layout{}
	if slices.ContainsFunc(refused, func(e LogEntry) bool { return e.Key == layoutKey }) {
		l.mu.unlock()
		return
	}
	l.applyLayout(layout)
	l.mu.unlock()
	l.OnLayoutStored(layout)
}

// applyLayout applies a layout that replaces the one in force. The lock is held.
func (l *Leader) applyLayout(layout calayout.Layout) {
	if !layout.IsNewerThan(l.layout) {
		return
	}
	l.layout = layout
	l.applyShardPolicy()
}

// applyShardPolicy applies the part of the shard in the policy, and which teams continue others. The lock is held.
func (l *Leader) applyShardPolicy() {
	if l.policy.IsZero() || l.layout.IsZero() {
		return
	}
	l.planner.SetSuccessors(l.layout.Successors(l.policy))
	l.planner.SetPolicy(l.layout.ShardPolicy(l.policy))
}

// useStoredLayout takes over the layout in the log of the first shard, which may be newer than what this entry knew when the
// leader began.
func (l *Leader) useStoredLayout(stored calayout.Layout) {
	if stored.IsZero() {
		return
	}
	l.SetLayout(stored)
	l.OnLayoutStored(stored)
}
