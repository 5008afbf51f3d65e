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
	"celeryarch.example/celeryarch/internal/cell/caorder"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/node/capeer"
)

const (
	// DefaultMinUpstreams is the minimum number of upstreams for which a leader uses agents.
	DefaultMinUpstreams = 120
	// rosterPeriod is the time between two selections of agents.
	rosterPeriod = 200 * time.Millisecond
)

// Registry lists the upstreams.
type Registry interface {
	List(ctx context.Context) ([]caspec.Upstream, error)
}

// Deps are the dependencies and settings of a relay.
type Deps struct {
	Leader cawork.VMID
	Token  int64
	// MinUpstreams is the minimum number of upstreams for which agents are used.
	MinUpstreams int
	Log          zerolog.Logger
	Timer        *catimer.Service
	Peers        *capeer.Client
	Upstreams    Upstreams
	Registry     Registry
	// Candidates returns the entries that can currently be agents.
	Candidates func() []Candidate
}

// Relay sends the orders of one leader to upstreams, directly or through agents.
// It implements caleader.Upstreams. It also implements caleader.Registry, to learn
// the zones of the upstreams in the lists that it forwards.
type Relay struct {
	Deps
	done chan struct{}

	mu          sync.Mutex
	zones       map[cawork.UpstreamID]cawork.ZoneName
	clients     map[cawork.VMID]*agentClient
	roster      roster
	lastSession int64
}

// New returns a relay. It makes all calls directly until Run is called.
func New(deps Deps) *Relay {
	return &Relay{Deps: deps, done: make(chan struct{}), clients: make(map[cawork.VMID]*agentClient)}
}

// Done is closed when Run has returned.
func (r *Relay) Done() <-chan struct{} { return r.done }

// Run selects agents periodically and runs their clients until the context ends.
func (r *Relay) Run(ctx context.Context) {
	defer close(r.done)
	var goroutines sync.WaitGroup
	r.Timer.Recur(ctx, nil, func(context.Context) time.Duration {
		for _, c := range r.chooseAgents() {
			goroutines.Go(func() { c.run(ctx) })
		}
		return rosterPeriod
	})
	r.mu.Lock()
	r.roster = roster{}
	r.mu.Unlock()
	goroutines.Wait()
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
func (r *Relay) Start(ctx context.Context, token int64, o caorder.StartOrder) (caorder.StartOutcome, int64) {
	c := r.clientFor(o.Upstream)
	if c == nil || token != r.Token {
		return r.Upstreams.Start(ctx, token, o)
	}
	out, err := c.do(ctx, order{Start: &o})
	switch {
	case err == nil:
		return out.Started, out.ClockMS
	case errors.Is(err, errNotDelivered):
		return r.Upstreams.Start(ctx, token, o)
	default:
		return caorder.StartUnknown, 0
	}
}

// Stop implements caleader.Upstreams.
func (r *Relay) Stop(ctx context.Context, token int64, o caorder.StopOrder) error {
	c := r.clientFor(o.Upstream)
	if c == nil || token != r.Token {
		return r.Upstreams.Stop(ctx, token, o)
	}
	out, err := c.do(ctx, order{Stop: &o})
	if err != nil {
		return r.Upstreams.Stop(ctx, token, o)
	}
	return out.Failure.err()
}

// Renew implements caleader.Upstreams.
func (r *Relay) Renew(ctx context.Context, token int64, lease caorder.Lease, wait time.Duration) (caorder.Report, error) {
	c := r.clientFor(lease.Upstream)
	if c == nil || token != r.Token {
		return r.Upstreams.Renew(ctx, token, lease, wait)
	}
	sent := r.Timer.Now()
	out, err := c.do(ctx, order{Renew: &renewal{Lease: lease, Wait: wait}})
	if errors.Is(err, errNotDelivered) {
		return r.Upstreams.Renew(ctx, token, lease, wait)
	}
	if err != nil {
		return caorder.Report{}, err
	}
	if err := out.Failure.err(); err != nil {
		return caorder.Report{}, err
	}
	if out.Report == nil {
		return caorder.Report{}, cakind.New(cakind.KindInvalid, "entry %s answered a renewal without a report", c.agent.VM)
	}
	report := *out.Report
	report.SentAt, report.ReceivedAt = sent, r.Timer.Now()
	return report, nil
}

// clientFor returns the client of the agent for an upstream, or nil if the leader
// calls the upstream directly.
func (r *Relay) clientFor(id cawork.UpstreamID) *agentClient {
	r.mu.Lock()
	defer r.mu.Unlock()
	zone, known := r.zones[id]
	if !known {
		return nil
	}
	agent, ok := r.roster.agentFor(id, zone)
	if !ok {
		return nil
	}
	return r.clients[agent.VM]
}

// chooseAgents updates the roster and returns the clients that it added.
func (r *Relay) chooseAgents() []*agentClient {
	candidates := r.Candidates()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roster = roster{}
	if len(r.zones) < r.MinUpstreams {
		return nil
	}
	upstreams := make(map[cawork.ZoneName]int)
	for _, zone := range r.zones {
		upstreams[zone]++
	}
	r.roster = newRoster(slices.DeleteFunc(candidates, r.isBackingOff), upstreams)
	var added []*agentClient
	for _, agent := range r.roster.all {
		if existing, ok := r.clients[agent.VM]; ok && existing.agent.Address == agent.Address {
			continue
		}
		added = append(added, r.addClient(agent))
	}
	return added
}

// isBackingOff reports whether an entry is out of use as an agent after a failure.
// The lock is held.
func (r *Relay) isBackingOff(entry Candidate) bool {
	client, ok := r.clients[entry.VM]
	return ok && client.agent.Address == entry.Address && client.isBackingOff()
}

// addClient adds a client for the agent and returns it. The lock is held.
func (r *Relay) addClient(agent Candidate) *agentClient {
	r.lastSession++
	c := newAgentClient(r, agent, sessionID{Leader: r.Leader, Token: r.Token, Number: r.lastSession})
	r.clients[agent.VM] = c
	caevent.Info(r.Log, caevent.AgentChosen).Str("agent", string(agent.VM)).Str("zone", string(agent.Zone)).
		Int64("token", r.Token).Int("upstreams", len(r.zones)).Send()
	return c
}

func (r *Relay) logAgentLost(agent Candidate, err error) {
	caevent.Warn(r.Log, caevent.AgentLost).Str("agent", string(agent.VM)).Int64("token", r.Token).
		Dur("rests_for", agentBackoff).Err(err).Send()
}
