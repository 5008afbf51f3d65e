package caowner

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	tally "github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/cacheck"
	"celeryarch.example/celeryarch/internal/coord/cafeed"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// tickPeriod is how often State is asked whether a call is due.
const tickPeriod = 100 * time.Millisecond

// probeRegister is the register that a probe reads. It is never written.
const probeRegister = "reachability_probe"

// Deps are the surroundings of a Part.
type Deps struct {
	Agents caplatform.Agents
	Timers *catimer.Service
	Log    zerolog.Logger
	Scope  tally.Scope
	Check  *cacheck.Checker
}

// Part runs a State over the agents of the upstreams.
type Part struct {
	cfg     Config
	deps    Deps
	feed    cafeed.Feed[Event]
	done    chan struct{}
	drained chan struct{}
	open    sync.WaitGroup

	mu    sync.Mutex
	state *State
}

// NewPart returns a part of the entry self in the zone.
func NewPart(cfg Config, self cawork.VMID, zone cawork.ZoneName, deps Deps) *Part {
	return &Part{
		cfg: cfg, deps: deps, done: make(chan struct{}), drained: make(chan struct{}),
		state: NewState(cfg, self, zone, deps.Timers.Now(), deps.Check),
	}
}

// Run claims, renews and releases until the context ends. It may be called
// once. It does not release at its end; call Drain before.
func (p *Part) Run(ctx context.Context) error {
	defer close(p.done)
	defer p.feed.Close()
	defer p.open.Wait()
	p.deps.Timers.Repeat(ctx, tickPeriod, p.tick)
	return nil
}

// Done is closed at the end of Run.
func (p *Part) Done() <-chan struct{} { return p.done }

// Subscribe returns a subscription to the events from now on.
func (p *Part) Subscribe() *cafeed.Subscription[Event] { return p.feed.Subscribe() }

// SetEntries takes over the live entries of the zone, the own one included.
func (p *Part) SetEntries(entries []Entry) {
	p.with(func(time.Time) { p.state.SetEntries(entries) })
}

// SetUpstreams takes over a list of the platform.
func (p *Part) SetUpstreams(vms []caplatform.VM) {
	p.with(func(now time.Time) { p.state.SetUpstreams(now, vms) })
}

// Lease returns the lease of the upstream and reports whether starts may be
// sent under it now. A sender asks right before each start.
func (p *Part) Lease(id cawork.UpstreamID) (Lease, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Lease(p.deps.Timers.Now(), id)
}

// Silence returns the time for which no call of this entry to the agent of the
// upstream was answered, zero for an upstream that is not known.
func (p *Part) Silence(id cawork.UpstreamID) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Silence(p.deps.Timers.Now(), id)
}

// Owned returns the upstreams that this entry owns now, ordered by id.
func (p *Part) Owned() []cawork.UpstreamID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Owned(p.deps.Timers.Now())
}

// Desired returns the entry that should own the upstream, as this one sees it.
func (p *Part) Desired(id cawork.UpstreamID) cawork.VMID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Desired(id)
}

// Unreachable returns the upstreams that this entry leaves to others. The
// caller tells it to the others in camember.AppState.
func (p *Part) Unreachable() []cawork.UpstreamID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Unreachable()
}

// Drain releases all upstreams and waits until the agents have answered or
// their leases have lapsed. Run must go on meanwhile.
func (p *Part) Drain(ctx context.Context) error {
	p.with(func(time.Time) { p.state.Drain() })
	select {
	case <-p.drained:
		return nil
	case <-p.done:
		return cakind.New(cakind.KindUnavailable, "ownership ended before it was drained")
	case <-ctx.Done():
		return cakind.Wrap(cakind.KindUnavailable, ctx.Err(), "drain of ownership")
	}
}

// with lets the core take a step and publishes its events in order.
func (p *Part) with(call func(now time.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	call(p.deps.Timers.Now())
	events := p.state.TakeEvents()
	for _, e := range events {
		p.deps.Scope.Counter(e.Kind.String()).Inc(1)
		p.log(e)
	}
	p.feed.Publish(events...)
}

func (p *Part) tick(ctx context.Context) {
	var calls []Call
	p.with(func(now time.Time) {
		calls = p.state.Tick(now)
		p.noteDrained(now)
		p.deps.Scope.Gauge("open_calls").Update(float64(p.state.calls))
	})
	for _, c := range calls {
		p.open.Go(func() { p.call(ctx, c) })
	}
}

func (p *Part) noteDrained(now time.Time) {
	select {
	case <-p.drained:
		p.deps.Check.Assert(len(p.state.Owned(now)) == 0, cacheck.RuleDrainedIdle, "a drained entry owns")
		return
	default:
	}
	if p.state.Drained() {
		close(p.drained)
	}
}

func (p *Part) call(ctx context.Context, c Call) {
	limited, cancel := context.WithTimeout(ctx, p.cfg.CallTimeout)
	defer cancel()
	a := Answer{Call: c}
	agent := p.deps.Agents.Agent(c.Address)
	switch c.Kind {
	case CallKindClaim:
		a.Claim, a.Err = agent.Claim(limited, c.Claim)
	case CallKindHeartbeat:
		a.Heartbeat, a.Err = agent.Heartbeat(limited, c.Heartbeat)
	case CallKindRelease:
		a.Err = agent.Release(limited, c.Release)
	case CallKindProbe:
		_, a.Err = agent.ReadRegister(limited, probeRegister)
	}
	p.deps.Scope.Counter(c.Kind.String()).Inc(1)
	p.with(func(now time.Time) { p.state.HandleAnswer(now, a) })
}

var logged = map[EventKind]caevent.Number{
	EventKindListed:   caevent.UpstreamListed,
	EventKindLeaving:  caevent.UpstreamListed,
	EventKindUnlisted: caevent.UpstreamUnlisted,
	EventKindGained:   caevent.OwnershipGained,
	EventKindLost:     caevent.OwnershipLost,
	EventKindReleased: caevent.OwnershipReleased,
}

func (p *Part) log(e Event) {
	number, ok := logged[e.Kind]
	if !ok {
		return
	}
	caevent.Info(p.deps.Log, number).
		Str("upstream", string(e.Upstream)).Str("state", e.VM.State.String()).
		Int64("epoch", int64(e.Epoch)).Str("reason", e.Reason.String()).Int("tasks", len(e.Tasks)).Send()
}
