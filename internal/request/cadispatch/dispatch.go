// Package cadispatch runs the life of a request: admission, the wait for a
// slot, the attempts at upstreams, the answer, and the drain at the end.
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

var errTooMany = caadmit.NewRefusal("too many requests in progress", cakind.DefaultRetryAfter)

// Config holds what a dispatcher needs.
type Config struct {
	// Self is the VM of this entry.
	Self   cawork.VMID
	Zone   cawork.ZoneName
	Timer  *catimer.Service
	Logger zerolog.Logger
	Scope  tally.Scope
	// CrossingDelay is the round trip to another availability zone.
	CrossingDelay time.Duration
	Policy        Policy
	// MaxInProgress bounds the requests that the entry holds at a time, and
	// with them its memory. Zero stands for 1,024.
	MaxInProgress int
	// MaxBytes bounds the memory of the requests in progress with their bodies
	// and answers, in bytes. Zero stands for 38 MiB, less than 192 KiB for that.
	MaxBytes int64
	// Lender reaches the owners of other upstreams. It may be nil.
	Lender SlotLender
	// Keys keeps the idempotency keys. It may be nil; requests with a key are
	// refused then.
	Keys Keys
}

// Dispatcher serves requests.
type Dispatcher struct {
	config   Config
	forward  *caforward.Forwarder
	metrics  metrics
	idPrefix string
	lastID   atomic.Int64

	mu         sync.Mutex
	policy     Policy
	router     *caroute.Router
	queues     *caadmit.Queues
	budgets    *caroute.Budgets
	draining   bool
	closed     bool
	inProgress int
	memory     memory
	idle       chan struct{}
	borrowing  borrowing
	// watched holds the attempts that are given up when they are late.
	watched map[*running]struct{}

	// calls counts the calls to peers.
	calls sync.WaitGroup
	done  chan struct{}
	ticks ticks
}

// New returns a dispatcher without upstreams.
func New(c Config) *Dispatcher {
	if c.MaxInProgress <= 0 {
		c.MaxInProgress = defaultMaxInProgress
	}
	if c.MaxBytes <= 0 {
		c.MaxBytes = defaultMaxBytes
	}
	d := &Dispatcher{
		config:    c,
		forward:   caforward.New(c.Timer.Now),
		metrics:   newMetrics(c.Scope),
		idPrefix:  uuid.NewString() + "-",
		router:    caroute.NewRouter(caroute.Config{Zone: c.Zone, CrossingDelay: c.CrossingDelay}),
		queues:    caadmit.NewQueues(c.Policy.Admission),
		budgets:   caroute.NewBudgets(),
		idle:      make(chan struct{}),
		borrowing: newBorrowing(),
		watched:   map[*running]struct{}{},
		memory:    memory{most: max(c.MaxBytes, minMaxBytes)},
		done:      make(chan struct{}),
		ticks:     ticks{start: make(chan struct{}, 1)},
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
	d.pump(now)
}

// RemoveUpstream forgets an upstream. Requests in progress at it go on.
func (d *Dispatcher) RemoveUpstream(id cawork.UpstreamID) {
	d.mu.Lock()
	d.router.Remove(id)
	d.budgets.Forget(id)
	d.mu.Unlock()
	d.forward.Forget(id)
}

// SetPolicy replaces the policy. Requests that wait already keep their order.
func (d *Dispatcher) SetPolicy(p Policy) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.policy = p
	d.queues.SetPolicy(p.Admission)
	d.router.SetPlacement(p.Placement)
}

// ServeRequest answers one request of a team. It returns when the answer has
// been written. When the answer cannot be completed, it panics with
// http.ErrAbortHandler, upon which the server closes the connection.
func (d *Dispatcher) ServeRequest(w http.ResponseWriter, r *http.Request, team cawork.TeamName) {
	bytes := bytesOf(r)
	if err := d.enter(bytes); err != nil {
		d.refuse(w, team, err)
		return
	}
	defer d.leave(bytes)
	c, err := newCall(w, r, team, d.config.Timer.Now())
	if err != nil {
		d.refuse(w, team, err)
		return
	}
	ctx := c.contextOf(r)
	if d.claimKey(ctx, w, c) {
		d.serve(ctx, w, c)
	}
}

// Run returns unused grants, gives up late attempts and asks for slots until
// the context ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	defer close(d.done)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.ticks.start:
			d.tickWhileNeeded(ctx)
		}
	}
}

// Done returns a channel that is closed when Run has ended.
func (d *Dispatcher) Done() <-chan struct{} { return d.done }

// Drain refuses new requests from now on.
func (d *Dispatcher) Drain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return
	}
	d.draining = true
	if d.inProgress == 0 {
		close(d.idle)
	}
}

// Close drains and waits for the requests in progress, or for the context. Run
// must go on until Close has returned, because it expires waiting requests.
func (d *Dispatcher) Close(ctx context.Context) error {
	d.Drain()
	select {
	case <-d.idle:
		d.close()
		return nil
	case <-ctx.Done():
		return cakind.Wrap(cakind.KindUnknown, ctx.Err(), "requests are still in progress")
	}
}

// close gives back what is borrowed and waits for the calls to peers. No call
// starts after it.
func (d *Dispatcher) close() {
	d.mu.Lock()
	if !d.closed {
		d.giveBack(d.router.Surrender())
	}
	d.closed = true
	d.mu.Unlock()
	d.calls.Wait()
	d.forward.Close()
}

func (d *Dispatcher) enter(bytes int64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return cakind.New(cakind.KindDraining, "the entry is stopping")
	}
	if d.inProgress >= d.config.MaxInProgress {
		return errTooMany
	}
	if !d.memory.admits(bytes) {
		return errNoMemory
	}
	d.memory.addRequest(bytes)
	d.inProgress++
	d.ticks.need()
	return nil
}

func (d *Dispatcher) leave(bytes int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.memory.addRequest(-bytes)
	d.inProgress--
	d.memory.assertFree(d.inProgress)
	if d.draining && d.inProgress == 0 {
		close(d.idle)
	}
}

func (d *Dispatcher) newAttemptID() cawork.AttemptID {
	return cawork.AttemptID(d.idPrefix + strconv.FormatInt(d.lastID.Add(1), 36))
}

func (d *Dispatcher) refuse(w http.ResponseWriter, team cawork.TeamName, err error) {
	kind := cakind.Of(err)
	d.metrics.refused.Inc(1)
	line := caevent.Info(d.config.Logger, caevent.RequestRefused).
		Str("team", string(team)).
		Str("kind", kind.String()).
		Str("reason", err.Error())
	if kind == cakind.KindInternal {
		line.Str("stack", cakind.StackOf(err))
	}
	line.Send()
	WriteError(w, err)
}
