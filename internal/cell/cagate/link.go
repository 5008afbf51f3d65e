package cagate

import (
	"context"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caboard"
	"celeryarch.example/celeryarch/internal/cell/caleader"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/node/capeer"
)

const (
	// leaderWaitTimeout is how long a call waits for a leader to be elected.
	leaderWaitTimeout = 400 * time.Millisecond
	// outcomeWaitTimeout is how long a call that may have taken effect waits for a
	// leader that can confirm its outcome.
	outcomeWaitTimeout = 2 * time.Second
	// attemptTimeout bounds one attempt to call the leader.
	attemptTimeout = 1500 * time.Millisecond
	// attemptDelay is the wait between two attempts.
	attemptDelay = 40 * time.Millisecond
	// noLeaderRetryAfter is the retry delay for callers while there is no leader.
	noLeaderRetryAfter = 800 * time.Millisecond
	// maxReadyReplyAge and maxReadyAppendAge bound the ages of a leader's last reply and
	// last append while its shard counts as available.
	maxReadyReplyAge  = 1200 * time.Millisecond
	maxReadyAppendAge = 1500 * time.Millisecond
)

// link connects the entry to the leader of one shard, which may run in this entry. It
// tracks the leader, forwards calls to it and takes part in the shard's elections. Gate.mu
// guards its mutable fields.
type link struct {
	gate   *Gate
	shard  int
	status leaderStatus
	// leaderChanged is closed and replaced when another leader is observed.
	leaderChanged chan struct{}
	// checkNow requests an immediate check of the leader.
	checkNow chan struct{}
	// localLeader is nil unless this entry leads the shard.
	localLeader *caleader.Leader
	// leadingSince is when this entry last started to lead the shard.
	leadingSince time.Time
	// handedOverAt is when this entry last handed the shard over to a strong entry.
	handedOverAt time.Time
	// isolated is set while neither the leader nor the store answers this entry.
	isolated bool
	// silence is what the claims declared that this entry has read. Only run uses it.
	silence caboard.SilenceSightings
}

// leaderStatus is the last observed leader and its state as far as this entry knows.
type leaderStatus struct {
	leaderID
	// lastReplyAt is when the leader last replied, or when it was first observed.
	lastReplyAt time.Time
	// lastAppendAge is the age of the leader's last append at the time of that reply.
	lastAppendAge time.Duration
	// nextHelloIn is the hello period that the leader asked for.
	nextHelloIn time.Duration
	// unresponsive is set while the leader does not answer. Calls are not forwarded to it
	// during that time.
	unresponsive bool
	// lost is closed when the leader is superseded or becomes unresponsive.
	lost chan struct{}
}

func newLink(g *Gate, shard int) *link {
	return &link{
		gate: g, shard: shard, leaderChanged: make(chan struct{}), checkNow: make(chan struct{}, 1),
		status: leaderStatus{lost: make(chan struct{})},
	}
}

// setIsolated records whether both the leader and the store are unreachable. If so, it
// cancels the calls in progress, since no answer would arrive in time.
func (l *link) setIsolated(isolated bool) {
	if isolated {
		l.markUnresponsive()
	}
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	l.setIsolatedLocked(isolated)
}

// setIsolatedLocked updates and logs the isolation of the entry. The caller must hold
// Gate.mu.
func (l *link) setIsolatedLocked(isolated bool) {
	if l.isolated == isolated || isolated && l.localLeader != nil {
		return
	}
	l.isolated = isolated
	caevent.Info(l.gate.Log, caevent.EntryCutOff).Int("shard", l.shard).Bool("cut_off", isolated).
		Str("leader", string(l.status.VM)).Dur("since_heard", l.gate.Timer.Now().Sub(l.status.lastReplyAt)).Send()
}

// isIsolated reports whether both the leader and the store are unreachable.
func (l *link) isIsolated() bool {
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	return l.isolated
}

// isAvailable reports whether the shard has a leader that answers and reaches the store.
// The caller must hold Gate.mu.
func (l *link) isAvailable() bool {
	if l.localLeader != nil {
		return l.localLeader.LastAppendAge() < maxReadyAppendAge
	}
	status := l.status
	return !l.isolated && status.Address != "" && l.gate.Timer.Now().Sub(status.lastReplyAt) < maxReadyReplyAge && status.lastAppendAge < maxReadyAppendAge
}

// observeLeader records an entry as the leader if its token is newer than the recorded
// one. The caller must hold Gate.mu.
func (l *link) observeLeader(id leaderID) {
	if id.Token <= l.status.Token {
		return
	}
	caevent.Info(l.gate.Log, caevent.MemberChanged).Int("shard", l.shard).Str("leader", string(id.VM)).
		Int64("token", id.Token).Str("before", string(l.status.VM)).Int64("token_before", l.status.Token).Send()
	close(l.status.lost)
	l.status = leaderStatus{leaderID: id, lost: make(chan struct{}), lastReplyAt: l.gate.Timer.Now()}
	close(l.leaderChanged)
	l.leaderChanged = make(chan struct{})
}

// target returns where to send calls: the local leader, or nil and the status of the leader
// on another entry. It also reports whether calls can be sent there now.
func (l *link) target() (*caleader.Leader, leaderStatus, bool) {
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	if l.localLeader != nil {
		return l.localLeader, l.status, true
	}
	reachable := l.status.Address != "" && l.status.VM != l.gate.Self.VM && !l.status.unresponsive
	return nil, l.status, reachable
}

// markUnresponsive marks a leader on another entry as unresponsive and cancels the calls in
// progress to it.
func (l *link) markUnresponsive() {
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	if l.status.unresponsive || l.localLeader != nil {
		return
	}
	l.status.unresponsive = true
	close(l.status.lost)
	l.status.lost = make(chan struct{})
}

// attemptFunc makes one call, to l if it is not nil and to the address otherwise.
type attemptFunc func(ctx context.Context, l *caleader.Leader, address string) error

// forward sends a call to the leader and retries until there is a final answer. All calls
// are idempotent. Once an attempt may have taken effect, a later refusal is returned as
// KindUnknown, since it does not tell the outcome of the earlier attempt.
func (l *link) forward(ctx context.Context, call attemptFunc) error {
	began := l.gate.Timer.Now()
	var unknownErr error
	for {
		leader, status, ok := l.target()
		if ok {
			err := l.attempt(ctx, leader, status, call)
			switch {
			case isFinal(err):
				if unknownErr != nil && isRefusal(err) {
					return cakind.Wrap(cakind.KindUnknown, unknownErr, "an earlier attempt may have taken effect")
				}
				return err
			case cakind.Of(err) == cakind.KindUnknown:
				unknownErr = err
			}
			l.triggerCheck()
		}
		if l.isIsolated() {
			return l.noLeaderError(unknownErr, "the entry reaches neither the leader nor the store")
		}
		waited := l.gate.Timer.Now().Sub(began)
		if unknownErr != nil && waited > outcomeWaitTimeout {
			return unknownErr
		}
		if unknownErr == nil && waited > leaderWaitTimeout {
			return l.noLeaderError(nil, "no leader answers")
		}
		if !l.waitForRetry(ctx) {
			return l.noLeaderError(unknownErr, "no leader answers before the deadline")
		}
	}
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

// attempt makes one call to the leader and cancels it when the leader is lost.
func (l *link) attempt(ctx context.Context, leader *caleader.Leader, status leaderStatus, call attemptFunc) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
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

// waitForRetry waits for attemptDelay or until another leader is observed. It returns false
// if the context has ended.
func (l *link) waitForRetry(ctx context.Context) bool {
	after := l.gate.Timer.After(attemptDelay)
	defer after.Close()
	l.gate.mu.Lock()
	leaderChanged := l.leaderChanged
	l.gate.mu.Unlock()
	select {
	case <-ctx.Done():
		return false
	case <-after.C:
	case <-leaderChanged:
	}
	return ctx.Err() == nil
}

// pending counts the accepted jobs of a queue in this shard that have not started.
func (l *link) pending(ctx context.Context, q caspec.QueueName) (int, error) {
	n := 0
	err := l.forward(ctx, func(ctx context.Context, leader *caleader.Leader, address string) (err error) {
		if leader != nil {
			n, err = leader.Pending(q)
			return err
		}
		request := pendingRequest{Queue: q, Shard: l.shard}
		reply, err := capeer.Call[pendingRequest, pendingReply](ctx, l.gate.PeerClient, address, callPending, request)
		n = reply.Pending
		return err
	})
	return n, err
}

// Names implements caleader.AdvisorProxies. The entries with an advisor are divided among the
// shards if there are enough for each shard to have one.
func (l *link) Names() []cawork.VMID {
	g := l.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	var names []cawork.VMID
	if g.Advisor != nil {
		names = append(names, g.Self.VM)
	}
	for _, p := range g.roster.Advisors(g.Timer.Now()) {
		names = append(names, p.VM)
	}
	slices.Sort(names)
	shards := len(g.links)
	if len(names) < shards {
		return names
	}
	own := names[:0]
	for i, name := range names {
		if i%shards == l.shard {
			own = append(own, name)
		}
	}
	return own
}

// AdviseVia implements caleader.AdvisorProxies.
func (l *link) AdviseVia(ctx context.Context, entry cawork.VMID, ask caboard.ApprovalRequest) ([]caboard.Approval, error) {
	g := l.gate
	if entry == g.Self.VM {
		return g.Advisor.Advise(ctx, ask)
	}
	g.mu.Lock()
	address := g.roster.Address(entry)
	g.mu.Unlock()
	if address == "" {
		return nil, cakind.New(cakind.KindUnavailable, "unknown entry %s", entry)
	}
	reply, err := capeer.Call[adviseRequest, adviseReply](ctx, g.PeerClient, address, callAdvise, adviseRequest{ask})
	return reply.Approved, err
}
