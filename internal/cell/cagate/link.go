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
	// leaderWait is how long a call waits for a leader to stand.
	leaderWait = 400 * time.Millisecond
	// outcomeWait is how long a call that may have taken effect waits for a
	// leader that tells.
	outcomeWait = 2 * time.Second
	// attemptTimeout bounds one try to carry a call to the leader.
	attemptTimeout = 1500 * time.Millisecond
	// attemptPause is the wait between two tries.
	attemptPause = 40 * time.Millisecond
	// retryWithoutLeader is when callers should come back without a leader.
	retryWithoutLeader = 800 * time.Millisecond
	// readyHeardAge and readyStoreAge bound how old the last answer of a leader
	// and its last append may be while its shard counts as served.
	readyHeardAge = 1200 * time.Millisecond
	readyStoreAge = 1500 * time.Millisecond
)

// link is what an entry knows of one shard: its leader, which may be this
// entry. The gate's lock guards it.
type link struct {
	gate   *Gate
	shard  int
	belief belief
	// changed is closed when the belief changes.
	changed chan struct{}
	// waking makes the entry look at the leader at once.
	waking chan struct{}
	leader *caleader.Leader
	// ledSince is when this entry began to lead, and yieldedAt when it last
	// handed over to a stronger one.
	ledSince  time.Time
	yieldedAt time.Time
	// cutOff is set while neither the leader nor the store answers this entry.
	cutOff bool
}

// belief is whom the entry takes for the leader.
type belief struct {
	lead
	// heardAt is the last time that it answered.
	heardAt time.Time
	// storeAge is the age of its last append at that time.
	storeAge time.Duration
	// callAgain is the time after which it wants to be called again.
	callAgain time.Duration
	// silent is set while it does not answer. No call is carried to it then.
	silent bool
	// lost is closed when it stops to be the leader for this entry, or to
	// answer.
	lost chan struct{}
}

func newLink(g *Gate, shard int) *link {
	return &link{
		gate: g, shard: shard, changed: make(chan struct{}), waking: make(chan struct{}, 1),
		belief: belief{lost: make(chan struct{})},
	}
}

// noteCutOff takes up whether neither the leader nor the store answers. Calls that are
// under way end then, since no answer will come in time.
func (l *link) noteCutOff(cutOff bool) {
	if cutOff {
		l.noteSilent()
	}
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	l.setCutOff(cutOff)
}

// setCutOff changes what is believed about that. The gate's lock is held.
func (l *link) setCutOff(cutOff bool) {
	if l.cutOff == cutOff || cutOff && l.leader != nil {
		return
	}
	l.cutOff = cutOff
	caevent.Info(l.gate.Log, caevent.EntryCutOff).Int("shard", l.shard).Bool("cut_off", cutOff).
		Str("leader", string(l.belief.VM)).Dur("since_heard", l.gate.Timer.Now().Sub(l.belief.heardAt)).Send()
}

// isCutOff reports whether neither the leader nor the store answers.
func (l *link) isCutOff() bool {
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	return l.cutOff
}

// isHeard reports whether the shard has a leader that reaches the store. The
// gate's lock is held.
func (l *link) isHeard() bool {
	if l.leader != nil {
		return l.leader.StoreAge() < readyStoreAge
	}
	at := l.belief
	return !l.cutOff && at.Address != "" && l.gate.Timer.Now().Sub(at.heardAt) < readyHeardAge && at.storeAge < readyStoreAge
}

// believe takes an entry for the leader unless a later claim is known. The
// gate's lock is held.
func (l *link) believe(who lead) {
	if who.Token <= l.belief.Token {
		return
	}
	caevent.Info(l.gate.Log, caevent.MemberChanged).Int("shard", l.shard).Str("leader", string(who.VM)).
		Int64("token", who.Token).Str("before", string(l.belief.VM)).Int64("token_before", l.belief.Token).Send()
	close(l.belief.lost)
	l.belief = belief{lead: who, lost: make(chan struct{}), heardAt: l.gate.Timer.Now()}
	close(l.changed)
	l.changed = make(chan struct{})
}

// target returns the leader: this entry itself, or the address of another.
func (l *link) target() (*caleader.Leader, belief, bool) {
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	if l.leader != nil {
		return l.leader, l.belief, true
	}
	reachable := l.belief.Address != "" && l.belief.VM != l.gate.Self.VM && !l.belief.silent
	return nil, l.belief, reachable
}

// noteSilent ends the calls under way to a leader that does not answer.
func (l *link) noteSilent() {
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	if l.belief.silent || l.leader != nil {
		return
	}
	l.belief.silent = true
	close(l.belief.lost)
	l.belief.lost = make(chan struct{})
}

type try func(ctx context.Context, l *caleader.Leader, address string) error

// carry tries a call at the leader until there is an answer. All calls may be
// repeated. Once a try may have taken effect, a refusal can not be believed.
func (l *link) carry(ctx context.Context, try try) error {
	began := l.gate.Timer.Now()
	var unknown error
	for {
		leader, at, ok := l.target()
		if ok {
			err := l.attempt(ctx, leader, at, try)
			switch {
			case isFinal(err):
				if unknown != nil && isRefusal(err) {
					return cakind.Wrap(cakind.KindUnknown, unknown, "an earlier try may have taken effect")
				}
				return err
			case cakind.Of(err) == cakind.KindUnknown:
				unknown = err
			}
			l.wake()
		}
		if l.isCutOff() {
			return l.noLeader(unknown, "the entry is cut off from the leader and the store")
		}
		waited := l.gate.Timer.Now().Sub(began)
		if unknown != nil && waited > outcomeWait {
			return unknown
		}
		if unknown == nil && waited > leaderWait {
			return l.noLeader(nil, "no leader answers")
		}
		if !l.rest(ctx) {
			return l.noLeader(unknown, "no leader answers in time")
		}
	}
}

// noLeader returns the answer to a call that no leader answered: what is known of the
// tries that may have taken effect, else a refusal.
func (l *link) noLeader(unknown error, why string) error {
	if unknown != nil {
		return unknown
	}
	return cakind.New(cakind.KindUnavailable, "shard %d: %s", l.shard, why).WithRetryAfter(retryWithoutLeader)
}

// isFinal reports whether an answer ends the search for one.
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

func isRefusal(err error) bool {
	return err != nil && cakind.AnswerTo(cakind.Of(err)).Execution == cakind.ExecutionNotRun
}

func (l *link) attempt(ctx context.Context, leader *caleader.Leader, at belief, try try) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	go func() {
		select {
		case <-at.lost:
			cancel()
		case <-ctx.Done():
		}
	}()
	return try(ctx, leader, at.Address)
}

// rest waits before the next try. It reports whether there is time for one.
func (l *link) rest(ctx context.Context) bool {
	after := l.gate.Timer.After(attemptPause)
	defer after.Close()
	l.gate.mu.Lock()
	changed := l.changed
	l.gate.mu.Unlock()
	select {
	case <-ctx.Done():
		return false
	case <-after.C:
	case <-changed:
	}
	return ctx.Err() == nil
}

func (l *link) pending(ctx context.Context, q caspec.QueueName) (int, error) {
	n := 0
	err := l.carry(ctx, func(ctx context.Context, leader *caleader.Leader, address string) (err error) {
		if leader != nil {
			n, err = leader.Pending(q)
			return err
		}
		request := pendingRequest{Queue: q, Shard: l.shard}
		reply, err := capeer.Call[pendingRequest, pendingReply](ctx, l.gate.Peers, address, callPending, request)
		n = reply.Pending
		return err
	})
	return n, err
}

// Names implements caleader.Advisers: each shard asks through its own part of
// the entries.
func (l *link) Names() []cawork.VMID {
	g := l.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	var names []cawork.VMID
	if g.Advisor != nil {
		names = append(names, g.Self.VM)
	}
	for vm, p := range g.peers {
		if p.advises && g.Timer.Now().Sub(p.seenAt) < peerAge {
			names = append(names, vm)
		}
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

// AdviseThrough implements caleader.Advisers.
func (l *link) AdviseThrough(ctx context.Context, entry cawork.VMID, ask caboard.Ask) ([]caboard.Approval, error) {
	g := l.gate
	if entry == g.Self.VM {
		return g.Advisor.Advise(ctx, ask)
	}
	g.mu.Lock()
	address := ""
	if p, ok := g.peers[entry]; ok {
		address = p.Address
	}
	g.mu.Unlock()
	if address == "" {
		return nil, cakind.New(cakind.KindUnavailable, "entry %s is not known", entry)
	}
	reply, err := capeer.Call[adviseRequest, adviseReply](ctx, g.Peers, address, callAdvise, adviseRequest{ask})
	return reply.Approved, err
}
