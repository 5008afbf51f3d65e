package cafollow

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

const (
	// peerVersionTTL is how long the last report of a peer remains valid.
	peerVersionTTL = 30 * time.Second
	// fetchesPerPeriod limits the fetches between two polls.
	fetchesPerPeriod = 3
)

// peerTable holds the last known version of each peer and picks the peer to
// fetch from.
type peerTable struct {
	peers map[cawork.VMID]trackedPeer
	// fetchCount is the number of fetches so far.
	fetchCount int
	// fetchBudget is the number of fetches allowed until the next poll.
	fetchBudget int
}

// trackedPeer is the last report of a peer. lastFetch is the value of
// fetchCount at the last fetch from it, or 0 if there was none.
type trackedPeer struct {
	Offer
	observedAt time.Time
	lastFetch  int
}

func newPeerTable() peerTable {
	return peerTable{peers: map[cawork.VMID]trackedPeer{}, fetchBudget: fetchesPerPeriod}
}

func (t *peerTable) observe(o Offer, now time.Time) {
	p := t.peers[o.VM]
	p.Offer, p.observedAt = o, now
	t.peers[o.VM] = p
}

// startPeriod removes peers whose last report has expired and resets the fetch
// budget.
func (t *peerTable) startPeriod(now time.Time) {
	t.fetchBudget = fetchesPerPeriod
	for vm, p := range t.peers {
		if now.Sub(p.observedAt) > peerVersionTTL {
			delete(t.peers, vm)
		}
	}
}

// pick chooses the peer to fetch from among those with at least minVersion, and
// takes one fetch from the budget. It chooses the least recently used one, so
// that a failing peer does not block fetches from the others.
func (t *peerTable) pick(minVersion Version) (Offer, bool) {
	var best trackedPeer
	for _, p := range t.peers {
		if p.Version >= minVersion && (best.VM == "" || p.preferredOver(best)) {
			best = p
		}
	}
	if best.VM == "" || t.fetchBudget == 0 {
		return Offer{}, false
	}
	t.fetchBudget--
	t.fetchCount++
	best.lastFetch = t.fetchCount
	t.peers[best.VM] = best
	return best.Offer, true
}

func (p trackedPeer) preferredOver(other trackedPeer) bool {
	switch {
	case p.lastFetch != other.lastFetch:
		return p.lastFetch < other.lastFetch
	case p.Version != other.Version:
		return p.Version > other.Version
	default:
		return p.VM < other.VM
	}
}
