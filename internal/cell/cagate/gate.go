package cagate

import (
	"context"
	"sync"
	"time"

	"github.com/oklog/run"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caboard"
	"celeryarch.example/celeryarch/internal/cell/caleader"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/cell/castate"
	"celeryarch.example/celeryarch/internal/node/capeer"
)

const (
	// leaderWait is how long a call waits for a leader to stand.
	leaderWait = 400 * time.Millisecond
	// attemptTimeout bounds one try to carry a call to the leader.
	attemptTimeout = 1500 * time.Millisecond
	// attemptPause is the wait between two tries.
	attemptPause = 40 * time.Millisecond
	// retryWithoutLeader is when callers should come back without a leader.
	retryWithoutLeader = 800 * time.Millisecond
)

// Feed delivers the policy. Watch calls apply with each version that it reads,
// and lost or regained when the source stops or starts to answer.
type Feed interface {
	Watch(ctx context.Context, apply func(caspec.Policy), reachable func(bool)) error
}

// Deps are what a gate works with.
type Deps struct {
	Self      Peer
	Seeds     []string
	Log       zerolog.Logger
	Scope     tally.Scope
	Timer     *catimer.Service
	Wall      func() int64
	Peers     *capeer.Client
	Store     caleader.Log
	Upstreams caleader.Upstreams
	Registry  caleader.Registry
	// Advisor is nil where there is none.
	Advisor caleader.Advisor
	Feed    Feed
	// Nonce tells the lives of this VM apart.
	Nonce int64
}

// Gate is the entry's side of a cell.
type Gate struct {
	Deps
	done chan struct{}

	mu     sync.Mutex
	policy caspec.Policy
	belief belief
	// changed is closed when the belief changes.
	changed chan struct{}
	// waking makes the entry look at the leader at once.
	waking   chan struct{}
	leader   *caleader.Leader
	peers    map[cawork.VMID]*peerState
	feedLost time.Time
	draining bool
	leading  sync.WaitGroup
}

// belief is whom the entry takes for the leader.
type belief struct {
	lead
	// heardAt is the last time that it answered.
	heardAt time.Time
	// storeAge is the age of its last append at that time.
	storeAge time.Duration
	// lost is closed when it stops to be the leader for this entry.
	lost chan struct{}
}

type peerState struct {
	Peer
	seenAt  time.Time
	advises bool
	// wallOffset is how far its time of day is ahead of that of this entry.
	wallOffset time.Duration
}

// New returns a gate that knows no leader yet.
func New(deps Deps) *Gate {
	return &Gate{
		Deps: deps, done: make(chan struct{}), changed: make(chan struct{}),
		waking: make(chan struct{}, 1), peers: make(map[cawork.VMID]*peerState),
		feedLost: deps.Timer.Now(), belief: belief{lost: make(chan struct{})},
	}
}

// Done is closed when the gate has ended.
func (g *Gate) Done() <-chan struct{} { return g.done }

// Run follows the leader, the policy and the other entries until the context
// ends.
func (g *Gate) Run(ctx context.Context) error {
	defer close(g.done)
	var group run.Group
	for _, part := range []func(context.Context) error{g.watchPolicy, g.followLoop, g.askPeersLoop} {
		partCtx, cancel := context.WithCancel(ctx)
		group.Add(func() error { return part(partCtx) }, func(error) { cancel() })
	}
	err := group.Run()
	g.leading.Wait()
	return err
}

// SetSeeds replaces the addresses at which other entries may be found.
func (g *Gate) SetSeeds(seeds []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Seeds = seeds
}

// Policy returns the policy in force.
func (g *Gate) Policy() caspec.Policy {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.policy
}

func (g *Gate) watchPolicy(ctx context.Context) error {
	return g.Feed.Watch(ctx, func(p caspec.Policy) { g.apply(p, "store") }, g.noteFeed)
}

func (g *Gate) noteFeed(reachable bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case reachable && !g.feedLost.IsZero():
		caevent.Info(g.Log, caevent.LogRestored).Dur("after", g.Timer.Now().Sub(g.feedLost)).Send()
		g.feedLost = time.Time{}
	case !reachable && g.feedLost.IsZero():
		g.feedLost = g.Timer.Now()
		caevent.Warn(g.Log, caevent.LogUnavailable).Int64("policy", g.policy.Version).Send()
	}
}

// apply puts a version of the policy in force unless it has a newer one.
func (g *Gate) apply(p caspec.Policy, source string) {
	p = p.WithIndex()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.policy.IsZero() && p.Version <= g.policy.Version {
		return
	}
	caevent.Info(g.Log, caevent.ConfigApplied).Int64("version", p.Version).Int64("before", g.policy.Version).
		Str("source", source).Int("queues", len(p.Queues)).Int("teams", len(p.Teams)).Send()
	g.policy = p
	if g.leader != nil {
		g.leader.SetPolicy(p)
	}
}

// IsReady reports whether the entry can serve new calls.
func (g *Gate) IsReady() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining || g.policy.IsZero() {
		return false
	}
	if g.leader != nil {
		return g.leader.StoreAge() < readyStoreAge
	}
	return g.belief.Address != "" && g.Timer.Now().Sub(g.belief.heardAt) < readyHeardAge && g.belief.storeAge < readyStoreAge
}

// Drain makes the entry not ready for good, and hands the cell over if it leads.
func (g *Gate) Drain() {
	g.mu.Lock()
	g.draining = true
	l := g.leader
	g.mu.Unlock()
	if l != nil {
		l.Release()
	}
}

// Submit hands a job in. Other errors than KindUnknown mean that the job is not
// accepted and never runs.
func (g *Gate) Submit(ctx context.Context, s caspec.Submission) error {
	return g.carry(ctx, func(ctx context.Context, l *caleader.Leader, address string) error {
		if l != nil {
			return l.Submit(ctx, s)
		}
		_, err := capeer.Call[submitRequest, empty](ctx, g.Peers, address, callSubmit, submitRequest{s, remaining(ctx)})
		return err
	})
}

// Phase returns the phase of a job.
func (g *Gate) Phase(ctx context.Context, id cawork.JobID) (castate.Phase, error) {
	var phase castate.Phase
	err := g.carry(ctx, func(ctx context.Context, l *caleader.Leader, address string) (err error) {
		if l != nil {
			phase, err = l.Phase(id)
			return err
		}
		reply, err := capeer.Call[jobRequest, phaseReply](ctx, g.Peers, address, callPhase, jobRequest{Job: id})
		phase = reply.Phase
		return err
	})
	return phase, err
}

// Cancel cancels a job.
func (g *Gate) Cancel(ctx context.Context, id cawork.JobID) error {
	return g.carry(ctx, func(ctx context.Context, l *caleader.Leader, address string) error {
		if l != nil {
			return l.Cancel(ctx, id)
		}
		_, err := capeer.Call[jobRequest, empty](ctx, g.Peers, address, callCancel, jobRequest{id, remaining(ctx)})
		return err
	})
}

// Pending counts the accepted jobs of a queue that have not begun.
func (g *Gate) Pending(ctx context.Context, q caspec.QueueName) (int, error) {
	n := 0
	err := g.carry(ctx, func(ctx context.Context, l *caleader.Leader, address string) (err error) {
		if l != nil {
			n, err = l.Pending(q)
			return err
		}
		reply, err := capeer.Call[pendingRequest, pendingReply](ctx, g.Peers, address, callPending, pendingRequest{q})
		n = reply.Pending
		return err
	})
	return n, err
}

func remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return attemptTimeout
	}
	return time.Until(deadline)
}

// carry tries a call at the leader until there is an answer. All calls may be
// repeated. Once a try may have taken effect, a refusal can not be believed.
func (g *Gate) carry(ctx context.Context, try func(ctx context.Context, l *caleader.Leader, address string) error) error {
	began := g.Timer.Now()
	var unknown error
	for {
		l, at, ok := g.target()
		if ok {
			err := g.attempt(ctx, l, at, try)
			switch {
			case isFinal(err):
				if unknown != nil && isRefusal(err) {
					return cakind.Wrap(cakind.KindUnknown, unknown, "an earlier try may have taken effect")
				}
				return err
			case cakind.Of(err) == cakind.KindUnknown:
				unknown = err
			}
			g.wake()
		}
		if unknown == nil && g.Timer.Now().Sub(began) > leaderWait {
			return cakind.New(cakind.KindUnavailable, "no leader answers").WithRetryAfter(retryWithoutLeader)
		}
		if !g.rest(ctx) {
			if unknown != nil {
				return unknown
			}
			return cakind.New(cakind.KindUnavailable, "no leader answers in time").WithRetryAfter(retryWithoutLeader)
		}
	}
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

// target returns the leader: this entry itself, or the address of another.
func (g *Gate) target() (*caleader.Leader, belief, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leader != nil {
		return g.leader, g.belief, true
	}
	return nil, g.belief, g.belief.Address != "" && g.belief.VM != g.Self.VM
}

func (g *Gate) attempt(ctx context.Context, l *caleader.Leader, at belief, try func(context.Context, *caleader.Leader, string) error) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	go func() {
		select {
		case <-at.lost:
			cancel()
		case <-ctx.Done():
		}
	}()
	return try(ctx, l, at.Address)
}

// rest waits before the next try. It reports whether there is time for one.
func (g *Gate) rest(ctx context.Context) bool {
	after := g.Timer.After(attemptPause)
	defer after.Close()
	g.mu.Lock()
	changed := g.changed
	g.mu.Unlock()
	select {
	case <-ctx.Done():
		return false
	case <-after.C:
	case <-changed:
	}
	return ctx.Err() == nil
}

// Names returns the entries that can ask the advisor now.
func (g *Gate) Names() []cawork.VMID {
	g.mu.Lock()
	defer g.mu.Unlock()
	names := []cawork.VMID{}
	if g.Advisor != nil {
		names = append(names, g.Self.VM)
	}
	for vm, p := range g.peers {
		if p.advises && g.Timer.Now().Sub(p.seenAt) < peerAge {
			names = append(names, vm)
		}
	}
	return names
}

// AdviseThrough asks the advisor through an entry.
func (g *Gate) AdviseThrough(ctx context.Context, entry cawork.VMID, ask caboard.Ask) ([]caboard.Approval, error) {
	if entry == g.Self.VM {
		return g.Advisor.Advise(ctx, ask)
	}
	g.mu.Lock()
	p, ok := g.peers[entry]
	g.mu.Unlock()
	if !ok {
		return nil, cakind.New(cakind.KindUnavailable, "entry %s is not known", entry)
	}
	reply, err := capeer.Call[adviseRequest, adviseReply](ctx, g.Peers, p.Address, callAdvise, adviseRequest{ask})
	return reply.Approved, err
}
