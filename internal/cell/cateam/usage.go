// Package cateam tracks what a team has running against its upper limit, and limits the rate of its submissions.
package cateam

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

const (
	// burstSeconds is how many seconds' worth of its guaranteed rate a team may submit at once.
	burstSeconds = 2.0
	// onTimeTokenShare is the fraction of a team's token bucket that is kept for jobs that can still meet their
	// objective. Refused callers retry with the same job, and retried jobs must not take the tokens of new ones: the
	// retried jobs are already late, so that no job at all would meet its objective.
	onTimeTokenShare = 0.5
)

// Usage is what a team has running, and the token bucket that limits its submissions. The zero value has nothing
// running and no limit.
type Usage struct {
	used  cawork.Resources
	limit cawork.Resources
	// tokens is how many jobs the team may still submit at its guaranteed rate.
	tokens     float64
	refilledAt time.Time
}

// Used returns what the team has running.
func (u *Usage) Used() cawork.Resources { return u.used }

// Limit returns the upper limit. A dimension of zero is unlimited.
func (u *Usage) Limit() cawork.Resources { return u.limit }

// SetLimit sets the upper limit.
func (u *Usage) SetLimit(limit cawork.Resources) { u.limit = limit }

// Acquire counts a run.
func (u *Usage) Acquire(r cawork.Resources) { u.used = u.used.Plus(r) }

// Release counts the end of a run.
func (u *Usage) Release(r cawork.Resources) { u.used = u.used.Minus(r) }

// MayRun reports whether the limit permits so much more.
func (u *Usage) MayRun(more cawork.Resources) bool { return Fits(u.used.Plus(more), u.limit) }

// HasToken reports whether a job at this time is within the rate, in jobs per second. A rate of zero is unlimited. A
// stale job, which can no longer meet its objective, leaves a part of the tokens to others.
func (u *Usage) HasToken(now time.Time, rate float64, stale bool) bool {
	if rate <= 0 {
		return true
	}
	burst := max(rate*burstSeconds, 1)
	if u.refilledAt.IsZero() {
		u.tokens = burst
	} else {
		u.tokens = min(u.tokens+now.Sub(u.refilledAt).Seconds()*rate, burst)
	}
	u.refilledAt = now
	withheld := 0.0
	if stale {
		withheld = min(onTimeTokenShare*burst, burst-1)
	}
	return u.tokens >= 1+withheld
}

// TakeToken counts a job that was accepted within the rate.
func (u *Usage) TakeToken() { u.tokens-- }

// Fits reports whether the used resources are within a limit. A dimension of zero is unlimited.
func Fits(used, limit cawork.Resources) bool {
	return (limit.CPU == 0 || used.CPU <= limit.CPU) &&
		(limit.Memory == 0 || used.Memory <= limit.Memory) &&
		(limit.Accelerators == 0 || used.Accelerators <= limit.Accelerators)
}
