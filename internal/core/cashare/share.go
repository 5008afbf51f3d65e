// Package cashare keeps what each team uses and orders the teams by weighted
// dominant shares.
//
// Example: of 100 cores and 400 GiB, a team that uses 10 cores and 80 GiB has
// the dominant share 0.2; with weight 2 its weighted share is 0.1, and it goes
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
	// Use is charged for own tasks, Remote is what other entries reported.
	Use       cawork.Resources
	Remote    cawork.Resources
	Allowance cawork.Resources
	// Stopping is the part of Use of tasks that were asked to end.
	Stopping cawork.Resources
	weight   int
	share    float64
}

// Weight returns the weight of the team.
func (t *Team) Weight() int { return t.weight }

// Share returns the weighted dominant share.
func (t *Team) Share() float64 { return t.share }

// Allows reports whether the allowance suffices for the amount.
func (t *Team) Allows(r cawork.Resources) bool { return t.Use.Plus(r).Fits(t.Allowance) }

// Table holds the accounts.
type Table struct {
	byName map[cawork.TeamName]*Team
	order  []*Team
	total  cawork.Resources
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{byName: map[cawork.TeamName]*Team{}} }

// Team returns the account of the team, which is created when needed.
func (b *Table) Team(name cawork.TeamName) *Team {
	t, ok := b.byName[name]
	if !ok {
		t = &Team{Name: name, weight: 1}
		b.byName[name] = t
		i, _ := slices.BinarySearchFunc(b.order, name, func(o *Team, n cawork.TeamName) int {
			return cmp.Compare(o.Name, n)
		})
		b.order = slices.Insert(b.order, i, t)
	}
	return t
}

// Teams returns the accounts in the order of names.
func (b *Table) Teams() []*Team { return b.order }

// SetWeights takes the weights of the policy.
func (b *Table) SetWeights(p casched.Policy) {
	for _, t := range b.order {
		b.SetWeight(t, p.Weight(t.Name))
	}
}

// SetWeight sets the weight of a team, at least 1.
func (b *Table) SetWeight(t *Team, weight int) {
	t.weight = max(1, weight)
	b.refresh(t)
}

// SetTotal sets the capacity that shares refer to.
func (b *Table) SetTotal(total cawork.Resources) {
	if total == b.total {
		return
	}
	b.total = total
	for _, t := range b.order {
		b.refresh(t)
	}
}

// SetRemote sets what other entries reported.
func (b *Table) SetRemote(r casched.RemoteUse) {
	for _, u := range r.Teams {
		b.Team(u.Team)
	}
	for _, t := range b.order {
		t.Remote = r.Of(t.Name)
		b.refresh(t)
	}
}

// Charge adds the amount, which may be negative, to the use of the team.
func (b *Table) Charge(t *Team, r cawork.Resources) {
	t.Use = t.Use.Plus(r)
	b.refresh(t)
}

// Dominant returns the dominant share of the team with the amount added.
func (b *Table) Dominant(t *Team, r cawork.Resources) float64 {
	return t.Use.Plus(t.Remote).Plus(r).DominantShare(b.total)
}

// Part returns the dominant share of an amount.
func (b *Table) Part(r cawork.Resources) float64 { return r.DominantShare(b.total) }

// Level returns the weighted share at which the teams that want more than they
// use would be equal (max-min fairness). A team that wants no more and uses less
// leaves the rest to the others. Teams that use and want nothing do not count.
//
// Example: of the weights 2, 1 and 1, the last team uses 0.1 and wants no more.
// When 1.0 is in use, the others meet at (1.0 - 0.1) / 3 = 0.3.
func (b *Table) Level(wantsMore func(*Team) bool) float64 {
	level := 0.0
	for {
		next := b.levelAbove(level, wantsMore)
		if next <= level {
			return level
		}
		level = next
	}
}

// levelAbove returns the level when the teams that want no more and are below
// the given level keep what they use.
func (b *Table) levelAbove(level float64, wantsMore func(*Team) bool) float64 {
	rest, weights := 0.0, 0
	for _, t := range b.order {
		use := t.share * float64(t.weight)
		rest += use
		switch wants := wantsMore(t); {
		case !wants && t.share < level || !wants && use == 0:
			rest -= use
		default:
			weights += t.weight
		}
	}
	return rest / float64(max(1, weights))
}

// Entitlement returns the dominant share that the team is owed at the level.
func (t *Team) Entitlement(level float64) float64 { return float64(t.weight) * level }

func (b *Table) refresh(t *Team) { t.share = b.Dominant(t, cawork.Resources{}) / float64(t.weight) }
