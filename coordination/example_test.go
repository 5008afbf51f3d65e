package coordination_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"
	tally "github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/coordination"
)

// memoryPeers carries exchanges between memberships of one process.
type memoryPeers struct {
	mu    sync.Mutex
	parts map[string]*coordination.Membership
}

func (p *memoryPeers) at(address string) *coordination.Membership {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.parts[address]
}

func (p *memoryPeers) Exchange(ctx context.Context, address string, req coordination.ExchangeRequest) (coordination.ExchangeReply, error) {
	return p.at(address).HandleExchange(ctx, req)
}

func (p *memoryPeers) ProbeVia(ctx context.Context, address string, target coordination.ProbeTarget) error {
	return p.at(address).HandleProbe(ctx, target)
}

// nextChange returns the next change other than of application state.
func nextChange(changes *coordination.Subscription[coordination.MemberChanged]) coordination.MemberChanged {
	c := <-changes.C
	for c.Cause == coordination.CauseApp {
		c = <-changes.C
	}
	return c
}

// Two entries find one another through the address of the first.
func ExampleNewMembership() {
	peers := &memoryPeers{parts: map[string]*coordination.Membership{}}
	cfg := coordination.DefaultMemberConfig()
	cfg.Period = 20 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i, address := range []string{"10.0.0.1:7100", "10.0.0.2:7100"} {
		id := coordination.MemberIdentity{
			VM: coordination.VMID(fmt.Sprintf("entry-%d", i+1)), Address: address, Zone: "north",
		}
		peers.parts[address] = coordination.NewMembership(cfg, id, []string{"10.0.0.1:7100"}, coordination.MemberDeps{
			Peers: peers, Timers: coordination.NewTimers(), Log: zerolog.Nop(), Scope: tally.NoopScope,
			Check: coordination.NewChecker(zerolog.Nop(), tally.NoopScope),
		})
	}
	first, second := peers.at("10.0.0.1:7100"), peers.at("10.0.0.2:7100")
	changes := first.Subscribe()
	go func() { _ = first.Run(ctx) }()
	go func() { _ = second.Run(ctx) }()

	joined := nextChange(changes)
	fmt.Println(joined.Member.VM, joined.Cause)
	second.Left(ctx)
	left := nextChange(changes)
	fmt.Println(left.Member.VM, left.Cause)

	cancel()
	<-first.Done()
	<-second.Done()
	// Output:
	// entry-2 joined
	// entry-2 left
}

// register is the agent of one upstream: it grants one lease at a time, under
// an epoch that grows, and refuses what carries another epoch.
type register struct {
	coordination.Agent
	mu     sync.Mutex
	holder coordination.VMID
	epoch  coordination.Epoch
}

// oneAgent finds the same agent at every address.
type oneAgent struct{ agent coordination.Agent }

func (o oneAgent) Agent(string) coordination.Agent { return o.agent }

func (r *register) Claim(_ context.Context, c coordination.Claim) (coordination.ClaimResult, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holder != "" && r.holder != c.Holder {
		return coordination.ClaimResult{Ownership: coordination.HeldLease{Holder: r.holder, Epoch: r.epoch}}, nil
	}
	r.holder = c.Holder
	r.epoch++
	return coordination.ClaimResult{Granted: true, Ownership: coordination.HeldLease{Holder: c.Holder, Epoch: r.epoch}}, nil
}

func (r *register) Heartbeat(_ context.Context, h coordination.Heartbeat) (coordination.HeartbeatResult, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return coordination.HeartbeatResult{Ownership: coordination.HeldLease{Holder: h.Holder, Epoch: r.epoch}}, nil
}

func (r *register) Release(context.Context, coordination.HeldLease) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holder = ""
	return nil
}

// write is an operation that only the owner may perform. It is fenced by the
// epoch.
func (r *register) write(e coordination.Epoch) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holder == "" || e != r.epoch {
		return "refused"
	}
	return "accepted"
}

// One entry gains the lease of an upstream, works under it and releases it.
// What it sends after that is refused.
func ExampleNewOwnership() {
	cfg := coordination.DefaultOwnerConfig()
	cfg.Settle = 0
	upstream := &register{}
	owner := coordination.NewOwnership(cfg, "entry-1", "north", coordination.OwnerDeps{
		Agents: oneAgent{upstream}, Timers: coordination.NewTimers(), Log: zerolog.Nop(), Scope: tally.NoopScope,
		Check: coordination.NewChecker(zerolog.Nop(), tally.NoopScope),
	})
	events := owner.Subscribe()
	owner.SetEntries([]coordination.OwnerEntry{{VM: "entry-1"}})
	owner.SetUpstreams([]coordination.VM{{ID: "upstream-1", Role: coordination.VMRoleUpstream, Zone: "north"}})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = owner.Run(ctx) }()

	fmt.Println((<-events.C).Kind)
	gained := <-events.C
	fmt.Println(gained.Kind, "epoch", gained.Epoch)
	lease, ok := owner.Lease("upstream-1")
	fmt.Println("may send:", ok, upstream.write(lease.Epoch))

	if err := owner.Drain(ctx); err != nil {
		fmt.Println(err)
	}
	fmt.Println((<-events.C).Kind)
	_, ok = owner.Lease("upstream-1")
	fmt.Println("may send:", ok, upstream.write(lease.Epoch))
	// Output:
	// listed
	// gained epoch 1
	// may send: true accepted
	// released
	// may send: false refused
}

// All entries compute the same ranking, and only what the lost entry held
// moves.
func ExampleRankEntries() {
	vms := []coordination.VMID{"entry-1", "entry-2", "entry-3"}
	ranked := coordination.RankEntries("upstream-1", vms)
	fmt.Println(ranked)
	rest := coordination.RankEntries("upstream-1", []coordination.VMID{"entry-1", "entry-2"})
	fmt.Println(rest)
	// Output:
	// [entry-2 entry-1 entry-3]
	// [entry-2 entry-1]
}
