package caboard

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// onTimeTokenShare is the fraction of a team's token bucket that is kept for jobs that can
// still meet their objective. Refused callers retry with the same job, and retried jobs must
// not take the tokens of new ones: the retried jobs are already late, so that no job at all
// would meet its objective.
const onTimeTokenShare = 0.5

// teamUsage is what a team has running, and the token bucket that limits its submissions.
type teamUsage struct {
	used cawork.Resources
	// limit is the upper limit by the newest version of the policy that lists the team. A team that none lists
	// has no limit.
	limit cawork.Resources
	// tokens is how many jobs the team may still submit at its guaranteed rate.
	tokens     float64
	refilledAt time.Time
}

func (b *Planner) teamOf(name cawork.TeamName) *teamUsage {
	t, ok := b.teams[name]
	if !ok {
		t = &teamUsage{}
		b.applyLimitTo(name, t)
		b.teams[name] = t
	}
	return t
}

// applyLimitTo looks up the upper limit of a team.
func (b *Planner) applyLimitTo(name cawork.TeamName, t *teamUsage) {
	team, _ := b.terms.Team(name)
	t.limit = team.Limit
}

func (t *teamUsage) acquire(r cawork.Resources) { t.used = t.used.Plus(r) }
func (t *teamUsage) release(r cawork.Resources) { t.used = t.used.Minus(r) }

// hasToken reports whether a job at this time is within the rate, in jobs per second. A
// rate of zero is unlimited. A stale job, which can no longer meet its objective, leaves
// a part of the tokens to others.
func (t *teamUsage) hasToken(now time.Time, rate float64, stale bool) bool {
	if rate <= 0 {
		return true
	}
	burst := max(rate*teamBurstSeconds, 1)
	if t.refilledAt.IsZero() {
		t.tokens = burst
	} else {
		t.tokens = min(t.tokens+now.Sub(t.refilledAt).Seconds()*rate, burst)
	}
	t.refilledAt = now
	withheld := 0.0
	if stale {
		withheld = min(onTimeTokenShare*burst, burst-1)
	}
	return t.tokens >= 1+withheld
}

// takeToken counts a job that was accepted within the rate.
func (t *teamUsage) takeToken() { t.tokens-- }

// withinLimit reports whether the team's upper limit permits it to have more running by
// the given amount.
func (b *Planner) withinLimit(name cawork.TeamName, more cawork.Resources) bool {
	t := b.teamOf(name)
	return fitsLimit(t.used.Plus(more), t.limit)
}

// fitsLimit reports whether the used resources are within a limit. A dimension of zero is
// unlimited.
func fitsLimit(used, limit cawork.Resources) bool {
	return (limit.CPU == 0 || used.CPU <= limit.CPU) &&
		(limit.Memory == 0 || used.Memory <= limit.Memory) &&
		(limit.Accelerators == 0 || used.Accelerators <= limit.Accelerators)
}
