package camember

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	tally "github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/cacheck"
	"celeryarch.example/celeryarch/internal/coord/cafeed"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// ProbeTarget names the member that a relay is asked to probe.
type ProbeTarget struct {
	_       struct{} `cbor:",toarray"`
	VM      cawork.VMID
	Address string
}

// Peers carries calls to other entries. Handlers for the other side are
// Part.HandleExchange and Part.HandleProbe.
type Peers interface {
	// Exchange calls HandleExchange of the entry at the address.
	Exchange(ctx context.Context, address string, req ExchangeRequest) (ExchangeReply, error)
	// ProbeVia calls HandleProbe of the entry at the address.
	ProbeVia(ctx context.Context, address string, target ProbeTarget) error
}

// Deps are the surroundings of a Part.
type Deps struct {
	Peers  Peers
	Timers *catimer.Service
	Log    zerolog.Logger
	Scope  tally.Scope
	Check  *cacheck.Checker
	// Greetings may be nil: then nothing is known of the versions of others.
	Greetings Greetings
	// Seed decides the order of probes.
	Seed uint64
}

// Part runs a State.
type Part struct {
	cfg  Config
	deps Deps
	id   Identity
	feed cafeed.Feed[MemberChanged]
	done chan struct{}
	// wake tells Run that State may be due earlier than it said.
	wake chan struct{}
	open sync.WaitGroup

	mu    sync.Mutex
	state *State
	// urgent is what State said of itself last.
	urgent bool
}

// NewPart returns a part for the identity. Seeds are addresses of entries.
func NewPart(cfg Config, id Identity, seeds []string, deps Deps) *Part {
	return &Part{
		cfg: cfg, deps: deps, id: id, done: make(chan struct{}), wake: make(chan struct{}, 1),
		state: NewState(cfg, id, seeds, deps.Timers.Now(), deps.Seed, deps.Check),
	}
}

// Run probes until the context ends. It may be called once.
func (p *Part) Run(ctx context.Context) error {
	defer close(p.done)
	defer p.feed.Close()
	defer p.open.Wait()
	p.deps.Timers.Recur(ctx, p.wake, p.tick)
	return nil
}

// tick returns the time until the next tick.
func (p *Part) tick(ctx context.Context) time.Duration {
	p.advance(ctx, func(now time.Time) Step { return p.state.Tick(now) })
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Pause(p.deps.Timers.Now())
}

// wakeUp makes Run look at State at once.
func (p *Part) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Done is closed at the end of Run.
func (p *Part) Done() <-chan struct{} { return p.done }

// Subscribe returns a subscription to changes of members from now on.
func (p *Part) Subscribe() *cafeed.Subscription[MemberChanged] { return p.feed.Subscribe() }

// Members returns all known members ordered by VM id, the own entry included.
// The slices in their application state are shared and must not be changed.
func (p *Part) Members() []Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Members()
}

// Member returns a known member, false for a VM that is not met yet. The slices
// in its application state are shared and must not be changed.
func (p *Part) Member(vm cawork.VMID) (Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Member(vm)
}

// Self returns the own entry.
func (p *Part) Self() Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Self()
}

// Isolated reports whether no other entry has answered this one for a while.
func (p *Part) Isolated() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Isolated(p.deps.Timers.Now())
}

// SetLocal sets the application state that the others are told.
func (p *Part) SetLocal(a AppState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.SetLocal(a)
	p.wakeUp()
}

// SetListed takes over a list of the platform.
func (p *Part) SetListed(vms []caplatform.VM) {
	var live []string
	var gone []cawork.VMID
	for _, vm := range vms {
		switch {
		case vm.Role != caplatform.VMRoleEntry || vm.ID == p.id.VM:
		case vm.State == caplatform.VMStateGone:
			gone = append(gone, vm.ID)
		default:
			live = append(live, vm.Address)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.SetListed(live, gone)
}

// Leave tells the others that this entry drains, so that they claim what it
// releases next. It returns when the members of the zone answered or the
// context ends, and must be called while Run goes on.
func (p *Part) Leave(ctx context.Context) { p.leave(ctx, false) }

// Left tells the others that this entry ends, like Leave.
func (p *Part) Left(ctx context.Context) { p.leave(ctx, true) }

func (p *Part) leave(ctx context.Context, left bool) {
	p.mu.Lock()
	p.state.Leave(left)
	probes := p.state.Announce()
	p.mu.Unlock()
	var all sync.WaitGroup
	for _, probe := range probes {
		all.Go(func() { p.probe(ctx, probe) })
	}
	all.Wait()
}

// HandleExchange answers the exchange of another entry.
func (p *Part) HandleExchange(_ context.Context, req ExchangeRequest) (ExchangeReply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reply, step := p.state.Handle(p.deps.Timers.Now(), req)
	p.publish(step.Events)
	p.wakeIfUrgent()
	return reply, nil
}

// HandleProbe probes the target on behalf of another entry.
func (p *Part) HandleProbe(ctx context.Context, target ProbeTarget) error {
	limited, cancel := context.WithTimeout(ctx, p.cfg.ProbeTimeout)
	defer cancel()
	reply, err := p.deps.Peers.Exchange(limited, target.Address, ExchangeRequest{From: p.id.VM})
	if foreign, ok := caversion.Foreign(err); ok && foreign.VM == target.VM {
		// It is not understood here, and it runs.
		return nil
	}
	if err != nil {
		return err
	}
	if reply.From != target.VM {
		return cakind.New(cakind.KindNotFound, "%s answers in place of %s", reply.From, target.VM)
	}
	return nil
}

// wakeIfUrgent wakes Run when the core has become due earlier than it said. The
// caller holds the mutex.
func (p *Part) wakeIfUrgent() {
	if urgent := p.state.IsUrgent(); urgent != p.urgent {
		p.urgent = urgent
		if urgent {
			p.wakeUp()
		}
	}
}

// advance lets the core take a step and carries it out.
func (p *Part) advance(ctx context.Context, call func(now time.Time) Step) {
	p.mu.Lock()
	step := call(p.deps.Timers.Now())
	p.publish(step.Events)
	p.wakeIfUrgent()
	p.mu.Unlock()
	for _, probe := range step.Probes {
		p.open.Go(func() { p.probe(ctx, probe) })
	}
	if len(step.Relays) > 0 {
		p.open.Go(func() { p.relay(ctx, step.Relays) })
	}
}

func (p *Part) probe(ctx context.Context, probe Probe) {
	limited, cancel := context.WithTimeout(ctx, p.cfg.ProbeTimeout)
	defer cancel()
	reply, err := p.deps.Peers.Exchange(limited, probe.Address, probe.Request)
	p.deps.Scope.Counter("exchanges").Inc(1)
	foreign, isForeign := caversion.Foreign(err)
	switch {
	case err == nil:
		p.advance(ctx, func(now time.Time) Step { return p.state.HandleReply(now, probe, reply) })
		p.takeGreeting(reply.From, probe.Address)
	case isForeign:
		p.advance(ctx, func(now time.Time) Step { return p.state.HandleForeign(now, probe, foreign) })
	case ctx.Err() == nil && !probe.Request.Second:
		p.deps.Scope.Counter("probe_failures").Inc(1)
		p.advance(ctx, func(now time.Time) Step { return p.state.HandleFailure(now, probe) })
	}
}

// takeGreeting takes over what the member at the address told of its version.
func (p *Part) takeGreeting(vm cawork.VMID, address string) {
	if p.deps.Greetings == nil {
		return
	}
	if g, ok := p.deps.Greetings.Greeting(address); ok {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.state.HandleGreeting(vm, g)
	}
}

// relay asks all relays at once; one answer suffices.
func (p *Part) relay(ctx context.Context, relays []Relay) {
	limited, cancel := context.WithTimeout(ctx, 2*p.cfg.ProbeTimeout)
	defer cancel()
	answers := make(chan error, len(relays))
	for _, r := range relays {
		target := ProbeTarget{VM: r.Target.VM, Address: r.Target.Address}
		p.open.Go(func() { answers <- p.deps.Peers.ProbeVia(limited, r.Address, target) })
	}
	answered := false
	for range relays {
		if err := <-answers; err == nil {
			answered = true
			break
		}
	}
	if ctx.Err() != nil {
		return
	}
	p.advance(ctx, func(now time.Time) Step { return p.state.HandleRelayed(now, relays[0].Target, answered) })
}

// publish logs and delivers events. The caller holds the mutex, so that
// subscribers see the order of the core.
func (p *Part) publish(events []MemberChanged) {
	for _, e := range events {
		p.deps.Scope.Counter(e.Cause.String()).Inc(1)
		if e.Cause == CauseApp {
			continue
		}
		if e.Cause == CauseForeign {
			caevent.Warn(p.deps.Log, caevent.MemberForeign).Str("member", string(e.Member.VM)).
				Str("protocols", e.Member.Protocols.String()).Int("format", int(e.Member.Format)).Send()
			continue
		}
		caevent.Info(p.deps.Log, caevent.MemberChanged).
			Str("member", string(e.Member.VM)).Str("was", e.Was.String()).
			Str("liveness", e.Member.Liveness.String()).Str("cause", e.Cause.String()).
			Str("reach", e.Member.Reach.String()).Int64("incarnation", int64(e.Member.Incarnation)).Send()
	}
	p.feed.Publish(events...)
}
