package cagate

import (
	"context"
	"math/rand"
	"time"

	"celeryarch.example/celeryarch/internal/cell/carelay"
)

const (
	// peerAge is how long an entry counts as present after it was seen.
	peerAge = 1500 * time.Millisecond
	// agentAge is the same for an entry that carries orders of a leader.
	agentAge = 700 * time.Millisecond
	// askPeersPeriod is the time between two calls to other entries while the
	// store or a leader is away.
	askPeersPeriod = 300 * time.Millisecond
	// askedPeers is how many entries each such round calls.
	askedPeers = 3
)

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

// candidates returns the entries that may be agents of a leader here.
func (g *Gate) candidates() []carelay.Candidate {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]carelay.Candidate, 0, len(g.peers))
	for vm, p := range g.peers {
		if g.Timer.Now().Sub(p.seenAt) < agentAge {
			list = append(list, carelay.Candidate{VM: vm, Zone: p.Zone, Address: p.Address, Power: p.Power})
		}
	}
	return list
}

// askPeersLoop calls other entries while the store or a leader is away, to
// learn of a newer policy or leader.
func (g *Gate) askPeersLoop(ctx context.Context) error {
	for {
		if err := g.Timer.Pause(ctx, askPeersPeriod); err != nil {
			return err
		}
		links, addresses := g.peersToAsk()
		for _, l := range links {
			for _, address := range addresses {
				// A peer that does not answer is met again in a later round.
				_ = l.hello(ctx, address)
			}
		}
	}
}

// peersToAsk returns the links that need news and some other entries, or none
// while all is well.
func (g *Gate) peersToAsk() ([]*link, []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var links []*link
	for _, l := range g.links {
		if !l.isHeard() {
			links = append(links, l)
		}
	}
	if len(links) == 0 && !g.feedLost.IsZero() {
		links = g.links[:1]
	}
	if len(links) == 0 {
		return nil, nil
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
	return links, addresses[:min(askedPeers, len(addresses))]
}
