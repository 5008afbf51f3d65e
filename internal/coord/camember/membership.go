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

// ProbeTarget identifies the member that a relay has to probe.
type ProbeTarget struct {
	_       struct{} `cbor:",toarray"`
	VM      cawork.VMID
	Address string
}

// Peers sends requests to other entries. The receiver handles them with
// Membership.HandleExchange and Membership.HandleProbe.
type Peers interface {
	// Exchange calls HandleExchange on the entry at the address.
	Exchange(ctx context.Context, address string, req ExchangeRequest) (ExchangeReply, error)
	// ProbeVia calls HandleProbe on the entry at the address.
	ProbeVia(ctx context.Context, address string, target ProbeTarget) error
}

// Deps holds the dependencies of a Membership.
type Deps struct {
	Peers  Peers
	Timers *catimer.Service
	Log    zerolog.Logger
	Scope  tally.Scope
	Check  *cacheck.Checker
	// Greetings may be nil. Then the protocol versions of other members remain
	// unknown.
	Greetings Greetings
	// Seed initializes the random order of probes.
	Seed uint64
}

// Membership runs a State: it sends its requests and delivers its events.
type Membership struct {
	cfg  Config
	deps Deps
	id   Identity
	feed cafeed.Feed[MemberChanged]
	done chan struct{}
	// wake makes Run tick before the delay of the last tick has passed.
	wake chan struct{}
	// inFlight counts the running probes and relay requests.
	inFlight sync.WaitGroup

	mu    sync.Mutex
	state *State
	// fastTicks is the last result of State.NeedsFastTicks.
	fastTicks bool
}

// NewMembership returns a Membership for the identity. Seeds are the addresses of entries
// to contact first.
func NewMembership(cfg Config, id Identity, seeds []string, deps Deps) *Membership {
	return &Membership{
		cfg: cfg, deps: deps, id: id, done: make(chan struct{}), wake: make(chan struct{}, 1),
		state: NewState(cfg, id, seeds, deps.Timers.Now(), deps.Seed, deps.Check),
	}
}

// Run executes the protocol until the context ends. It must not be called more
// than once.
func (p *Membership) Run(ctx context.Context) error {
	defer close(p.done)
	defer p.feed.Close()
	defer p.inFlight.Wait()
	p.deps.Timers.Recur(ctx, p.wake, p.tick)
	return nil
}

// tick advances the State and returns the time until the next tick.
func (p *Membership) tick(ctx context.Context) time.Duration {
	p.advance(ctx, func(now time.Time) Step { return p.state.Tick(now) })
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.TickDelay(p.deps.Timers.Now())
}

// wakeUp makes Run tick at once.
func (p *Membership) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Done returns a channel that is closed at the end of Run.
func (p *Membership) Done() <-chan struct{} { return p.done }

// Subscribe returns a subscription to the changes of members from now on.
func (p *Membership) Subscribe() *cafeed.Subscription[MemberChanged] { return p.feed.Subscribe() }

// Members returns all known members ordered by VM id, including this entry.
// The slices in their application state are shared and must not be modified.
func (p *Membership) Members() []Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Members()
}

// Member returns the member that runs on the VM and whether it is known. The
// slices in its application state are shared and must not be modified.
func (p *Membership) Member(vm cawork.VMID) (Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Member(vm)
}

// Self returns the member that represents this entry.
func (p *Membership) Self() Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Self()
}

// Isolated reports whether this entry knows other members but has received no
// answer from any for several periods.
func (p *Membership) Isolated() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Isolated(p.deps.Timers.Now())
}

// SetLocal sets the application state that this entry publishes to the other
// members.
func (p *Membership) SetLocal(a AppState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.SetLocal(a)
	p.wakeUp()
}

// SetListed applies the entries of a VM list of the platform.
func (p *Membership) SetListed(vms []caplatform.VM) {
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

// Leave announces that this entry is draining, so that other members claim what
// it releases next. It returns when all announcements were answered or failed,
// and must be called while Run is active.
func (p *Membership) Leave(ctx context.Context) { p.announceDeparture(ctx, false) }

// Left announces that this entry shuts down, in the same way as Leave.
func (p *Membership) Left(ctx context.Context) { p.announceDeparture(ctx, true) }

func (p *Membership) announceDeparture(ctx context.Context, left bool) {
	p.mu.Lock()
	p.state.Leave(left)
	probes := p.state.AnnouncementProbes()
	p.mu.Unlock()
	var wg sync.WaitGroup
	for _, probe := range probes {
		wg.Go(func() { p.probe(ctx, probe) })
	}
	wg.Wait()
}

// HandleExchange answers an exchange request from another entry.
func (p *Membership) HandleExchange(_ context.Context, req ExchangeRequest) (ExchangeReply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reply, step := p.state.HandleRequest(p.deps.Timers.Now(), req)
	p.deliverEvents(step.Events)
	p.wakeForFastTicks()
	return reply, nil
}

// HandleProbe probes the target on behalf of another entry.
func (p *Membership) HandleProbe(ctx context.Context, target ProbeTarget) error {
	probeCtx, cancel := context.WithTimeout(ctx, p.cfg.ProbeTimeout)
	defer cancel()
	reply, err := p.deps.Peers.Exchange(probeCtx, target.Address, ExchangeRequest{From: p.id.VM})
	if foreign, ok := caversion.MismatchedPeer(err); ok && foreign.VM == target.VM {
		// The target runs, although it supports no protocol version of this entry.
		return nil
	}
	if err != nil {
		return err
	}
	if reply.From != target.VM {
		return cakind.New(cakind.KindNotFound, "%s answered at the address of %s", reply.From, target.VM)
	}
	return nil
}

// wakeForFastTicks wakes Run when the State starts to need frequent ticks. The
// caller holds the mutex.
func (p *Membership) wakeForFastTicks() {
	if fast := p.state.NeedsFastTicks(); fast != p.fastTicks {
		p.fastTicks = fast
		if fast {
			p.wakeUp()
		}
	}
}

// advance applies a transition to the State, delivers the events of the
// resulting Step and starts its requests.
func (p *Membership) advance(ctx context.Context, transition func(now time.Time) Step) {
	p.mu.Lock()
	step := transition(p.deps.Timers.Now())
	p.deliverEvents(step.Events)
	p.wakeForFastTicks()
	p.mu.Unlock()
	for _, probe := range step.Probes {
		p.inFlight.Go(func() { p.probe(ctx, probe) })
	}
	if len(step.Relays) > 0 {
		p.inFlight.Go(func() { p.probeViaRelays(ctx, step.Relays) })
	}
}

func (p *Membership) probe(ctx context.Context, probe Probe) {
	probeCtx, cancel := context.WithTimeout(ctx, p.cfg.ProbeTimeout)
	defer cancel()
	reply, err := p.deps.Peers.Exchange(probeCtx, probe.Address, probe.Request)
	p.deps.Scope.Counter("exchanges").Inc(1)
	foreign, isForeign := caversion.MismatchedPeer(err)
	switch {
	case err == nil:
		p.advance(ctx, func(now time.Time) Step { return p.state.HandleReply(now, probe, reply) })
		p.recordGreeting(reply.From, probe.Address)
	case isForeign:
		p.advance(ctx, func(now time.Time) Step { return p.state.HandleForeign(now, probe, foreign) })
	case ctx.Err() == nil && !probe.Request.Second:
		p.deps.Scope.Counter("probe_failures").Inc(1)
		p.advance(ctx, func(now time.Time) Step { return p.state.HandleProbeFailure(now, probe) })
	}
}

// recordGreeting stores the greeting of the member at the address, if one was
// received.
func (p *Membership) recordGreeting(vm cawork.VMID, address string) {
	if p.deps.Greetings == nil {
		return
	}
	if g, ok := p.deps.Greetings.Greeting(address); ok {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.state.HandleGreeting(vm, g)
	}
}

// probeViaRelays sends a request to all relays at the same time. The target is
// reached if one of them succeeds.
func (p *Membership) probeViaRelays(ctx context.Context, relays []Relay) {
	relayCtx, cancel := context.WithTimeout(ctx, 2*p.cfg.ProbeTimeout)
	defer cancel()
	answers := make(chan error, len(relays))
	for _, r := range relays {
		target := ProbeTarget{VM: r.Target.VM, Address: r.Target.Address}
		p.inFlight.Go(func() { answers <- p.deps.Peers.ProbeVia(relayCtx, r.Address, target) })
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
	p.advance(ctx, func(now time.Time) Step { return p.state.HandleRelayResult(now, relays[0].Target, answered) })
}

// deliverEvents counts, logs and publishes events. The caller holds the mutex,
// so that subscribers receive them in the order in which they occurred.
func (p *Membership) deliverEvents(events []MemberChanged) {
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
