package caboard

import (
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/cateam"
)

// teamOf returns what a team has running. Its limit is that of the newest version of the policy that lists the team. A
// team that none lists has no limit.
func (b *Planner) teamOf(name cawork.TeamName) *cateam.Usage {
	t, ok := b.teams[name]
	if !ok {
		t = &cateam.Usage{}
		b.applyLimitTo(name, t)
		b.teams[name] = t
	}
	return t
}

// applyLimitTo looks up the upper limit of a team.
func (b *Planner) applyLimitTo(name cawork.TeamName, t *cateam.Usage) {
	team, _ := b.terms.Team(name)
	t.SetLimit(team.Limit)
}

// withinLimit reports whether the team's upper limit permits it to have more running by
// the given amount.
func (b *Planner) withinLimit(name cawork.TeamName, more cawork.Resources) bool {
	return b.teamOf(name).MayRun(more)
}
