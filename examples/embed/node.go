package main

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	tally "github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/coordination"
)

// configTopic is the topic of the log with the configuration.
const configTopic = "config"

// environment connects the nodes and provides a log and a table of leases. In a
// real program these are calls over the network.
type environment struct {
	nodes []*node
	table *coordination.LeaseTable
	log   *memoryLog
}

// node is one node with its parts of the library.
type node struct {
	id      coordination.VMID
	members *coordination.Membership
	leases  *coordination.LeaseHolder
	config  *coordination.ConfigFollower
	limits  *coordination.Allowances
}

func newEnvironment() *environment {
	return &environment{
		table: coordination.NewLeaseTable(coordination.LeaseTableConfig{MaxTTL: 3 * time.Second}, coordination.NewTimers()),
		log:   &memoryLog{},
	}
}

// add adds a node. Its ID is also its address.
func (e *environment) add(id coordination.VMID) {
	timers, log, scope := coordination.NewTimers(), zerolog.Nop(), tally.NoopScope
	check := coordination.NewChecker(log, scope)
	members := coordination.DefaultMemberConfig()
	members.Period = 50 * time.Millisecond
	leases := coordination.DefaultLeaseConfig()
	leases.Settle = 200 * time.Millisecond
	e.nodes = append(e.nodes, &node{
		id: id,
		members: coordination.NewMembership(members, coordination.MemberIdentity{VM: id, Address: string(id), Zone: "z"},
			[]string{"node-1"}, coordination.MemberDeps{Peers: e, Timers: timers, Log: log, Scope: scope, Check: check}),
		leases: coordination.NewLeaseHolder(leases, id,
			coordination.LeaseDeps{Keeper: e, Timers: timers, Log: log, Scope: scope, Check: check}),
		config: coordination.NewConfigFollower(coordination.ConfigOptions{
			Self: id, Zone: "z", Log: e.log, Topic: configTopic, Timer: timers, Logger: log, PollPeriod: 100 * time.Millisecond,
		}),
		limits: coordination.NewAllowances(coordination.DefaultAllowanceConfig(), coordination.HolderID(id), "z", nil,
			coordination.AllowanceDeps{Peers: e, Journal: &journal{}, Timers: timers, Log: log, Scope: scope}),
	})
}

// start runs the parts, and passes each change of the membership to leases and limits.
func (n *node) start(ctx context.Context) {
	changes := n.members.Subscribe()
	n.leases.SetNames([]coordination.LeaseName{printer})
	for _, run := range []func(context.Context) error{n.members.Run, n.leases.Run, n.config.Run, n.limits.Run} {
		go func() { _ = run(ctx) }()
	}
	go func() {
		for range changes.C {
			n.updateMembers()
		}
	}()
}

func (n *node) updateMembers() {
	var live []coordination.VMID
	var partners []coordination.AllowancePartner
	for _, m := range n.members.Members() {
		if !m.Liveness.Live() {
			continue
		}
		live = append(live, m.VM)
		if m.VM != n.id {
			partners = append(partners, coordination.AllowancePartner{Shard: coordination.HolderID(m.VM), Zone: m.Zone})
		}
	}
	n.leases.SetHolders(live)
	n.limits.SetPartners(partners)
}

func (e *environment) nodeAt(address string) *node {
	return e.nodes[slices.IndexFunc(e.nodes, func(n *node) bool { return string(n.id) == address })]
}

func (e *environment) Exchange(ctx context.Context, address string, r coordination.ExchangeRequest) (coordination.ExchangeReply, error) {
	return e.nodeAt(address).members.HandleExchange(ctx, r)
}

func (e *environment) ProbeVia(ctx context.Context, address string, t coordination.ProbeTarget) error {
	return e.nodeAt(address).members.HandleProbe(ctx, t)
}

func (e *environment) Claim(_ context.Context, name coordination.LeaseName, c coordination.LeaseClaim) (coordination.LeaseGrant, error) {
	return e.table.Claim(name, c)
}

func (e *environment) Renew(_ context.Context, name coordination.LeaseName, r coordination.LeaseRenewal) (coordination.HeldLease, error) {
	return e.table.Renew(name, r)
}

func (e *environment) Release(_ context.Context, name coordination.LeaseName, l coordination.HeldLease) error {
	return e.table.Release(name, l)
}

func (e *environment) Peek(_ context.Context, name coordination.LeaseName) (coordination.HeldLease, error) {
	return e.table.Peek(name), nil
}

func (e *environment) Ask(ctx context.Context, to coordination.HolderID, a coordination.AllowanceAsk) (coordination.AllowanceReply, error) {
	return e.nodeAt(string(to)).limits.HandleAsk(ctx, a)
}

func (e *environment) Transfer(ctx context.Context, to coordination.HolderID, t coordination.AllowanceTransfer) error {
	return e.nodeAt(string(to)).limits.HandleTransfer(ctx, t)
}

// journal keeps the records of one holder in memory. A real journal survives the
// process.
type journal struct {
	mu      sync.Mutex
	records []coordination.AllowanceRecord
}

func (j *journal) Append(_ context.Context, r coordination.AllowanceRecord) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.records = append(j.records, r)
	return nil
}

// memoryLog is an in-memory log of one topic without retention.
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
