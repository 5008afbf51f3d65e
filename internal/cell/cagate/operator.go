package cagate

import (
	"context"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caboard"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// startupStoreWait is how long a starting entry waits for the policy from the store
// before it accepts one from another entry, which may be outdated.
const startupStoreWait = 1500 * time.Millisecond

// OperatorFeed delivers what operators ask for: the policy and the drained zones.
type OperatorFeed interface {
	Watch(ctx context.Context, sink OperatorSink) error
}

// OperatorSink receives what an OperatorFeed reads.
type OperatorSink interface {
	// ApplyPolicy applies a version of the policy.
	ApplyPolicy(p caspec.Policy)
	// ApplyDrains applies the drained zones as of a read that began at readAt.
	ApplyDrains(d caspec.ZoneDrains, readAt time.Time)
	// SetReachable tells whether the last read of the source succeeded.
	SetReachable(reachable bool)
}

// storeSink applies what the feed of an entry reads from the store.
type storeSink struct{ gate *Gate }

func (s storeSink) ApplyPolicy(p caspec.Policy) { s.gate.applyPolicy(p, sourceStore) }

func (s storeSink) ApplyDrains(d caspec.ZoneDrains, readAt time.Time) {
	s.gate.applyDrains(drainReading{ZoneDrains: d, readAt: readAt}, sourceStore)
}

func (s storeSink) SetReachable(reachable bool) { s.gate.setFeedReachable(reachable) }

// sourceStore names the store as a source of the policy or of drained zones in log lines.
const sourceStore = "store"

func sourcePeer(address string) string { return "peer " + address }

func (g *Gate) watchOperators(ctx context.Context) error {
	return g.OperatorFeed.Watch(ctx, storeSink{g})
}

func (g *Gate) setFeedReachable(reachable bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case reachable && !g.feedLostAt.IsZero():
		caevent.Info(g.Log, caevent.LogRestored).Dur("after", g.Timer.Now().Sub(g.feedLostAt)).Send()
		g.feedLostAt = time.Time{}
		g.updateLeaderDrains()
	case !reachable && g.feedLostAt.IsZero():
		g.feedLostAt = g.Timer.Now()
		caevent.Warn(g.Log, caevent.LogUnavailable).Int64("policy", g.policy.Version).Send()
		g.updateLeaderDrains()
	}
}

// applyFromPeer applies the policy of another entry. During startup it waits for the
// store, which has the newest version: the peer may still accept revoked keys.
func (g *Gate) applyFromPeer(address string, p caspec.Policy) {
	if g.Policy().IsZero() && g.Timer.Now().Sub(g.startedAt) < startupStoreWait {
		return
	}
	g.applyPolicy(p, sourcePeer(address))
}

// applyPolicy puts a policy in force if it is newer than the current one.
func (g *Gate) applyPolicy(p caspec.Policy, source string) {
	p = p.WithIndex()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.policy.IsZero() && p.Version <= g.policy.Version {
		return
	}
	caevent.Info(g.Log, caevent.ConfigApplied).Int64("version", p.Version).Int64("before", g.policy.Version).
		Str("source", source).Int("queues", len(p.Queues)).Int("teams", len(p.Teams)).Send()
	g.policy = p
	for _, l := range g.links {
		if l.localLeader != nil {
			l.localLeader.SetPolicy(p)
		}
	}
}

// drainReading is a reading of the operators' records about drained zones.
type drainReading struct {
	caspec.ZoneDrains
	// readAt is when the read of the store began, zero before the first one. The reading
	// includes all that operators wrote until then.
	readAt time.Time
}

// isKnown reports whether the records were read at all.
func (r drainReading) isKnown() bool { return !r.readAt.IsZero() }

// replaces reports whether the reading is newer than another one, or confirms it later.
func (r drainReading) replaces(other drainReading) bool {
	return !other.isKnown() || r.Position > other.Position || r.Position == other.Position && r.readAt.After(other.readAt)
}

// applyDrains takes over a reading of the drained zones if it replaces the current one.
func (g *Gate) applyDrains(r drainReading, source string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !r.isKnown() || !r.replaces(g.drains) {
		return
	}
	g.logDrainChanges(r, source)
	g.drains = r
	g.updateLeaderDrains()
}

// updateLeaderDrains passes the view of the drained zones to the leaders on this entry. The
// caller must hold g.mu.
func (g *Gate) updateLeaderDrains() {
	for _, l := range g.links {
		if l.localLeader != nil {
			l.localLeader.SetDrains(g.drainView())
		}
	}
}

// drainPosition returns the position up to which this entry knows the drained zones.
func (g *Gate) drainPosition() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.drains.Position
}

// logDrainChanges logs each zone that a reading drains or takes back. The caller must
// hold g.mu.
func (g *Gate) logDrainChanges(r drainReading, source string) {
	log := func(zone cawork.ZoneName, drained bool) {
		caevent.Info(g.Log, caevent.ZoneDrained).Str("zone", string(zone)).Bool("drained", drained).
			Int64("position", r.Position).Dur("age", g.Timer.Now().Sub(r.readAt)).Str("source", source).Send()
	}
	for _, zone := range r.Zones {
		if !g.drains.Contains(zone) {
			log(zone, true)
		}
	}
	for _, zone := range g.drains.Zones {
		if !slices.Contains(r.Zones, zone) {
			log(zone, false)
		}
	}
}

// drainView returns the view of the drained zones for a leader on this entry, which also
// covers the policy: both come from the same records. Reads that fail extend its validity
// unless other entries reach the store, so that the fault is this entry's or its link's. A
// process that was suspended, and has not tried to read since, extends nothing. The caller
// must hold g.mu.
func (g *Gate) drainView() caboard.DrainView {
	storeFails := !g.feedLostAt.IsZero() && !g.roster.AnyReachesStore(g.Timer.Now())
	return caboard.DrainView{
		ZoneDrains: g.drains.ZoneDrains,
		ValidUntil: g.ViewBounds.RecordsValidUntil(g.drains.readAt, storeFails),
	}
}
