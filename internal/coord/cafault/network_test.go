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

// inFlight is the time after which no message is on its way any more.
const inFlight = time.Minute

// link is one direction between two addresses.
type link struct{ from, to string }

// conditions say how messages fare.
type conditions struct {
	drop, duplicate float64
	minDelay        time.Duration
	maxDelay        time.Duration
}

// network carries calls between addresses in virtual time.
type network struct {
	mu     sync.Mutex
	rng    *rand.Rand
	cond   conditions
	cuts   map[link]bool
	down   map[string]bool
	paused map[string]chan struct{}
	parts  map[string]*camember.Part
	bytes  int
}

func newNetwork(seed uint64, cond conditions) *network {
	return &network{
		rng: rand.New(rand.NewPCG(seed, 1)), cond: cond,
		cuts: map[link]bool{}, down: map[string]bool{}, paused: map[string]chan struct{}{},
		parts: map[string]*camember.Part{},
	}
}

// leg draws the fate of one message.
func (n *network) leg(from, to string) (arrives bool, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delay = n.cond.minDelay + time.Duration(n.rng.Int64N(int64(n.cond.maxDelay-n.cond.minDelay)+1))
	return !n.cuts[link{from, to}] && n.rng.Float64() >= n.cond.drop, delay
}

func (n *network) copies() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.rng.Float64() < n.cond.duplicate {
		return 2
	}
	return 1
}

// awaitRunning blocks while the process at the address is paused.
func (n *network) awaitRunning(address string) {
	n.mu.Lock()
	gate := n.paused[address]
	n.mu.Unlock()
	if gate != nil {
		<-gate
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
	if gate := n.paused[address]; gate != nil {
		close(gate)
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

// count adds the encoded size of a message to the traffic.
func (n *network) count(message any) {
	encoded, err := cbor.Marshal(message)
	if err != nil {
		panic(err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytes += len(encoded)
}

// takeBytes returns the bytes sent by all since the last call.
func (n *network) takeBytes() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	bytes := n.bytes
	n.bytes = 0
	return bytes
}

type answer[T any] struct {
	value T
	err   error
}

// carry makes a call. A message on its way arrives even when its caller has
// given up or died.
func carry[T any](ctx context.Context, n *network, from, to string, deliver func() (T, error)) (T, error) {
	n.awaitRunning(from)
	answers := make(chan answer[T], 2)
	for range n.copies() {
		go n.travel(from, to, func() {
			v, err := deliver()
			if arrives, delay := n.leg(to, from); arrives {
				time.Sleep(delay)
				answers <- answer[T]{v, err}
			}
		}, func(err error) { answers <- answer[T]{err: err} })
	}
	select {
	case a := <-answers:
		n.awaitRunning(from)
		return a.value, a.err
	case <-ctx.Done():
		n.awaitRunning(from)
		var none T
		return none, cakind.Wrap(cakind.KindUnknown, ctx.Err(), "no answer from %s", to)
	}
}

func (n *network) travel(from, to string, arrive func(), refuse func(error)) {
	arrives, delay := n.leg(from, to)
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

// peers is the peer interface of the entry at an address.
type peers struct {
	net     *network
	address string
}

func (p peers) Exchange(ctx context.Context, address string, req camember.ExchangeRequest) (camember.ExchangeReply, error) {
	p.net.count(req)
	return carry(ctx, p.net, p.address, address, func() (camember.ExchangeReply, error) {
		reply, err := p.net.part(address).HandleExchange(ctx, req)
		p.net.count(reply)
		return reply, err
	})
}

func (p peers) ProbeVia(ctx context.Context, address string, target camember.ProbeTarget) error {
	p.net.count(target)
	_, err := carry(ctx, p.net, p.address, address, func() (struct{}, error) {
		return struct{}{}, p.net.part(address).HandleProbe(context.Background(), target)
	})
	return err
}

func (n *network) part(address string) *camember.Part {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.parts[address]
}
