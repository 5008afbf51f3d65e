package caentry

import (
	"context"
	"net"
	"sync"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// messageDelay is the one-way delay of a message in the fake network.
const messageDelay = time.Millisecond

// network is a fake network between named endpoints: entries, upstreams, the
// log and the VM list. Each direction can be cut, and an endpoint can be
// paused, which delays the messages that it sends until it is resumed.
type network struct {
	mu sync.Mutex
	// cutCounts counts the active cuts of each direction, so that ending one of
	// two overlapping cuts leaves the other in place.
	cutCounts map[[2]string]int
	paused    map[string]chan struct{}
	listeners map[string]*pipeListener
}

func newNetwork() *network {
	return &network{
		cutCounts: make(map[[2]string]int), paused: make(map[string]chan struct{}),
		listeners: make(map[string]*pipeListener),
	}
}

// setCut adds a cut of the direction between two endpoints, or removes one.
func (n *network) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cut {
		n.cutCounts[[2]string{from, to}]++
		return
	}
	n.cutCounts[[2]string{from, to}]--
}

func (n *network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cutCounts[[2]string{from, to}] > 0
}

// pause delays the messages that the endpoint sends until resume is called.
func (n *network) pause(endpoint string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.paused[endpoint]; !ok {
		n.paused[endpoint] = make(chan struct{})
	}
}

func (n *network) resume(endpoint string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if resumed, ok := n.paused[endpoint]; ok {
		close(resumed)
		delete(n.paused, endpoint)
	}
}

func (n *network) isPaused(endpoint string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, paused := n.paused[endpoint]
	return paused
}

// waitWhilePaused blocks while the endpoint is paused.
func (n *network) waitWhilePaused(endpoint string) {
	n.mu.Lock()
	resumed := n.paused[endpoint]
	n.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// roundTrip runs a call from one endpoint to another. A call whose request is
// lost is not executed; one whose response is lost is executed.
func roundTrip[T any](ctx context.Context, n *network, from, to string, call func() (T, error)) (T, error) {
	n.waitWhilePaused(from)
	time.Sleep(messageDelay)
	var zero T
	if n.isCut(from, to) {
		<-ctx.Done()
		return zero, cakind.Wrap(cakind.KindUnknown, ctx.Err(), "cut from %s to %s", from, to)
	}
	answer, err := call()
	time.Sleep(messageDelay)
	if n.isCut(to, from) {
		<-ctx.Done()
		return zero, cakind.Wrap(cakind.KindUnknown, ctx.Err(), "cut from %s to %s", to, from)
	}
	n.waitWhilePaused(from)
	return answer, err
}

// pipeListener accepts in-memory connections.
type pipeListener struct {
	endpoint string
	conns    chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (n *network) listen(endpoint string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &pipeListener{endpoint: endpoint, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[endpoint] = l
	return l, nil
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return address(l.endpoint) }

type address string

func (a address) Network() string { return "pipe" }

func (a address) String() string { return string(a) }

// dial connects an endpoint to a listening one.
func (n *network) dial(ctx context.Context, from, to string) (net.Conn, error) {
	n.waitWhilePaused(from)
	n.mu.Lock()
	l, ok := n.listeners[to]
	n.mu.Unlock()
	if !ok || n.isCut(from, to) || n.isCut(to, from) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	select {
	case l.conns <- &pipeConn{Conn: far, network: n, from: to, to: from, closed: make(chan struct{})}:
		return &pipeConn{Conn: near, network: n, from: from, to: to, closed: make(chan struct{})}, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// pipeConn is one side of a connection. After a write during a cut it stays
// broken: data is lost and writers block until the connection is closed.
type pipeConn struct {
	net.Conn
	network  *network
	from, to string
	once     sync.Once
	closed   chan struct{}
	mu       sync.Mutex
	broken   bool
}

func (c *pipeConn) Write(b []byte) (int, error) {
	c.network.waitWhilePaused(c.from)
	c.mu.Lock()
	c.broken = c.broken || c.network.isCut(c.from, c.to)
	broken := c.broken
	c.mu.Unlock()
	if broken {
		<-c.closed
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

func (c *pipeConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// remoteAgents returns agents of upstreams that are reached over the fake
// network.
type remoteAgents struct {
	world *world
	from  string
}

func (r remoteAgents) Agent(to string) caplatform.Agent {
	r.world.mu.Lock()
	defer r.world.mu.Unlock()
	return remoteAgent{
		network: r.world.network, from: r.from, to: to, agent: r.world.upstreams[to], onStart: r.world.onStart,
	}
}

type remoteAgent struct {
	network  *network
	from, to string
	agent    caplatform.Agent
	// onStart is called with each start that reached the upstream, unless it is nil.
	onStart func(upstream string, s caplatform.Start)
}

func (a remoteAgent) Claim(ctx context.Context, c caplatform.Claim) (caplatform.ClaimResult, error) {
	return roundTrip(ctx, a.network, a.from, a.to, func() (caplatform.ClaimResult, error) { return a.agent.Claim(ctx, c) })
}

func (a remoteAgent) Heartbeat(ctx context.Context, h caplatform.Heartbeat) (caplatform.HeartbeatResult, error) {
	return roundTrip(ctx, a.network, a.from, a.to, func() (caplatform.HeartbeatResult, error) { return a.agent.Heartbeat(ctx, h) })
}

func (a remoteAgent) Release(ctx context.Context, o caplatform.Ownership) error {
	_, err := roundTrip(ctx, a.network, a.from, a.to, func() (int, error) { return 0, a.agent.Release(ctx, o) })
	return err
}

func (a remoteAgent) Start(ctx context.Context, s caplatform.Start) (caplatform.TaskStatus, error) {
	return roundTrip(ctx, a.network, a.from, a.to, func() (caplatform.TaskStatus, error) {
		status, err := a.agent.Start(ctx, s)
		if err == nil && a.onStart != nil {
			a.onStart(a.to, s)
		}
		return status, err
	})
}

func (a remoteAgent) Stop(ctx context.Context, s caplatform.Stop) (caplatform.TaskStatus, error) {
	return roundTrip(ctx, a.network, a.from, a.to, func() (caplatform.TaskStatus, error) { return a.agent.Stop(ctx, s) })
}

func (a remoteAgent) Fence(ctx context.Context, f caplatform.ShardFence) ([]caplatform.TaskStatus, error) {
	return roundTrip(ctx, a.network, a.from, a.to, func() ([]caplatform.TaskStatus, error) { return a.agent.Fence(ctx, f) })
}

func (a remoteAgent) ReadRegister(ctx context.Context, name string) (caplatform.Register, error) {
	return roundTrip(ctx, a.network, a.from, a.to, func() (caplatform.Register, error) { return a.agent.ReadRegister(ctx, name) })
}

func (a remoteAgent) SwapRegister(ctx context.Context, s caplatform.RegisterSwap) (caplatform.Register, error) {
	return roundTrip(ctx, a.network, a.from, a.to, func() (caplatform.Register, error) { return a.agent.SwapRegister(ctx, s) })
}

// Endpoints of the platform services.
const (
	endpointLog = "log"
	endpointVMs = "vms"
)

type remoteLog struct {
	world *world
	from  string
}

func (r remoteLog) Append(ctx context.Context, topic string, payloads [][]byte) (caplatform.Offset, error) {
	return roundTrip(ctx, r.world.network, r.from, endpointLog, func() (caplatform.Offset, error) {
		if onAppend := r.world.onAppend.Load(); onAppend != nil {
			(*onAppend)(topic, payloads)
		}
		return r.world.log.Append(ctx, topic, payloads)
	})
}

func (r remoteLog) Read(ctx context.Context, topic string, from caplatform.Offset, limit int) (caplatform.Page, error) {
	return roundTrip(ctx, r.world.network, r.from, endpointLog, func() (caplatform.Page, error) {
		return r.world.log.Read(ctx, topic, from, limit)
	})
}

type remoteList struct {
	world *world
	from  string
}

func (r remoteList) List(ctx context.Context) ([]caplatform.VM, error) {
	return roundTrip(ctx, r.world.network, r.from, endpointVMs, func() ([]caplatform.VM, error) { return r.world.vmList.List(ctx) })
}
