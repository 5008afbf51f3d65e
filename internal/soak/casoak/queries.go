package casoak

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/platform"
)

const (
	// queryInterval is the time between two queries of accepted jobs beside planned work.
	queryInterval = 4 * time.Millisecond
	// visibleTime is how long after its acknowledgement a job may be unknown to a node.
	visibleTime = 3 * time.Second
)

// queryLoad asks random nodes for the phases of random accepted jobs.
type queryLoad struct {
	cell     *cell
	outcomes *outcomeLog
	// targetOf returns the caller and the queue of a job.
	targetOf func(cawork.JobID) (*platform.Caller, caspec.Queue)
	done     chan struct{}
}

func newQueryLoad(c *cell, l *outcomeLog, targetOf func(cawork.JobID) (*platform.Caller, caspec.Queue)) *queryLoad {
	return &queryLoad{cell: c, outcomes: l, targetOf: targetOf, done: make(chan struct{})}
}

// Done is closed when the last query has ended.
func (q *queryLoad) Done() <-chan struct{} { return q.done }

// run asks until the context ends, if the faults are planned work. Then it waits for the queries in
// progress.
func (q *queryLoad) run(ctx context.Context) {
	defer close(q.done)
	var queries sync.WaitGroup
	defer queries.Wait()
	random := rand.New(rand.NewSource(1))
	for q.cell.isPlanned && q.cell.timer.Pause(ctx, queryInterval) == nil {
		a, ok := q.outcomes.randomAccepted(random)
		if !ok {
			continue
		}
		n := q.cell.nodes[random.Intn(len(q.cell.nodes))]
		queries.Go(func() { q.ask(n, a) })
	}
}

// ask asks a node for the phase of an accepted job.
func (q *queryLoad) ask(n *node, a acceptance) {
	caller, queue := q.targetOf(a.id)
	askedAt := time.Now()
	answer := q.cell.call(n, q.outcomes, func(ctx context.Context, address string) platform.CallResult {
		return caller.Phase(ctx, address, queue, a.id)
	})
	if isGoneTooEarly(a, answer, askedAt) && q.outcomes.isAccepted(a.id) {
		q.outcomes.recordViolation("%s answered 410 Gone for job %s %v after it was accepted", n.name, a.id, askedAt.Sub(a.at))
	}
}
