package cagate

import (
	"context"
	"math/rand"
	"time"

	"celeryarch.example/celeryarch/internal/cell/carelay"
)

const (
	// peerPollInterval is the time between two rounds of calls to other entries while the
	// store or a leader is unreachable.
	peerPollInterval = 300 * time.Millisecond
	// peersPerPoll is the number of entries that each round calls.
	peersPerPoll = 3
)

// agentCandidates returns the entries that may become agents of a leader on this entry.
func (g *Gate) agentCandidates() []carelay.Candidate {
	g.mu.Lock()
	defer g.mu.Unlock()
	peers := g.roster.AgentCandidates(g.Timer.Now())
	list := make([]carelay.Candidate, 0, len(peers))
	for _, p := range peers {
		list = append(list, carelay.Candidate{VM: p.VM, Zone: p.Zone, Address: p.Address, Power: p.CPUShare})
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
				_ = l.helloPeer(ctx, address)
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
	addresses := g.roster.Addresses()
	for _, seed := range g.Seeds {
		if seed != g.Self.Address {
			addresses = append(addresses, seed)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return links, addresses[:min(peersPerPoll, len(addresses))]
}
