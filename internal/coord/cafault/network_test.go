package cafault_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/coord/camember"
)

// maxMessageDelay is the time after which every message has arrived or is lost.
const maxMessageDelay = time.Minute

// link is one direction of the connection between two addresses.
type link struct{ from, to string }

// conditions holds the loss and duplication probabilities and the delay range of
// messages.
type conditions struct {
	drop, duplicate float64
	minDelay        time.Duration
	maxDelay        time.Duration
}

// network simulates calls between addresses in virtual time.
type network struct {
	mu          sync.Mutex
	rng         *rand.Rand
	conditions  conditions
	cuts        map[link]bool
	down        map[string]bool
	paused      map[string]chan struct{}
	memberships map[string]*camember.Membership
	sentBytes   int
}

func newNetwork(seed uint64, cond conditions) *network {
	return &network{
		rng: rand.New(rand.NewPCG(seed, 1)), conditions: cond,
		cuts: map[link]bool{}, down: map[string]bool{}, paused: map[string]chan struct{}{},
		memberships: map[string]*camember.Membership{},
	}
}

// sendOneWay draws whether one message arrives, and its delay.
func (n *network) sendOneWay(from, to string) (arrives bool, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delay = n.conditions.minDelay + time.Duration(n.rng.Int64N(int64(n.conditions.maxDelay-n.conditions.minDelay)+1))
	return !n.cuts[link{from, to}] && n.rng.Float64() >= n.conditions.drop, delay
}

func (n *network) drawCopies() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.rng.Float64() < n.conditions.duplicate {
		return 2
	}
	return 1
}

// awaitRunning blocks while the process at the address is paused.
func (n *network) awaitRunning(address string) {
	n.mu.Lock()
	resumed := n.paused[address]
	n.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

func (n *network) pause(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused[address] == nil {
		n.paused[address] = make(chan struct{})
	}
}

func (n *network) resume(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if resumed := n.paused[address]; resumed != nil {
		close(resumed)
		delete(n.paused, address)
	}
}

func (n *network) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[link{from, to}] = cut
}

func (n *network) setDown(address string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[address] = down
}

func (n *network) isDown(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.down[address]
}

// countBytes adds the encoded size of a message to the traffic.
func (n *network) countBytes(message any) {
	encoded, err := cbor.Marshal(message)
	if err != nil {
		panic(err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sentBytes += len(encoded)
}

// takeSentBytes returns the number of bytes sent by all entries since the last
// call.
func (n *network) takeSentBytes() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	bytes := n.sentBytes
	n.sentBytes = 0
	return bytes
}

type reply[T any] struct {
	value T
	err   error
}

// call makes a call over the network. A message in transit arrives even if its
// caller has given up or died.
func call[T any](ctx context.Context, n *network, from, to string, handle func() (T, error)) (T, error) {
	n.awaitRunning(from)
	replies := make(chan reply[T], 2)
	for range n.drawCopies() {
		go n.deliver(from, to, func() {
			v, err := handle()
			if arrives, delay := n.sendOneWay(to, from); arrives {
				time.Sleep(delay)
				replies <- reply[T]{v, err}
			}
		}, func(err error) { replies <- reply[T]{err: err} })
	}
	select {
	case a := <-replies:
		n.awaitRunning(from)
		return a.value, a.err
	case <-ctx.Done():
		n.awaitRunning(from)
		var none T
		return none, cakind.Wrap(cakind.KindUnknown, ctx.Err(), "no reply from %s", to)
	}
}

func (n *network) deliver(from, to string, arrive func(), refuse func(error)) {
	arrives, delay := n.sendOneWay(from, to)
	if !arrives {
		return
	}
	time.Sleep(delay)
	n.awaitRunning(to)
	if n.isDown(to) {
		refuse(cakind.New(cakind.KindUnavailable, "%s is down", to))
		return
	}
	arrive()
}

// peerClient implements the peer interface for the entry at an address.
type peerClient struct {
	net     *network
	address string
}

func (p peerClient) Exchange(ctx context.Context, address string, req camember.ExchangeRequest) (camember.ExchangeReply, error) {
	p.net.countBytes(req)
	return call(ctx, p.net, p.address, address, func() (camember.ExchangeReply, error) {
		reply, err := p.net.membershipOf(address).HandleExchange(ctx, req)
		p.net.countBytes(reply)
		return reply, err
	})
}

func (p peerClient) ProbeVia(ctx context.Context, address string, target camember.ProbeTarget) error {
	p.net.countBytes(target)
	_, err := call(ctx, p.net, p.address, address, func() (struct{}, error) {
		return struct{}{}, p.net.membershipOf(address).HandleProbe(context.Background(), target)
	})
	return err
}

func (n *network) membershipOf(address string) *camember.Membership {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.memberships[address]
}
