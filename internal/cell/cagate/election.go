package cagate

import (
	"context"
	"errors"
	"syscall"
	"time"

	"celeryarch.example/celeryarch/internal/cell/caleader"
)

const (
	// A leader that does not answer counts as failed once its log has had no append for
	// caleader.MinLogIdle plus logIdlePerRead times the duration of a read of the store. A leader
	// appends at least every caleader.ClaimRenewPeriod. If its last append took longer,
	// the log must be idle for logIdlePerAppend times the excess more, maxBusyLogIdle at
	// most: it may be short of processor time, and a successor would be too. In its first
	// settleTime, a leader that was not handed the shard has maxBusyLogIdle.
	settleTime       = 5 * time.Second
	logIdlePerRead   = 3
	logIdlePerAppend = 2
	maxBusyLogIdle   = 1500 * time.Millisecond
	// checkCoalesceDelay combines calls that fail together into one check of the leader.
	checkCoalesceDelay = 10 * time.Millisecond
	// isolatedAfter is how long a read of the claim may take before an entry whose leader
	// does not answer counts as isolated.
	isolatedAfter = 150 * time.Millisecond
	// electionRetryDelay is the wait after an election without a new leader.
	electionRetryDelay = 120 * time.Millisecond
	// staleAppendAge is the age of a leader's last append beyond which the other entries
	// suspect it and read the store themselves.
	staleAppendAge = 700 * time.Millisecond
	// minClaimAnswerTime is how long after a claim was first read its entry may lack the store's answer
	// and therefore not lead yet. Where appends take long it may lack it for longer, up to
	// maxClaimAnswerTime, the timeout of a claim.
	minClaimAnswerTime = time.Second
	maxClaimAnswerTime = 2 * claimReadTimeout
)

// liveness is the verdict of the failure detection on a leader.
type liveness int

const (
	livenessAlive liveness = iota
	// livenessSuspected means that the leader does not answer or that its last append is
	// too old.
	livenessSuspected
	// livenessGone means that no leader is known, that its process is gone or that it
	// answers that it does not lead.
	livenessGone
)

// run checks the leader regularly and starts an election when it may have failed.
func (l *link) run(ctx context.Context) error {
	for ctx.Err() == nil {
		verdict := l.checkLeader(ctx)
		if verdict != livenessAlive && l.elect(ctx, verdict) {
			l.setHelloMisses(0)
			continue
		}
		l.awaitNextCheck(ctx, l.untilNextHello())
	}
	if leader, _, _ := l.target(); leader != nil {
		<-leader.Done()
	}
	return context.Cause(ctx)
}

// checkLeader sends the leader a hello call and returns its liveness.
func (l *link) checkLeader(ctx context.Context) liveness {
	leader, status, _ := l.target()
	switch {
	case leader != nil:
		l.setHelloMisses(0)
		l.handOverToFitter(leader)
		l.handOverSurplus(leader)
		l.releaseUnreadable(leader)
		return livenessAlive
	case status.Address == "" || status.VM == l.gate.Self.VM:
		return livenessGone
	}
	err := l.helloLeader(ctx, status.Address)
	switch {
	case err == nil:
		l.setHelloMisses(0)
		if l.lastAppendAge() > staleAppendAge {
			return livenessSuspected
		}
		return livenessAlive
	case errors.Is(err, errClaimUnanswered) && l.gate.Timer.Now().Sub(status.observedAt) < l.appendLatency.Timeout():
		l.setHelloMisses(0)
		return livenessAlive
	case errors.Is(err, errNotLeading), errors.Is(err, errClaimUnanswered), errors.Is(err, syscall.ECONNREFUSED):
		return livenessGone
	}
	if l.countHelloMiss() >= maxHelloMisses {
		l.markUnresponsive()
	}
	return livenessSuspected
}

// triggerCheck requests an immediate check of the leader after a call to it failed.
func (l *link) triggerCheck() {
	select {
	case l.checkNow <- struct{}{}:
	default:
	}
}

// awaitNextCheck waits for the duration or until triggerCheck is called.
func (l *link) awaitNextCheck(ctx context.Context, d time.Duration) {
	after := l.gate.Timer.After(d)
	defer after.Close()
	select {
	case <-ctx.Done():
		return
	case <-after.C:
		return
	case <-l.checkNow:
	}
	// Many calls may fail at the same time; one check covers all of them.
	_ = l.gate.Timer.Pause(ctx, checkCoalesceDelay)
}

// lastAppendAge returns the age of the leader's last append as of its last reply.
func (l *link) lastAppendAge() time.Duration {
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	return l.status.lastAppendAge
}

// elect adopts a newer leader from the claim in the store or, if the leader has failed,
// claims the shard. It reports whether the leader has changed.
func (l *link) elect(ctx context.Context, verdict liveness) bool {
	g := l.gate
	g.mu.Lock()
	previous, ineligible := l.status.leaderID, g.draining || g.policy.IsZero() || !g.drains.isKnown()
	g.mu.Unlock()
	began := g.Timer.Now()
	found, err := l.readClaimDetectIsolation(ctx)
	if err != nil {
		return false
	}
	l.observeClaim(found.Claim)
	if l.adoptClaim(found, previous) {
		return true
	}
	if ineligible {
		return false
	}
	claim := found.Claim
	claimable := claim.Token == 0 || claim.Released || claim.VM == g.Self.VM || verdict == livenessGone
	if !claimable && !l.isLogIdle(ctx, found.End, requiredLogIdle(g.Timer.Now().Sub(began), claim.AppendTook, l.isSettling(claim))) {
		return l.adoptLatest(ctx, previous)
	}
	return l.claimLeadership(ctx, found, previous)
}

// requiredLogIdle returns for how long the log of a leader that does not answer must be idle
// before it is claimed, by the duration of a read and of the leader's last append, and whether
// the leader has only just begun.
func requiredLogIdle(read, appendTook time.Duration, settling bool) time.Duration {
	busy := logIdlePerAppend * max(appendTook-caleader.ClaimRenewPeriod, 0)
	if settling {
		busy = maxBusyLogIdle
	}
	return caleader.MinLogIdle + logIdlePerRead*read + min(busy, maxBusyLogIdle)
}

// isSettling reports whether the leader with the claim was observed only recently, and has
// taken the shard from one that had not released it: it has more to do than one that was
// handed the shard.
func (l *link) isSettling(c caleader.Claim) bool {
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	return c.Taken && c.Token == l.status.Token && l.gate.Timer.Now().Sub(l.status.observedAt) < settleTime
}

// adoptClaim adopts the leader named by the current claim if the claim is newer than the
// previous leader's. It reports whether it did.
func (l *link) adoptClaim(found caleader.LeadershipState, previous leaderID) bool {
	g := l.gate
	g.setLayout(found.Layout)
	claim := found.Claim
	if claim.Token <= previous.Token || claim.VM == g.Self.VM || claim.Released {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	l.observeLeader(leaderID{VM: claim.VM, Address: claim.Address, Token: claim.Token})
	return true
}

// adoptLatest reads the claim again after another entry appended to the log: either the
// previous leader, which is then still alive, or its successor, which is adopted.
func (l *link) adoptLatest(ctx context.Context, previous leaderID) bool {
	found, err := l.claims.read(ctx)
	if err == nil {
		l.observeClaim(found.Claim)
	}
	if err == nil && l.adoptClaim(found, previous) {
		return true
	}
	_ = l.gate.Timer.Pause(ctx, electionRetryDelay)
	return false
}

// isReplyOverdue reports whether this entry does not lead and the leader has not answered
// for at least helloTimeout.
func (l *link) isReplyOverdue() bool {
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	return l.localLeader == nil && l.gate.Timer.Now().Sub(l.status.lastReplyAt) >= helloTimeout
}

// readClaimDetectIsolation is readClaim with detection of isolation: if the store fails or
// takes longer than isolatedAfter while the leader's reply is overdue, the entry counts as
// isolated until either of them answers.
func (l *link) readClaimDetectIsolation(ctx context.Context) (caleader.LeadershipState, error) {
	type result struct {
		caleader.LeadershipState
		err error
	}
	read := make(chan result, 1)
	go func() {
		s, err := l.claims.read(ctx)
		read <- result{s, err}
	}()
	slow := l.gate.Timer.After(isolatedAfter)
	defer slow.Close()
	select {
	case r := <-read:
		l.setIsolated(r.err != nil && l.isReplyOverdue())
		return r.LeadershipState, r.err
	case <-slow.C:
	}
	l.setIsolated(l.isReplyOverdue())
	r := <-read
	if r.err == nil {
		l.setIsolated(false)
	}
	return r.LeadershipState, r.err
}

// isLogIdle waits for the idle time and reports whether the log still ends at the offset.
func (l *link) isLogIdle(ctx context.Context, end int64, idle time.Duration) bool {
	began := l.gate.Timer.Now()
	callCtx, cancel := context.WithTimeout(ctx, idle+l.claims.latency.Timeout())
	defer cancel()
	_, newEnd, err := l.gate.ShardLog(l.shard).Read(callCtx, end, idle)
	if err != nil || newEnd != end {
		return false
	}
	if left := idle - l.gate.Timer.Now().Sub(began); left > 0 {
		return l.gate.Timer.Pause(ctx, left) == nil
	}
	return true
}
