package caroster

import (
	"time"
)

// What the leader of a full shard needs under load. Entries that have all of it are called strong.
const (
	// StrongCPUShare is the CPU share, in cores.
	StrongCPUShare = 0.4
	// strongLinkMbps is the bandwidth of the link, in Mbit/s: the leader sends the records of all jobs
	// to the store, and the orders for all upstreams to its agents.
	strongLinkMbps = 60.0
	// strongMemoryMB is the memory, in MB.
	strongMemoryMB = 160.0
)

const (
	// minSuccessorRatio is the ratio of the fitness of a successor that is not strong to that of the
	// leader: a handover costs more than a small gain.
	minSuccessorRatio = 1.5
	// restartSpread is how much older than the others an entry is that a rolling restart has yet to
	// reach, and restartMaxAge how long ago the others began at most.
	restartSpread = 5 * time.Second
	restartMaxAge = 20 * time.Second
)

// Fitness returns the fraction of what a leader needs that the entry has, by the resource of which it
// has the least, at most 1.
func (p Peer) Fitness() float64 {
	fitness := p.cpuFitness()
	if p.LinkMbps > 0 {
		fitness = min(fitness, p.LinkMbps/strongLinkMbps)
	}
	if p.MemoryMB > 0 {
		fitness = min(fitness, p.MemoryMB/strongMemoryMB)
	}
	return fitness
}

func (p Peer) cpuFitness() float64 { return min(p.CPUShare/StrongCPUShare, 1) }

// IsStrong reports whether the entry has all that a leader should have.
func (p Peer) IsStrong() bool { return p.Fitness() >= 1 }

// HasNarrowLink reports whether the link of the entry is known to be too narrow for the leader of a full
// shard.
func (p Peer) HasNarrowLink() bool { return p.LinkMbps > 0 && p.LinkMbps < strongLinkMbps }

// isFitterThan reports whether a leader should hand its shard over to the peer.
func (p Peer) isFitterThan(leader Peer) bool {
	return p.IsStrong() || p.Fitness() >= minSuccessorRatio*leader.Fitness()
}

// Successor returns the fittest peer that reaches the store, has been present long enough to take over
// a shard of the leader and is clearly fitter, and the time since its last call. It reports whether there
// is one.
func (r *Roster) Successor(now time.Time, leader Peer) (successor Peer, sinceCall time.Duration, ok bool) {
	for _, p := range r.peers {
		present := p.hasCalled(now, agentMaxAge) && now.Sub(p.presentSince) >= successorMinPresence
		if !present || p.stopping || !p.reachesStore || !p.isFitterThan(leader) || ok && p.Fitness() <= successor.Fitness() {
			continue
		}
		successor, sinceCall, ok = p.Peer, now.Sub(p.lastCallAt), true
	}
	return successor, sinceCall, ok
}

// SpareLeader returns a peer that leads no shard, is as fit as the leader of several, reaches the store and has
// been present long enough to take over a shard. It reports whether there is one.
func (r *Roster) SpareLeader(now time.Time, leader Peer) (spare Peer, sinceCall time.Duration, ok bool) {
	for _, p := range r.peers {
		present := p.hasCalled(now, agentMaxAge) && now.Sub(p.presentSince) >= successorMinPresence
		if present && !p.stopping && p.reachesStore && p.leading == 0 && p.Fitness() >= leader.Fitness() {
			return p.Peer, now.Sub(p.lastCallAt), true
		}
	}
	return Peer{}, 0, false
}

// BestFitness returns the fitness of the fittest entry that is present, this one included.
func (r *Roster) BestFitness(now time.Time, self Peer) float64 {
	best := self.Fitness()
	for _, p := range r.peers {
		if p.wasPresent(now.Add(-strongPeerMaxAge)) {
			best = max(best, p.Fitness())
		}
	}
	return best
}

// AwaitsRestart reports whether a rolling restart seems to be on its way that has yet to reach the entry:
// other strong entries have restarted lately, and it began long before them.
func (r *Roster) AwaitsRestart(now time.Time, wallNS int64, self Peer) bool {
	for _, p := range r.peers {
		isLater := p.Process-self.Process > int64(restartSpread)
		isRecent := wallNS-p.Process < int64(restartMaxAge)
		if p.IsStrong() && isLater && isRecent && p.wasPresent(now.Add(-strongPeerMaxAge)) {
			return true
		}
	}
	return false
}
