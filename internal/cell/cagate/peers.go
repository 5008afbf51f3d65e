package cagate

import (
	"context"
	"math/rand"
	"time"

	"celeryarch.example/celeryarch/internal/cell/carelay"
)

const (
	// peerMaxAge is how long a peer counts as present after its last hello call.
	peerMaxAge = 1500 * time.Millisecond
	// agentMaxAge is the shorter limit for a peer that is to become an agent or a leader.
	agentMaxAge = 700 * time.Millisecond
	// peerPollInterval is the time between two rounds of calls to other entries while the
	// store or a leader is unreachable.
	peerPollInterval = 300 * time.Millisecond
	// peersPerPoll is the number of entries that each round calls.
	peersPerPoll = 3
)

// recordPeer adds or updates another entry and returns its state. For this entry itself it
// returns a state that is not stored. The caller must hold g.mu.
func (g *Gate) recordPeer(p Peer) *peerState {
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

// agentCandidates returns the entries that may become agents of a leader on this entry.
func (g *Gate) agentCandidates() []carelay.Candidate {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]carelay.Candidate, 0, len(g.peers))
	for vm, p := range g.peers {
		if g.Timer.Now().Sub(p.lastCallAt) < agentMaxAge {
			list = append(list, carelay.Candidate{VM: vm, Zone: p.Zone, Address: p.Address, Power: p.CPUShare})
		}
	}
	return list
}

// pollPeers calls other entries while the store or a leader is unreachable, to learn about
// a newer policy or leader.
func (g *Gate) pollPeers(ctx context.Context) error {
	for {
		if err := g.Timer.Pause(ctx, peerPollInterval); err != nil {
			return err
		}
		links, addresses := g.pollTargets()
		for _, l := range links {
			for _, address := range addresses {
				// A peer that does not answer may be called again in a later round.
				_ = l.hello(ctx, address)
			}
		}
	}
}

// pollTargets returns the links without an available leader, or the first link if only the
// store is unreachable, and the addresses of some other entries to call. It returns nothing
// while all leaders and the store are reachable.
func (g *Gate) pollTargets() ([]*link, []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var links []*link
	for _, l := range g.links {
		if !l.isAvailable() {
			links = append(links, l)
		}
	}
	if len(links) == 0 && !g.feedLostAt.IsZero() {
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
	return links, addresses[:min(peersPerPoll, len(addresses))]
}
