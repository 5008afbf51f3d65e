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
	"celeryarch.example/celeryarch/internal/node/capeer"
)

const (
	// helloPeriod is the time between two calls of an entry to the leader.
	helloPeriod = 250 * time.Millisecond
	// helloTimeout bounds such a call.
	helloTimeout = 350 * time.Millisecond
	// helloMisses is how many of them in a row make an entry doubt the leader.
	helloMisses = 2
	// silenceAtLeast and silencePerRead make the time for which the log of the
	// cell must rest before a leader that does not answer is taken for gone: the
	// second counts how long the store takes for a read. A leader appends every
	// caleader.RenewPeriod.
	silenceAtLeast = 500 * time.Millisecond
	silencePerRead = 3
	// wakePause gathers calls that failed before the leader is looked at.
	wakePause = 10 * time.Millisecond
	// standingTimeout bounds the reading of the claim that stands.
	standingTimeout = time.Second
	// electionPause is the wait after an election that came to nothing.
	electionPause = 120 * time.Millisecond
	// electionJitter spreads the candidates.
	electionJitter = 40 * time.Millisecond
	// oldStoreAge is the age of the last append of a leader beyond which others
	// look whether they reach the store.
	oldStoreAge = 1200 * time.Millisecond

	// readyHeardAge and readyStoreAge bound how old the last answer of the
	// leader and its last append may be while an entry is ready.
	readyHeardAge = 1200 * time.Millisecond
	readyStoreAge = 1500 * time.Millisecond
	// peerAge is how long an entry counts as present after it was seen.
	peerAge = 1500 * time.Millisecond
	// askPeersPeriod is the time between two calls to other entries while the
	// store or the leader is away.
	askPeersPeriod = 300 * time.Millisecond
	// askedPeers is how many entries each such round calls.
	askedPeers = 3
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

// followLoop keeps in touch with the leader, and elects one when there is none.
func (g *Gate) followLoop(ctx context.Context) error {
	misses := 0
	for ctx.Err() == nil {
		d := g.checkLeader(ctx, &misses)
		if d != doubtNone && g.elect(ctx, d) {
			misses = 0
			continue
		}
		g.awaitWake(ctx, helloPeriod)
	}
	return context.Cause(ctx)
}

// checkLeader calls the leader and tells how sure it is that it is gone.
func (g *Gate) checkLeader(ctx context.Context, misses *int) doubt {
	l, at, ok := g.target()
	switch {
	case l != nil:
		*misses = 0
		return doubtNone
	case !ok:
		return doubtProved
	}
	err := g.hello(ctx, at.Address)
	switch {
	case err == nil:
		*misses = 0
		if g.storeAge() > oldStoreAge {
			return doubtSome
		}
		return doubtNone
	case errors.Is(err, errNotLeading), errors.Is(err, syscall.ECONNREFUSED):
		return doubtProved
	}
	*misses++
	if *misses >= helloMisses {
		return doubtSome
	}
	return doubtNone
}

// wake makes the entry call the leader at once, after a call to it failed.
func (g *Gate) wake() {
	select {
	case g.waking <- struct{}{}:
	default:
	}
}

// awaitWake waits for the time or until a call to the leader failed.
func (g *Gate) awaitWake(ctx context.Context, d time.Duration) {
	after := g.Timer.After(d)
	defer after.Close()
	select {
	case <-ctx.Done():
		return
	case <-after.C:
		return
	case <-g.waking:
	}
	// Many calls fail at once, and one look at the leader serves them all.
	_ = g.pause(ctx, wakePause)
}

// storeAge returns the age of the leader's last append when it last answered.
func (g *Gate) storeAge() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.belief.storeAge
}

func (g *Gate) pause(ctx context.Context, d time.Duration) error {
	after := g.Timer.After(d)
	defer after.Close()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-after.C:
		return nil
	}
}

// hello calls an entry and takes up what it knows.
func (g *Gate) hello(ctx context.Context, address string) error {
	callCtx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	g.mu.Lock()
	request := helloRequest{From: g.Self, PolicyVersion: g.policy.Version, Advises: g.Advisor != nil, WallMS: g.Wall()}
	g.mu.Unlock()
	reply, err := capeer.Call[helloRequest, helloReply](callCtx, g.Peers, address, callHello, request)
	if err != nil {
		return err
	}
	if reply.Policy != nil {
		g.apply(*reply.Policy, "peer "+address)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range reply.Peers {
		g.meet(p)
	}
	if reply.Leading || reply.Leader.Token > g.belief.Token {
		g.believe(reply.Leader)
	}
	if reply.Leading && reply.Leader.Token == g.belief.Token {
		g.belief.heardAt = g.Timer.Now()
		g.belief.storeAge = reply.StoreAge
		return nil
	}
	if address == g.belief.Address {
		return errNotLeading
	}
	return nil
}

// meet notes another entry. The lock is held.
func (g *Gate) meet(p Peer) *peerState {
	if p.VM == g.Self.VM {
		return &peerState{Peer: p}
	}
	known, ok := g.peers[p.VM]
	if !ok {
		known = &peerState{}
		g.peers[p.VM] = known
	}
	known.Peer = p
	return known
}

// believe takes an entry for the leader unless a later claim is known. The lock
// is held.
func (g *Gate) believe(l lead) {
	if l.Token <= g.belief.Token {
		return
	}
	caevent.Info(g.Log, caevent.MemberChanged).Str("leader", string(l.VM)).Int64("token", l.Token).
		Str("before", string(g.belief.VM)).Int64("token_before", g.belief.Token).Send()
	close(g.belief.lost)
	g.belief = belief{lead: l, lost: make(chan struct{}), heardAt: g.Timer.Now()}
	close(g.changed)
	g.changed = make(chan struct{})
}

// elect finds the leader by the claim that stands in the store, or claims the
// cell when the leader is gone. It reports whether there is another leader now.
func (g *Gate) elect(ctx context.Context, d doubt) bool {
	g.mu.Lock()
	known, barred := g.belief.lead, g.draining || g.policy.IsZero()
	g.mu.Unlock()
	began := g.Timer.Now()
	claim, end, err := g.standing(ctx)
	if err != nil {
		return false
	}
	if claim.Token > known.Token && claim.VM != g.Self.VM && !claim.Released {
		g.mu.Lock()
		g.believe(lead{VM: claim.VM, Address: claim.Address, Token: claim.Token})
		g.mu.Unlock()
		return true
	}
	if barred {
		return false
	}
	free := claim.Token == 0 || claim.Released || claim.VM == g.Self.VM || d == doubtProved
	if !free && !g.isSilent(ctx, end, silenceAtLeast+silencePerRead*g.Timer.Now().Sub(began)) {
		_ = g.pause(ctx, electionPause)
		return false
	}
	return g.claim(ctx, end, known)
}

func (g *Gate) standing(ctx context.Context) (caleader.Claim, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, standingTimeout)
	defer cancel()
	return caleader.Standing(ctx, g.Store)
}

// isSilent reports whether nobody appends behind the offset for the time.
func (g *Gate) isSilent(ctx context.Context, end int64, silence time.Duration) bool {
	began := g.Timer.Now()
	callCtx, cancel := context.WithTimeout(ctx, silence+standingTimeout)
	defer cancel()
	_, now, err := g.Store.Read(callCtx, end, silence)
	if err != nil || now != end {
		return false
	}
	if rest := silence - g.Timer.Now().Sub(began); rest > 0 {
		return g.pause(ctx, rest) == nil
	}
	return true
}

// claim tries to become the leader.
func (g *Gate) claim(ctx context.Context, end int64, before lead) bool {
	if err := g.pause(ctx, time.Duration(rand.Int63n(int64(electionJitter)))); err != nil {
		return false
	}
	c := caleader.Claim{VM: g.Self.VM, Address: g.Self.Address, Nonce: g.Nonce + g.Timer.Now().UnixNano()}
	claimCtx, cancel := context.WithTimeout(ctx, 2*standingTimeout)
	defer cancel()
	token, next, err := caleader.Take(claimCtx, g.Store, c, end, g.pause)
	if err != nil {
		caevent.Info(g.Log, caevent.ShardViewChanged).Int64("end", end).Str("leader_before", string(before.VM)).Err(err).Send()
		return false
	}
	caevent.Info(g.Log, caevent.ShardTakenOver).Int64("token", token).Str("leader_before", string(before.VM)).
		Int64("token_before", before.Token).Send()
	g.lead(ctx, c, token, next)
	return true
}

// lead runs the leader until it is deposed.
func (g *Gate) lead(ctx context.Context, c caleader.Claim, token, end int64) {
	l := caleader.New(caleader.Deps{
		Log: g.Log, Scope: g.Scope, Timer: g.Timer, Wall: g.Wall, Store: g.Store, Upstreams: g.Upstreams,
		Registry: g.Registry, Advisers: g, Seed: token,
	}, c, token, end)
	g.mu.Lock()
	g.believe(lead{VM: g.Self.VM, Address: g.Self.Address, Token: token})
	g.leader = l
	policy := g.policy
	g.mu.Unlock()
	g.leading.Go(func() {
		err := l.Run(ctx, policy)
		caevent.Warn(g.Log, caevent.ShardDeposed).Int64("token", token).Err(err).Send()
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.leader == l {
			g.leader = nil
			g.belief.Address = ""
			g.belief.heardAt = time.Time{}
		}
	})
}

// askPeersLoop calls other entries while the store or the leader is away, to
// learn of a newer policy or leader.
func (g *Gate) askPeersLoop(ctx context.Context) error {
	for {
		if err := g.pause(ctx, askPeersPeriod); err != nil {
			return err
		}
		for _, address := range g.peersToAsk() {
			// A peer that does not answer is met again in a later round.
			_ = g.hello(ctx, address)
		}
	}
}

// peersToAsk returns some other entries, or none while all is well.
func (g *Gate) peersToAsk() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	heard := g.leader != nil || g.belief.Address != "" && g.Timer.Now().Sub(g.belief.heardAt) < readyHeardAge
	if heard && g.feedLost.IsZero() {
		return nil
	}
	var addresses []string
	for _, p := range g.peers {
		addresses = append(addresses, p.Address)
	}
	for _, seed := range g.Seeds {
		if seed != g.Self.Address {
			addresses = append(addresses, seed)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(askedPeers, len(addresses))]
}
