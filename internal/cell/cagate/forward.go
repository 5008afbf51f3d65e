package cagate

import (
	"context"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caleader"
	"celeryarch.example/celeryarch/internal/node/capeer"
)

const (
	// leaderWaitTimeout is how long a submission waits for a leader to be elected.
	leaderWaitTimeout = 400 * time.Millisecond
	// isolatedWaitTimeout is how long a cancellation or a query waits at an isolated entry, or
	// at one that does not know the layout yet: for the next hello call to the leader and its
	// answer, since one that is late isolates an entry that the store refuses.
	isolatedWaitTimeout = maxHelloPeriod + maxHelloTimeout
	// outcomeWaitTimeout is how long a submission that may have taken effect waits for a
	// leader that can confirm its outcome.
	outcomeWaitTimeout = 2 * time.Second
	// attemptTimeout bounds one attempt to call a leader that answers hello calls quickly. A slower
	// one has attemptTimeoutFactor times their latency more, up to maxAttemptTimeout.
	attemptTimeout       = 1500 * time.Millisecond
	attemptTimeoutFactor = 2
	maxAttemptTimeout    = 2800 * time.Millisecond
	// defaultCallTimeout bounds a call whose context has no deadline.
	defaultCallTimeout = 3 * time.Second
	// minAttemptDelay and maxAttemptDelay bound the wait between two attempts, which doubles
	// from one to the next while the leader stays the same.
	minAttemptDelay = 40 * time.Millisecond
	maxAttemptDelay = 320 * time.Millisecond
)

// attemptFunc makes one call, to l if it is not nil and to the address otherwise.
type attemptFunc func(ctx context.Context, l *caleader.Leader, address string) error

// forward sends a call to the leader and retries until there is a final answer. All calls
// are idempotent. Submissions are refused soon, since their callers may come back;
// cancellations and queries are tried for as long as their callers wait. Once an attempt may
// have taken effect, a later refusal is returned as KindUnknown, since it does not tell the
// outcome of the earlier attempt.
func (l *link) forward(ctx context.Context, name string, job cawork.JobID, call attemptFunc) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
	}
	f := forwarding{link: l, name: name, job: job, began: l.gate.Timer.Now(), delay: minAttemptDelay}
	err := f.run(ctx, call)
	l.reportCall(f, l.gate.Timer.Now().Sub(f.began), err)
	return err
}

// forwarding is a call on its way to the leader.
type forwarding struct {
	link  *link
	name  string
	job   cawork.JobID
	began time.Time
	// delay is the wait before the next attempt.
	delay time.Duration
	// unknownErr is the error of an attempt that may have taken effect, if any.
	unknownErr error
	attempts   int
	// inAttempts is the time in attempts.
	inAttempts time.Duration
}

func (f *forwarding) run(ctx context.Context, call attemptFunc) error {
	for {
		if leader, status, ok := f.link.target(); ok {
			err := f.attempt(ctx, leader, status, call)
			if isFinal(err) {
				return f.finalError(err)
			}
			if cakind.Of(err) == cakind.KindUnknown && !f.isQuery() {
				f.unknownErr = err
			}
			f.link.triggerCheck()
		}
		if reason := f.reasonToGiveUp(); reason != "" {
			return f.link.noLeaderError(f.unknownErr, reason)
		}
		if !f.waitForRetry(ctx) {
			return f.link.noLeaderError(f.unknownErr, "no leader answers before the deadline")
		}
	}
}

func (f *forwarding) attempt(ctx context.Context, leader *caleader.Leader, status leaderStatus, call attemptFunc) error {
	began := f.link.gate.Timer.Now()
	err := f.link.attempt(ctx, leader, status, call)
	f.attempts++
	f.inAttempts += f.link.gate.Timer.Now().Sub(began)
	return err
}

// isQuery reports whether the call has no effect.
func (f *forwarding) isQuery() bool { return f.name == callPhase || f.name == callPending }

// finalError returns the error of a call after its last attempt. That a job does not exist is
// true whatever an earlier cancellation did.
func (f *forwarding) finalError(err error) error {
	isTrue := f.name == callCancel && cakind.Of(err) == cakind.KindNotFound
	if f.unknownErr != nil && isRefusal(err) && !isTrue {
		return cakind.Wrap(cakind.KindUnknown, f.unknownErr, "an earlier attempt may have taken effect")
	}
	return err
}

// reasonToGiveUp returns why the call is not tried again, or "".
func (f *forwarding) reasonToGiveUp() string {
	waited := f.link.gate.Timer.Now().Sub(f.began)
	isSubmission := f.name == callSubmit
	switch {
	case f.link.isIsolated() && (isSubmission || waited > isolatedWaitTimeout):
		return "the entry reaches neither the leader nor the store"
	case isSubmission && f.unknownErr == nil && waited > leaderWaitTimeout, isSubmission && waited > outcomeWaitTimeout:
		return "no leader answers"
	}
	return ""
}

// waitForRetry waits for the delay or until another leader is observed. It returns false if
// the context has ended.
func (f *forwarding) waitForRetry(ctx context.Context) bool {
	after := f.link.gate.Timer.After(f.delay)
	defer after.Close()
	select {
	case <-ctx.Done():
		return false
	case <-after.C:
		f.delay = min(2*f.delay, maxAttemptDelay)
	case <-f.link.awaitLeaderChange():
		f.delay = minAttemptDelay
	}
	return ctx.Err() == nil
}

// awaitLeaderChange returns a channel that is closed when another leader is observed.
func (l *link) awaitLeaderChange() <-chan struct{} {
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	return l.leaderChanged
}

// noLeaderError returns the error for a call without a final answer: unknownErr if an
// attempt may have taken effect, a refusal otherwise.
func (l *link) noLeaderError(unknownErr error, reason string) error {
	if unknownErr != nil {
		return unknownErr
	}
	return cakind.New(cakind.KindUnavailable, "shard %d: %s", l.shard, reason).WithRetryAfter(noLeaderRetryAfter)
}

// isFinal reports whether the result of an attempt needs no further attempt.
func isFinal(err error) bool {
	if err == nil {
		return true
	}
	switch cakind.Of(err) {
	case cakind.KindUnknown, cakind.KindNotStarted, cakind.KindFenced, cakind.KindDraining:
		return false
	default:
		return !capeer.IsUnreachable(err)
	}
}

// isRefusal reports whether an error guarantees that the call had no effect.
func isRefusal(err error) bool {
	return err != nil && cakind.ResponseTo(cakind.Of(err)).Execution == cakind.ExecutionNotRun
}

// attemptTimeout returns the timeout of an attempt to call the leader.
func (s leaderStatus) attemptTimeout() time.Duration {
	return min(attemptTimeout+attemptTimeoutFactor*s.helloLatency, maxAttemptTimeout)
}

// attempt makes one call to the leader and cancels it when the leader is lost.
func (l *link) attempt(ctx context.Context, leader *caleader.Leader, status leaderStatus, call attemptFunc) error {
	ctx, cancel := context.WithTimeout(ctx, status.attemptTimeout())
	defer cancel()
	go func() {
		select {
		case <-status.lost:
			cancel()
		case <-ctx.Done():
		}
	}()
	return call(ctx, leader, status.Address)
}
