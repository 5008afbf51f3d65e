package caboard

import (
	"cmp"
	"maps"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/cagauge"
	"celeryarch.example/celeryarch/internal/cell/cateam"
)

// accountOf returns the team on whose account a team runs: its successor if a version has given its keys another
// name, and the team itself otherwise.
func (b *Planner) accountOf(name cawork.TeamName) cawork.TeamName {
	return cmp.Or(b.successors[name], name)
}

// SetSuccessors sets which listed teams continue teams that are no longer listed. What these have running counts for
// their successors from then on.
func (b *Planner) SetSuccessors(successors map[cawork.TeamName]cawork.TeamName) {
	if maps.Equal(b.successors, successors) {
		return
	}
	before := b.successors
	for _, u := range b.upstreams {
		for _, r := range u.runs {
			from, to := cmp.Or(before[r.team], r.team), cmp.Or(successors[r.team], r.team)
			if from != to {
				b.usageOf(from).Release(r.size)
				b.usageOf(to).Acquire(r.size)
			}
		}
	}
	b.successors = successors
}

// teamOf returns what a team, and those that it continues, have running. The limit is that of the newest version of the
// policy that lists the team. A team that none lists has no limit.
func (b *Planner) teamOf(name cawork.TeamName) *cateam.Usage { return b.usageOf(b.accountOf(name)) }

// usageOf returns the usage of an account.
func (b *Planner) usageOf(name cawork.TeamName) *cateam.Usage {
	t, ok := b.teams[name]
	if !ok {
		t = &cateam.Usage{}
		b.applyLimitTo(name, t)
		b.teams[name] = t
	}
	return t
}

// TeamUse returns the open work of the teams that have any. What a team has running counts for its account.
func (b *Planner) TeamUse() map[cawork.TeamName]cagauge.TeamUse {
	use := make(map[cawork.TeamName]cagauge.TeamUse)
	for _, j := range b.jobs {
		if name := j.Submission.Team; !j.Phase.IsFinal() && name != "" {
			u := use[name]
			u.Jobs++
			use[name] = u
		}
	}
	for name, t := range b.teams {
		if cpu := t.Used().CPU; cpu > 0 && name != "" {
			u := use[name]
			u.CPU = cpu
			use[name] = u
		}
	}
	return use
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
