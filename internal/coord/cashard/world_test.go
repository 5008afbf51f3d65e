package cashard_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/caescrow"
	"celeryarch.example/celeryarch/internal/coord/cajob"
	"celeryarch.example/celeryarch/internal/coord/cashard"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// link is one direction of the network between two VMs.
type link struct{ from, to string }

// world is a simulated cluster: nodes, upstreams and a network with faults.
type world struct {
	t        *testing.T
	mu       sync.Mutex
	rng      *rand.Rand
	cut      map[link]bool
	lossRate float64
	// minted is the share of the limit that each first shard mints, with its version.
	minted caescrow.MintShare
	nodes  []*node
	hosts  []*host
	limit  cawork.Resources
	// noDrivers starts no drivers, for runs without jobs.
	noDrivers bool
	// arbiter, if set, replaces the registers of upstreams by the platform's log.
	arbiter *logArbiter
	// lastKill is when the last entry was killed.
	lastKill time.Time
	observations
}

// node is an entry: a real ReplicaManager, and a driver that does the work of a primary.
type node struct {
	w      *world
	member cashard.Member
	part   *cashard.ReplicaManager
	timer  *catimer.Service
	cancel context.CancelFunc
	mu     sync.Mutex
	paused chan struct{}
	dead   bool
	fenced map[cawork.ShardID]int64
	// planners plan requests for allowance for the shards that the node leads.
	planners map[cawork.ShardID]*caescrow.Planner
}

func newWorld(t *testing.T, seed uint64) *world {
	return &world{t: t, rng: rand.New(rand.NewPCG(seed, 1)), cut: map[link]bool{}, observations: newObservations()}
}

func (w *world) chance(p float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Float64() < p
}

func (w *world) intn(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.IntN(n)
}

// transmit waits for the delay of a message and reports whether it arrives.
func (w *world) transmit(from, to string) bool {
	delay := time.Duration(200+w.intn(2000)) * time.Microsecond
	if w.chance(0.02) {
		delay += time.Duration(w.intn(900)) * time.Millisecond
	}
	time.Sleep(delay)
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.cut[link{from, to}] && w.rng.Float64() >= w.lossRate
}

// roundTrip delivers a request to serve and returns its reply. The request and the
// reply may be lost, and the request may arrive twice.
func roundTrip[T any](ctx context.Context, w *world, from, to string, serve func() (T, error)) (T, error) {
	type answer struct {
		value T
		err   error
	}
	answers := make(chan answer, 1)
	go func() {
		if !w.transmit(from, to) {
			return
		}
		if w.chance(w.lossRate) {
			go func() {
				time.Sleep(time.Duration(w.intn(3000)) * time.Millisecond)
				_, _ = serve()
			}()
		}
		v, err := serve()
		if w.transmit(to, from) {
			answers <- answer{v, err}
		}
	}()
	select {
	case a := <-answers:
		return a.value, a.err
	case <-ctx.Done():
		var zero T
		return zero, cakind.New(cakind.KindUnknown, "%s to %s timed out", from, to)
	}
}

// Replicate implements cashard.PeerClient.
func (n *node) Replicate(ctx context.Context, to cawork.VMID, req cashard.ReplicateRequest) (cashard.ReplicateReply, error) {
	return roundTrip(ctx, n.w, n.name(), string(to), func() (cashard.ReplicateReply, error) {
		for _, other := range n.w.allNodes() {
			if other.member.VM == to && !other.isDead() {
				return other.part.HandleReplicate(ctx, req)
			}
		}
		return cashard.ReplicateReply{}, cakind.New(cakind.KindUnavailable, "%s is dead", to)
	})
}

// ReadRegister implements cashard.RegisterClient.
func (n *node) ReadRegister(ctx context.Context, u cawork.UpstreamID, name string) (caplatform.Register, error) {
	if a := n.w.arbiter; a != nil {
		return a.read(name)
	}
	return roundTrip(ctx, n.w, n.name(), string(u), func() (caplatform.Register, error) {
		return n.w.host(u).readRegister(name)
	})
}

// SwapRegister implements cashard.RegisterClient.
func (n *node) SwapRegister(ctx context.Context, u cawork.UpstreamID, s caplatform.RegisterSwap) (caplatform.Register, error) {
	if a := n.w.arbiter; a != nil {
		return a.swap(s)
	}
	return roundTrip(ctx, n.w, n.name(), string(u), func() (caplatform.Register, error) {
		return n.w.host(u).swapRegister(s)
	})
}

func (n *node) name() string { return string(n.member.VM) }

// waitWhilePaused blocks while the node is paused.
func (n *node) waitWhilePaused() {
	n.mu.Lock()
	paused := n.paused
	n.mu.Unlock()
	if paused != nil {
		<-paused
	}
}

func (n *node) pause() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused == nil {
		n.paused = make(chan struct{})
	}
}

func (n *node) resume() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused != nil {
		close(n.paused)
		n.paused = nil
	}
}

func (n *node) isDead() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dead
}

// kill ends the node. Messages that it has sent may still arrive.
func (n *node) kill() {
	n.mu.Lock()
	n.dead = true
	n.mu.Unlock()
	n.resume()
	n.cancel()
	<-n.part.Done()
}

func (w *world) host(u cawork.UpstreamID) *host {
	for _, h := range w.hosts {
		if h.id == u {
			return h
		}
	}
	panic("no upstream " + u)
}

// addNode starts an entry whose clock runs up to 0.5% too slow or too fast.
func (w *world) addNode(ctx context.Context, m cashard.Member) *node {
	n := &node{
		w: w, member: m, timer: catimer.NewDriftingService(0.995 + 0.01*float64(w.intn(101))/100),
		fenced: map[cawork.ShardID]int64{}, planners: map[cawork.ShardID]*caescrow.Planner{},
	}
	part, err := cashard.NewReplicaManager(cashard.Options{
		Self: n.member, Zone: "z", Config: testConfig(), Peers: n, Witnesses: n, Listener: n,
		NewStateMachine: func(s cawork.ShardID) cashard.StateMachine {
			return cajob.NewState(s, cajob.DefaultRetention())
		},
		Timer: n.timer, Log: zerolog.Nop(), Scope: tally.NoopScope,
	})
	if err != nil {
		w.t.Fatal(err)
	}
	part.SetBeforeStep(n.waitWhilePaused)
	n.part = part
	ctx, n.cancel = context.WithCancel(ctx)
	go func() { _ = part.Run(ctx) }()
	w.mu.Lock()
	w.nodes = append(w.nodes, n)
	w.mu.Unlock()
	return n
}

// allNodes returns all nodes that have been started, including dead ones.
func (w *world) allNodes() []*node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.nodes)
}

// testConfig returns the production configuration with lower bounds, so that runs
// reach them.
func testConfig() cashard.Config {
	c := cashard.DefaultConfig()
	c.ChunkBytes, c.BatchRecords, c.TailRecords = 4<<10, 8, 64
	return c
}

// announceMembers sets the candidates and witnesses of every node to the live nodes
// and all upstreams.
func (w *world) announceMembers() {
	for i, n := range w.nodes {
		var candidates []cashard.Candidate
		for k := range w.nodes {
			if other := w.nodes[(i+k)%len(w.nodes)]; !other.isDead() {
				candidates = append(candidates, cashard.Candidate{Member: other.member, Zone: "z"})
			}
		}
		n.part.SetCandidates(candidates)
		var witnesses []cawork.UpstreamID
		for k := range w.hosts {
			witnesses = append(witnesses, w.hosts[(i+k)%len(w.hosts)].id)
		}
		n.part.SetWitnesses(witnesses)
	}
}

// restart starts a killed entry again, as another incarnation with a shard of its
// own and without the former state.
func (w *world) restart(ctx context.Context, n *node) {
	m := n.member
	m.Incarnation = int64(len(w.nodes))
	restarted := w.addNode(ctx, m)
	w.announceMembers()
	if err := restarted.part.Create(restarted.shard()); err != nil {
		w.t.Fatal(err)
	}
	go restarted.drive(ctx)
}
