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
	"celeryarch.example/celeryarch/internal/cell/calayout"
	"celeryarch.example/celeryarch/internal/cell/caleader"
	"celeryarch.example/celeryarch/internal/cell/carelay"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/cell/castate"
	"celeryarch.example/celeryarch/internal/node/capeer"
)

// firstReadWait is how long an entry that has just started waits for the store before
// it takes the policy of another entry, which may be an old one.
const firstReadWait = 1500 * time.Millisecond

// triesWhenAway is how many tries a caller should have while it waits.
const triesWhenAway = 3

// Feed delivers the policy. Watch calls apply with each version that it reads,
// and reachable when the source stops or starts to answer.
type Feed interface {
	Watch(ctx context.Context, apply func(caspec.Policy), reachable func(bool)) error
}

// Deps are what a gate works with.
type Deps struct {
	Self  Peer
	Seeds []string
	Log   zerolog.Logger
	Scope tally.Scope
	Timer *catimer.Service
	Wall  func() int64
	Peers *capeer.Client
	// Store returns the log of a shard, of which there are at most MostShards.
	Store      func(shard int) caleader.Log
	MostShards int
	Upstreams  caleader.Upstreams
	Registry   caleader.Registry
	// RelayFrom is the number of upstreams from which a leader reaches them
	// through other entries.
	RelayFrom int
	// Advisor is nil where there is none.
	Advisor caleader.Advisor
	Feed    Feed
	// Nonce tells the lives of this VM apart.
	Nonce int64
	// OnLead is told when this entry begins or stops to lead. It may be nil.
	OnLead func(leading bool)
}

// Gate is the entry's side of a cell.
type Gate struct {
	Deps
	done  chan struct{}
	agent *carelay.Agent
	// divided is closed when the layout is known.
	divided chan struct{}

	mu       sync.Mutex
	policy   caspec.Policy
	layout   calayout.Layout
	links    []*link
	peers    map[cawork.VMID]*peerState
	feedLost time.Time
	draining bool
	// startedAt is when this process began.
	startedAt time.Time
}

type peerState struct {
	Peer
	// seenAt is when it called last, presentSince since when it calls without a
	// gap, and toldAt when another told of it.
	seenAt       time.Time
	presentSince time.Time
	toldAt       time.Time
	advises      bool
	reachesStore bool
}

// New returns a gate that knows no leader yet.
func New(deps Deps) *Gate {
	g := &Gate{
		Deps: deps, done: make(chan struct{}), agent: carelay.NewAgent(deps.Upstreams, deps.Timer, deps.Log), divided: make(chan struct{}),
		peers: make(map[cawork.VMID]*peerState), feedLost: deps.Timer.Now(), startedAt: deps.Timer.Now(),
	}
	g.links = []*link{newLink(g, 0)}
	return g
}

// Done is closed when the gate has ended.
func (g *Gate) Done() <-chan struct{} { return g.done }

// Run follows the leaders, the policy and the other entries until the context
// ends.
func (g *Gate) Run(ctx context.Context) error {
	defer close(g.done)
	var group run.Group
	for _, part := range []func(context.Context) error{g.watchPolicy, g.links[0].run, g.runFurther, g.askPeersLoop, g.agent.Run} {
		partCtx, cancel := context.WithCancel(ctx)
		group.Add(func() error { return part(partCtx) }, func(error) { cancel() })
	}
	return group.Run()
}

// runFurther follows the leaders of the other shards, once the layout is known.
func (g *Gate) runFurther(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-g.divided:
	}
	g.mu.Lock()
	links := g.links[1:]
	g.mu.Unlock()
	var group sync.WaitGroup
	for _, l := range links {
		group.Go(func() { _ = l.run(ctx) })
	}
	group.Wait()
	<-ctx.Done()
	return context.Cause(ctx)
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

// setLayout takes up the division of the cell.
func (g *Gate) setLayout(l calayout.Layout) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.layout.IsZero() || l.IsZero() {
		return
	}
	g.layout = l
	for shard := 1; shard < l.Shards; shard++ {
		g.links = append(g.links, newLink(g, shard))
	}
	close(g.divided)
	caevent.Info(g.Log, caevent.LayoutKnown).Int("shards", l.Shards).Floats64("weights", l.Weights).Send()
}

// view returns the policy and the layout in force.
func (g *Gate) view() (caspec.Policy, calayout.Layout) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.policy, g.layout
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

// applyOf takes up the policy of another entry. Right after the start it waits for the
// store, which has the newest one: the other may still accept keys that were withdrawn.
func (g *Gate) applyOf(address string, p caspec.Policy) {
	if g.Policy().IsZero() && g.Timer.Now().Sub(g.startedAt) < firstReadWait {
		return
	}
	g.apply(p, "peer "+address)
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
	for _, l := range g.links {
		if l.leader != nil {
			l.leader.SetPolicy(p)
		}
	}
}

// IsReady reports whether the entry can serve new calls: it hears the leaders
// of most shards, and they reach the store.
func (g *Gate) IsReady() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining || g.policy.IsZero() || g.layout.IsZero() {
		return false
	}
	heard := 0
	for _, l := range g.links {
		if l.isHeard() {
			heard++
		}
	}
	return 2*heard >= len(g.links)
}

// Drain makes the entry not ready for good, and hands over what it leads.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	for _, l := range g.links {
		if l.leader != nil {
			l.leader.Release()
		}
	}
}

// tellLeading tells whether this entry leads. The lock is held.
func (g *Gate) tellLeading() {
	if g.OnLead != nil {
		g.OnLead(g.leading() > 0)
	}
}

// leading counts the shards that this entry leads. The lock is held.
func (g *Gate) leading() int {
	n := 0
	for _, l := range g.links {
		if l.leader != nil {
			n++
		}
	}
	return n
}

// link returns the link to the leader of a shard.
func (g *Gate) link(shard int) (*link, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if shard < 0 || shard >= len(g.links) {
		return nil, cakind.New(cakind.KindNotStarted, "shard %d is not known here", shard).WithRetryAfter(retryWithoutLeader)
	}
	return g.links[shard], nil
}

// linkOf returns the link to the leader of a job.
func (g *Gate) linkOf(team cawork.TeamName, id cawork.JobID) (*link, error) {
	_, layout := g.view()
	if layout.IsZero() {
		return nil, cakind.New(cakind.KindNotStarted, "the cell is not divided yet").WithRetryAfter(retryWithoutLeader)
	}
	return g.link(layout.ShardOfJob(team, id))
}

// Submit hands a job in. Other errors than KindUnknown mean that the job is not
// accepted and never runs.
func (g *Gate) Submit(ctx context.Context, s caspec.Submission) error {
	to, err := g.linkOf(s.Team, s.ID)
	if err != nil {
		return err
	}
	err = to.carry(ctx, func(ctx context.Context, l *caleader.Leader, address string) error {
		if l != nil {
			return l.Submit(ctx, s)
		}
		request := submitRequest{Submission: s, Wait: remaining(ctx), Shard: to.shard}
		_, err := capeer.Call[submitRequest, empty](ctx, g.Peers, address, callSubmit, request)
		return err
	})
	return g.withReturn(ctx, s, err)
}

// withReturn tells a caller whose job nobody can accept now when to come back: often
// enough to have some tries while it waits.
func (g *Gate) withReturn(ctx context.Context, s caspec.Submission, err error) error {
	if kind := cakind.Of(err); err == nil || kind != cakind.KindUnavailable && kind != cakind.KindNotStarted {
		return err
	}
	q, ok := g.Policy().Queue(s.Queue)
	if !ok {
		return err
	}
	after := caboard.RetryWhenAway(q, s.Steps)
	if deadline, ok := ctx.Deadline(); ok {
		after = min(after, max(time.Until(deadline)/triesWhenAway, caboard.RetryAwayLeast))
	}
	return cakind.Wrap(cakind.Of(err), err, "job %s was not accepted", s.ID).WithRetryAfter(after)
}

// Phase returns the phase of a job of the team.
func (g *Gate) Phase(ctx context.Context, team cawork.TeamName, id cawork.JobID) (castate.Phase, error) {
	to, err := g.linkOf(team, id)
	if err != nil {
		return 0, err
	}
	var phase castate.Phase
	err = to.carry(ctx, func(ctx context.Context, l *caleader.Leader, address string) (err error) {
		if l != nil {
			phase, err = l.Phase(id)
			return err
		}
		request := jobRequest{Job: id, Shard: to.shard}
		reply, err := capeer.Call[jobRequest, phaseReply](ctx, g.Peers, address, callPhase, request)
		phase = reply.Phase
		return err
	})
	return phase, err
}

// Cancel cancels a job of the team.
func (g *Gate) Cancel(ctx context.Context, team cawork.TeamName, id cawork.JobID) error {
	to, err := g.linkOf(team, id)
	if err != nil {
		return err
	}
	return to.carry(ctx, func(ctx context.Context, l *caleader.Leader, address string) error {
		if l != nil {
			return l.Cancel(ctx, id)
		}
		request := jobRequest{Job: id, Wait: remaining(ctx), Shard: to.shard}
		_, err := capeer.Call[jobRequest, empty](ctx, g.Peers, address, callCancel, request)
		return err
	})
}

// Pending counts the accepted jobs of a queue that have not begun, over all
// shards.
func (g *Gate) Pending(ctx context.Context, q caspec.QueueName) (int, error) {
	g.mu.Lock()
	links := g.links
	g.mu.Unlock()
	total := 0
	for _, to := range links {
		n, err := to.pending(ctx, q)
		if err != nil {
			return 0, err
		}
		total += n
	}
	return total, nil
}

func remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return attemptTimeout
	}
	return time.Until(deadline)
}
