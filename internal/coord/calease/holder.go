package calease

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	tally "github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/cacheck"
	"celeryarch.example/celeryarch/internal/coord/cafeed"
	"celeryarch.example/celeryarch/internal/coord/caowner"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

//go:generate go tool enumer -type=EventKind -trimprefix=EventKind -transform=snake -text -output=eventkind_names.go

// Keeper carries calls to the keeper of a name, whose Table answers them. An
// error that is not the table's own leaves open whether the call took effect.
type Keeper interface {
	Claim(ctx context.Context, name cawork.UpstreamID, c caplatform.Claim) (Grant, error)
	Renew(ctx context.Context, name cawork.UpstreamID, r Renewal) (caplatform.Ownership, error)
	Release(ctx context.Context, name cawork.UpstreamID, o caplatform.Ownership) error
	Peek(ctx context.Context, name cawork.UpstreamID) (caplatform.Ownership, error)
}

// EventKind tells what happened to a lease.
type EventKind int

// The kinds of events.
const (
	// EventKindGained means that this instance holds the name under the epoch.
	EventKindGained EventKind = iota
	// EventKindLost means that it does not any more, without having wished so.
	EventKindLost
	// EventKindReleased means that it gave the name up.
	EventKindReleased
)

// Event tells subscribers what happened to a lease. It may come late: Lease
// tells what holds now.
type Event struct {
	Kind   EventKind
	Name   cawork.UpstreamID
	Epoch  caplatform.Epoch
	Reason caowner.Reason
}

// Deps are the surroundings of a Holder.
type Deps struct {
	Keeper Keeper
	Timers *catimer.Service
	Log    zerolog.Logger
	Scope  tally.Scope
	Check  *cacheck.Checker
}

// Holder claims, renews and releases the leases of names for one program
// instance. Its methods may be called by any goroutine.
type Holder struct {
	part   *caowner.Part
	events *cafeed.Subscription[caowner.Event]
	feed   cafeed.Feed[Event]
	timers *catimer.Service
	done   chan struct{}

	mu    sync.Mutex
	since map[cawork.VMID]time.Time
	names []cawork.UpstreamID
}

// NewHolder returns the holder self, which holds nothing.
func NewHolder(cfg caowner.Config, self cawork.VMID, d Deps) *Holder {
	part := caowner.NewPart(cfg, self, "", caowner.Deps{
		Agents: agents{d.Keeper}, Timers: d.Timers, Log: d.Log, Scope: d.Scope, Check: d.Check,
	})
	return &Holder{
		part: part, events: part.Subscribe(), timers: d.Timers,
		done: make(chan struct{}), since: map[cawork.VMID]time.Time{},
	}
}

// Run claims, renews and releases until the context ends. It does not release
// at its end; call Drain before.
func (h *Holder) Run(ctx context.Context) error {
	defer close(h.done)
	defer h.feed.Close()
	ended := make(chan error, 1)
	go func() { ended <- h.part.Run(ctx) }()
	for e := range h.events.C {
		if kind, ok := kinds[e.Kind]; ok {
			h.feed.Publish(Event{Kind: kind, Name: e.Upstream, Epoch: e.Epoch, Reason: e.Reason})
		}
	}
	return <-ended
}

var kinds = map[caowner.EventKind]EventKind{
	caowner.EventKindGained:   EventKindGained,
	caowner.EventKindLost:     EventKindLost,
	caowner.EventKindReleased: EventKindReleased,
}

// Done is closed at the end of Run.
func (h *Holder) Done() <-chan struct{} { return h.done }

// Subscribe returns a subscription to the events from now on.
func (h *Holder) Subscribe() *cafeed.Subscription[Event] { return h.feed.Subscribe() }

// Lease returns the lease of the name and reports whether this instance may
// act under it now. Ask right before each operation, and send its epoch along.
func (h *Holder) Lease(name cawork.UpstreamID) (caowner.Lease, bool) { return h.part.Lease(name) }

// Held returns the names that this instance holds now, ordered.
func (h *Holder) Held() []cawork.UpstreamID { return h.part.Owned() }

// Drain releases all names and waits until the keepers have answered or the
// leases have lapsed. Run must go on meanwhile.
func (h *Holder) Drain(ctx context.Context) error { return h.part.Drain(ctx) }

// SetHolders takes over the live instances, this one included.
func (h *Holder) SetHolders(live []cawork.VMID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	since := make(map[cawork.VMID]time.Time, len(live))
	entries := make([]caowner.Entry, 0, len(live))
	for _, vm := range live {
		at, ok := h.since[vm]
		if !ok {
			at = h.timers.Now()
		}
		since[vm] = at
		entries = append(entries, caowner.Entry{VM: vm, Since: at})
	}
	h.since = since
	h.part.SetEntries(entries)
}

// SetNames takes over the names to be held. One that is left out is given up
// at once; its lease lapses at the keeper.
func (h *Holder) SetNames(names []cawork.UpstreamID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	vms := make([]caplatform.VM, 0, len(names))
	for _, n := range names {
		vms = append(vms, vmOf(n, caplatform.VMStateLive))
	}
	for _, n := range h.names {
		if !slices.Contains(names, n) {
			vms = append(vms, vmOf(n, caplatform.VMStateGone))
		}
	}
	h.names = slices.Clone(names)
	h.part.SetUpstreams(vms)
}

func vmOf(name cawork.UpstreamID, s caplatform.VMState) caplatform.VM {
	return caplatform.VM{ID: cawork.VMID(name), Role: caplatform.VMRoleUpstream, State: s, Address: string(name)}
}

// agents shows the keeper of a name as the agent at the address of that name.
type agents struct{ keeper Keeper }

func (a agents) Agent(address string) caplatform.Agent {
	return agent{keeper: a.keeper, name: cawork.UpstreamID(address)}
}

// agent implements the calls of caplatform.Agent that ownership makes.
type agent struct {
	caplatform.Agent
	keeper Keeper
	name   cawork.UpstreamID
}

func (a agent) Claim(ctx context.Context, c caplatform.Claim) (caplatform.ClaimResult, error) {
	g, err := a.keeper.Claim(ctx, a.name, c)
	return caplatform.ClaimResult{Granted: g.Granted, Ownership: g.Lease}, err
}

func (a agent) Heartbeat(ctx context.Context, h caplatform.Heartbeat) (caplatform.HeartbeatResult, error) {
	o, err := a.keeper.Renew(ctx, a.name, Renewal{Holder: h.Holder, Epoch: h.Epoch, TTL: h.TTL})
	return caplatform.HeartbeatResult{Ownership: o}, err
}

func (a agent) Release(ctx context.Context, o caplatform.Ownership) error {
	return a.keeper.Release(ctx, a.name, o)
}

func (a agent) ReadRegister(ctx context.Context, _ string) (caplatform.Register, error) {
	_, err := a.keeper.Peek(ctx, a.name)
	return caplatform.Register{}, err
}
