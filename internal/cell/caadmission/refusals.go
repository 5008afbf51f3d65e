package caadmission

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Refused callers retry with the same job, and its objective counts from the first
// attempt.

const (
	// refusalRetention is how long a refusal is remembered, and maxRefusals how many are.
	refusalRetention = 15 * time.Second
	maxRefusals      = 20_000
)

// RefusalHistory remembers when jobs were first refused.
type RefusalHistory struct {
	firstRefusedAt map[cawork.JobID]time.Time
	// order lists the same jobs in the order of their first refusals.
	order []cawork.JobID
}

// NewRefusalHistory returns a history without refusals.
func NewRefusalHistory() RefusalHistory {
	return RefusalHistory{firstRefusedAt: make(map[cawork.JobID]time.Time)}
}

// Waited returns how long ago the job was first refused, zero if it was not.
func (r *RefusalHistory) Waited(id cawork.JobID, now time.Time) time.Duration {
	first, ok := r.firstRefusedAt[id]
	if !ok {
		return 0
	}
	return now.Sub(first)
}

// Add remembers that the job is refused now.
func (r *RefusalHistory) Add(id cawork.JobID, now time.Time) {
	r.prune(now)
	if _, known := r.firstRefusedAt[id]; known {
		return
	}
	r.firstRefusedAt[id] = now
	r.order = append(r.order, id)
}

// prune drops refusals that are too old, and the oldest ones beyond maxRefusals.
func (r *RefusalHistory) prune(now time.Time) {
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
