// Package caroster records which entries of a cell are present, by their calls to this entry
// and by what third entries report, and selects them as leaders and agents.
package caroster

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

const (
	// peerMaxAge is how long a peer counts as present after its last hello call.
	peerMaxAge = 1500 * time.Millisecond
	// agentMaxAge is the shorter limit for a peer that is to become an agent or a leader.
	agentMaxAge = 700 * time.Millisecond
	// strongPeerMaxAge is how long a strong entry counts as present after it called or
	// after another entry listed it.
	strongPeerMaxAge = 3 * time.Second
	// successorMinPresence is how long a strong entry must be present before a shard is
	// handed over to it. By then the other entries know about it and delay their own claims.
	successorMinPresence = 800 * time.Millisecond
)

// Peer identifies an entry to other entries.
type Peer struct {
	VM      cawork.VMID     `cbor:"1,keyasint"`
	Zone    cawork.ZoneName `cbor:"2,keyasint,omitempty"`
	Address string          `cbor:"3,keyasint"`
	// CPUShare is the CPU share of the VM, in cores. Entries with a larger share are preferred
	// as agents of leaders.
	CPUShare float64 `cbor:"4,keyasint,omitempty"`
	// LinkMbps is the bandwidth of the VM's link, in Mbit/s, and MemoryMB its memory, in MB. Zero
	// means that it is not known.
	LinkMbps float64 `cbor:"5,keyasint,omitempty"`
	MemoryMB float64 `cbor:"6,keyasint,omitempty"`
	// Process identifies the process: the time of day when it began, in Unix nanoseconds.
	Process int64 `cbor:"7,keyasint,omitempty"`
}

// Hello is what a peer states about itself in a hello call.
type Hello struct {
	From Peer
	// HasAdvisor reports whether the peer can query an advisor.
	HasAdvisor bool
	// ReachesStore reports whether the peer can read the store.
	ReachesStore bool
	// Stopping reports whether the peer is about to stop.
	Stopping bool
	// Leading is the number of shards that the peer leads or is about to lead.
	Leading int
}

// peerState is what this entry knows about another one.
type peerState struct {
	Peer
	// lastCallAt is the time of the peer's last hello call to this entry.
	lastCallAt time.Time
	// presentSince is the start of the current series of calls without a gap longer than
	// peerMaxAge.
	presentSince time.Time
	// reportedAt is when another entry last listed this peer as present.
	reportedAt   time.Time
	hasAdvisor   bool
	reachesStore bool
	stopping     bool
	leading      int
}

// hasCalled reports whether the peer has called within the time before now.
func (p *peerState) hasCalled(now time.Time, within time.Duration) bool {
	return now.Sub(p.lastCallAt) < within
}

// Roster holds the other entries of a cell. It is not safe for concurrent use.
type Roster struct {
	self  cawork.VMID
	peers map[cawork.VMID]*peerState
}

// New returns an empty roster of the entry, which is never recorded itself.
func New(self cawork.VMID) *Roster {
	return &Roster{self: self, peers: make(map[cawork.VMID]*peerState)}
}

// record adds or updates another entry and returns its state. For this entry itself it
// returns a state that is not stored.
func (r *Roster) record(p Peer) *peerState {
	if p.VM == r.self {
		return &peerState{Peer: p}
	}
	known, ok := r.peers[p.VM]
	if !ok {
		known = &peerState{}
		r.peers[p.VM] = known
	}
	known.Peer = p
	return known
}

// RecordReport records that another entry has listed the peer as present.
func (r *Roster) RecordReport(now time.Time, p Peer) { r.record(p).reportedAt = now }

// RecordCall records a hello call of a peer.
func (r *Roster) RecordCall(now time.Time, h Hello) {
	p := r.record(h.From)
	if now.Sub(p.lastCallAt) > peerMaxAge {
		p.presentSince = now
	}
	p.lastCallAt = now
	p.hasAdvisor = h.HasAdvisor
	p.reachesStore = h.ReachesStore
	p.stopping = h.Stopping
	p.leading = h.Leading
}

// Len returns the number of the other entries.
func (r *Roster) Len() int { return len(r.peers) }

// Address returns the address of a peer, empty if it is unknown.
func (r *Roster) Address(vm cawork.VMID) string {
	if p, ok := r.peers[vm]; ok {
		return p.Address
	}
	return ""
}

// Addresses returns the addresses of all peers.
func (r *Roster) Addresses() []string {
	addresses := make([]string, 0, len(r.peers))
	for _, p := range r.peers {
		addresses = append(addresses, p.Address)
	}
	return addresses
}

// Present returns the peers that called recently.
func (r *Roster) Present(now time.Time) []Peer {
	return r.list(func(p *peerState) bool { return p.hasCalled(now, peerMaxAge) })
}

// Advisors returns the peers that called recently and can query an advisor.
func (r *Roster) Advisors(now time.Time) []Peer {
	return r.list(func(p *peerState) bool { return p.hasAdvisor && p.hasCalled(now, peerMaxAge) })
}

// AgentCandidates returns the peers that may become agents of a leader on this entry.
func (r *Roster) AgentCandidates(now time.Time) []Peer {
	return r.list(func(p *peerState) bool { return !p.stopping && p.hasCalled(now, agentMaxAge) })
}

func (r *Roster) list(selects func(*peerState) bool) []Peer {
	var list []Peer
	for _, p := range r.peers {
		if selects(p) {
			list = append(list, p.Peer)
		}
	}
	return list
}

// HasOtherStrong reports whether a strong peer other than the given one was present recently.
func (r *Roster) HasOtherStrong(now time.Time, except cawork.VMID) bool {
	since := now.Add(-strongPeerMaxAge)
	for _, p := range r.peers {
		if p.IsStrong() && p.VM != except && p.wasPresent(since) {
			return true
		}
	}
	return false
}

// wasPresent reports whether the peer called, or another entry listed it, after the time, and is not
// about to stop.
func (p *peerState) wasPresent(since time.Time) bool {
	return !p.stopping && (p.reportedAt.After(since) || p.lastCallAt.After(since))
}

// AnyReachesStore reports whether a peer that may become a leader reaches the store.
func (r *Roster) AnyReachesStore(now time.Time) bool {
	for _, p := range r.peers {
		if p.reachesStore && p.hasCalled(now, agentMaxAge) {
			return true
		}
	}
	return false
}
