package caboard

import (
	"iter"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/cagauge"
	"celeryarch.example/celeryarch/internal/cell/cateam"
)

// SetSuccessors sets which listed teams continue teams that are no longer listed. What these have running counts for
// their successors from then on.
func (b *Planner) SetSuccessors(successors map[cawork.TeamName]cawork.TeamName) {
	b.accounts.SetSuccessors(successors, b.chargedRuns())
}

// chargedRuns returns what counts for the accounts of teams.
func (b *Planner) chargedRuns() iter.Seq[cateam.Run] {
	return func(yield func(cateam.Run) bool) {
		for _, u := range b.upstreams {
			for _, r := range u.runs {
				if !yield(cateam.Run{Team: r.team, Size: r.size}) {
					return
				}
			}
		}
	}
}

// teamOf returns what a team, and those that it continues, have running.
func (b *Planner) teamOf(name cawork.TeamName) *cateam.Usage { return b.accounts.Of(name) }

// withinLimit reports whether the team's upper limit permits it to have more running by
// the given amount.
func (b *Planner) withinLimit(name cawork.TeamName, more cawork.Resources) bool {
	return b.teamOf(name).MayRun(more)
}

// requiredToStart returns what must fit below the limit of its team for a step to start: one task, or the
// whole gang, or nothing for tasks that only move.
func (s *step) requiredToStart() cawork.Resources {
	if s.waitingTasks == 0 {
		return cawork.Resources{}
	}
	if s.spec.Gang {
		return s.spec.Size().Times(int64(s.waitingTasks))
	}
	return s.spec.Size()
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
	for name, used := range b.accounts.Used() {
		if used.CPU > 0 && name != "" {
			u := use[name]
			u.CPU = used.CPU
			use[name] = u
		}
	}
	return use
}
