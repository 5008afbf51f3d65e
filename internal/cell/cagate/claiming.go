package cagate

import (
	"context"
	"math/rand"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/cagauge"
	"celeryarch.example/celeryarch/internal/cell/caleader"
	"celeryarch.example/celeryarch/internal/cell/carelay"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

const (
	// electionJitter bounds the random delay that spreads the claims of candidates.
	electionJitter = 40 * time.Millisecond
	// delayPerLedShard delays a candidate for each shard that it already leads or is about to claim.
	delayPerLedShard = 150 * time.Millisecond
	// delayPerRank delays a candidate by the place of the shard in its order of preference, so that
	// candidates for many shards do not all claim the same one first.
	delayPerRank = 25 * time.Millisecond
	// unfitDelay is the delay of a candidate that has nothing of what a leader needs. It shrinks
	// linearly to zero for a strong one.
	unfitDelay = 200 * time.Millisecond
	// unfitDeferDelay replaces unfitDelay while a strong entry is present.
	unfitDeferDelay = 800 * time.Millisecond
	// restartDelay is the delay of a candidate that a rolling restart has yet to reach.
	restartDelay = 120 * time.Millisecond
	// narrowLinkEndsDelay is for how long leaders behind narrow links keep ends of tasks that complete
	// no step.
	narrowLinkEndsDelay = 80 * time.Millisecond
	// unreadableDelay delays a candidate that released the shard since it could not read the jobs, for
	// unreadableTime after that.
	unreadableDelay = time.Second
	unreadableTime  = 10 * time.Second
)

// beginCandidacy returns how long this entry waits before it claims a shard, until endCandidacy. Strong
// entries that lead no shard wait the least.
func (l *link) beginCandidacy() time.Duration {
	g := l.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	delay := time.Duration(g.ledShardCount()+g.candidacies)*delayPerLedShard + time.Duration(l.rank())*delayPerRank
	g.candidacies++
	if shortfall := 1 - g.Self.Fitness(); shortfall > 0 {
		maxDelay := unfitDelay
		if g.roster.HasOtherStrong(g.Timer.Now(), l.status.VM) {
			maxDelay = unfitDeferDelay
		}
		delay += time.Duration(shortfall * float64(maxDelay))
	}
	if g.roster.AwaitsRestart(g.Timer.Now(), time.Now().UnixNano(), g.Self) {
		delay += restartDelay
	}
	if !l.unreadableAt.IsZero() && g.Timer.Now().Sub(l.unreadableAt) < unreadableTime {
		delay += unreadableDelay
	}
	return delay + time.Duration(rand.Int63n(int64(electionJitter)))
}

func (l *link) endCandidacy() {
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	l.gate.candidacies--
}

// rank returns the place of the shard in the order in which this entry prefers the shards. The caller must
// hold Gate.mu.
func (l *link) rank() int {
	own := l.preference()
	rank := 0
	for _, other := range l.gate.links {
		if other.preference() > own {
			rank++
		}
	}
	return rank
}

// preference returns a number that is high for the shards that this entry prefers to others.
func (l *link) preference() uint64 {
	return xxhash.Sum64String(string(l.gate.Self.VM) + "/" + strconv.Itoa(l.shard))
}

// claimLeadership claims the shard and starts to lead it. If the claim fails, it adopts a
// newer leader, if any. It reports whether the leader has changed.
func (l *link) claimLeadership(ctx context.Context, found caleader.LeadershipState, previous leaderID) bool {
	g := l.gate
	delay := l.beginCandidacy()
	defer l.endCandidacy()
	if err := g.Timer.Pause(ctx, delay); err != nil {
		return false
	}
	granter := found.Claim.LastGranter()
	c := caleader.Claim{
		VM: g.Self.VM, Address: g.Self.Address, Nonce: g.Nonce + g.Timer.Now().UnixNano(),
		Process: g.Nonce, Taken: found.Claim.Token != 0 && !found.Claim.Released, GrantsNone: true, Granter: &granter,
	}
	l.inherit(&c, found.Claim)
	token, newEnd, err := l.acquireClaim(ctx, &c, found.End)
	if err != nil {
		caevent.Info(g.Log, caevent.ShardViewChanged).Int("shard", l.shard).Int64("end", found.End).
			Str("leader_before", string(previous.VM)).Err(err).Send()
		return l.adoptLatest(ctx, previous)
	}
	caevent.Info(g.Log, caevent.ShardTakenOver).Int("shard", l.shard).Int64("token", token).
		Str("leader_before", string(previous.VM)).Int64("token_before", previous.Token).Send()
	l.inherit(&c, found.Claim)
	l.granter.Observe(c, g.Timer.Now())
	l.startLeading(ctx, c, granter, token, newEnd)
	return true
}

// acquireClaim stores the claim if the log ends at the offset, and sets how long that took. The caller
// must start to lead if there is no error.
func (l *link) acquireClaim(ctx context.Context, c *caleader.Claim, at int64) (token, end int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, maxClaimAnswerTime)
	defer cancel()
	l.setClaiming(true)
	began := l.gate.Timer.Now()
	token, end, err = caleader.AcquireClaim(ctx, l.gate.ShardLog(l.shard), *c, at, l.gate.Timer.Pause)
	c.AppendTook = l.gate.Timer.Now().Sub(began)
	l.appendLatency.Observe(c.AppendTook)
	if err != nil {
		l.setClaiming(false)
	}
	return token, end, err
}

func (l *link) setClaiming(claiming bool) {
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	l.claiming = claiming
}

// observeClaim records the leases in a claim that was read now.
func (l *link) observeClaim(c caleader.Claim) {
	now := l.gate.Timer.Now()
	l.silence.Observe(c.Silent, now)
	l.granter.Observe(c, now)
}

// inherit sets for how long from now on the leases can last that earlier leaders granted, and what they
// observed, by the claim before.
func (l *link) inherit(c *caleader.Claim, before caleader.Claim) {
	now := l.gate.Timer.Now()
	c.Silent = l.silence.Remaining(before.Silent, now)
	c.LongLeases = before.LongLeases
	c.RequestDelay, c.AdvisorSlowness = before.RequestDelay, before.AdvisorSlowness
	c.InheritedRemaining = l.granter.Remaining(before, now)
}

// leaderFitness returns which fraction of what the leader of a full shard needs the fittest entry has.
func (g *Gate) leaderFitness() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roster.BestFitness(g.Timer.Now(), g.Self)
}

// endsDelay returns how long a leader on this entry may keep ends to store them together.
func (g *Gate) endsDelay() time.Duration {
	if g.Self.HasNarrowLink() {
		return narrowLinkEndsDelay
	}
	return 0
}

// startLeading starts the shard's leader in this entry. It runs until it is deposed.
func (l *link) startLeading(ctx context.Context, c caleader.Claim, previous caleader.Granter, token, end int64) {
	g := l.gate
	relay := carelay.New(carelay.Deps{
		Leader: g.Self.VM, Token: token, MinUpstreams: g.RelayMinUpstreams, Log: g.Log.With().Int("shard", l.shard).Logger(), Timer: g.Timer,
		Peers: g.PeerClient, Upstreams: g.Upstreams, Registry: g.Registry, Candidates: g.agentCandidates,
	})
	leader := caleader.New(caleader.Deps{
		Shard: l.shard, MaxShards: g.MaxShards, RecordBytes: g.RecordBytes, View: g.policyAndLayout, OnLayoutStored: g.setLayout,
		Log: g.Log.With().Int("shard", l.shard).Logger(), Scope: g.Scope, Timer: g.Timer, WallClockMS: g.WallMillis,
		Store: g.ShardLog(l.shard), Upstreams: relay, Registry: relay, AdvisorProxies: l, Seed: token, Previous: previous,
		ListBound: g.ViewBounds.UpstreamDrain, LeaderFitness: g.leaderFitness, EndsDelay: g.endsDelay(),
		ReportOpenJobs: func(counts map[caspec.QueueName]int) { g.openJobs.Report(l.shard, counts) },
		ReportTeams:    func(teams map[cawork.TeamName]cagauge.TeamUse) { g.openJobs.ReportTeams(l.shard, teams) },
	}, c, token, end)
	leader.ObserveProcess(g.Self.VM, g.Self.Address, g.Nonce)
	g.mu.Lock()
	l.claiming = false
	l.observeLeader(leaderID{VM: g.Self.VM, Address: g.Self.Address, Token: token})
	leader.SetDrains(g.drainView())
	l.localLeader = leader
	l.leadingSince = g.Timer.Now()
	g.notifyLeadership()
	g.mu.Unlock()
	go func() {
		relayCtx, cancel := context.WithCancel(ctx)
		go relay.Run(relayCtx)
		err := leader.Run(ctx)
		cancel()
		<-relay.Done()
		l.appendLatency.Observe(leader.LastAppendTook())
		caevent.Warn(g.Log, caevent.ShardDeposed).Int("shard", l.shard).Int64("token", token).Err(err).Send()
		g.mu.Lock()
		defer g.mu.Unlock()
		l.localLeader = nil
		g.notifyLeadership()
		if l.status.Token == token {
			l.status.Address = ""
			l.status.lastReplyAt = time.Time{}
		}
	}()
}
