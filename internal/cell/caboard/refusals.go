package caboard

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Refused callers retry with the same job, and its objective counts from the first
// attempt. While a team exceeds its guaranteed rate, retried jobs must not take the
// tokens of new ones: the retried jobs are already late, so that no job at all would meet
// its objective.

const (
	// refusalRetention is how long a refusal is remembered, and maxRefusals how many are.
	refusalRetention = 15 * time.Second
	maxRefusals      = 20_000
	// onTimeTokenShare is the fraction of a team's token bucket that is kept for jobs
	// that can still meet their objective.
	onTimeTokenShare = 0.5
)

// refusalHistory remembers when jobs were first refused.
type refusalHistory struct {
	firstRefusedAt map[cawork.JobID]time.Time
	// order lists the same jobs in the order of their first refusals.
	order []cawork.JobID
}

func newRefusalHistory() refusalHistory {
	return refusalHistory{firstRefusedAt: make(map[cawork.JobID]time.Time)}
}

// waited returns how long ago the job was first refused, zero if it was not.
func (r *refusalHistory) waited(id cawork.JobID, now time.Time) time.Duration {
	first, ok := r.firstRefusedAt[id]
	if !ok {
		return 0
	}
	return now.Sub(first)
}

// add remembers that the job is refused now.
func (r *refusalHistory) add(id cawork.JobID, now time.Time) {
	r.prune(now)
	if _, known := r.firstRefusedAt[id]; known {
		return
	}
	r.firstRefusedAt[id] = now
	r.order = append(r.order, id)
}

// prune drops refusals that are too old, and the oldest ones beyond maxRefusals.
func (r *refusalHistory) prune(now time.Time) {
	n := 0
	for _, id := range r.order {
		if len(r.order)-n < maxRefusals && now.Sub(r.firstRefusedAt[id]) < refusalRetention {
			break
		}
		delete(r.firstRefusedAt, id)
		n++
	}
	r.order = r.order[n:]
}
