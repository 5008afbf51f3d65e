// Package cadispatch takes a request from admission to its response: it queues
// the request for a slot, sends attempts to upstreams and writes the response.
// It also borrows slots from other entries, and drains on shutdown.
package cadispatch

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/request/caadmit"
	"celeryarch.example/celeryarch/internal/request/caforward"
	"celeryarch.example/celeryarch/internal/request/caroute"
)

const defaultMaxInProgress = 1024

var errTooManyRequests = caadmit.NewRefusal("too many requests in progress", cakind.DefaultRetryAfter)

// Config holds the settings and dependencies of a dispatcher.
type Config struct {
	// Self is the ID of the VM that runs this entry.
	Self   cawork.VMID
	Zone   cawork.ZoneName
	Timer  *catimer.Service
	Logger zerolog.Logger
	Scope  tally.Scope
	// CrossZoneRTT is the round-trip time to another availability zone.
	CrossZoneRTT time.Duration
	Policy       Policy
	// MaxInProgress bounds the concurrent requests of the entry, waiting ones
	// included, and thereby its memory. Zero means 1,024.
	MaxInProgress int
	// MaxMemoryBytes bounds the memory of the requests in progress with their bodies
	// and responses, in bytes. Zero means 38 MiB; values below 192 KiB are
	// raised to 192 KiB.
	MaxMemoryBytes int64
	// Lender borrows slots from the owners of other upstreams. If it is nil, the
	// entry uses only the upstreams that it owns.
	Lender SlotLender
	// IdempotencyKeys claims idempotency keys. If it is nil, requests with a key are
	// refused.
	IdempotencyKeys KeyClaimer
}

// Dispatcher routes the requests that arrive at an entry to upstreams.
type Dispatcher struct {
	config          Config
	forwarder       *caforward.Forwarder
	metrics         metrics
	attemptIDPrefix string
	lastAttemptID   atomic.Int64

	mu         sync.Mutex
	policy     Policy
	router     *caroute.Router
	queues     *caadmit.Queues
	budgets    *caroute.Budgets
	draining   bool
	closed     bool
	inProgress int
	memory     memory
	drained    chan struct{}
	borrowing  borrowing
	// watched holds the attempts that are subject to a soft deadline.
	watched map[*runningAttempt]struct{}

	// peerCalls tracks the outgoing calls to peers.
	peerCalls sync.WaitGroup
	done      chan struct{}
	ticks     tickControl
}

// New returns a dispatcher without upstreams.
func New(c Config) *Dispatcher {
	if c.MaxInProgress <= 0 {
		c.MaxInProgress = defaultMaxInProgress
	}
	if c.MaxMemoryBytes <= 0 {
		c.MaxMemoryBytes = defaultMaxMemoryBytes
	}
	d := &Dispatcher{
		config:          c,
		forwarder:       caforward.New(c.Timer.Now),
		metrics:         newMetrics(c.Scope),
		attemptIDPrefix: uuid.NewString() + "-",
		router:          caroute.NewRouter(caroute.Config{Zone: c.Zone, CrossZoneRTT: c.CrossZoneRTT}),
		queues:          caadmit.NewQueues(c.Policy.Admission),
		budgets:         caroute.NewBudgets(),
		drained:         make(chan struct{}),
		borrowing:       newBorrowing(),
		watched:         map[*runningAttempt]struct{}{},
		memory:          memory{limit: max(c.MaxMemoryBytes, minMaxMemoryBytes)},
		done:            make(chan struct{}),
		ticks:           tickControl{startSignal: make(chan struct{}, 1)},
	}
	d.SetPolicy(c.Policy)
	return d
}

// PutUpstream adds or replaces an upstream that this entry owns.
func (d *Dispatcher) PutUpstream(u caroute.Upstream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Timer.Now()
	d.router.Put(now, u)
	d.dispatchQueued(now)
}

// RemoveUpstream removes an upstream. Its requests in progress continue.
func (d *Dispatcher) RemoveUpstream(id cawork.UpstreamID) {
	d.mu.Lock()
	d.router.Remove(id)
	d.budgets.RemoveUpstream(id)
	d.mu.Unlock()
	d.forwarder.RemoveUpstream(id)
}

// SetPolicy replaces the policy. Requests already in the queues keep their
// order.
func (d *Dispatcher) SetPolicy(p Policy) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.policy = p
	d.queues.SetPolicy(p.Admission)
	d.router.SetPlacement(p.Placement)
}

// ServeRequest serves one request of a team. It returns when the response has
// been written. If the response cannot be completed, it panics with
// http.ErrAbortHandler, which makes the server close the connection.
func (d *Dispatcher) ServeRequest(w http.ResponseWriter, r *http.Request, team cawork.TeamName) {
	bytes := memoryOfRequest(r)
	if err := d.beginRequest(bytes); err != nil {
		d.refuse(w, team, err)
		return
	}
	defer d.endRequest(bytes)
	c, err := newCall(w, r, team, d.config.Timer.Now())
	if err != nil {
		d.refuse(w, team, err)
		return
	}
	ctx := c.requestContext(r)
	if d.claimKey(ctx, w, c) {
		d.runAttempts(ctx, w, c)
	}
}

// Run does the periodic work until the context ends: it expires waiting
// requests, cancels late attempts, borrows slots and returns unused grants.
func (d *Dispatcher) Run(ctx context.Context) error {
	defer close(d.done)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.ticks.startSignal:
			d.tickUntilIdle(ctx)
		}
	}
}

// Done returns a channel that is closed when Run has ended.
func (d *Dispatcher) Done() <-chan struct{} { return d.done }

// Drain makes the dispatcher refuse new requests.
func (d *Dispatcher) Drain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return
	}
	d.draining = true
	if d.inProgress == 0 {
		close(d.drained)
	}
}

// Close drains the dispatcher and waits until the requests in progress have
// ended. It fails when the context ends first. Run must not end before Close
// returns, because it expires waiting requests.
func (d *Dispatcher) Close(ctx context.Context) error {
	d.Drain()
	select {
	case <-d.drained:
		d.finishClose()
		return nil
	case <-ctx.Done():
		return cakind.Wrap(cakind.KindUnknown, ctx.Err(), "requests are still in progress")
	}
}

// finishClose returns the borrowed slots and waits for the outgoing calls to
// peers. No such call starts afterwards.
func (d *Dispatcher) finishClose() {
	d.mu.Lock()
	if !d.closed {
		d.returnGrants(d.router.ReturnGrants())
	}
	d.closed = true
	d.mu.Unlock()
	d.peerCalls.Wait()
	d.forwarder.Close()
}

// beginRequest counts a request that arrives, or returns the reason to refuse
// it.
func (d *Dispatcher) beginRequest(bytes int64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return cakind.New(cakind.KindDraining, "the entry is shutting down")
	}
	if d.inProgress >= d.config.MaxInProgress {
		return errTooManyRequests
	}
	if !d.memory.admitsRequest(bytes) {
		return errNoMemory
	}
	d.memory.addRequest(bytes)
	d.inProgress++
	d.ticks.ensureActive()
	return nil
}

func (d *Dispatcher) endRequest(bytes int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.memory.addRequest(-bytes)
	d.inProgress--
	d.memory.assertEmpty(d.inProgress)
	if d.draining && d.inProgress == 0 {
		close(d.drained)
	}
}

func (d *Dispatcher) newAttemptID() cawork.AttemptID {
	return cawork.AttemptID(d.attemptIDPrefix + strconv.FormatInt(d.lastAttemptID.Add(1), 36))
}

// refuse logs and counts a refused request and responds with the error.
func (d *Dispatcher) refuse(w http.ResponseWriter, team cawork.TeamName, err error) {
	kind := cakind.Of(err)
	d.metrics.refused.Inc(1)
	event := caevent.Info(d.config.Logger, caevent.RequestRefused).
		Str("team", string(team)).
		Str("kind", kind.String()).
		Str("reason", err.Error())
	if kind == cakind.KindInternal {
		event.Str("stack", cakind.StackOf(err))
	}
	event.Send()
	WriteError(w, err)
}
