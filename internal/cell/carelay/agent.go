package carelay

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"celeryarch.example/celeryarch/internal/base/caguard"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/cell/caorder"
	"celeryarch.example/celeryarch/internal/node/capeer"
)

const (
	// collectBatchDelay is the delay before a reply that lets more outcomes join it.
	collectBatchDelay = 20 * time.Millisecond
	// maxOutcomesPerReply bounds the outcomes of one reply.
	maxOutcomesPerReply = 512
	// sessionIdleTimeout is how long an agent keeps a session without calls.
	sessionIdleTimeout = 3 * time.Second
	// closeIdlePeriod is the time between two checks for such sessions.
	closeIdlePeriod = time.Second
)

// Upstreams sends orders to upstreams with the fencing token of a leader.
type Upstreams interface {
	Start(ctx context.Context, token int64, order caorder.StartOrder) (outcome caorder.StartOutcome, clockMS int64)
	Stop(ctx context.Context, token int64, order caorder.StopOrder) error
	Renew(ctx context.Context, token int64, lease caorder.Lease, wait time.Duration) (caorder.Report, error)
}

// Agent executes the orders of leaders.
type Agent struct {
	upstreams Upstreams
	timer     *catimer.Service
	log       zerolog.Logger
	done      chan struct{}

	mu       sync.Mutex
	running  bool
	sessions map[sessionID]*session
}

// session holds the outcomes of the orders of one leader until the leader
// acknowledges them.
type session struct {
	// epoch distinguishes this session from a closed one with the same ID.
	epoch int64
	// ctx is the context of the session's calls to upstreams. It ends with the
	// session.
	ctx    context.Context
	cancel context.CancelFunc
	// outcomes are the unacknowledged outcomes, and acked is the number of those
	// before them.
	outcomes []outcome
	acked    int64
	// changed is closed when an outcome is added.
	changed  chan struct{}
	lastUsed time.Time
}

// NewAgent returns an agent that sends orders through upstreams.
func NewAgent(upstreams Upstreams, timer *catimer.Service, log zerolog.Logger) *Agent {
	return &Agent{upstreams: upstreams, timer: timer, log: log, done: make(chan struct{}), sessions: make(map[sessionID]*session)}
}

// Register registers the handlers for the calls of leaders.
func (a *Agent) Register(s *capeer.Server) {
	capeer.Handle(s, callDeliver, a.deliver)
	capeer.Handle(s, callCollect, a.collect)
}

// Done is closed when Run has returned.
func (a *Agent) Done() <-chan struct{} { return a.done }

// Run accepts orders until the context ends, and closes idle sessions.
func (a *Agent) Run(ctx context.Context) error {
	defer close(a.done)
	a.setRunning(true)
	a.timer.Recur(ctx, nil, func(context.Context) time.Duration {
		a.closeIdle(sessionIdleTimeout)
		return closeIdlePeriod
	})
	a.setRunning(false)
	a.closeIdle(0)
	return context.Cause(ctx)
}

func (a *Agent) setRunning(running bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running = running
}

// closeIdle closes the sessions that had no calls for the given time.
func (a *Agent) closeIdle(idle time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, s := range a.sessions {
		if a.timer.Now().Sub(s.lastUsed) >= idle {
			s.cancel()
			delete(a.sessions, id)
		}
	}
}

func (a *Agent) deliver(_ context.Context, r deliverRequest) (empty, error) {
	s, err := a.openSession(r.Session)
	if err != nil {
		return empty{}, err
	}
	for _, o := range r.Orders {
		go caguard.Run(a.log, "agent order", func() { a.execute(s, r.Session.Token, o) })
	}
	return empty{}, nil
}

// openSession returns the session with the ID and creates it if necessary.
func (a *Agent) openSession(id sessionID) (*session, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.running {
		return nil, cakind.New(cakind.KindUnavailable, "the agent is not running")
	}
	s, ok := a.sessions[id]
	if !ok {
		s = &session{epoch: a.timer.Now().UnixNano(), changed: make(chan struct{})}
		s.ctx, s.cancel = context.WithCancel(context.Background())
		a.sessions[id] = s
	}
	s.lastUsed = a.timer.Now()
	return s, nil
}

func (a *Agent) execute(s *session, token int64, o order) {
	ctx, cancel := context.WithTimeout(s.ctx, o.Timeout)
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
	s.outcomes = append(s.outcomes, out)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (a *Agent) collect(ctx context.Context, r collectRequest) (collectReply, error) {
	s, changed := a.acknowledge(r)
	if s == nil {
		return collectReply{UnknownSession: true}, nil
	}
	if changed != nil && !a.awaitOutcome(ctx, changed, r.Wait) {
		return a.replyFor(s), nil
	}
	delay := a.timer.After(collectBatchDelay)
	defer delay.Close()
	select {
	case <-ctx.Done():
	case <-delay.C:
	}
	return a.replyFor(s), nil
}

// acknowledge drops the outcomes that the leader has received. If none remain, it
// also returns a channel that is closed when the next one is added. It returns nil
// for an unknown session.
func (a *Agent) acknowledge(r collectRequest) (*session, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s, ok := a.sessions[r.Session]
	if !ok {
		return nil, nil
	}
	s.lastUsed = a.timer.Now()
	if n := min(r.After-s.acked, int64(len(s.outcomes))); n > 0 && r.Epoch == s.epoch {
		s.outcomes = s.outcomes[n:]
		s.acked += n
	}
	if len(s.outcomes) > 0 {
		return s, nil
	}
	return s, s.changed
}

// awaitOutcome reports whether the channel was closed within the wait.
func (a *Agent) awaitOutcome(ctx context.Context, changed <-chan struct{}, wait time.Duration) bool {
	timeout := a.timer.After(wait)
	defer timeout.Close()
	select {
	case <-changed:
		return true
	case <-timeout.C:
		return false
	case <-ctx.Done():
		return false
	}
}

func (a *Agent) replyFor(s *session) collectReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := min(len(s.outcomes), maxOutcomesPerReply)
	reply := collectReply{Epoch: s.epoch, Last: s.acked + int64(n)}
	reply.Outcomes = append(reply.Outcomes, s.outcomes[:n]...)
	return reply
}
