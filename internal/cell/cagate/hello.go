package cagate

import (
	"context"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/cell/caroster"
	"celeryarch.example/celeryarch/internal/node/capeer"
)

const (
	// helloPeriod is the time between two hello calls of an entry to a leader. Entries that
	// are not strong wait helloPeriodPerEntry times the number of entries in the cell, but
	// at least helloPeriod and at most maxHelloPeriod.
	helloPeriod         = 250 * time.Millisecond
	maxHelloPeriod      = 500 * time.Millisecond
	helloPeriodPerEntry = 6 * time.Millisecond
	// helloTimeout bounds one hello call to a leader that answered the last ones quickly. A
	// slower one has helloTimeoutFactor times its latency, maxHelloTimeout at most. An answer
	// that is late still counts within helloLifetime.
	helloTimeout       = 200 * time.Millisecond
	helloTimeoutFactor = 4
	maxHelloTimeout    = 800 * time.Millisecond
	helloLifetime      = 3 * time.Second
	// maxHelloMisses is the number of consecutive hello calls without an answer in time after
	// which an entry cancels its calls in progress to the leader. The first one already starts
	// an election.
	maxHelloMisses = 3
)

// errNotLeading means that the entry recorded as the leader answered that it does not lead.
var errNotLeading = cakind.New(cakind.KindFenced, "the entry is not the leader")

// errHelloOverdue means that the leader has not answered a hello call yet.
var errHelloOverdue = cakind.New(cakind.KindUnknown, "the leader has not answered a hello call yet")

// errClaimUnanswered means that the entry recorded as the leader has not observed its own claim, which
// is stored.
var errClaimUnanswered = cakind.New(cakind.KindNotStarted, "the entry does not lead yet")

// untilNextHello returns the time until the next hello call to the leader.
func (l *link) untilNextHello() time.Duration {
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	return max(l.status.nextHelloIn, helloPeriod)
}

// helloPeriodFor returns the hello period of a peer in a cell with the given number of
// entries. Strong entries call more often because they may serve as agents.
func helloPeriodFor(p caroster.Peer, entries int) time.Duration {
	if p.IsStrong() {
		return helloPeriod
	}
	return min(max(helloPeriod, time.Duration(entries)*helloPeriodPerEntry), maxHelloPeriod)
}

// helloTimeoutFor returns the timeout of a hello call to a leader by the latency of its last
// answers.
func helloTimeoutFor(latency time.Duration) time.Duration {
	return min(max(helloTimeoutFactor*latency, helloTimeout), maxHelloTimeout)
}

// helloTimeoutNow returns the timeout of the next hello call to the leader.
func (l *link) helloTimeoutNow() time.Duration {
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	return helloTimeoutFor(l.status.helloLatency)
}

func (l *link) setHelloMisses(misses int) {
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	l.status.helloMisses = misses
}

// countHelloMiss counts a hello call without an answer in time. It returns how many there were since
// the last answer.
func (l *link) countHelloMiss() int {
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	l.status.helloMisses++
	return l.status.helloMisses
}

// helloLeader sends the leader a hello call. If the answer is late, it returns errHelloOverdue and the
// call goes on: a leader to which all calls take long would else never be reached, nor show its latency.
func (l *link) helloLeader(ctx context.Context, address string) error {
	answer := make(chan error, 1)
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, helloLifetime)
		defer cancel()
		answer <- l.hello(callCtx, address)
	}()
	overdue := l.gate.Timer.After(l.helloTimeoutNow())
	defer overdue.Close()
	select {
	case err := <-answer:
		return err
	case <-overdue.C:
		return errHelloOverdue
	}
}

// helloPeer sends an entry a hello call, whose late answer does not count.
func (l *link) helloPeer(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, l.helloTimeoutNow())
	defer cancel()
	return l.hello(ctx, address)
}

// hello sends an entry a hello call and applies the policy, layout, peers and leader of
// its reply.
func (l *link) hello(ctx context.Context, address string) error {
	g := l.gate
	policy, layout := g.policyAndLayout()
	request := helloRequest{
		From: g.Self, PolicyVersion: policy.Version, HasAdvisor: g.Advisor != nil, Shard: l.shard, HasLayout: !layout.IsZero(),
		ReachesStore: g.reachesStore(), DrainPosition: g.drainPosition(), Process: g.Nonce, Stopping: g.isDraining(), Leading: g.leadingCount(),
		FollowsLayout: true, LayoutEdition: layout.Edition,
	}
	began := g.Timer.Now()
	reply, err := capeer.Call[helloRequest, helloReply](ctx, g.PeerClient, address, callHello, request)
	if err != nil {
		return err
	}
	if reply.Policy != nil {
		g.applyFromPeer(address, *reply.Policy)
	}
	if reply.Drains != nil {
		g.applyDrains(drainReading{ZoneDrains: *reply.Drains, readAt: began.Add(-reply.DrainAge)}, sourcePeer(address))
	}
	if reply.Layout != nil {
		g.setLayout(*reply.Layout)
	}
	return l.applyHelloReply(address, reply, g.Timer.Now().Sub(began))
}

// applyHelloReply updates the peers and the leader from a hello reply. It returns
// errNotLeading if the recorded leader answered that it does not lead, and errClaimUnanswered if it
// has only observed earlier leaders.
func (l *link) applyHelloReply(address string, reply helloReply, latency time.Duration) error {
	g := l.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range reply.Peers {
		g.roster.RecordReport(g.Timer.Now(), p)
	}
	l.observeLeader(reply.Leader)
	isCurrent := reply.Leader.Token == l.status.Token
	if isCurrent && (reply.Leading || reply.SteppingDown) {
		l.recordReply(reply, latency)
	}
	switch {
	case address != l.status.Address, isCurrent && reply.Leading:
		return nil
	case reply.Leader.Token < l.status.Token:
		return errClaimUnanswered
	default:
		return errNotLeading
	}
}
