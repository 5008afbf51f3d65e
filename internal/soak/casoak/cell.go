// Package casoak runs entries as processes on one machine with stand-ins for the
// platform, injects faults into processes and connections by a plan drawn from a
// seed, and checks the observations of callers and upstreams against the
// guarantees of the system.
package casoak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/calayout"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/soak/caconn"
	"celeryarch.example/celeryarch/internal/soak/caproxy"
	"celeryarch.example/celeryarch/internal/soak/caqueues"
	"celeryarch.example/celeryarch/internal/soak/cateams"
	"celeryarch.example/celeryarch/platform"
	"celeryarch.example/celeryarch/platform/standin"
)

const (
	poolName  = "pool"
	queueName = "queue"
	teamName  = "north"
	teamKey   = "key-of-north"
	// otherTeamName is a team whose name and keys changes of teams use. It submits nothing.
	otherTeamName = "south"
	otherTeamKey  = "key-of-south"
	// upstreamCores is the size of an upstream, in cores.
	upstreamCores = 4
	// runTime is the run time of a task, and failedRunPercent the percentage of
	// runs that fail.
	runTime          = 400 * time.Millisecond
	failedRunPercent = 3
	// storeAppendDelay is the duration of an append at the store.
	storeAppendDelay = 4 * time.Millisecond
	// advisorDelay is the time the advisor takes to answer.
	advisorDelay = 5 * time.Millisecond
	// capacityBound is how long starts may use a capacity that has shrunk.
	capacityBound = 4500 * time.Millisecond
	// portStoreServer and portAdvisor are the ports of the store and the advisor.
	// Upstream i listens on port firstUpstreamPort+2*i, its proxy on the next port.
	portStoreServer   = 7200
	portAdvisor       = 7201
	firstUpstreamPort = 7300
)

// taskSize is the resource request of each task.
var taskSize = cawork.Resources{CPU: cawork.Cores(1), Memory: cawork.GiB}

// capacityOf returns the capacity of an upstream with some cores.
func capacityOf(cores int) cawork.Resources {
	return cawork.Resources{CPU: cawork.Cores(int64(cores)), Memory: cawork.Bytes(2*cores) * cawork.GiB}
}

// cell holds the stand-ins for the platform and the nodes that use them.
type cell struct {
	timer           *catimer.Service
	store           *standin.Store
	fleet           *standin.Fleet
	emulator        *platform.Emulator
	servers         []*http.Server
	nodes           []*node
	upstreams       []cawork.UpstreamID
	upstreamProxies []*caproxy.Proxy
	policyVersion   int64
	queues          caqueues.Queues
	teams           cateams.Teams
	load            *loadGenerator
	// work is set in place of load if the soak has a workload.
	work *workGenerator
	// zones is the number of availability zones of nodes and upstreams.
	zones int
	// registering serializes the writes of registrations.
	registering sync.Mutex
	// isPlanned is set if all faults are planned work, and isPatient if callers wait for nodes that
	// refuse connections.
	isPlanned, isPatient bool
	transport            *caconn.Transport
	calls                callCounter
	// acknowledged are the acknowledgements for which faults wait.
	acknowledged acknowledgements
	// late are the upstreams that carry renewals out late.
	late *lateRenewals
	// stops are the stops of planned work whose processes have not started again.
	stops sync.WaitGroup
}

func queueSpec() caspec.Queue {
	return caspec.Queue{
		Name: queueName, Host: "soak.example", Prefix: "/", Pool: poolName, MaxAttempts: 8, Stretch: 4, TargetLatency: time.Minute,
		Public: false, Approval: &caspec.Approval{FixedCost: advisorDelay, Validity: 2 * time.Second},
	}
}

// newCell starts the stand-ins and prepares the nodes without starting them.
func newCell(ctx context.Context, o Options, dir string) (*cell, error) {
	c := newStandins(o, capacityOf(upstreamCores))
	c.emulator.Advisor = standin.Advisor{Delay: advisorDelay}
	servicesIP := loopbackIP(o.RunIndex, o.Nodes)
	if err := c.serve(servicesIP, portAdvisor, c.emulator.AdvisorHandler("")); err != nil {
		return c, err
	}
	if err := c.serveStandins(ctx, servicesIP, o.Upstreams, o.Shards); err != nil {
		return c, err
	}
	return c, c.addNodes(ctx, o, dir, func(int) string { return fmt.Sprintf("%s:%d", servicesIP, portAdvisor) })
}

// newStandins returns a cell without nodes, the stand-ins of which are not served yet.
func newStandins(o Options, capacity cawork.Resources) *cell {
	c := &cell{timer: catimer.NewService(), store: standin.NewStore(storeAppendDelay), zones: 1, isPlanned: o.IsPlanned, isPatient: o.IsPatient}
	c.transport, c.acknowledged = newTransport(o.IsPlanned), newAcknowledgements()
	c.fleet = standin.NewFleet(o.Upstreams, capacity, taskSize, upstreamName)
	c.fleet.SetCapacityBound(capacityBound)
	c.late = newLateRenewals(o.Seed)
	c.fleet.SetRenewalLateness(c.late.lateness)
	c.emulator = &platform.Emulator{Store: c.store, Fleet: c.fleet}
	return c
}

func upstreamName(i int) cawork.UpstreamID { return cawork.UpstreamID(fmt.Sprintf("upstream-%d", i)) }

// serveStandins serves the store and the upstreams and writes the registrations, the division into shards and the
// configuration.
func (c *cell) serveStandins(ctx context.Context, ip string, upstreams, shards int) error {
	if err := c.serve(ip, portStoreServer, c.emulator.StoreHandler()); err != nil {
		return err
	}
	if err := c.serveUpstreams(ip, upstreams); err != nil {
		return err
	}
	if err := c.registerUpstreams(ctx); err != nil {
		return err
	}
	if err := c.divide(ctx, shards); err != nil {
		return err
	}
	return c.configure(ctx)
}

// addNodes prepares the nodes. Each uses the advisor at its address.
func (c *cell) addNodes(ctx context.Context, o Options, dir string, advisor func(node int) string) error {
	var seeds []string
	for i := range min(o.Nodes, 3) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", loopbackIP(o.RunIndex, i), portPeerProxy))
	}
	store := fmt.Sprintf("%s:%d", loopbackIP(o.RunIndex, o.Nodes), portStoreServer)
	for i := range o.Nodes {
		services := nodeServices{store: store, advisor: advisor(i), seeds: seeds}
		n, err := newNode(dir, loopbackIP(o.RunIndex, i), fmt.Sprintf("node-%d", i), c.zoneOf(i), services)
		if err != nil {
			return err
		}
		n.programs, n.env = o.programsOf(i), o.Env
		c.nodes = append(c.nodes, n)
		if !c.isPlanned {
			continue
		}
		if err := n.traceInitialization(ctx); err != nil {
			return err
		}
	}
	return nil
}

// zoneOf returns the zone of a node or an upstream.
func (c *cell) zoneOf(i int) string {
	if c.zones == 1 {
		return "zone"
	}
	return fmt.Sprintf("zone-%d", i%c.zones)
}

func (c *cell) serve(ip string, port int, h http.Handler) error {
	lis, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: callTimeout}
	c.servers = append(c.servers, s)
	go func() { _ = s.Serve(lis) }()
	return nil
}

// serveUpstreams starts a server and a proxy for each upstream.
func (c *cell) serveUpstreams(ip string, n int) error {
	for i := range n {
		id := upstreamName(i)
		if err := c.serve(ip, firstUpstreamPort+2*i, c.emulator.UpstreamHandler(string(id))); err != nil {
			return err
		}
		link, err := caproxy.New(fmt.Sprintf("%s:%d", ip, firstUpstreamPort+2*i+1), fmt.Sprintf("%s:%d", ip, firstUpstreamPort+2*i))
		if err != nil {
			return err
		}
		c.upstreams = append(c.upstreams, id)
		c.upstreamProxies = append(c.upstreamProxies, link)
	}
	return nil
}

// registerUpstreams writes what has changed in the registrations of the upstreams, under the
// addresses of their proxies.
func (c *cell) registerUpstreams(ctx context.Context) error {
	c.registering.Lock()
	defer c.registering.Unlock()
	list, err := c.fleet.List(ctx)
	if err != nil {
		return err
	}
	addresses := make(map[string]string, len(c.upstreamProxies))
	for i, id := range c.upstreams {
		addresses[string(id)] = c.upstreamProxies[i].Address()
	}
	for i := range list {
		list[i].Address = addresses[list[i].Address]
	}
	return c.emulator.RegisterUpstreams(ctx, list)
}

// crashesOf returns the highest number of upstreams that have crashed under a task of
// a job.
func (c *cell) crashesOf(id cawork.JobID) int {
	most := 0
	for task, count := range c.fleet.CrashCounts() {
		if task.Job == id {
			most = max(most, count.Upstreams)
		}
	}
	return most
}

// configure publishes the next version of the configuration.
func (c *cell) configure(ctx context.Context) error {
	c.policyVersion++
	return c.emulator.Configure(ctx, c.teams.Apply(c.queues.Apply(c.policy())))
}

// policy returns the configuration without changes of queues and teams.
func (c *cell) policy() caspec.Policy {
	if c.work != nil {
		return c.work.workload().Policy(c.policyVersion, poolName)
	}
	return caspec.Policy{
		Version: c.policyVersion, Pools: []caspec.Pool{{Name: poolName}}, Queues: []caspec.Queue{queueSpec()},
		Teams: []caspec.Team{
			{Name: teamName, Weight: 1000, Keys: []string{teamKey}}, {Name: otherTeamName, Weight: 1000, Keys: []string{otherTeamKey}},
		},
	}
}

// changeQueue begins or ends a change of a queue, and publishes it.
func (c *cell) changeQueue(ctx context.Context, e faultEvent) error {
	queues := c.policy().Queues
	queue, change := queues[e.fault.Target%len(queues)].Name, caqueues.Change(e.fault.Way)
	if e.begins {
		c.queues.Begin(queue, change)
	} else {
		c.queues.End(queue, change)
	}
	return c.configure(ctx)
}

// changeTeams begins a change of teams, or ends all, and publishes it.
func (c *cell) changeTeams(ctx context.Context, e faultEvent) error {
	if e.begins {
		c.teams.Begin(cateams.Change(e.fault.Way))
	} else {
		c.teams.End()
	}
	return c.configure(ctx)
}

// divide divides the cell into shards as an earlier build did, unless the nodes are to do so.
func (c *cell) divide(ctx context.Context, shards int) error {
	if shards == 0 {
		return nil
	}
	return c.emulator.Divide(ctx, calayout.Even(shards, []cawork.TeamName{teamName, otherTeamName}))
}

// close stops the nodes, proxies and servers.
func (c *cell) close() {
	c.transport.Close()
	for _, n := range c.nodes {
		n.close()
	}
	for _, link := range c.upstreamProxies {
		link.Close()
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
}
