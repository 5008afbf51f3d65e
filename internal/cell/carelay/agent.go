package carelay

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"celeryarch.example/celeryarch/internal/base/caguard"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/cell/caboard"
	"celeryarch.example/celeryarch/internal/node/capeer"
)

const (
	// collectGather gathers outcomes into one reply.
	collectGather = 20 * time.Millisecond
	// outcomesMost bounds the outcomes of one reply.
	outcomesMost = 512
	// sessionIdle is how long an agent keeps a session that no leader asks for.
	sessionIdle = 3 * time.Second
	// sweepPeriod is the time between two looks for such sessions.
	sweepPeriod = time.Second
)

// Upstreams carries orders to upstreams, under the token of a leader.
type Upstreams interface {
	Start(ctx context.Context, token int64, order caboard.StartOrder) (outcome caboard.StartOutcome, clockMS int64)
	Stop(ctx context.Context, token int64, order caboard.StopOrder) error
	Renew(ctx context.Context, token int64, lease caboard.Lease, wait time.Duration) (caboard.Report, error)
}

// Agent carries orders of leaders out.
type Agent struct {
	upstreams Upstreams
	timer     *catimer.Service
	log       zerolog.Logger
	done      chan struct{}

	mu      sync.Mutex
	running bool
	boxes   map[session]*box
}

// box holds the outcomes of one session until they have arrived.
type box struct {
	// life tells boxes of one session apart.
	life int64
	// live ends with the session, and the calls made for it; end ends it.
	live context.Context
	end  context.CancelFunc
	// outcomes are those after the number dropped.
	outcomes []outcome
	dropped  int64
	// changed is closed when an outcome is added.
	changed chan struct{}
	usedAt  time.Time
}

// NewAgent returns an agent that makes its calls through upstreams.
func NewAgent(upstreams Upstreams, timer *catimer.Service, log zerolog.Logger) *Agent {
	return &Agent{upstreams: upstreams, timer: timer, log: log, done: make(chan struct{}), boxes: make(map[session]*box)}
}

// Register makes the server answer the calls of leaders.
func (a *Agent) Register(s *capeer.Server) {
	capeer.Handle(s, callDeliver, a.deliver)
	capeer.Handle(s, callCollect, a.collect)
}

// Done is closed when the agent has ended.
func (a *Agent) Done() <-chan struct{} { return a.done }

// Run lets the agent work until the context ends.
func (a *Agent) Run(ctx context.Context) error {
	defer close(a.done)
	a.setRunning(true)
	a.timer.Recur(ctx, nil, func(context.Context) time.Duration {
		a.sweep(sessionIdle)
		return sweepPeriod
	})
	a.setRunning(false)
	a.sweep(0)
	return context.Cause(ctx)
}

func (a *Agent) setRunning(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running = on
}

// sweep ends the sessions that no leader asked for during the time.
func (a *Agent) sweep(idle time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, b := range a.boxes {
		if a.timer.Now().Sub(b.usedAt) >= idle {
			b.end()
			delete(a.boxes, name)
		}
	}
}

func (a *Agent) deliver(_ context.Context, r deliverRequest) (empty, error) {
	b, err := a.open(r.Session)
	if err != nil {
		return empty{}, err
	}
	for _, o := range r.Orders {
		go caguard.Run(a.log, "order at an agent", func() { a.carryOut(b, r.Session.Token, o) })
	}
	return empty{}, nil
}

// open returns the box of a session, a new one if need be.
func (a *Agent) open(name session) (*box, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.running {
		return nil, cakind.New(cakind.KindUnavailable, "the agent does not run")
	}
	b, ok := a.boxes[name]
	if !ok {
		b = &box{life: a.timer.Now().UnixNano(), changed: make(chan struct{})}
		b.live, b.end = context.WithCancel(context.Background())
		a.boxes[name] = b
	}
	b.usedAt = a.timer.Now()
	return b, nil
}

func (a *Agent) carryOut(b *box, token int64, o order) {
	ctx, cancel := context.WithTimeout(b.live, o.Timeout)
	defer cancel()
	out := outcome{ID: o.ID}
	switch {
	case o.Start != nil:
		out.Started, out.ClockMS = a.upstreams.Start(ctx, token, *o.Start)
	case o.Stop != nil:
		out.Failure = newFailure(a.upstreams.Stop(ctx, token, *o.Stop))
	case o.Renew != nil:
		report, err := a.upstreams.Renew(ctx, token, o.Renew.Lease, o.Renew.Wait)
		out.Report, out.Failure = &report, newFailure(err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	b.outcomes = append(b.outcomes, out)
	close(b.changed)
	b.changed = make(chan struct{})
}

func (a *Agent) collect(ctx context.Context, r collectRequest) (collectReply, error) {
	b, changed := a.arrived(r)
	if b == nil {
		return collectReply{Lost: true}, nil
	}
	if changed != nil && !a.await(ctx, changed, r.Wait) {
		return a.take(b), nil
	}
	gather := a.timer.After(collectGather)
	defer gather.Close()
	select {
	case <-ctx.Done():
	case <-gather.C:
	}
	return a.take(b), nil
}

// arrived drops the outcomes that have arrived at the leader. When no further
// one is there it returns a channel that is closed by the next.
func (a *Agent) arrived(r collectRequest) (*box, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	b, ok := a.boxes[r.Session]
	if !ok {
		return nil, nil
	}
	b.usedAt = a.timer.Now()
	if n := min(r.After-b.dropped, int64(len(b.outcomes))); n > 0 && r.Life == b.life {
		b.outcomes = b.outcomes[n:]
		b.dropped += n
	}
	if len(b.outcomes) > 0 {
		return b, nil
	}
	return b, b.changed
}

// await waits for the channel. It reports false when the time is over first.
func (a *Agent) await(ctx context.Context, changed <-chan struct{}, wait time.Duration) bool {
	end := a.timer.After(wait)
	defer end.Close()
	select {
	case <-changed:
		return true
	case <-end.C:
		return false
	case <-ctx.Done():
		return false
	}
}

func (a *Agent) take(b *box) collectReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := min(len(b.outcomes), outcomesMost)
	reply := collectReply{Life: b.life, Last: b.dropped + int64(n)}
	reply.Outcomes = append(reply.Outcomes, b.outcomes[:n]...)
	return reply
}
