package cagate

import (
	"context"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/calatency"
	"celeryarch.example/celeryarch/internal/cell/caleader"
)

const (
	// claimReadTimeout is how long an election waits for the current claim, which an answer to an
	// earlier read tells as well within claimReadLifetime. It also bounds the latency of another read
	// of the log, up to maxClaimReadTimeout where the last answers took long.
	claimReadTimeout    = time.Second
	maxClaimReadTimeout = 3 * time.Second
	claimReadLifetime   = 5 * time.Second
)

// errClaimReadOverdue means that the store has not answered a read of the claim yet.
var errClaimReadOverdue = cakind.New(cakind.KindUnavailable, "the store has not answered a read of the claim yet")

// claimReader reads the current claim and the end of a shard's log. A read that is overdue goes on, and
// a later call of read gets its answer: a store that takes long for each read would else never be
// read. Such an answer may be some seconds old, which a claim tolerates since it is a conditional append.
type claimReader struct {
	gate    *Gate
	shard   int
	results chan claimRead
	latency *calatency.Peak
}

// claimRead is the result of one read.
type claimRead struct {
	state caleader.LeadershipState
	err   error
}

func newClaimReader(g *Gate, shard int) *claimReader {
	return &claimReader{
		gate: g, shard: shard, results: make(chan claimRead),
		latency: calatency.NewPeak(calatency.Bounds{Min: claimReadTimeout, Max: maxClaimReadTimeout}),
	}
}

// read returns the current claim and the end of the log.
func (r *claimReader) read(ctx context.Context) (caleader.LeadershipState, error) {
	go r.start(ctx)
	overdue := r.gate.Timer.After(claimReadTimeout)
	defer overdue.Close()
	select {
	case result := <-r.results:
		return result.state, result.err
	case <-overdue.C:
		return caleader.LeadershipState{}, errClaimReadOverdue
	case <-ctx.Done():
		return caleader.LeadershipState{}, cakind.Wrap(cakind.KindUnavailable, ctx.Err(), "read the claim")
	}
}

// start makes one read. Its result expires with its lifetime.
func (r *claimReader) start(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, claimReadLifetime)
	defer cancel()
	began := r.gate.Timer.Now()
	state, err := caleader.ReadLeadershipState(ctx, r.gate.ShardLog(r.shard))
	if err == nil {
		r.latency.Observe(r.gate.Timer.Now().Sub(began))
	}
	select {
	case r.results <- claimRead{state, err}:
	case <-ctx.Done():
	}
}
