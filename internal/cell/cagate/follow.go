package cagate

import (
	"context"
	"errors"
	"math/rand"
	"syscall"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/cell/caleader"
	"celeryarch.example/celeryarch/internal/cell/carelay"
	"celeryarch.example/celeryarch/internal/node/capeer"
)

const (
	// helloPeriod is the time between two calls of an entry to a leader, and
	// helloPeriodMost that of entries which are not strong in a large cell, where
	// helloEach for each entry that is present is the time to aim for.
	helloPeriod     = 250 * time.Millisecond
	helloPeriodMost = 500 * time.Millisecond
	helloEach       = 6 * time.Millisecond
	// helloTimeout bounds such a call.
	helloTimeout = 200 * time.Millisecond
	// helloMisses is how many of them in a row make an entry give up the calls
	// under way to the leader. The first one makes it look at the log.
	helloMisses = 3
	// silenceAtLeast and silencePerRead make the time for which the log of a
	// shard must rest before a leader that does not answer is taken for gone: the
	// second counts how long the store takes for a read. A leader appends every
	// caleader.RenewPeriod.
	silenceAtLeast = 300 * time.Millisecond
	silencePerRead = 3
	// wakePause gathers calls that failed before the leader is looked at.
	wakePause = 10 * time.Millisecond
	// standingTimeout bounds the reading of the claim that stands.
	standingTimeout = time.Second
	// storeLate is how long the store may take to tell who leads before an entry whose
	// leader is silent is taken for cut off.
	storeLate = 150 * time.Millisecond
	// electionPause is the wait after an election that came to nothing.
	electionPause = 120 * time.Millisecond
	// electionJitter spreads the candidates.
	electionJitter = 40 * time.Millisecond
	// burdenPause holds a candidate back for each shard that it leads.
	burdenPause = 150 * time.Millisecond
	// weaknessPause holds a candidate back that has less than fullPower.
	weaknessPause = 200 * time.Millisecond
	// deferPause is the same where a stronger entry is known to be present.
	deferPause = 800 * time.Millisecond
	// fullPower is the processor share, in cores, that a leader should have.
	fullPower = 0.4
	// oldStoreAge is the age of the last append of a leader beyond which others
	// look whether they reach the store.
	oldStoreAge = 700 * time.Millisecond
)

// errNotLeading is the answer of an entry that was taken for the leader.
var errNotLeading = cakind.New(cakind.KindFenced, "the entry does not lead")

// doubt is how sure an entry is that the leader is gone.
type doubt int

const (
	doubtNone doubt = iota
	// doubtSome means that the leader does not answer.
	doubtSome
	// doubtProved means that its process is gone or says that it does not lead.
	doubtProved
)

// run keeps in touch with the leader, and elects one when there is none.
func (l *link) run(ctx context.Context) error {
	misses := 0
	for ctx.Err() == nil {
		d := l.check(ctx, &misses)
		if d != doubtNone && l.elect(ctx, d) {
			misses = 0
			continue
		}
		l.awaitWake(ctx, l.callAgain())
	}
	if leader, _, _ := l.target(); leader != nil {
		<-leader.Done()
	}
	return context.Cause(ctx)
}

// callAgain returns the time until the next call to the leader.
func (l *link) callAgain() time.Duration {
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	return max(l.belief.callAgain, helloPeriod)
}

// helloPeriodOf returns the time after which an entry is to call the leader again
// in a cell of so many entries. Strong ones call often, since they may be agents.
func helloPeriodOf(p *peerState, entries int) time.Duration {
	if p.isStrong() {
		return helloPeriod
	}
	return min(max(helloPeriod, time.Duration(entries)*helloEach), helloPeriodMost)
}

// check calls the leader and tells how sure it is that it is gone.
func (l *link) check(ctx context.Context, misses *int) doubt {
	leader, at, _ := l.target()
	switch {
	case leader != nil:
		*misses = 0
		l.yield(leader)
		return doubtNone
	case at.Address == "" || at.VM == l.gate.Self.VM:
		return doubtProved
	}
	err := l.hello(ctx, at.Address)
	switch {
	case err == nil:
		*misses = 0
		if l.storeAge() > oldStoreAge {
			return doubtSome
		}
		return doubtNone
	case errors.Is(err, errNotLeading), errors.Is(err, syscall.ECONNREFUSED):
		return doubtProved
	}
	*misses++
	if *misses >= helloMisses {
		l.noteSilent()
	}
	return doubtSome
}

// wake makes the entry call the leader at once, after a call to it failed.
func (l *link) wake() {
	select {
	case l.waking <- struct{}{}:
	default:
	}
}

// awaitWake waits for the time or until a call to the leader failed.
func (l *link) awaitWake(ctx context.Context, d time.Duration) {
	after := l.gate.Timer.After(d)
	defer after.Close()
	select {
	case <-ctx.Done():
		return
	case <-after.C:
		return
	case <-l.waking:
	}
	// Many calls fail at once, and one look at the leader serves them all.
	_ = l.gate.Timer.Pause(ctx, wakePause)
}

// storeAge returns the age of the leader's last append when it last answered.
func (l *link) storeAge() time.Duration {
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	return l.belief.storeAge
}

// hello calls an entry and takes up what it knows.
func (l *link) hello(ctx context.Context, address string) error {
	g := l.gate
	callCtx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	policy, layout := g.view()
	request := helloRequest{
		From: g.Self, PolicyVersion: policy.Version, Advises: g.Advisor != nil, Shard: l.shard, HasLayout: !layout.IsZero(),
		ReachesStore: g.reachesStore(),
	}
	reply, err := capeer.Call[helloRequest, helloReply](callCtx, g.Peers, address, callHello, request)
	if err != nil {
		return err
	}
	if reply.Policy != nil {
		g.applyOf(address, *reply.Policy)
	}
	if reply.Layout != nil {
		g.setLayout(*reply.Layout)
	}
	return l.heard(address, reply)
}

// heard takes up the answer of an entry about the leader.
func (l *link) heard(address string, reply helloReply) error {
	g := l.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range reply.Peers {
		g.meet(p).toldAt = g.Timer.Now()
	}
	l.believe(reply.Leader)
	if reply.Leading && reply.Leader.Token == l.belief.Token {
		l.setCutOff(false)
		l.belief.heardAt = g.Timer.Now()
		l.belief.storeAge = reply.StoreAge
		l.belief.callAgain = reply.CallAgain
		l.belief.silent = false
		return nil
	}
	if address == l.belief.Address {
		return errNotLeading
	}
	return nil
}

// elect finds the leader by the claim that stands in the store, or claims the
// shard when the leader is gone. It reports whether there is another leader now.
func (l *link) elect(ctx context.Context, d doubt) bool {
	g := l.gate
	g.mu.Lock()
	known, barred := l.belief.lead, g.draining || g.policy.IsZero()
	g.mu.Unlock()
	began := g.Timer.Now()
	found, err := l.standingInTime(ctx)
	if err != nil {
		return false
	}
	if l.adopt(found, known) {
		return true
	}
	if barred {
		return false
	}
	claim := found.Claim
	free := claim.Token == 0 || claim.Released || claim.VM == g.Self.VM || d == doubtProved
	if !free && !l.isSilent(ctx, found.End, silenceAtLeast+silencePerRead*g.Timer.Now().Sub(began)) {
		return l.adoptNext(ctx, known)
	}
	return l.claim(ctx, found.End, known)
}

// adopt follows the leader whose claim stands, if that is a later one than the known
// one. It reports whether there is another leader now.
func (l *link) adopt(found caleader.Standing, known lead) bool {
	g := l.gate
	g.setLayout(found.Layout)
	claim := found.Claim
	if claim.Token <= known.Token || claim.VM == g.Self.VM || claim.Released {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	l.believe(lead{VM: claim.VM, Address: claim.Address, Token: claim.Token})
	return true
}

// adoptNext looks who has just appended to the log: the known leader, which is not
// gone then, or the next one.
func (l *link) adoptNext(ctx context.Context, known lead) bool {
	found, err := l.standing(ctx)
	if err == nil && l.adopt(found, known) {
		return true
	}
	_ = l.gate.Timer.Pause(ctx, electionPause)
	return false
}

// isSilentLeader reports whether another entry leads, or none, and did not answer the
// last call.
func (l *link) isSilentLeader() bool {
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	return l.leader == nil && l.gate.Timer.Now().Sub(l.belief.heardAt) >= helloTimeout
}

// standingInTime is standing. When the store takes too long, a leader that is silent
// as well makes the entry count as cut off, until either answers.
func (l *link) standingInTime(ctx context.Context) (caleader.Standing, error) {
	type result struct {
		caleader.Standing
		err error
	}
	read := make(chan result, 1)
	go func() {
		s, err := l.standing(ctx)
		read <- result{s, err}
	}()
	late := l.gate.Timer.After(storeLate)
	defer late.Close()
	select {
	case r := <-read:
		l.noteCutOff(r.err != nil && l.isSilentLeader())
		return r.Standing, r.err
	case <-late.C:
	}
	l.noteCutOff(l.isSilentLeader())
	r := <-read
	if r.err == nil {
		l.noteCutOff(false)
	}
	return r.Standing, r.err
}

func (l *link) standing(ctx context.Context) (caleader.Standing, error) {
	ctx, cancel := context.WithTimeout(ctx, standingTimeout)
	defer cancel()
	return caleader.ReadStanding(ctx, l.gate.Store(l.shard))
}

// isSilent reports whether nobody appends behind the offset for the time.
func (l *link) isSilent(ctx context.Context, end int64, silence time.Duration) bool {
	began := l.gate.Timer.Now()
	callCtx, cancel := context.WithTimeout(ctx, silence+standingTimeout)
	defer cancel()
	_, now, err := l.gate.Store(l.shard).Read(callCtx, end, silence)
	if err != nil || now != end {
		return false
	}
	if rest := silence - l.gate.Timer.Now().Sub(began); rest > 0 {
		return l.gate.Timer.Pause(ctx, rest) == nil
	}
	return true
}

// candidacyPause returns how long this entry leaves the claim to others: those
// that lead nothing and have a strong processor go first.
func (l *link) candidacyPause() time.Duration {
	g := l.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	pause := time.Duration(g.leading()) * burdenPause
	if weakness := max(1-g.Self.Power/fullPower, 0); weakness > 0 {
		longest := weaknessPause
		if g.knowsStronger(l.belief.VM) {
			longest = deferPause
		}
		pause += time.Duration(weakness * float64(longest))
	}
	return pause + time.Duration(rand.Int63n(int64(electionJitter)))
}

// claim tries to become the leader.
func (l *link) claim(ctx context.Context, end int64, before lead) bool {
	g := l.gate
	if err := g.Timer.Pause(ctx, l.candidacyPause()); err != nil {
		return false
	}
	c := caleader.Claim{VM: g.Self.VM, Address: g.Self.Address, Nonce: g.Nonce + g.Timer.Now().UnixNano()}
	claimCtx, cancel := context.WithTimeout(ctx, 2*standingTimeout)
	defer cancel()
	token, next, err := caleader.Take(claimCtx, g.Store(l.shard), c, end, g.Timer.Pause)
	if err != nil {
		caevent.Info(g.Log, caevent.ShardViewChanged).Int("shard", l.shard).Int64("end", end).
			Str("leader_before", string(before.VM)).Err(err).Send()
		return l.adoptNext(ctx, before)
	}
	caevent.Info(g.Log, caevent.ShardTakenOver).Int("shard", l.shard).Int64("token", token).
		Str("leader_before", string(before.VM)).Int64("token_before", before.Token).Send()
	l.lead(ctx, c, token, next)
	return true
}

// lead runs the leader until it is deposed.
func (l *link) lead(ctx context.Context, c caleader.Claim, token, end int64) {
	g := l.gate
	relay := carelay.New(carelay.Deps{
		Leader: g.Self.VM, Token: token, From: g.RelayFrom, Log: g.Log.With().Int("shard", l.shard).Logger(), Timer: g.Timer,
		Peers: g.Peers, Upstreams: g.Upstreams, Registry: g.Registry, Candidates: g.candidates,
	})
	leader := caleader.New(caleader.Deps{
		Shard: l.shard, MostShards: g.MostShards, View: g.view, Divide: g.setLayout,
		Log: g.Log.With().Int("shard", l.shard).Logger(), Scope: g.Scope, Timer: g.Timer, Wall: g.Wall,
		Store: g.Store(l.shard), Upstreams: relay, Registry: relay, Advisers: l, Seed: token,
	}, c, token, end)
	g.mu.Lock()
	l.believe(lead{VM: g.Self.VM, Address: g.Self.Address, Token: token})
	l.leader = leader
	l.ledSince = g.Timer.Now()
	g.tellLeading()
	g.mu.Unlock()
	go func() {
		relayCtx, cancel := context.WithCancel(ctx)
		go relay.Run(relayCtx)
		err := leader.Run(ctx)
		cancel()
		<-relay.Done()
		caevent.Warn(g.Log, caevent.ShardDeposed).Int("shard", l.shard).Int64("token", token).Err(err).Send()
		g.mu.Lock()
		defer g.mu.Unlock()
		l.leader = nil
		g.tellLeading()
		if l.belief.Token == token {
			l.belief.Address = ""
			l.belief.heardAt = time.Time{}
		}
	}()
}
