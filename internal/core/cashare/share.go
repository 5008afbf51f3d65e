// Package cashare tracks the resources that each team uses, and its weighted
// dominant share, by which teams are ordered (dominant resource fairness).
//
// Example: of 100 cores and 400 GiB, a team that uses 10 cores and 80 GiB has
// the dominant share 0.2. With weight 2 its weighted share is 0.1, so it is ordered
// before a team of weight 1 that uses 11 cores.
package cashare

import (
	"cmp"
	"slices"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/casched"
)

// Team is the account of a team.
type Team struct {
	Name cawork.TeamName
	// Use is charged for tasks of the own shard. Remote is the use that other
	// entries reported.
	Use       cawork.Resources
	Remote    cawork.Resources
	Allowance cawork.Resources
	// Stopping is the part of Use that belongs to tasks requested to stop.
	Stopping cawork.Resources
	weight   int
	share    float64
}

// Weight returns the weight of the team.
func (t *Team) Weight() int { return t.weight }

// Share returns the weighted dominant share of the team.
func (t *Team) Share() float64 { return t.share }

// Allows reports whether the amount fits into the allowance in addition to Use.
func (t *Team) Allows(r cawork.Resources) bool { return t.Use.Plus(r).Fits(t.Allowance) }

// Table holds the accounts of all teams.
type Table struct {
	byName map[cawork.TeamName]*Team
	sorted []*Team
	total  cawork.Resources
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{byName: map[cawork.TeamName]*Team{}} }

// Team returns the account of the team, which it creates if needed.
func (b *Table) Team(name cawork.TeamName) *Team {
	t, ok := b.byName[name]
	if !ok {
		t = &Team{Name: name, weight: 1}
		b.byName[name] = t
		i, _ := slices.BinarySearchFunc(b.sorted, name, func(o *Team, n cawork.TeamName) int {
			return cmp.Compare(o.Name, n)
		})
		b.sorted = slices.Insert(b.sorted, i, t)
	}
	return t
}

// Teams returns the accounts sorted by the name of the team.
func (b *Table) Teams() []*Team { return b.sorted }

// SetWeights sets the weights of all teams from the policy.
func (b *Table) SetWeights(p casched.Policy) {
	for _, t := range b.sorted {
		b.SetWeight(t, p.Weight(t.Name))
	}
}

// SetWeight sets the weight of a team, at least 1.
func (b *Table) SetWeight(t *Team, weight int) {
	t.weight = max(1, weight)
	b.updateShare(t)
}

// SetTotal sets the capacity of which shares are fractions.
func (b *Table) SetTotal(total cawork.Resources) {
	if total == b.total {
		return
	}
	b.total = total
	for _, t := range b.sorted {
		b.updateShare(t)
	}
}

// SetRemote sets the use that other entries reported.
func (b *Table) SetRemote(r casched.RemoteUse) {
	for _, u := range r.Teams {
		b.Team(u.Team)
	}
	for _, t := range b.sorted {
		t.Remote = r.Of(t.Name)
		b.updateShare(t)
	}
}

// Charge adds the amount, which may be negative, to the use of the team.
func (b *Table) Charge(t *Team, r cawork.Resources) {
	t.Use = t.Use.Plus(r)
	b.updateShare(t)
}

// DominantShareWith returns the unweighted dominant share of the team with the amount added
// to its use.
func (b *Table) DominantShareWith(t *Team, r cawork.Resources) float64 {
	return t.Use.Plus(t.Remote).Plus(r).DominantShare(b.total)
}

// DominantShareOf returns the dominant share that an amount has of the total.
func (b *Table) DominantShareOf(r cawork.Resources) float64 { return r.DominantShare(b.total) }

// FairLevel returns the weighted share that each team that wants more resources would
// have if the share in use were divided by max-min fairness. A team that wants no
// more and is below the level keeps what it uses, and the others divide the rest.
// Teams that use and want nothing are ignored.
//
// Example: of teams with the weights 2, 1 and 1, the last one uses 0.1 and wants no
// more. If 1.0 is in use, the level of the others is (1.0 - 0.1) / 3 = 0.3.
func (b *Table) FairLevel(wantsMore func(*Team) bool) float64 {
	level := 0.0
	for {
		next := b.nextLevel(level, wantsMore)
		if next <= level {
			return level
		}
		level = next
	}
}

// nextLevel returns the weighted share of the other teams if those that want no
// more and are below the given level keep what they use.
func (b *Table) nextLevel(level float64, wantsMore func(*Team) bool) float64 {
	shared, weightSum := 0.0, 0
	for _, t := range b.sorted {
		use := t.share * float64(t.weight)
		shared += use
		switch wants := wantsMore(t); {
		case !wants && t.share < level || !wants && use == 0:
			shared -= use
		default:
			weightSum += t.weight
		}
	}
	return shared / float64(max(1, weightSum))
}

// Entitlement returns the dominant share that the team is entitled to at the level.
func (t *Team) Entitlement(level float64) float64 { return float64(t.weight) * level }

func (b *Table) updateShare(t *Team) {
	t.share = b.DominantShareWith(t, cawork.Resources{}) / float64(t.weight)
}
