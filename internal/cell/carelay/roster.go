package carelay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// upstreamsPerAgent is the number of upstreams for which one agent is selected.
const upstreamsPerAgent = 45

// Candidate is an entry that can be an agent.
type Candidate struct {
	VM      cawork.VMID
	Zone    cawork.ZoneName
	Address string
	// Power is the CPU share of its VM, in cores.
	Power float64
}

// roster holds the agents of each zone.
type roster struct {
	zones map[cawork.ZoneName][]Candidate
	all   []Candidate
}

// newRoster selects the agents: for each zone, as many of its entries with the
// most power as its upstreams need.
func newRoster(candidates []Candidate, upstreams map[cawork.ZoneName]int) roster {
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(x, y Candidate) int {
		return cmp.Or(cmp.Compare(y.Power, x.Power), cmp.Compare(x.VM, y.VM))
	})
	r := roster{zones: make(map[cawork.ZoneName][]Candidate)}
	for _, c := range sorted {
		wanted := (upstreams[c.Zone] + upstreamsPerAgent - 1) / upstreamsPerAgent
		if len(r.zones[c.Zone]) < wanted {
			r.zones[c.Zone] = append(r.zones[c.Zone], c)
			r.all = append(r.all, c)
		}
	}
	return r
}

// agentFor returns the agent for an upstream by rendezvous hashing, from the
// agents of its zone if there are any.
func (r roster) agentFor(id cawork.UpstreamID, zone cawork.ZoneName) (Candidate, bool) {
	agents := r.zones[zone]
	if len(agents) == 0 {
		agents = r.all
	}
	var best Candidate
	var bestRank uint64
	for _, agent := range agents {
		if rank := xxhash.Sum64String(string(id) + "/" + string(agent.VM)); best.VM == "" || rank > bestRank {
			best, bestRank = agent, rank
		}
	}
	return best, best.VM != ""
}
