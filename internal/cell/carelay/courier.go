package carelay

import (
	"context"
	"sync"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/node/capeer"
)

const (
	// deliverGather gathers orders into one call, and renewGather does so for
	// renewals, which leave earlier beside an order that starts or stops a run.
	deliverGather = 2 * time.Millisecond
	renewGather   = 20 * time.Millisecond
	// deliverTimeout bounds a call that hands orders over.
	deliverTimeout = 500 * time.Millisecond
	// deliveriesMost bounds the calls under way that hand orders to one agent.
	deliveriesMost = 3
	// collectWait is how long an agent waits for an outcome, and collectTimeout
	// bounds the way there and back.
	collectWait    = 500 * time.Millisecond
	collectTimeout = 500 * time.Millisecond
	// collectRetry is the wait after a call for outcomes that failed.
	collectRetry = 30 * time.Millisecond
	// collectMisses is how many of them in a row end the use of an agent.
	collectMisses = 2
	// agentRest keeps orders from an agent that did not answer.
	agentRest = 1500 * time.Millisecond
)

// errNotDelivered means that the agent never got the order.
var errNotDelivered = cakind.New(cakind.KindUnavailable, "the agent is out of reach")

// answer ends the wait for an order.
type answer struct {
	outcome
	err error
}

// courier hands orders to one agent and collects what came of them.
type courier struct {
	relay   *Relay
	agent   Candidate
	session session
	// toDeliver, toRenew and toCollect tell that there are orders, that there are
	// renewals that may wait, and that outcomes are to come. slots bounds the
	// deliveries.
	toDeliver chan struct{}
	toRenew   chan struct{}
	toCollect chan struct{}
	slots     chan struct{}

	mu     sync.Mutex
	nextID uint64
	queue  []order
	// pending are the orders without an answer.
	pending   map[uint64]chan answer
	restUntil time.Time
}

func newCourier(r *Relay, agent Candidate, s session) *courier {
	return &courier{
		relay: r, agent: agent, session: s,
		toDeliver: make(chan struct{}, 1), toRenew: make(chan struct{}, 1), toCollect: make(chan struct{}, 1),
		slots: make(chan struct{}, deliveriesMost), pending: make(map[uint64]chan answer),
	}
}

// do has an order carried out. KindUnknown means that it may take effect, now
// or later.
func (c *courier) do(ctx context.Context, o order) (outcome, error) {
	if deadline, ok := ctx.Deadline(); ok {
		o.Timeout = time.Until(deadline)
	}
	id, answered := c.enqueue(o)
	select {
	case a := <-answered:
		return a.outcome, a.err
	case <-ctx.Done():
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.pending, id)
		return outcome{}, cakind.New(cakind.KindUnknown, "entry %s did not answer an order in time", c.agent.VM)
	}
}

func (c *courier) enqueue(o order) (uint64, <-chan answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextID++
	o.ID = c.nextID
	answered := make(chan answer, 1)
	c.pending[o.ID] = answered
	c.queue = append(c.queue, o)
	if o.mayWait() {
		signal(c.toRenew)
	} else {
		signal(c.toDeliver)
	}
	signal(c.toCollect)
	return o.ID, answered
}

func signal(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// run delivers and collects until the context ends.
func (c *courier) run(ctx context.Context) {
	var parts sync.WaitGroup
	parts.Go(func() { c.collectLoop(ctx) })
	for c.awaitOrders(ctx) {
		orders := c.takeQueue()
		if len(orders) == 0 {
			continue
		}
		c.slots <- struct{}{}
		parts.Go(func() {
			defer func() { <-c.slots }()
			c.deliver(ctx, orders)
		})
	}
	parts.Wait()
	c.fail(cakind.New(cakind.KindUnknown, "the leader ended"), nil)
}

// awaitOrders waits until a delivery is due. It reports false when the context
// ends.
func (c *courier) awaitOrders(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-c.toDeliver:
	case <-c.toRenew:
		gather := c.relay.Timer.After(renewGather)
		defer gather.Close()
		select {
		case <-ctx.Done():
			return false
		case <-gather.C:
			return true
		case <-c.toDeliver:
		}
	}
	return c.relay.Timer.Pause(ctx, deliverGather) == nil
}

func (c *courier) takeQueue() []order {
	c.mu.Lock()
	defer c.mu.Unlock()
	orders := c.queue
	c.queue = nil
	return orders
}

func (c *courier) deliver(ctx context.Context, orders []order) {
	callCtx, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	_, err := capeer.Call[deliverRequest, empty](callCtx, c.relay.Peers, c.agent.Address, callDeliver, deliverRequest{c.session, orders})
	switch {
	case err == nil:
	case capeer.IsUnreachable(err), cakind.Of(err) == cakind.KindUnavailable:
		c.rest(err)
		c.fail(errNotDelivered, orders)
	default:
		c.rest(err)
		c.fail(cakind.Wrap(cakind.KindUnknown, err, "hand orders to entry %s", c.agent.VM), orders)
	}
}

// position is how far the outcomes of a session have arrived.
type position struct {
	after, life int64
}

// collectLoop takes up outcomes while orders are under way.
func (c *courier) collectLoop(ctx context.Context) {
	misses := 0
	var at position
	for c.awaitPending(ctx) {
		reply, err := c.collect(ctx, at)
		if err == nil && !reply.Lost {
			misses = 0
			at = position{after: reply.Last, life: reply.Life}
			c.resolve(reply.Outcomes)
			continue
		}
		if err != nil {
			misses++
		}
		if misses >= collectMisses {
			misses = 0
			c.rest(err)
			c.fail(cakind.Wrap(cakind.KindUnknown, err, "collect outcomes of entry %s", c.agent.VM), nil)
		}
		if c.relay.Timer.Pause(ctx, collectRetry) != nil {
			return
		}
	}
}

// awaitPending waits until there is an order without an answer. It reports
// false when the context ends.
func (c *courier) awaitPending(ctx context.Context) bool {
	for ctx.Err() == nil {
		c.mu.Lock()
		pending := len(c.pending)
		c.mu.Unlock()
		if pending > 0 {
			return true
		}
		select {
		case <-ctx.Done():
		case <-c.toCollect:
		}
	}
	return false
}

func (c *courier) collect(ctx context.Context, at position) (collectReply, error) {
	callCtx, cancel := context.WithTimeout(ctx, collectWait+collectTimeout)
	defer cancel()
	request := collectRequest{Session: c.session, After: at.after, Life: at.life, Wait: collectWait}
	return capeer.Call[collectRequest, collectReply](callCtx, c.relay.Peers, c.agent.Address, callCollect, request)
}

func (c *courier) resolve(outcomes []outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range outcomes {
		if answered, ok := c.pending[o.ID]; ok {
			answered <- answer{outcome: o}
			delete(c.pending, o.ID)
		}
	}
}

// fail answers the given orders, or all without an answer, with the error.
func (c *courier) fail(err error, orders []order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if orders == nil {
		for id, answered := range c.pending {
			answered <- answer{err: err}
			delete(c.pending, id)
		}
		c.queue = nil
		return
	}
	for _, o := range orders {
		if answered, ok := c.pending[o.ID]; ok {
			answered <- answer{err: err}
			delete(c.pending, o.ID)
		}
	}
}

// rest keeps orders from the agent for a while.
func (c *courier) rest(err error) {
	known := c.isResting()
	c.mu.Lock()
	c.restUntil = c.relay.Timer.Now().Add(agentRest)
	c.mu.Unlock()
	if !known {
		c.relay.noteLost(c.agent, err)
	}
}

// isResting reports whether the agent gets no orders now.
func (c *courier) isResting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relay.Timer.Now().Before(c.restUntil)
}
