package carelay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// upstreamsPerAgent is how many upstreams one agent looks after.
const upstreamsPerAgent = 45

// Candidate is an entry that may become an agent.
type Candidate struct {
	VM      cawork.VMID
	Zone    cawork.ZoneName
	Address string
	// Power is the processor share of its VM, in cores.
	Power float64
}

// roster holds the agents of each zone.
type roster struct {
	zones map[cawork.ZoneName][]Candidate
	all   []Candidate
}

// newRoster chooses agents: in each zone with upstreams as many of the
// strongest entries as it needs.
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

// agentOf returns the agent of an upstream, one of its zone if there is any.
func (r roster) agentOf(id cawork.UpstreamID, zone cawork.ZoneName) (Candidate, bool) {
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
