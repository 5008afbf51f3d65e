package coordination_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	tally "github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/coordination"
)

// memoryPeers connects memberships in the same process.
type memoryPeers struct {
	mu          sync.Mutex
	memberships map[string]*coordination.Membership
}

func (p *memoryPeers) membership(address string) *coordination.Membership {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.memberships[address]
}

func (p *memoryPeers) Exchange(ctx context.Context, address string, req coordination.ExchangeRequest) (coordination.ExchangeReply, error) {
	return p.membership(address).HandleExchange(ctx, req)
}

func (p *memoryPeers) ProbeVia(ctx context.Context, address string, target coordination.ProbeTarget) error {
	return p.membership(address).HandleProbe(ctx, target)
}

// nextChange returns the next change that is not one of application state.
func nextChange(changes *coordination.Subscription[coordination.MemberChanged]) coordination.MemberChanged {
	c := <-changes.C
	for c.Cause == coordination.CauseApp {
		c = <-changes.C
	}
	return c
}

// Two entries discover each other through the address of the first.
func ExampleNewMembership() {
	peers := &memoryPeers{memberships: map[string]*coordination.Membership{}}
	cfg := coordination.DefaultMemberConfig()
	cfg.Period = 20 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i, address := range []string{"10.0.0.1:7100", "10.0.0.2:7100"} {
		id := coordination.MemberIdentity{
			VM: coordination.VMID(fmt.Sprintf("entry-%d", i+1)), Address: address, Zone: "north",
		}
		peers.memberships[address] = coordination.NewMembership(cfg, id, []string{"10.0.0.1:7100"}, coordination.MemberDeps{
			Peers: peers, Timers: coordination.NewTimers(), Log: zerolog.Nop(), Scope: tally.NoopScope,
			Check: coordination.NewChecker(zerolog.Nop(), tally.NoopScope),
		})
	}
	first, second := peers.membership("10.0.0.1:7100"), peers.membership("10.0.0.2:7100")
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

// localKeeper passes calls to a table in the same process.
type localKeeper struct{ table *coordination.LeaseTable }

func (k localKeeper) Claim(_ context.Context, name coordination.LeaseName, c coordination.LeaseClaim) (coordination.LeaseGrant, error) {
	return k.table.Claim(name, c)
}

func (k localKeeper) Renew(_ context.Context, name coordination.LeaseName, r coordination.LeaseRenewal) (coordination.HeldLease, error) {
	return k.table.Renew(name, r)
}

func (k localKeeper) Release(_ context.Context, name coordination.LeaseName, l coordination.HeldLease) error {
	return k.table.Release(name, l)
}

func (k localKeeper) Peek(_ context.Context, name coordination.LeaseName) (coordination.HeldLease, error) {
	return k.table.Peek(name), nil
}

// An instance gains the lease of a name, acts under it and releases it. After
// that the keeper refuses its operations.
func ExampleNewLeaseHolder() {
	timers := coordination.NewTimers()
	table := coordination.NewLeaseTable(coordination.LeaseTableConfig{MaxTTL: 3 * time.Second}, timers)
	cfg := coordination.DefaultLeaseConfig()
	cfg.Settle = 0
	holder := coordination.NewLeaseHolder(cfg, "node-1", coordination.LeaseDeps{
		Keeper: localKeeper{table}, Timers: timers, Log: zerolog.Nop(), Scope: tally.NoopScope,
		Check: coordination.NewChecker(zerolog.Nop(), tally.NoopScope),
	})
	events := holder.Subscribe()
	holder.SetHolders([]coordination.VMID{"node-1"})
	holder.SetNames([]coordination.LeaseName{"printer"})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = holder.Run(ctx) }()

	gained := <-events.C
	fmt.Println(gained.Name, gained.Kind, "epoch", gained.Epoch)
	lease, ok := holder.Lease("printer")
	fmt.Println("may act:", ok, table.Check("printer", lease.Epoch))

	if err := holder.Drain(ctx); err != nil {
		fmt.Println(err)
	}
	fmt.Println((<-events.C).Kind)
	_, ok = holder.Lease("printer")
	fmt.Println("may act:", ok, coordination.KindOf(table.Check("printer", lease.Epoch)))
	// Output:
	// printer gained epoch 1
	// may act: true <nil>
	// released
	// may act: false fenced
}

// localHolders connects holders in the same process.
type localHolders map[coordination.HolderID]*coordination.Allowances

func (l localHolders) Ask(ctx context.Context, to coordination.HolderID, req coordination.AllowanceAsk) (coordination.AllowanceReply, error) {
	return l[to].HandleAsk(ctx, req)
}

func (l localHolders) Transfer(ctx context.Context, to coordination.HolderID, t coordination.AllowanceTransfer) error {
	return l[to].HandleTransfer(ctx, t)
}

// memoryJournal stores the records of one holder in memory.
type memoryJournal struct {
	mu      sync.Mutex
	records []coordination.AllowanceRecord
}

func (j *memoryJournal) Append(_ context.Context, r coordination.AllowanceRecord) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.records = append(j.records, r)
	return nil
}

// Holder north mints the whole limit of 10 cores. Holder south has work but no
// allowance and gets some from north. The use of both never exceeds the limit.
func ExampleNewAllowances() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	holders := localHolders{}
	for _, id := range []coordination.HolderID{"north", "south"} {
		holders[id] = coordination.NewAllowances(coordination.DefaultAllowanceConfig(), id, coordination.ZoneName(id), nil,
			coordination.AllowanceDeps{
				Peers: holders, Journal: &memoryJournal{}, Timers: coordination.NewTimers(), Log: zerolog.Nop(), Scope: tally.NoopScope,
			})
	}
	north, south := holders["north"], holders["south"]
	if err := north.SetMint(ctx, coordination.MintShare{Team: "reports", Version: 1, Amount: coordination.Cores(10)}); err != nil {
		fmt.Println(err)
	}
	south.SetPartners([]coordination.AllowancePartner{{Shard: "north", Zone: "north"}})
	for _, h := range holders {
		go func() { _ = h.Run(ctx) }()
	}

	_, err := south.Acquire(ctx, "reports", coordination.Cores(4))
	fmt.Println(coordination.KindOf(err))
	arrived := south.Changed()
	south.SetNeeds([]coordination.AllowanceNeed{{Team: "reports", Amount: coordination.Cores(4), Least: coordination.Cores(4)}})
	<-arrived
	charge, err := south.Acquire(ctx, "reports", coordination.Cores(4))
	fmt.Println(charge.Amount, err)
	_, err = north.Acquire(ctx, "reports", coordination.Cores(7))
	fmt.Println(coordination.KindOf(err))
	// Output:
	// limit_reached
	// 4.000 cores, 0 MiB, 0 accelerators <nil>
	// limit_reached
}

// memoryLog is a log in memory that keeps all records.
type memoryLog struct {
	mu      sync.Mutex
	records []coordination.LogRecord
}

func (l *memoryLog) Append(_ context.Context, _ string, payloads [][]byte) (coordination.LogOffset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := coordination.LogOffset(len(l.records))
	for _, p := range payloads {
		l.records = append(l.records, coordination.LogRecord{Offset: coordination.LogOffset(len(l.records)), Payload: p})
	}
	return first, nil
}

func (l *memoryLog) Read(_ context.Context, _ string, from coordination.LogOffset, limit int) (coordination.LogPage, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rest := l.records[min(int(from), len(l.records)):]
	return coordination.LogPage{
		Records: slices.Clone(rest[:min(limit, len(rest))]), Next: coordination.LogOffset(len(l.records)),
	}, nil
}

// Two operators change version 0 at the same time. One of the changes is
// accepted and becomes version 1 at every follower.
func ExampleNewConfigFollower() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	log := &memoryLog{}
	publisher := coordination.ConfigPublisher{Log: log, Topic: "config"}
	for _, id := range []coordination.ConfigChangeID{"first", "second"} {
		result, err := publisher.Publish(ctx, coordination.ConfigChange{ID: id, Base: 0, Body: []byte("body of " + id)})
		fmt.Println(id, "accepted:", result.Accepted, "in force:", result.Winner, err)
	}
	follower := coordination.NewConfigFollower(coordination.ConfigOptions{
		Self: "node-1", Log: log, Topic: "config", Timer: coordination.NewTimers(), Logger: zerolog.Nop(),
	})
	changed := follower.Changed()
	go func() { _ = follower.Run(ctx) }()
	<-changed
	fmt.Printf("version %d: %s\n", follower.Current().Version, follower.Current().Body)
	// Output:
	// first accepted: true in force: first <nil>
	// second accepted: false in force: first <nil>
	// version 1: body of first
}

// All instances compute the same ranking. When one is removed, the order of the
// others stays, so that only the names of the removed instance move.
func ExampleRankInstances() {
	vms := []coordination.VMID{"entry-1", "entry-2", "entry-3"}
	ranked := coordination.RankInstances("upstream-1", vms)
	fmt.Println(ranked)
	rest := coordination.RankInstances("upstream-1", []coordination.VMID{"entry-1", "entry-2"})
	fmt.Println(rest)
	// Output:
	// [entry-2 entry-1 entry-3]
	// [entry-2 entry-1]
}
