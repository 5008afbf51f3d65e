package cagate

import (
	"context"
	"math/rand"
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
	// silence is how long the log of the cell must rest before a leader that
	// does not answer is taken for gone. A leader appends every
	// caleader.RenewPeriod.
	silence = 800 * time.Millisecond
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

// followLoop keeps in touch with the leader, and elects one when there is none.
func (g *Gate) followLoop(ctx context.Context) error {
	misses := 0
	for ctx.Err() == nil {
		l, at, ok := g.target()
		switch {
		case l != nil:
			misses = 0
		case !ok || misses >= helloMisses || g.storeAge(at) > oldStoreAge:
			if g.elect(ctx, misses) {
				misses = 0
			}
		}
		if l, at, ok = g.target(); l == nil && ok {
			if err := g.hello(ctx, at.Address); err == nil {
				misses = 0
			} else if capeer.IsUnreachable(err) || cakind.Of(err) == cakind.KindUnavailable {
				misses = helloMisses
			} else {
				misses++
			}
		}
		if err := g.pause(ctx, helloPeriod); err != nil {
			break
		}
	}
	return context.Cause(ctx)
}

func (g *Gate) storeAge(at belief) time.Duration {
	if at.heardAt.IsZero() {
		return 0
	}
	return at.storeAge
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
		return cakind.New(cakind.KindUnavailable, "entry at %s does not lead", address)
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
func (g *Gate) elect(ctx context.Context, misses int) bool {
	g.mu.Lock()
	known, draining := g.belief.lead, g.draining || g.policy.IsZero()
	storeAge := g.belief.storeAge
	g.mu.Unlock()
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
	if draining || misses < helloMisses && storeAge <= oldStoreAge && claim.Token != 0 && !claim.Released && claim.VM != g.Self.VM {
		return false
	}
	own := claim.VM == g.Self.VM
	if claim.Token != 0 && !claim.Released && !own && !g.isSilent(ctx, end) {
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

// isSilent reports whether nobody appends behind the offset for a while.
func (g *Gate) isSilent(ctx context.Context, end int64) bool {
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
