// Package calayout divides a cell into shards. A shard has one leader, one part
// of the log, and its own upstreams and teams. The layout is decided once, by
// the leader of the first shard, and stored; every entry computes from it
// where a team, a job and an upstream belong.
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
	// upstreamsPerShard is how many upstreams one leader looks after.
	upstreamsPerShard = 1000
	// largeShare is how many times an even part of the work one team may have
	// before it is spread over several shards. A team of several shards has only
	// a part of its upper limit in each, which may keep a wide gang waiting.
	largeShare = 1.5
	// weightAtLeast keeps upstreams for a shard without teams.
	weightAtLeast = 0.02
)

// Layout is a division of a cell. The zero value is a cell that is not divided
// yet.
type Layout struct {
	// Shards is the number of shards, numbered from 0.
	Shards int `cbor:"1,keyasint,omitempty"`
	// Teams lists the shards of each team that was known.
	Teams map[cawork.TeamName][]int `cbor:"2,keyasint,omitempty"`
	// Weights are the fractions of the work that each shard was given.
	Weights []float64 `cbor:"3,keyasint,omitempty"`
}

// Decide divides a cell of so many upstreams into at most so many shards.
func Decide(upstreams, most int, teams []caspec.Team) Layout {
	n := min(max((upstreams+upstreamsPerShard-1)/upstreamsPerShard, 1), most)
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
		l.place(t.Name, max(t.Weight, 0)/total)
	}
	l.normalize()
	return l
}

// place gives a team to the shards with the least work.
func (l *Layout) place(team cawork.TeamName, share float64) {
	parts := int(math.Ceil(share * float64(l.Shards) / largeShare))
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

// normalize makes the weights add up to 1, with a least one for each shard.
func (l *Layout) normalize() {
	total := 0.0
	for i := range l.Weights {
		l.Weights[i] = max(l.Weights[i], weightAtLeast)
		total += l.Weights[i]
	}
	for i := range l.Weights {
		l.Weights[i] /= total
	}
}

// IsZero reports whether the cell is not divided yet.
func (l Layout) IsZero() bool { return l.Shards == 0 }

// ShardsOf returns the shards of a team. One that is not known has one shard,
// and calls without a team have the first.
func (l Layout) ShardsOf(team cawork.TeamName) []int {
	if shards, ok := l.Teams[team]; ok {
		return shards
	}
	if team == "" || l.Shards <= 1 {
		return []int{0}
	}
	return []int{int(xxhash.Sum64String(string(team)) % uint64(l.Shards))}
}

// ShardOfJob returns the shard of a job of the team.
func (l Layout) ShardOfJob(team cawork.TeamName, id cawork.JobID) int {
	shards := l.ShardsOf(team)
	if len(shards) == 1 {
		return shards[0]
	}
	return shards[xxhash.Sum64String(string(id))%uint64(len(shards))]
}

// ShardOfUpstream returns the shard of an upstream: shards draw from a hash with
// chances by their weights.
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

// PolicyFor returns the policy as a shard enforces it: teams of several shards
// have an equal part of their upper limit and of their rate in each.
func (l Layout) PolicyFor(p caspec.Policy) caspec.Policy {
	if l.Shards <= 1 {
		return p
	}
	teams := slices.Clone(p.Teams)
	for i, t := range teams {
		parts := len(l.ShardsOf(t.Name))
		teams[i] = t.WithPart(parts)
	}
	p.Teams = teams
	return p.WithIndex()
}

// Encode returns the record of the layout.
func (l Layout) Encode() ([]byte, error) {
	b, err := cbor.Marshal(l)
	if err != nil {
		return nil, cakind.Wrap(cakind.KindInternal, err, "encode layout")
	}
	return b, nil
}

// Decode returns the layout of a record.
func Decode(b []byte) (Layout, error) {
	var l Layout
	if err := cbor.Unmarshal(b, &l); err != nil {
		return Layout{}, cakind.Wrap(cakind.KindInvalid, err, "decode layout of %d bytes", len(b))
	}
	if l.Shards < 1 || len(l.Weights) != l.Shards {
		return Layout{}, cakind.New(cakind.KindInvalid, "layout of %d shards with %d weights", l.Shards, len(l.Weights))
	}
	return l, nil
}
