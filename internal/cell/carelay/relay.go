package carelay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caboard"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/node/capeer"
)

const (
	// DefaultFrom is the number of upstreams from which a leader uses agents.
	DefaultFrom = 120
	// rosterPeriod is the time between two choices of agents.
	rosterPeriod = 200 * time.Millisecond
)

// Registry lists the upstreams.
type Registry interface {
	List(ctx context.Context) ([]caspec.Upstream, error)
}

// Deps are what a relay works with.
type Deps struct {
	Leader cawork.VMID
	Token  int64
	// From is the number of upstreams from which agents are used.
	From      int
	Log       zerolog.Logger
	Timer     *catimer.Service
	Peers     *capeer.Client
	Upstreams Upstreams
	Registry  Registry
	// Candidates returns the entries that may become agents at this time.
	Candidates func() []Candidate
}

// Relay carries the orders of one leader, itself or through agents. It
// implements caleader.Upstreams, and caleader.Registry to learn the zones of
// the upstreams that it passes on.
type Relay struct {
	Deps
	done chan struct{}

	mu       sync.Mutex
	zones    map[cawork.UpstreamID]cawork.ZoneName
	couriers map[cawork.VMID]*courier
	roster   roster
	sessions int64
}

// New returns a relay that makes all calls itself until it runs.
func New(deps Deps) *Relay {
	return &Relay{Deps: deps, done: make(chan struct{}), couriers: make(map[cawork.VMID]*courier)}
}

// Done is closed when the relay has ended.
func (r *Relay) Done() <-chan struct{} { return r.done }

// Run chooses agents and works with them until the context ends.
func (r *Relay) Run(ctx context.Context) {
	defer close(r.done)
	var parts sync.WaitGroup
	r.Timer.Recur(ctx, nil, func(context.Context) time.Duration {
		for _, c := range r.chooseAgents() {
			parts.Go(func() { c.run(ctx) })
		}
		return rosterPeriod
	})
	r.mu.Lock()
	r.roster = roster{}
	r.mu.Unlock()
	parts.Wait()
}

// List implements caleader.Registry.
func (r *Relay) List(ctx context.Context) ([]caspec.Upstream, error) {
	list, err := r.Registry.List(ctx)
	if err != nil {
		return nil, err
	}
	zones := make(map[cawork.UpstreamID]cawork.ZoneName, len(list))
	for _, u := range list {
		zones[u.ID] = u.Zone
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.zones = zones
	return list, nil
}

// Start implements caleader.Upstreams.
func (r *Relay) Start(ctx context.Context, token int64, o caboard.StartOrder) (caboard.StartOutcome, int64) {
	c := r.courierOf(o.Upstream)
	if c == nil {
		return r.Upstreams.Start(ctx, token, o)
	}
	out, err := c.do(ctx, order{Start: &o})
	switch {
	case err == nil:
		return out.Started, out.ClockMS
	case errors.Is(err, errNotDelivered):
		return r.Upstreams.Start(ctx, token, o)
	default:
		return caboard.StartUnknown, 0
	}
}

// Stop implements caleader.Upstreams.
func (r *Relay) Stop(ctx context.Context, token int64, o caboard.StopOrder) error {
	c := r.courierOf(o.Upstream)
	if c == nil {
		return r.Upstreams.Stop(ctx, token, o)
	}
	out, err := c.do(ctx, order{Stop: &o})
	if err != nil {
		return r.Upstreams.Stop(ctx, token, o)
	}
	return out.Failure.err()
}

// Renew implements caleader.Upstreams.
func (r *Relay) Renew(ctx context.Context, token int64, lease caboard.Lease, wait time.Duration) (caboard.Report, error) {
	c := r.courierOf(lease.Upstream)
	if c == nil {
		return r.Upstreams.Renew(ctx, token, lease, wait)
	}
	sent := r.Timer.Now()
	out, err := c.do(ctx, order{Renew: &renewal{Lease: lease, Wait: wait}})
	if errors.Is(err, errNotDelivered) {
		return r.Upstreams.Renew(ctx, token, lease, wait)
	}
	if err != nil {
		return caboard.Report{}, err
	}
	if err := out.Failure.err(); err != nil {
		return caboard.Report{}, err
	}
	if out.Report == nil {
		return caboard.Report{}, cakind.New(cakind.KindInvalid, "entry %s answers a renewal without a report", c.agent.VM)
	}
	report := *out.Report
	report.SentAt, report.ReceivedAt = sent, r.Timer.Now()
	return report, nil
}

// courierOf returns the courier to the agent of an upstream, or nil when the
// leader makes the call itself.
func (r *Relay) courierOf(id cawork.UpstreamID) *courier {
	r.mu.Lock()
	defer r.mu.Unlock()
	zone, known := r.zones[id]
	if !known {
		return nil
	}
	agent, ok := r.roster.agentOf(id, zone)
	if !ok {
		return nil
	}
	return r.couriers[agent.VM]
}

// chooseAgents makes the roster anew. It returns the couriers that are new.
func (r *Relay) chooseAgents() []*courier {
	candidates := r.Candidates()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roster = roster{}
	if len(r.zones) < r.From {
		return nil
	}
	upstreams := make(map[cawork.ZoneName]int)
	for _, zone := range r.zones {
		upstreams[zone]++
	}
	r.roster = newRoster(slices.DeleteFunc(candidates, r.isResting), upstreams)
	var fresh []*courier
	for _, agent := range r.roster.all {
		if known, ok := r.couriers[agent.VM]; ok && known.agent.Address == agent.Address {
			continue
		}
		fresh = append(fresh, r.hire(agent))
	}
	return fresh
}

// isResting reports whether an entry failed as an agent lately. The lock is
// held.
func (r *Relay) isResting(entry Candidate) bool {
	known, ok := r.couriers[entry.VM]
	return ok && known.agent.Address == entry.Address && known.isResting()
}

// hire returns a new courier to the agent. The lock is held.
func (r *Relay) hire(agent Candidate) *courier {
	r.sessions++
	c := newCourier(r, agent, session{Leader: r.Leader, Token: r.Token, Number: r.sessions})
	r.couriers[agent.VM] = c
	caevent.Info(r.Log, caevent.AgentChosen).Str("agent", string(agent.VM)).Str("zone", string(agent.Zone)).
		Int64("token", r.Token).Int("upstreams", len(r.zones)).Send()
	return c
}

func (r *Relay) noteLost(agent Candidate, err error) {
	caevent.Warn(r.Log, caevent.AgentLost).Str("agent", string(agent.VM)).Int64("token", r.Token).
		Dur("rests_for", agentRest).Err(err).Send()
}
