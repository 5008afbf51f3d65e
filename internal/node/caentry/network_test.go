package caentry

import (
	"context"
	"net"
	"sync"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// messageDelay is the time that a message takes in the fake network.
const messageDelay = time.Millisecond

// network is a fake network between named places: entries, upstreams, the log
// and the list of VMs. Any direction can be cut; a place can be held, which
// delays what it sends until it is let go.
type network struct {
	mu sync.Mutex
	// cuts counts the faults that cut a direction, so that one of two that
	// overlap does not heal the other.
	cuts      map[[2]string]int
	held      map[string]chan struct{}
	listeners map[string]*pipeListener
}

func newNetwork() *network {
	return &network{
		cuts: make(map[[2]string]int), held: make(map[string]chan struct{}),
		listeners: make(map[string]*pipeListener),
	}
}

// cut stops what one place sends to another, or takes one such cut back.
func (n *network) cut(from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if on {
		n.cuts[[2]string{from, to}]++
		return
	}
	n.cuts[[2]string{from, to}]--
}

func (n *network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[[2]string{from, to}] > 0
}

// hold keeps back what the place sends until it is let go.
func (n *network) hold(place string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.held[place]; !ok {
		n.held[place] = make(chan struct{})
	}
}

func (n *network) release(place string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if gate, ok := n.held[place]; ok {
		close(gate)
		delete(n.held, place)
	}
}

func (n *network) isHeld(place string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, held := n.held[place]
	return held
}

// pass waits until a message may leave the place.
func (n *network) pass(place string) {
	n.mu.Lock()
	gate := n.held[place]
	n.mu.Unlock()
	if gate != nil {
		<-gate
	}
}

// carry runs a call from one place to another. Lost requests have no effect,
// lost answers have.
func carry[T any](ctx context.Context, n *network, from, to string, call func() (T, error)) (T, error) {
	n.pass(from)
	time.Sleep(messageDelay)
	var none T
	if n.isCut(from, to) {
		<-ctx.Done()
		return none, cakind.Wrap(cakind.KindUnknown, ctx.Err(), "cut from %s to %s", from, to)
	}
	answer, err := call()
	time.Sleep(messageDelay)
	if n.isCut(to, from) {
		<-ctx.Done()
		return none, cakind.Wrap(cakind.KindUnknown, ctx.Err(), "cut from %s to %s", to, from)
	}
	n.pass(from)
	return answer, err
}

// pipeListener accepts in-memory connections.
type pipeListener struct {
	place   string
	accepts chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (n *network) listen(place string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &pipeListener{place: place, accepts: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[place] = l
	return l, nil
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepts:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return address(l.place) }

type address string

func (a address) Network() string { return "pipe" }

func (a address) String() string { return string(a) }

// dial connects a place to a listening one.
func (n *network) dial(ctx context.Context, from, to string) (net.Conn, error) {
	n.pass(from)
	n.mu.Lock()
	l, ok := n.listeners[to]
	n.mu.Unlock()
	if !ok || n.isCut(from, to) || n.isCut(to, from) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	select {
	case l.accepts <- &link{Conn: far, network: n, from: to, to: from, closed: make(chan struct{})}:
		return &link{Conn: near, network: n, from: from, to: to, closed: make(chan struct{})}, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// link is one side of a connection. Once it met a cut it stays broken: what is
// written is lost and the writer waits until the connection is closed.
type link struct {
	net.Conn
	network  *network
	from, to string
	once     sync.Once
	closed   chan struct{}
	mu       sync.Mutex
	broken   bool
}

func (l *link) Write(b []byte) (int, error) {
	l.network.pass(l.from)
	l.mu.Lock()
	l.broken = l.broken || l.network.isCut(l.from, l.to)
	broken := l.broken
	l.mu.Unlock()
	if broken {
		<-l.closed
		return 0, net.ErrClosed
	}
	return l.Conn.Write(b)
}

func (l *link) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Conn.Close()
}

// remoteAgents reaches the agents of upstreams over the fake network.
type remoteAgents struct {
	world *world
	from  string
}

func (r remoteAgents) Agent(to string) caplatform.Agent {
	r.world.mu.Lock()
	defer r.world.mu.Unlock()
	return remoteAgent{network: r.world.network, from: r.from, to: to, agent: r.world.upstreams[to]}
}

type remoteAgent struct {
	network  *network
	from, to string
	agent    caplatform.Agent
}

func (a remoteAgent) Claim(ctx context.Context, c caplatform.Claim) (caplatform.ClaimResult, error) {
	return carry(ctx, a.network, a.from, a.to, func() (caplatform.ClaimResult, error) { return a.agent.Claim(ctx, c) })
}

func (a remoteAgent) Heartbeat(ctx context.Context, h caplatform.Heartbeat) (caplatform.HeartbeatResult, error) {
	return carry(ctx, a.network, a.from, a.to, func() (caplatform.HeartbeatResult, error) { return a.agent.Heartbeat(ctx, h) })
}

func (a remoteAgent) Release(ctx context.Context, o caplatform.Ownership) error {
	_, err := carry(ctx, a.network, a.from, a.to, func() (int, error) { return 0, a.agent.Release(ctx, o) })
	return err
}

func (a remoteAgent) Start(ctx context.Context, s caplatform.Start) (caplatform.TaskStatus, error) {
	return carry(ctx, a.network, a.from, a.to, func() (caplatform.TaskStatus, error) { return a.agent.Start(ctx, s) })
}

func (a remoteAgent) Stop(ctx context.Context, s caplatform.Stop) (caplatform.TaskStatus, error) {
	return carry(ctx, a.network, a.from, a.to, func() (caplatform.TaskStatus, error) { return a.agent.Stop(ctx, s) })
}

func (a remoteAgent) Fence(ctx context.Context, f caplatform.ShardFence) ([]caplatform.TaskStatus, error) {
	return carry(ctx, a.network, a.from, a.to, func() ([]caplatform.TaskStatus, error) { return a.agent.Fence(ctx, f) })
}

func (a remoteAgent) ReadRegister(ctx context.Context, name string) (caplatform.Register, error) {
	return carry(ctx, a.network, a.from, a.to, func() (caplatform.Register, error) { return a.agent.ReadRegister(ctx, name) })
}

func (a remoteAgent) SwapRegister(ctx context.Context, s caplatform.RegisterSwap) (caplatform.Register, error) {
	return carry(ctx, a.network, a.from, a.to, func() (caplatform.Register, error) { return a.agent.SwapRegister(ctx, s) })
}

// The places of the platform in the network.
const (
	placeLog = "log"
	placeVMs = "vms"
)

type remoteLog struct {
	world *world
	from  string
}

func (r remoteLog) Append(ctx context.Context, topic string, payloads [][]byte) (caplatform.Offset, error) {
	return carry(ctx, r.world.network, r.from, placeLog, func() (caplatform.Offset, error) {
		if watch := r.world.appended.Load(); watch != nil {
			(*watch)(topic, payloads)
		}
		return r.world.log.Append(ctx, topic, payloads)
	})
}

func (r remoteLog) Read(ctx context.Context, topic string, from caplatform.Offset, limit int) (caplatform.Page, error) {
	return carry(ctx, r.world.network, r.from, placeLog, func() (caplatform.Page, error) {
		return r.world.log.Read(ctx, topic, from, limit)
	})
}

type remoteList struct {
	world *world
	from  string
}

func (r remoteList) List(ctx context.Context) ([]caplatform.VM, error) {
	return carry(ctx, r.world.network, r.from, placeVMs, func() ([]caplatform.VM, error) { return r.world.list.List(ctx) })
}
