package caboard

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Callers that were refused come back with the same job, and their time runs from the
// first try. While a team sends more than it is owed, those who come back must not take
// the places of those who come for the first time: the former are late already, so that
// nobody would be served in time.

const (
	// returnsKept is how long a refusal is remembered, and returnsMost how many are.
	returnsKept = 15 * time.Second
	returnsMost = 20_000
	// staleKept is the part of what a team may submit at once that is left to jobs which
	// can still be in time.
	staleKept = 0.5
)

// returns remembers when jobs were refused first.
type returns struct {
	first map[cawork.JobID]time.Time
	// order holds the same jobs in the order of their first refusals.
	order []cawork.JobID
}

func newReturns() returns { return returns{first: make(map[cawork.JobID]time.Time)} }

// waited returns how long ago the job was refused first, zero if it was not.
func (r *returns) waited(id cawork.JobID, now time.Time) time.Duration {
	first, ok := r.first[id]
	if !ok {
		return 0
	}
	return now.Sub(first)
}

// note remembers that the job is refused now.
func (r *returns) note(id cawork.JobID, now time.Time) {
	r.prune(now)
	if _, known := r.first[id]; known {
		return
	}
	r.first[id] = now
	r.order = append(r.order, id)
}

// prune forgets refusals that are old, or too many.
func (r *returns) prune(now time.Time) {
	n := 0
	for _, id := range r.order {
		if len(r.order)-n < returnsMost && now.Sub(r.first[id]) < returnsKept {
			break
		}
		delete(r.first, id)
		n++
	}
	r.order = r.order[n:]
}
