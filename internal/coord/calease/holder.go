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

// Keeper is the client of the grantor of a name, whose Table answers the calls.
// After an error that is not from the table it is unknown whether the call took
// effect.
type Keeper interface {
	Claim(ctx context.Context, name cawork.UpstreamID, c caplatform.Claim) (Grant, error)
	Renew(ctx context.Context, name cawork.UpstreamID, r Renewal) (caplatform.Ownership, error)
	Release(ctx context.Context, name cawork.UpstreamID, o caplatform.Ownership) error
	Peek(ctx context.Context, name cawork.UpstreamID) (caplatform.Ownership, error)
}

// EventKind is the kind of an Event.
type EventKind int

// The kinds of events.
const (
	// EventKindGained means that this instance now holds the name.
	EventKindGained EventKind = iota
	// EventKindLost means that this instance no longer holds the name and has
	// not released it.
	EventKindLost
	// EventKindReleased means that this instance released the name.
	EventKindReleased
)

// Event reports a change of a lease to subscribers. It may arrive late; Lease
// returns the current state.
type Event struct {
	Kind   EventKind
	Name   cawork.UpstreamID
	Epoch  caplatform.Epoch
	Reason caowner.Reason
}

// Deps are the dependencies of a Holder.
type Deps struct {
	Keeper Keeper
	Timers *catimer.Service
	Log    zerolog.Logger
	Scope  tally.Scope
	Check  *cacheck.Checker
}

// Holder claims, renews and releases the leases of names for one program
// instance. It is safe for concurrent use.
type Holder struct {
	owner  *caowner.Runner
	events *cafeed.Subscription[caowner.Event]
	feed   cafeed.Feed[Event]
	timers *catimer.Service
	done   chan struct{}

	mu        sync.Mutex
	liveSince map[cawork.VMID]time.Time
	names     []cawork.UpstreamID
}

// NewHolder returns a holder for the instance self, which holds no name.
func NewHolder(cfg caowner.Config, self cawork.VMID, d Deps) *Holder {
	owner := caowner.NewRunner(cfg, self, "", caowner.Deps{
		Agents: grantorAgents{d.Keeper}, Timers: d.Timers, Log: d.Log, Scope: d.Scope, Checker: d.Check,
	})
	return &Holder{
		owner: owner, events: owner.Subscribe(), timers: d.Timers,
		done: make(chan struct{}), liveSince: map[cawork.VMID]time.Time{},
	}
}

// Run claims, renews and releases leases until the context ends. It releases
// none when it ends; call Drain before.
func (h *Holder) Run(ctx context.Context) error {
	defer close(h.done)
	defer h.feed.Close()
	runErr := make(chan error, 1)
	go func() { runErr <- h.owner.Run(ctx) }()
	for e := range h.events.C {
		if kind, ok := eventKinds[e.Kind]; ok {
			h.feed.Publish(Event{Kind: kind, Name: e.Upstream, Epoch: e.Epoch, Reason: e.Reason})
		}
	}
	return <-runErr
}

var eventKinds = map[caowner.EventKind]EventKind{
	caowner.EventKindGained:   EventKindGained,
	caowner.EventKindLost:     EventKindLost,
	caowner.EventKindReleased: EventKindReleased,
}

// Done returns a channel that is closed at the end of Run.
func (h *Holder) Done() <-chan struct{} { return h.done }

// Subscribe returns a subscription to the events from now on.
func (h *Holder) Subscribe() *cafeed.Subscription[Event] { return h.feed.Subscribe() }

// Lease returns the lease of the name and reports whether this instance may
// act under it now. Call it right before each operation, and send the epoch with
// the operation.
func (h *Holder) Lease(name cawork.UpstreamID) (caowner.Lease, bool) { return h.owner.Lease(name) }

// Held returns the names that this instance holds now, ordered.
func (h *Holder) Held() []cawork.UpstreamID { return h.owner.Owned() }

// Drain releases all names and waits until the grantors have answered or the
// leases have expired. Run has to continue until Drain returns.
func (h *Holder) Drain(ctx context.Context) error { return h.owner.Drain(ctx) }

// SetHolders replaces the live instances, which include this one.
func (h *Holder) SetHolders(live []cawork.VMID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	liveSince := make(map[cawork.VMID]time.Time, len(live))
	entries := make([]caowner.Entry, 0, len(live))
	for _, vm := range live {
		at, ok := h.liveSince[vm]
		if !ok {
			at = h.timers.Now()
		}
		liveSince[vm] = at
		entries = append(entries, caowner.Entry{VM: vm, Since: at})
	}
	h.liveSince = liveSince
	h.owner.SetEntries(entries)
}

// SetNames replaces the names that the instances hold. This instance gives up a
// name that is left out at once; its lease expires at the grantor.
func (h *Holder) SetNames(names []cawork.UpstreamID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	vms := make([]caplatform.VM, 0, len(names))
	for _, n := range names {
		vms = append(vms, upstreamVM(n, caplatform.VMStateLive))
	}
	for _, n := range h.names {
		if !slices.Contains(names, n) {
			vms = append(vms, upstreamVM(n, caplatform.VMStateGone))
		}
	}
	h.names = slices.Clone(names)
	h.owner.SetUpstreams(vms)
}

func upstreamVM(name cawork.UpstreamID, s caplatform.VMState) caplatform.VM {
	return caplatform.VM{ID: cawork.VMID(name), Role: caplatform.VMRoleUpstream, State: s, Address: string(name)}
}

// grantorAgents presents the grantor of a name as the agent at the address name.
type grantorAgents struct{ grantor Keeper }

func (a grantorAgents) Agent(address string) caplatform.Agent {
	return grantorAgent{grantor: a.grantor, name: cawork.UpstreamID(address)}
}

// grantorAgent implements the calls of caplatform.Agent that caowner makes.
type grantorAgent struct {
	caplatform.Agent
	grantor Keeper
	name    cawork.UpstreamID
}

func (a grantorAgent) Claim(ctx context.Context, c caplatform.Claim) (caplatform.ClaimResult, error) {
	g, err := a.grantor.Claim(ctx, a.name, c)
	return caplatform.ClaimResult{Granted: g.Granted, Ownership: g.Lease}, err
}

func (a grantorAgent) Heartbeat(ctx context.Context, h caplatform.Heartbeat) (caplatform.HeartbeatResult, error) {
	o, err := a.grantor.Renew(ctx, a.name, Renewal{Holder: h.Holder, Epoch: h.Epoch, TTL: h.TTL})
	return caplatform.HeartbeatResult{Ownership: o}, err
}

func (a grantorAgent) Release(ctx context.Context, o caplatform.Ownership) error {
	return a.grantor.Release(ctx, a.name, o)
}

func (a grantorAgent) ReadRegister(ctx context.Context, _ string) (caplatform.Register, error) {
	_, err := a.grantor.Peek(ctx, a.name)
	return caplatform.Register{}, err
}
