package caleader

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/cell/calayout"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// settleTime is how long the number of upstreams must stay the same before the
// cell is divided by it.
const settleTime = time.Second

// settling watches the number of upstreams of a cell that is not divided yet.
type settling struct {
	upstreams int
	since     time.Time
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

// settleLayout decides the layout once the number of upstreams rests. The lock
// is held.
func (l *Leader) settleLayout(upstreams int) {
	if l.Shard != 0 || !l.layout.IsZero() || !l.divided.IsZero() || upstreams == 0 || l.policy.IsZero() {
		return
	}
	now := l.Timer.Now()
	if upstreams != l.settle.upstreams {
		l.settle = settling{upstreams: upstreams, since: now}
		return
	}
	if now.Sub(l.settle.since) < settleTime {
		return
	}
	layout := calayout.Decide(upstreams, l.MostShards, l.policy.Teams)
	record, err := layout.Encode()
	if err != nil {
		caevent.Warn(l.Log, caevent.PartFailed).Str("part", "layout").Err(err).Send()
		return
	}
	l.divided = layout
	l.extra = append(l.extra, Entry{Key: layoutKey, Value: record})
}

// divide puts the layout in force that was stored with the last append.
func (l *Leader) divide() {
	l.mu.Lock()
	layout := l.divided
	if layout.IsZero() || !l.layout.IsZero() || len(l.extra) > 0 {
		l.mu.Unlock()
		return
	}
	l.layout = layout
	l.board.SetPolicy(layout.PolicyFor(l.policy))
	l.mu.Unlock()
	l.Divide(layout)
}
