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

// tickPeriod is the interval between calls of State.Tick.
const tickPeriod = 100 * time.Millisecond

// probeRegister is the register that probes read. It is never written.
const probeRegister = "reachability_probe"

// Deps are the dependencies of a Runner.
type Deps struct {
	Agents  caplatform.Agents
	Timers  *catimer.Service
	Log     zerolog.Logger
	Scope   tally.Scope
	Checker *cacheck.Checker
}

// Runner runs a State against the agents of the upstreams. Its methods may be
// called from any goroutine.
type Runner struct {
	cfg         Config
	deps        Deps
	feed        cafeed.Feed[Event]
	done        chan struct{}
	drained     chan struct{}
	callWorkers sync.WaitGroup

	mu    sync.Mutex
	state *State
}

// NewRunner returns a Runner for the entry self, which owns upstreams of the zone.
func NewRunner(cfg Config, self cawork.VMID, zone cawork.ZoneName, deps Deps) *Runner {
	return &Runner{
		cfg: cfg, deps: deps, done: make(chan struct{}), drained: make(chan struct{}),
		state: NewState(cfg, self, zone, deps.Timers.Now(), deps.Checker),
	}
}

// Run claims, renews and releases leases until the context ends. It may be
// called once. It does not release leases when it ends: call Drain before.
func (p *Runner) Run(ctx context.Context) error {
	defer close(p.done)
	defer p.feed.Close()
	defer p.callWorkers.Wait()
	p.deps.Timers.Repeat(ctx, tickPeriod, p.tick)
	return nil
}

// Done returns a channel that is closed when Run ends.
func (p *Runner) Done() <-chan struct{} { return p.done }

// Subscribe returns a subscription to all later events.
func (p *Runner) Subscribe() *cafeed.Subscription[Event] { return p.feed.Subscribe() }

// SetEntries replaces the live entries of the zone, including this one.
func (p *Runner) SetEntries(entries []Entry) {
	p.update(func(time.Time) { p.state.SetEntries(entries) })
}

// SetUpstreams applies a VM list from the platform.
func (p *Runner) SetUpstreams(vms []caplatform.VM) {
	p.update(func(now time.Time) { p.state.SetUpstreams(now, vms) })
}

// Lease returns the lease of the upstream and reports whether starts may be sent
// under it now. Call it right before sending each start.
func (p *Runner) Lease(id cawork.UpstreamID) (Lease, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Lease(p.deps.Timers.Now(), id)
}

// TimeSinceAnswer returns the time since the agent of the upstream last answered a call
// of this entry, zero for an unknown upstream. Before the first answer it counts
// from the time at which the upstream was listed.
func (p *Runner) TimeSinceAnswer(id cawork.UpstreamID) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.TimeSinceAnswer(p.deps.Timers.Now(), id)
}

// Owned returns the upstreams that this entry owns now, ordered by id.
func (p *Runner) Owned() []cawork.UpstreamID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Owned(p.deps.Timers.Now())
}

// DesiredOwner returns the desired owner of the upstream as computed by this entry,
// empty for an unknown upstream.
func (p *Runner) DesiredOwner(id cawork.UpstreamID) cawork.VMID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.DesiredOwner(id)
}

// Unreachable returns the upstreams that this entry cannot reach and other
// entries should own. The caller announces them in camember.AppState.
func (p *Runner) Unreachable() []cawork.UpstreamID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Unreachable()
}

// Drain releases all upstreams and waits until the agents have answered or the
// leases have expired. Run must keep running meanwhile.
func (p *Runner) Drain(ctx context.Context) error {
	p.update(func(time.Time) { p.state.Drain() })
	select {
	case <-p.drained:
		return nil
	case <-p.done:
		return cakind.New(cakind.KindUnavailable, "ownership stopped before its drain was complete")
	case <-ctx.Done():
		return cakind.Wrap(cakind.KindUnavailable, ctx.Err(), "waiting for the drain of ownership")
	}
}

// update runs a step on the state under the lock and publishes the resulting
// events in order.
func (p *Runner) update(step func(now time.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	step(p.deps.Timers.Now())
	events := p.state.TakeEvents()
	for _, e := range events {
		p.deps.Scope.Counter(e.Kind.String()).Inc(1)
		p.logEvent(e)
	}
	p.feed.Publish(events...)
}

func (p *Runner) tick(ctx context.Context) {
	var calls []Call
	p.update(func(now time.Time) {
		calls = p.state.Tick(now)
		p.updateDrained(now)
		p.deps.Scope.Gauge("open_calls").Update(float64(p.state.openCalls))
	})
	for _, c := range calls {
		p.callWorkers.Go(func() { p.runCall(ctx, c) })
	}
}

// updateDrained closes the drained channel once the state is drained.
func (p *Runner) updateDrained(now time.Time) {
	select {
	case <-p.drained:
		p.deps.Checker.Assert(len(p.state.Owned(now)) == 0, cacheck.RuleDrainedIdle, "a drained entry still owns upstreams")
		return
	default:
	}
	if p.state.Drained() {
		close(p.drained)
	}
}

// runCall makes the call and passes its outcome to the state.
func (p *Runner) runCall(ctx context.Context, c Call) {
	callCtx, cancel := context.WithTimeout(ctx, p.cfg.CallTimeout)
	defer cancel()
	a := CallResult{Call: c}
	agent := p.deps.Agents.Agent(c.Address)
	switch c.Kind {
	case CallKindClaim:
		a.Claim, a.Err = agent.Claim(callCtx, c.Claim)
	case CallKindHeartbeat:
		a.Heartbeat, a.Err = agent.Heartbeat(callCtx, c.Heartbeat)
	case CallKindRelease:
		a.Err = agent.Release(callCtx, c.Release)
	case CallKindProbe:
		_, a.Err = agent.ReadRegister(callCtx, probeRegister)
	}
	p.deps.Scope.Counter(c.Kind.String()).Inc(1)
	p.update(func(now time.Time) { p.state.HandleCallResult(now, a) })
}

// eventNumbers maps the kinds of events that are logged to their log events.
var eventNumbers = map[EventKind]caevent.Number{
	EventKindListed:   caevent.UpstreamListed,
	EventKindLeaving:  caevent.UpstreamListed,
	EventKindUnlisted: caevent.UpstreamUnlisted,
	EventKindGained:   caevent.OwnershipGained,
	EventKindLost:     caevent.OwnershipLost,
	EventKindReleased: caevent.OwnershipReleased,
}

func (p *Runner) logEvent(e Event) {
	number, ok := eventNumbers[e.Kind]
	if !ok {
		return
	}
	caevent.Info(p.deps.Log, number).
		Str("upstream", string(e.Upstream)).Str("state", e.VM.State.String()).
		Int64("epoch", int64(e.Epoch)).Str("reason", e.Reason.String()).Int("tasks", len(e.Tasks)).Send()
}
