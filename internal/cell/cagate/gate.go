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
	"celeryarch.example/celeryarch/internal/cell/cagauge"
	"celeryarch.example/celeryarch/internal/cell/calayout"
	"celeryarch.example/celeryarch/internal/cell/caleader"
	"celeryarch.example/celeryarch/internal/cell/carelay"
	"celeryarch.example/celeryarch/internal/cell/caroster"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/cell/caview"
	"celeryarch.example/celeryarch/internal/node/capeer"
)

// triesPerDeadline is how many retries should fit into a caller's remaining deadline.
const triesPerDeadline = 3

// Deps are the dependencies and settings of a Gate.
type Deps struct {
	Self  caroster.Peer
	Seeds []string
	Log   zerolog.Logger
	Scope tally.Scope
	Timer *catimer.Service
	// WallMillis returns the wall clock in Unix milliseconds.
	WallMillis func() int64
	PeerClient *capeer.Client
	// ShardLog returns the log of a shard. The cell has at most MaxShards shards.
	ShardLog  func(shard int) caleader.Log
	MaxShards int
	// RecordBytes is how large a record may be, with its key. Zero means no bound.
	RecordBytes int
	Upstreams   caleader.Upstreams
	Registry    caleader.Registry
	// RelayMinUpstreams is the number of upstreams at and above which a leader calls them
	// through agents on other entries.
	RelayMinUpstreams int
	// Advisor is nil if this entry has none.
	Advisor      caleader.Advisor
	OperatorFeed OperatorFeed
	// ViewBounds bound how old what a leader starts runs by may be.
	ViewBounds caview.Bounds
	// Nonce identifies this process. It grows with restarts on one VM, unless the time of day
	// is set back.
	Nonce int64
	// OnLeadershipChange is called when this entry starts or stops leading a shard, with whether it
	// leads any shard. It may be nil.
	OnLeadershipChange func(leading bool)
}

// Gate forwards calls to the leaders of the cell's shards, takes part in their elections
// and runs the leaders that this entry was elected for.
type Gate struct {
	Deps
	done  chan struct{}
	agent *carelay.Agent
	// openJobs reports how many jobs the shards led here have open.
	openJobs *cagauge.OpenJobs
	// layoutKnown is closed when the layout is known.
	layoutKnown chan struct{}

	mu     sync.Mutex
	policy caspec.Policy
	layout calayout.Layout
	// layoutChanged is closed and replaced when the layout changes.
	layoutChanged chan struct{}
	drains        drainReading
	links         []*link
	roster        *caroster.Roster
	feedLostAt    time.Time
	draining      bool
	// surplusAt is when this entry last handed over one of several shards that it led.
	surplusAt time.Time
	// candidacies counts the shards that this entry waits to claim.
	candidacies int
	// startedAt is when this process began.
	startedAt time.Time
}

// New returns a Gate that has not found any leader yet.
func New(deps Deps) *Gate {
	g := &Gate{
		Deps: deps, done: make(chan struct{}), agent: carelay.NewAgent(deps.Upstreams, deps.Timer, deps.Log), openJobs: cagauge.NewOpenJobs(deps.Scope), layoutKnown: make(chan struct{}), layoutChanged: make(chan struct{}),
		roster: caroster.New(deps.Self.VM), feedLostAt: deps.Timer.Now(), startedAt: deps.Timer.Now(),
	}
	g.links = []*link{newLink(g, 0)}
	return g
}

// Done returns a channel that is closed when Run has returned.
func (g *Gate) Done() <-chan struct{} { return g.done }

// Run tracks the leaders, the policy and the other entries until the context ends.
func (g *Gate) Run(ctx context.Context) error {
	defer close(g.done)
	var group run.Group
	for _, loop := range []func(context.Context) error{g.watchOperators, g.links[0].run, g.runOtherLinks, g.pollPeers, g.agent.Run, g.watchProcessor} {
		loopCtx, cancel := context.WithCancel(ctx)
		group.Add(func() error { return loop(loopCtx) }, func(error) { cancel() })
	}
	return group.Run()
}

// runOtherLinks runs the links of all shards but the first once the layout is known.
func (g *Gate) runOtherLinks(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-g.layoutKnown:
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

// SetSeeds replaces the addresses used to discover other entries.
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

// setLayout stores the shard layout, or a newer edition of it. The first one creates the links of the further shards.
func (g *Gate) setLayout(l calayout.Layout) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !l.IsNewerThan(g.layout) {
		return
	}
	isFirst := g.layout.IsZero()
	g.layout = l
	if isFirst {
		for shard := 1; shard < l.Shards; shard++ {
			g.links = append(g.links, newLink(g, shard))
		}
		close(g.layoutKnown)
	}
	close(g.layoutChanged)
	g.layoutChanged = make(chan struct{})
	for _, shardLink := range g.links {
		if shardLink.localLeader != nil {
			shardLink.localLeader.SetLayout(l)
		}
	}
	caevent.Info(g.Log, caevent.LayoutKnown).Int("shards", l.Shards).Floats64("weights", l.Weights).
		Int64("edition", l.Edition).Int("keys", len(l.Keys)).Send()
}

// policyAndLayout returns the policy and the layout in force.
func (g *Gate) policyAndLayout() (caspec.Policy, calayout.Layout) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.policy, g.layout
}

// IsReady reports whether the entry can serve new calls: it is not draining, has a policy
// and a layout, and at least half of the shards are available.
func (g *Gate) IsReady() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining || g.policy.IsZero() || g.layout.IsZero() {
		return false
	}
	available := 0
	for _, l := range g.links {
		if l.isAvailable() {
			available++
		}
	}
	return 2*available >= len(g.links)
}

// Drain makes the entry permanently not ready and releases the shards that it leads.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	for _, l := range g.links {
		if l.localLeader != nil {
			l.localLeader.Release()
		}
	}
}

// isDraining reports whether the entry is about to stop.
func (g *Gate) isDraining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}

// notifyLeadership calls OnLeadershipChange. The caller must hold g.mu.
func (g *Gate) notifyLeadership() {
	if g.OnLeadershipChange != nil {
		g.OnLeadershipChange(g.ledShardCount() > 0)
	}
}

// ledShardCount counts the shards that this entry leads. The caller must hold g.mu.
func (g *Gate) ledShardCount() int {
	n := 0
	for _, l := range g.links {
		if l.localLeader != nil {
			n++
		}
	}
	return n
}

// leadingCount counts the shards that this entry leads or waits to claim.
func (g *Gate) leadingCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledShardCount() + g.candidacies
}

// link returns the link of a shard.
func (g *Gate) link(shard int) (*link, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if shard < 0 || shard >= len(g.links) {
		return nil, cakind.New(cakind.KindNotStarted, "unknown shard %d", shard).WithRetryAfter(noLeaderRetryAfter)
	}
	return g.links[shard], nil
}
