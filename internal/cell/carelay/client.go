package carelay

import (
	"context"
	"sync"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/node/capeer"
)

const (
	// deliverBatchDelay is the delay before a delivery that lets more orders join
	// it. renewBatchDelay is the delay if only renewals that can wait are queued;
	// an order that starts or stops a run shortens it.
	deliverBatchDelay = 2 * time.Millisecond
	renewBatchDelay   = 20 * time.Millisecond
	// deliverTimeout bounds a call that delivers orders.
	deliverTimeout = 500 * time.Millisecond
	// maxDeliveries bounds the concurrent calls that deliver orders to one agent.
	maxDeliveries = 3
	// collectWait is how long an agent waits for an outcome before it replies, and
	// collectTimeout bounds the call in addition to that wait.
	collectWait    = 500 * time.Millisecond
	collectTimeout = 500 * time.Millisecond
	// collectRetry is the delay after a failed call for outcomes.
	collectRetry = 30 * time.Millisecond
	// maxCollectFailures is how many such calls must fail in a row before the agent
	// is taken out of use.
	maxCollectFailures = 2
	// agentBackoff is how long an agent gets no orders after it failed to answer.
	agentBackoff = 1500 * time.Millisecond
)

// errNotDelivered means that the agent did not receive the order.
var errNotDelivered = cakind.New(cakind.KindUnavailable, "the agent is unreachable")

// result is the outcome of an order or the error that ended the wait for it.
type result struct {
	outcome
	err error
}

// agentClient delivers orders to one agent and collects their outcomes.
type agentClient struct {
	relay   *Relay
	agent   Candidate
	session sessionID
	// deliverSignal is sent for a queued order, renewSignal for a queued renewal
	// that can wait, and collectSignal when outcomes are expected. deliverySlots
	// bounds the concurrent deliveries.
	deliverSignal chan struct{}
	renewSignal   chan struct{}
	collectSignal chan struct{}
	deliverySlots chan struct{}

	mu     sync.Mutex
	nextID uint64
	queue  []order
	// pending holds the result channels of orders without a result.
	pending      map[uint64]chan result
	backoffUntil time.Time
}

func newAgentClient(r *Relay, agent Candidate, s sessionID) *agentClient {
	return &agentClient{
		relay: r, agent: agent, session: s,
		deliverSignal: make(chan struct{}, 1), renewSignal: make(chan struct{}, 1), collectSignal: make(chan struct{}, 1),
		deliverySlots: make(chan struct{}, maxDeliveries), pending: make(map[uint64]chan result),
	}
}

// do executes an order through the agent and waits for the outcome. KindUnknown
// means that the order may take effect, now or later.
func (c *agentClient) do(ctx context.Context, o order) (outcome, error) {
	if deadline, ok := ctx.Deadline(); ok {
		o.Timeout = time.Until(deadline)
	}
	id, resultCh := c.enqueue(o)
	select {
	case res := <-resultCh:
		return res.outcome, res.err
	case <-ctx.Done():
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.pending, id)
		return outcome{}, cakind.New(cakind.KindUnknown, "entry %s did not answer an order in time", c.agent.VM)
	}
}

func (c *agentClient) enqueue(o order) (uint64, <-chan result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextID++
	o.ID = c.nextID
	resultCh := make(chan result, 1)
	c.pending[o.ID] = resultCh
	c.queue = append(c.queue, o)
	if o.isDeferrable() {
		signal(c.renewSignal)
	} else {
		signal(c.deliverSignal)
	}
	signal(c.collectSignal)
	return o.ID, resultCh
}

func signal(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// run delivers orders and collects outcomes until the context ends.
func (c *agentClient) run(ctx context.Context) {
	var goroutines sync.WaitGroup
	goroutines.Go(func() { c.collectLoop(ctx) })
	for c.awaitOrders(ctx) {
		orders := c.takeQueue()
		if len(orders) == 0 {
			continue
		}
		c.deliverySlots <- struct{}{}
		goroutines.Go(func() {
			defer func() { <-c.deliverySlots }()
			c.deliver(ctx, orders)
		})
	}
	goroutines.Wait()
	c.fail(cakind.New(cakind.KindUnknown, "the leader stopped"), nil)
}

// awaitOrders waits until a delivery is due. It returns false if the context ends
// first.
func (c *agentClient) awaitOrders(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-c.deliverSignal:
	case <-c.renewSignal:
		delay := c.relay.Timer.After(renewBatchDelay)
		defer delay.Close()
		select {
		case <-ctx.Done():
			return false
		case <-delay.C:
			return true
		case <-c.deliverSignal:
		}
	}
	return c.relay.Timer.Pause(ctx, deliverBatchDelay) == nil
}

func (c *agentClient) takeQueue() []order {
	c.mu.Lock()
	defer c.mu.Unlock()
	orders := c.queue
	c.queue = nil
	return orders
}

func (c *agentClient) deliver(ctx context.Context, orders []order) {
	callCtx, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	_, err := capeer.Call[deliverRequest, empty](callCtx, c.relay.Peers, c.agent.Address, callDeliver, deliverRequest{c.session, orders})
	switch {
	case err == nil:
	case capeer.IsUnreachable(err), cakind.Of(err) == cakind.KindUnavailable:
		c.backOff(err)
		c.fail(errNotDelivered, orders)
	default:
		c.backOff(err)
		c.fail(cakind.Wrap(cakind.KindUnknown, err, "deliver orders to entry %s", c.agent.VM), orders)
	}
}

// cursor is the position up to which the outcomes of a session were received.
type cursor struct {
	after, epoch int64
}

// collectLoop collects outcomes while orders are pending.
func (c *agentClient) collectLoop(ctx context.Context) {
	failures := 0
	var at cursor
	for c.awaitPending(ctx) {
		reply, err := c.collect(ctx, at)
		if err == nil && !reply.UnknownSession {
			failures = 0
			at = cursor{after: reply.Last, epoch: reply.Epoch}
			c.complete(reply.Outcomes)
			continue
		}
		if err != nil {
			failures++
		}
		if failures >= maxCollectFailures {
			failures = 0
			c.backOff(err)
			c.fail(cakind.Wrap(cakind.KindUnknown, err, "collect outcomes from entry %s", c.agent.VM), nil)
		}
		if c.relay.Timer.Pause(ctx, collectRetry) != nil {
			return
		}
	}
}

// awaitPending waits until an order is pending. It returns false if the context
// ends first.
func (c *agentClient) awaitPending(ctx context.Context) bool {
	for ctx.Err() == nil {
		c.mu.Lock()
		pending := len(c.pending)
		c.mu.Unlock()
		if pending > 0 {
			return true
		}
		select {
		case <-ctx.Done():
		case <-c.collectSignal:
		}
	}
	return false
}

func (c *agentClient) collect(ctx context.Context, at cursor) (collectReply, error) {
	callCtx, cancel := context.WithTimeout(ctx, collectWait+collectTimeout)
	defer cancel()
	request := collectRequest{Session: c.session, After: at.after, Epoch: at.epoch, Wait: collectWait}
	return capeer.Call[collectRequest, collectReply](callCtx, c.relay.Peers, c.agent.Address, callCollect, request)
}

func (c *agentClient) complete(outcomes []outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range outcomes {
		if resultCh, ok := c.pending[o.ID]; ok {
			resultCh <- result{outcome: o}
			delete(c.pending, o.ID)
		}
	}
}

// fail completes the given orders with the error, or all pending ones if orders is
// nil.
func (c *agentClient) fail(err error, orders []order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if orders == nil {
		for id, resultCh := range c.pending {
			resultCh <- result{err: err}
			delete(c.pending, id)
		}
		c.queue = nil
		return
	}
	for _, o := range orders {
		if resultCh, ok := c.pending[o.ID]; ok {
			resultCh <- result{err: err}
			delete(c.pending, o.ID)
		}
	}
}

// backOff takes the agent out of use for agentBackoff.
func (c *agentClient) backOff(err error) {
	alreadyBackingOff := c.isBackingOff()
	c.mu.Lock()
	c.backoffUntil = c.relay.Timer.Now().Add(agentBackoff)
	c.mu.Unlock()
	if !alreadyBackingOff {
		c.relay.logAgentLost(c.agent, err)
	}
}

// isBackingOff reports whether the agent is out of use after a failure.
func (c *agentClient) isBackingOff() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relay.Timer.Now().Before(c.backoffUntil)
}
