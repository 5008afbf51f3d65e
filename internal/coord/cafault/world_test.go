package cafault_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"
	tally "github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/cacheck"
	"celeryarch.example/celeryarch/internal/coord/calist"
	"celeryarch.example/celeryarch/internal/coord/camember"
	"celeryarch.example/celeryarch/internal/coord/caowner"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// process is one process of an entry, from start to end. It runs membership,
// ownership and the VM list, and sends task starts.
type process struct {
	name       string
	vm         cawork.VMID
	zone       cawork.ZoneName
	address    string
	membership *camember.Membership
	owner      *caowner.Runner
	list       *calist.Poller
	cancel     context.CancelFunc
	wg         sync.WaitGroup

	draining bool
	views    map[cawork.UpstreamID]*eventView
}

// world is a simulated cell: its entries, agents, network and VM list.
type world struct {
	net           *network
	rng           *rand.Rand
	checker       *cacheck.Checker
	ownerConfig   caowner.Config
	agents        map[string]*agent
	addresses     []string
	seedAddresses []string
	processes     []*process
	processCount  int
	ended         []*process

	mu             sync.Mutex
	vms            []caplatform.VM
	listDown       bool
	failures       []string
	acceptedStarts int
	sendingStopped bool
	faults         []string
}

func newWorld(seed uint64, zones, entries, upstreams int) *world {
	w := &world{
		net: newNetwork(seed, lan), rng: rand.New(rand.NewPCG(seed, 2)),
		checker: cacheck.New(zerolog.Nop(), tally.NoopScope), ownerConfig: caowner.DefaultConfig(),
		agents: map[string]*agent{}, processes: make([]*process, zones*entries),
	}
	for z := range zones {
		zone := cawork.ZoneName(fmt.Sprintf("z%d", z))
		for i := range entries {
			w.addresses = append(w.addresses, fmt.Sprintf("e%d.%d", z, i))
		}
		for i := range upstreams {
			w.addUpstream(zone, fmt.Sprintf("u%d.%d", z, i))
		}
	}
	w.seedAddresses = w.addresses[:2]
	return w
}

func (w *world) addUpstream(zone cawork.ZoneName, address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.agents[address] = newAgent(cawork.UpstreamID(address))
	w.vms = append(w.vms, caplatform.VM{
		ID: cawork.VMID(address), Role: caplatform.VMRoleUpstream, Zone: zone, Address: address,
	})
}

// listEntries adds all entries to the VM list, whether they run or not.
func (w *world) listEntries() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.addresses {
		w.vms = append(w.vms, caplatform.VM{
			ID: cawork.VMID(a), Role: caplatform.VMRoleEntry, Zone: cawork.ZoneName("z" + a[1:2]), Address: a,
		})
	}
}

// List returns the VM list of the platform.
func (w *world) List(context.Context) ([]caplatform.VM, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listDown {
		return nil, cakind.New(cakind.KindUnavailable, "VM list is down")
	}
	return append([]caplatform.VM(nil), w.vms...), nil
}

func (w *world) setListDown(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listDown = down
}

// agentDialer creates the clients with which a process calls agents.
type agentDialer struct {
	w *world
	p *process
}

// Agent returns a client of the agent at the address.
func (a agentDialer) Agent(address string) caplatform.Agent {
	a.w.mu.Lock()
	defer a.w.mu.Unlock()
	return agentClient{net: a.w.net, from: a.p.address, process: a.p.name, to: address, agent: a.w.agents[address]}
}

// boot starts all entries with exact clocks and waits until they have converged.
func (w *world) boot() {
	for i := range w.processes {
		w.start(i, 1)
	}
	time.Sleep(bootTime)
}

// start starts a new process of entry i with a clock that runs at clockRate.
func (w *world) start(i int, clockRate float64) {
	address := w.addresses[i]
	w.processCount++
	p := &process{
		name: fmt.Sprintf("%s#%d", address, w.processCount), vm: cawork.VMID(address),
		zone: cawork.ZoneName("z" + address[1:2]), address: address, views: map[cawork.UpstreamID]*eventView{},
	}
	timers := catimer.NewDriftingService(clockRate)
	id := camember.Identity{VM: p.vm, Address: address, Zone: p.zone}
	p.membership = camember.NewMembership(camember.DefaultConfig(), id, w.seedAddresses, camember.Deps{
		Peers: peerClient{w.net, address}, Timers: timers, Log: zerolog.Nop(), Scope: tally.NoopScope, Check: w.checker,
		Seed: w.rng.Uint64(),
	})
	p.owner = caowner.NewRunner(w.ownerConfig, p.vm, p.zone, caowner.Deps{
		Agents: agentDialer{w, p}, Timers: timers, Log: zerolog.Nop(), Scope: tally.NoopScope, Checker: w.checker,
	})
	p.list = calist.NewPoller(w, timers, zerolog.Nop(), tally.NoopScope)
	w.net.mu.Lock()
	w.net.memberships[address] = p.membership
	w.net.down[address] = false
	w.net.mu.Unlock()
	w.processes[i] = p
	w.run(p)
}

func (w *world) run(p *process) {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.wg.Go(func() { _ = p.membership.Run(ctx) })
	p.wg.Go(func() { _ = p.owner.Run(ctx) })
	p.wg.Go(func() { _ = p.list.Run(ctx) })
	p.wg.Go(func() { _ = caowner.Follow(ctx, p.owner, p.membership, p.list) })
	rng := rand.New(rand.NewPCG(w.rng.Uint64(), 3))
	p.wg.Go(func() { w.sendStarts(ctx, p, rng) })
	events := p.owner.Subscribe()
	p.wg.Go(func() { w.watchEvents(p, events) })
}

// sendStarts starts tasks under the leases that the process holds. It sometimes
// pauses between the check of a lease and the start, which is then late.
func (w *world) sendStarts(ctx context.Context, p *process, rng *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		sleep(ctx, time.Duration(rng.Int64N(int64(100*time.Millisecond))))
		p.membership.SetLocal(camember.AppState{Unreachable: p.owner.Unreachable(), OwnedUpstreams: len(p.owner.Owned())})
		owned := p.owner.Owned()
		if len(owned) == 0 || w.isSendingStopped() {
			continue
		}
		id := owned[rng.IntN(len(owned))]
		lease, ok := p.owner.Lease(id)
		if !ok {
			continue
		}
		w.verifyLease(p, id)
		if rng.IntN(20) == 0 {
			sleep(ctx, time.Duration(rng.Int64N(int64(6*time.Second))))
		}
		attempt := cawork.AttemptID(fmt.Sprintf("%s/%d", p.name, n))
		p.wg.Go(func() { w.sendStart(ctx, p, id, lease, attempt) })
	}
}

func (w *world) sendStart(ctx context.Context, p *process, id cawork.UpstreamID, l caowner.Lease, attempt cawork.AttemptID) {
	callCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	_, err := agentDialer{w, p}.Agent(string(id)).Start(callCtx, caplatform.Start{Epoch: l.Epoch, Attempt: attempt})
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		w.acceptedStarts++
	}
}

// stopSending makes all processes stop sending starts.
func (w *world) stopSending() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sendingStopped = true
}

func (w *world) isSendingStopped() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sendingStopped
}

// verifyLease records a failure if the process considers its lease valid but the
// agent does not.
func (w *world) verifyLease(p *process, id cawork.UpstreamID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.agents[string(id)].isHeldBy(p.vm) {
		w.failures = append(w.failures, fmt.Sprintf("%s considers its lease on %s valid, the agent does not", p.name, id))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// kill ends the process of entry i immediately.
func (w *world) kill(i int) {
	p := w.processes[i]
	if p == nil {
		return
	}
	w.net.setDown(p.address, true)
	p.cancel()
	w.processes[i] = nil
	w.ended = append(w.ended, p)
}

// running returns the running processes, ordered by address.
func (w *world) running() []*process {
	var running []*process
	for _, p := range w.processes {
		if p != nil {
			running = append(running, p)
		}
	}
	return running
}

// stop ends all processes and waits for them and for messages in transit.
func (w *world) stop() {
	for i := range w.processes {
		w.kill(i)
	}
	for _, p := range w.ended {
		w.net.resume(p.address)
	}
	for _, p := range w.ended {
		p.wg.Wait()
	}
	time.Sleep(maxMessageDelay)
}

// violations returns all violated invariants, of the entries and of the agents.
func (w *world) violations() []string {
	found := append([]string(nil), w.failures...)
	for _, v := range w.checker.Violations() {
		found = append(found, v.Error())
	}
	for _, a := range w.agents {
		found = append(found, a.failures...)
	}
	return found
}
