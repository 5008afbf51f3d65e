package caboard

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// teamUse is what a team has running and what it submitted lately.
type teamUse struct {
	used cawork.Resources
	// tokens are the jobs that the team may still submit at its owed rate.
	tokens   float64
	filledAt time.Time
}

func (b *Board) teamOf(name cawork.TeamName) *teamUse {
	t, ok := b.teams[name]
	if !ok {
		t = &teamUse{}
		b.teams[name] = t
	}
	return t
}

func (t *teamUse) use(r cawork.Resources)     { t.used = t.used.Plus(r) }
func (t *teamUse) release(r cawork.Resources) { t.used = t.used.Minus(r) }

// hasToken reports whether a job at this time is within the rate, in jobs a
// second. A rate of zero has no bound. One that can not be in time any more leaves a
// part of the rate to others.
func (t *teamUse) hasToken(now time.Time, rate float64, stale bool) bool {
	if rate <= 0 {
		return true
	}
	most := max(rate*teamBurst, 1)
	if t.filledAt.IsZero() {
		t.tokens = most
	} else {
		t.tokens = min(t.tokens+now.Sub(t.filledAt).Seconds()*rate, most)
	}
	t.filledAt = now
	kept := 0.0
	if stale {
		kept = min(staleKept*most, most-1)
	}
	return t.tokens >= 1+kept
}

// takeToken counts a job that was accepted within the rate.
func (t *teamUse) takeToken() { t.tokens-- }

// withinLimit reports whether the team may have the amount more running.
func (b *Board) withinLimit(name cawork.TeamName, more cawork.Resources) bool {
	team, ok := b.policy.Team(name)
	if !ok {
		return true
	}
	return fitsLimit(b.teamOf(name).used.Plus(more), team.Limit)
}

// fitsLimit reports whether the use is within a limit, whose zero dimensions
// have no bound.
func fitsLimit(use, limit cawork.Resources) bool {
	return (limit.CPU == 0 || use.CPU <= limit.CPU) &&
		(limit.Memory == 0 || use.Memory <= limit.Memory) &&
		(limit.Accelerators == 0 || use.Accelerators <= limit.Accelerators)
}
