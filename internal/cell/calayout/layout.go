// Package calayout divides a cell into shards. Each shard has one leader, one log, and its
// own upstreams and teams. The leader of the first shard decides the layout once and stores
// it. Every entry computes from the layout which shards a key, a team, a job or an upstream
// belongs to. What changes later is which keys the layout knows: it gets a new edition then.
package calayout

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

const (
	// upstreamsPerShard is the number of upstreams that one leader manages that has all that it
	// needs, and minUpstreamsPerShard the smallest number for which a shard is worth a leader.
	upstreamsPerShard    = 1000
	minUpstreamsPerShard = 50
	// spreadThreshold is the share of the work, as a multiple of an even share per shard,
	// above which a team is spread over several shards. Each of them enforces only a part
	// of the team's upper limit, which may delay a gang of many tasks.
	spreadThreshold = 1.5
	// minShardWeight gives a shard without teams some upstreams.
	minShardWeight = 0.02
)

// Layout assigns teams, jobs and upstreams to the shards of a cell. The zero value means
// that no layout has been decided yet.
type Layout struct {
	// Shards is the number of shards, numbered from 0.
	Shards int `cbor:"1,keyasint,omitempty"`
	// Teams lists the shards of each team that existed when the layout was decided.
	Teams map[cawork.TeamName][]int `cbor:"2,keyasint,omitempty"`
	// Weights are the fractions of the work by shard.
	Weights []float64 `cbor:"3,keyasint,omitempty"`
	// Keys are the keys of teams. Builds that do not know them keep them in the record of the layout.
	Keys map[caspec.KeyID]Tenure `cbor:"4,keyasint,omitempty"`
	// Edition numbers what the layout knows of keys and teams. It grows with each change.
	Edition int64 `cbor:"5,keyasint,omitempty"`
}

// Compute divides a cell with the given number of upstreams into at most maxShards shards. The entries
// that will lead them have the fraction fitness of what the leader of a full shard needs: the less they
// have, the smaller is each shard.
func Compute(upstreams, maxShards int, fitness float64, teams []caspec.Team) Layout {
	perShard := max(int(upstreamsPerShard*min(fitness, 1)), minUpstreamsPerShard)
	n := min(max((upstreams+perShard-1)/perShard, 1), maxShards)
	l := Layout{Shards: n, Teams: make(map[cawork.TeamName][]int, len(teams)), Weights: make([]float64, n)}
	sorted := slices.Clone(teams)
	slices.SortFunc(sorted, func(x, y caspec.Team) int {
		return cmp.Or(cmp.Compare(y.Weight, x.Weight), cmp.Compare(x.Name, y.Name))
	})
	total := 0.0
	for _, t := range sorted {
		total += max(t.Weight, 0)
	}
	if total <= 0 {
		total = 1
	}
	for _, t := range sorted {
		l.assignTeam(t.Name, max(t.Weight, 0)/total)
	}
	l.normalizeWeights()
	return l
}

// Even returns a layout of shards of the same weight, to which the teams are assigned in turn.
func Even(shards int, teams []cawork.TeamName) Layout {
	l := Layout{Shards: shards, Teams: make(map[cawork.TeamName][]int, len(teams)), Weights: make([]float64, shards)}
	for i := range l.Weights {
		l.Weights[i] = 1 / float64(shards)
	}
	for i, team := range teams {
		l.Teams[team] = []int{i % shards}
	}
	return l
}

// assignTeam assigns a team to the shards with the least work.
func (l *Layout) assignTeam(team cawork.TeamName, share float64) {
	parts := int(math.Ceil(share * float64(l.Shards) / spreadThreshold))
	parts = min(max(parts, 1), l.Shards)
	shards := make([]int, l.Shards)
	for i := range shards {
		shards[i] = i
	}
	slices.SortStableFunc(shards, func(x, y int) int { return cmp.Compare(l.Weights[x], l.Weights[y]) })
	chosen := slices.Clone(shards[:parts])
	slices.Sort(chosen)
	for _, shard := range chosen {
		l.Weights[shard] += share / float64(parts)
	}
	l.Teams[team] = chosen
}

// normalizeWeights raises each weight to at least minShardWeight and scales their sum to 1.
func (l *Layout) normalizeWeights() {
	total := 0.0
	for i := range l.Weights {
		l.Weights[i] = max(l.Weights[i], minShardWeight)
		total += l.Weights[i]
	}
	for i := range l.Weights {
		l.Weights[i] /= total
	}
}

// IsZero reports whether no layout has been decided yet.
func (l Layout) IsZero() bool { return l.Shards == 0 }

// areShards reports whether the list names shards of the layout, one at least.
func (l Layout) areShards(list []int) bool {
	for _, shard := range list {
		if shard < 0 || shard >= l.Shards {
			return false
		}
	}
	return len(list) > 0
}

// ShardsOf returns the shards of a team. A team that is not in the layout, or without a valid
// shard there, has one shard, chosen by hash. Calls without a team belong to the first shard.
func (l Layout) ShardsOf(team cawork.TeamName) []int {
	if shards := l.Teams[team]; l.areShards(shards) {
		return shards
	}
	if team == "" || l.Shards <= 1 {
		return []int{0}
	}
	return []int{int(xxhash.Sum64String(string(team)) % uint64(l.Shards))}
}

// ShardOfJob returns the shard of a job of the team.
func (l Layout) ShardOfJob(team cawork.TeamName, id cawork.JobID) int {
	return pickShard(l.ShardsOf(team), id)
}

// pickShard returns the shard of a job among those of its key or team.
func pickShard(shards []int, id cawork.JobID) int {
	if len(shards) == 1 {
		return shards[0]
	}
	return shards[xxhash.Sum64String(string(id))%uint64(len(shards))]
}

// ShardOfUpstream returns the shard of an upstream. A hash of the ID selects the shard, with
// probabilities proportional to the weights.
func (l Layout) ShardOfUpstream(id cawork.UpstreamID) int {
	const precision = 1 << 53
	point := float64(xxhash.Sum64String(string(id))>>11) / precision
	for shard, weight := range l.Weights {
		if point < weight {
			return shard
		}
		point -= weight
	}
	return 0
}

// ShardPolicy returns the policy that each shard enforces. The weight and the upper limit of a
// team are divided equally among its shards.
func (l Layout) ShardPolicy(p caspec.Policy) caspec.Policy {
	if l.Shards <= 1 {
		return p
	}
	teams := slices.Clone(p.Teams)
	for i, t := range teams {
		parts := len(l.ShardsOfTeam(t))
		teams[i] = t.DividedBy(parts)
	}
	p.Teams = teams
	return p.WithIndex()
}

// Encode returns the layout as it is stored.
func (l Layout) Encode() ([]byte, error) {
	b, err := cbor.Marshal(l)
	if err != nil {
		return nil, cakind.Wrap(cakind.KindInternal, err, "encode layout")
	}
	return b, nil
}

// Decode returns the layout of a stored record.
func Decode(b []byte) (Layout, error) {
	var l Layout
	if err := cbor.Unmarshal(b, &l); err != nil {
		return Layout{}, cakind.Wrap(cakind.KindInvalid, err, "decode layout of %d bytes", len(b))
	}
	if l.Shards < 1 || len(l.Weights) != l.Shards {
		return Layout{}, cakind.New(cakind.KindInvalid, "layout has %d shards but %d weights", l.Shards, len(l.Weights))
	}
	for team, shards := range l.Teams {
		if !l.areShards(shards) {
			return Layout{}, cakind.New(cakind.KindInvalid, "layout with %d shards has shards %v of team %q", l.Shards, shards, team)
		}
	}
	for id, tenure := range l.Keys {
		if !l.areShards(tenure.Shards) {
			return Layout{}, cakind.New(cakind.KindInvalid, "layout with %d shards has shards %v of key %v", l.Shards, tenure.Shards, id)
		}
	}
	return l, nil
}
