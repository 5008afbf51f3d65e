package cagate

import (
	"context"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/calatency"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caleader"
	"celeryarch.example/celeryarch/internal/cell/caorder"
	"celeryarch.example/celeryarch/internal/cell/casilence"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/node/capeer"
)

const (
	// noLeaderRetryAfter is the retry delay for callers while there is no leader.
	noLeaderRetryAfter = 800 * time.Millisecond
	// The shard of a leader counts as available up to an age of its last reply of
	// minReadyReplyAge, more if its replies take long, and up to an age of its last append of
	// readyAppendFactor times the duration of that append, which is bounded by
	// minReadyAppendAge and caleader.MaxClaimAge.
	minReadyReplyAge  = 1200 * time.Millisecond
	minReadyAppendAge = 1500 * time.Millisecond
	readyAppendFactor = 2.5
	// maxPendingAge bounds the age of the reply whose counts of pending jobs are used.
	maxPendingAge = time.Second
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
	// claiming is set from a claim of the shard by this entry until it leads or the claim has failed.
	claiming bool
	// leadingSince is when this entry last started to lead the shard.
	leadingSince time.Time
	// handedOverAt is when this entry last handed the shard over to a strong entry.
	handedOverAt time.Time
	// unreadableAt is when this entry last released the shard since it could not read the jobs.
	unreadableAt time.Time
	// isolated is set while neither the leader nor the store answers this entry.
	isolated bool
	// silence is what the claims declared that this entry has read. Only run uses it.
	silence casilence.Sightings
	// granter is what these claims state of the last leader that may have granted leases. Only run
	// uses it.
	granter caleader.GranterSighting
	// claims reads the current claim. Only run uses it.
	claims *claimReader
	// appendLatency is that of the appends to the log by the entries that lead or claim the shard. Its
	// timeout is how long a claim may be without an answer.
	appendLatency *calatency.Peak
}

// leaderStatus is the last observed leader and its state as far as this entry knows.
type leaderStatus struct {
	leaderID
	// lastReplyAt is when the leader last replied, or when it was first observed.
	lastReplyAt time.Time
	// lastAppendAge is the age of the leader's last append at the time of that reply.
	lastAppendAge time.Duration
	// lastAppendTook is the duration of that append, zero if the reply does not tell it.
	lastAppendTook time.Duration
	// nextHelloIn is the hello period that the leader asked for.
	nextHelloIn time.Duration
	// unstarted are the leader's counts of pending jobs by queue, if that reply has any.
	unstarted    map[caspec.QueueName]int
	hasUnstarted bool
	// leavesKeys is set if that reply tells that the leader gives no shards to new keys, as earlier builds do.
	leavesKeys bool
	// observedAt is when this leader was first observed.
	observedAt time.Time
	// helloLatency is the mean latency of its last replies, with most weight on the newest.
	helloLatency time.Duration
	// helloMisses counts the hello calls without an answer in time since its last reply.
	helloMisses int
	// unresponsive is set while the leader does not answer. Calls are not forwarded to it
	// during that time.
	unresponsive bool
	// lost is closed when the leader is superseded or becomes unresponsive.
	lost chan struct{}
}

func newLink(g *Gate, shard int) *link {
	return &link{
		gate: g, shard: shard, leaderChanged: make(chan struct{}), checkNow: make(chan struct{}, 1),
		status:        leaderStatus{lost: make(chan struct{})},
		claims:        newClaimReader(g, shard),
		appendLatency: calatency.NewPeak(calatency.Bounds{Min: minClaimAnswerTime, Max: maxClaimAnswerTime}),
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

// recordReply records a reply of the leader. The caller must hold Gate.mu.
func (l *link) recordReply(reply helloReply, latency time.Duration) {
	l.setIsolatedLocked(false)
	l.status.lastReplyAt = l.gate.Timer.Now()
	l.status.lastAppendAge, l.status.lastAppendTook = reply.LastAppendAge, reply.LastAppendTook
	l.appendLatency.Observe(reply.LastAppendTook)
	l.status.nextHelloIn = reply.NextHelloIn
	l.status.helloLatency = (l.status.helloLatency + latency) / 2
	l.status.leavesKeys = !reply.DecidesKeys
	l.status.unstarted, l.status.hasUnstarted = reply.Unstarted, reply.HasUnstarted
	l.status.unresponsive, l.status.helloMisses = false, 0
}

// isAvailable reports whether the shard has a leader that answers and reaches the store.
// The caller must hold Gate.mu.
func (l *link) isAvailable() bool {
	if l.localLeader != nil {
		return l.localLeader.LastAppendAge() < maxReadyAppendAge(l.localLeader.LastAppendTook())
	}
	status := l.status
	replyAge := l.gate.Timer.Now().Sub(status.lastReplyAt)
	return !l.isolated && status.Address != "" && replyAge < status.maxReadyReplyAge() && status.lastAppendAge < maxReadyAppendAge(status.lastAppendTook)
}

// maxReadyAppendAge returns up to which age of its last append, which took so long, a leader
// counts as available. A leader whose appends take long has no newer one meanwhile.
func maxReadyAppendAge(took time.Duration) time.Duration {
	return min(max(time.Duration(readyAppendFactor*float64(took)), minReadyAppendAge), caleader.MaxClaimAge)
}

// maxReadyReplyAge returns up to which age of its last reply a leader counts as available.
func (s leaderStatus) maxReadyReplyAge() time.Duration {
	return minReadyReplyAge + helloTimeoutFor(s.helloLatency) - helloTimeout
}

// observeLeader records an entry as the leader if its token is newer than the recorded
// one. Other entries may read a claim of this one before it is answered: it does not lead yet, and must
// not answer that it does not lead any more. The caller must hold Gate.mu.
func (l *link) observeLeader(id leaderID) {
	if id.Token <= l.status.Token || l.claiming && id.VM == l.gate.Self.VM {
		return
	}
	caevent.Info(l.gate.Log, caevent.MemberChanged).Int("shard", l.shard).Str("leader", string(id.VM)).
		Int64("token", id.Token).Str("before", string(l.status.VM)).Int64("token_before", l.status.Token).Send()
	close(l.status.lost)
	now := l.gate.Timer.Now()
	l.status = leaderStatus{
		leaderID: id, lost: make(chan struct{}), lastReplyAt: now, observedAt: now,
		helloLatency: l.status.helloLatency,
	}
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

// pending counts the accepted jobs of a queue in this shard that have not started. It uses the
// counts of the leader's last reply if they are recent.
func (l *link) pending(ctx context.Context, q caspec.QueueName) (int, error) {
	if n, ok := l.recentPending(q); ok {
		return n, nil
	}
	n := 0
	err := l.forward(ctx, callPending, "", func(ctx context.Context, leader *caleader.Leader, address string) (err error) {
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

// recentPending returns the count of a queue in the last reply of a leader on another entry,
// unless it is too old or unknown.
func (l *link) recentPending(q caspec.QueueName) (int, bool) {
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	isRecent := l.status.hasUnstarted && l.gate.Timer.Now().Sub(l.status.lastReplyAt) <= maxPendingAge
	if l.localLeader != nil || !isRecent {
		return 0, false
	}
	return l.status.unstarted[q], true
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
func (l *link) AdviseVia(ctx context.Context, entry cawork.VMID, ask caorder.ApprovalRequest) ([]caorder.Approval, error) {
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
