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

// process is one life of an entry: membership, ownership, VM list, and a
// sender of starts.
type process struct {
	name    string
	vm      cawork.VMID
	zone    cawork.ZoneName
	address string
	members *camember.Part
	owner   *caowner.Part
	list    *calist.Part
	cancel  context.CancelFunc
	open    sync.WaitGroup

	draining bool
	adopted  map[cawork.UpstreamID]*adoption
}

// world is a cell with its agents and its VM list.
type world struct {
	net       *network
	rng       *rand.Rand
	check     *cacheck.Checker
	owner     caowner.Config
	agents    map[string]*agent
	addresses []string
	seeds     []string
	processes []*process
	lives     int
	ended     []*process

	mu       sync.Mutex
	vms      []caplatform.VM
	listDown bool
	broken   []string
	accepted int
	quiet    bool
	faults   []string
}

func newWorld(seed uint64, zones, entries, upstreams int) *world {
	w := &world{
		net: newNetwork(seed, lan), rng: rand.New(rand.NewPCG(seed, 2)),
		check: cacheck.New(zerolog.Nop(), tally.NoopScope), owner: caowner.DefaultConfig(),
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
	w.seeds = w.addresses[:2]
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

// listEntries puts all entries into the VM list, which does not tell whether
// they run.
func (w *world) listEntries() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.addresses {
		w.vms = append(w.vms, caplatform.VM{
			ID: cawork.VMID(a), Role: caplatform.VMRoleEntry, Zone: cawork.ZoneName("z" + a[1:2]), Address: a,
		})
	}
}

// List is the VM list of the platform.
func (w *world) List(context.Context) ([]caplatform.VM, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listDown {
		return nil, cakind.New(cakind.KindUnavailable, "list is down")
	}
	return append([]caplatform.VM(nil), w.vms...), nil
}

func (w *world) setListDown(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listDown = down
}

// agentsOf gives a process its way to the agents.
type agentsOf struct {
	w *world
	p *process
}

// Agent returns the agent at the address.
func (a agentsOf) Agent(address string) caplatform.Agent {
	a.w.mu.Lock()
	defer a.w.mu.Unlock()
	return client{net: a.w.net, from: a.p.address, process: a.p.name, to: address, agent: a.w.agents[address]}
}

// boot starts all entries with exact clocks and lets them settle.
func (w *world) boot() {
	for i := range w.processes {
		w.start(i, 1)
	}
	time.Sleep(bootTime)
}

// start begins a new life of entry i, whose clock runs at the rate.
func (w *world) start(i int, rate float64) {
	address := w.addresses[i]
	w.lives++
	p := &process{
		name: fmt.Sprintf("%s#%d", address, w.lives), vm: cawork.VMID(address),
		zone: cawork.ZoneName("z" + address[1:2]), address: address, adopted: map[cawork.UpstreamID]*adoption{},
	}
	timers := catimer.NewDriftingService(rate)
	id := camember.Identity{VM: p.vm, Address: address, Zone: p.zone}
	p.members = camember.NewPart(camember.DefaultConfig(), id, w.seeds, camember.Deps{
		Peers: peers{w.net, address}, Timers: timers, Log: zerolog.Nop(), Scope: tally.NoopScope, Check: w.check,
		Seed: w.rng.Uint64(),
	})
	p.owner = caowner.NewPart(w.owner, p.vm, p.zone, caowner.Deps{
		Agents: agentsOf{w, p}, Timers: timers, Log: zerolog.Nop(), Scope: tally.NoopScope, Check: w.check,
	})
	p.list = calist.NewPart(w, timers, zerolog.Nop(), tally.NoopScope)
	w.net.mu.Lock()
	w.net.parts[address] = p.members
	w.net.down[address] = false
	w.net.mu.Unlock()
	w.processes[i] = p
	w.run(p)
}

func (w *world) run(p *process) {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.open.Go(func() { _ = p.members.Run(ctx) })
	p.open.Go(func() { _ = p.owner.Run(ctx) })
	p.open.Go(func() { _ = p.list.Run(ctx) })
	p.open.Go(func() { _ = caowner.Follow(ctx, p.owner, p.members, p.list) })
	rng := rand.New(rand.NewPCG(w.rng.Uint64(), 3))
	p.open.Go(func() { w.send(ctx, p, rng) })
	events := p.owner.Subscribe()
	p.open.Go(func() { w.follow(p, events) })
}

// send starts tasks under the leases that the process holds. Now and then it
// is paused between the check of a lease and the sending.
func (w *world) send(ctx context.Context, p *process, rng *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		pauseFor(ctx, time.Duration(rng.Int64N(int64(100*time.Millisecond))))
		p.members.SetLocal(camember.AppState{Unreachable: p.owner.Unreachable(), OwnedUpstreams: len(p.owner.Owned())})
		owned := p.owner.Owned()
		if len(owned) == 0 || w.isQuiet() {
			continue
		}
		id := owned[rng.IntN(len(owned))]
		lease, ok := p.owner.Lease(id)
		if !ok {
			continue
		}
		w.checkLease(p, id)
		if rng.IntN(20) == 0 {
			pauseFor(ctx, time.Duration(rng.Int64N(int64(6*time.Second))))
		}
		attempt := cawork.AttemptID(fmt.Sprintf("%s/%d", p.name, n))
		p.open.Go(func() { w.sendOne(ctx, p, id, lease, attempt) })
	}
}

func (w *world) sendOne(ctx context.Context, p *process, id cawork.UpstreamID, l caowner.Lease, attempt cawork.AttemptID) {
	limited, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	_, err := agentsOf{w, p}.Agent(string(id)).Start(limited, caplatform.Start{Epoch: l.Epoch, Attempt: attempt})
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		w.accepted++
	}
}

// setQuiet makes all processes send nothing more.
func (w *world) setQuiet() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.quiet = true
}

func (w *world) isQuiet() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.quiet
}

// checkLease reports a lease that its holder trusts while the agent does not.
func (w *world) checkLease(p *process, id cawork.UpstreamID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.agents[string(id)].holds(p.vm) {
		w.broken = append(w.broken, fmt.Sprintf("%s trusts its lease of %s, the agent does not", p.name, id))
	}
}

func pauseFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// kill ends the process of entry i at once.
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

// running returns the processes that run, ordered by address.
func (w *world) running() []*process {
	var running []*process
	for _, p := range w.processes {
		if p != nil {
			running = append(running, p)
		}
	}
	return running
}

// stop ends all and waits.
func (w *world) stop() {
	for i := range w.processes {
		w.kill(i)
	}
	for _, p := range w.ended {
		w.net.resume(p.address)
	}
	for _, p := range w.ended {
		p.open.Wait()
	}
	time.Sleep(inFlight)
}

// violations returns all that broke an invariant, in the parts and at the
// agents.
func (w *world) violations() []string {
	found := append([]string(nil), w.broken...)
	for _, v := range w.check.Violations() {
		found = append(found, v.Error())
	}
	for _, a := range w.agents {
		found = append(found, a.broken...)
	}
	return found
}
