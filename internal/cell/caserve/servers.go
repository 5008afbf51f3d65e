// Package caserve runs the HTTP servers of an entry and stops them without failing calls.
package caserve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/rs/zerolog"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
)

const (
	// headerTimeout bounds the time to read a request header.
	headerTimeout = 3 * time.Second
	// idleTimeout is the time after which idle connections are closed.
	idleTimeout = 15 * time.Second
	// maxHeaderBytes bounds the size of a request header.
	maxHeaderBytes = 16 << 10
	// firstRequestTimeout is how long a connection that was accepted during a drain may take to send
	// its request.
	firstRequestTimeout = 300 * time.Millisecond
	// cancelLead is how long before the end of a drain the calls in progress are canceled, so that
	// their callers still get an answer.
	cancelLead = 400 * time.Millisecond
	// drainPollInterval is the time between two looks at the connections during a drain.
	drainPollInterval = 5 * time.Millisecond
)

// Servers are the HTTP servers of one entry.
type Servers struct {
	log   zerolog.Logger
	timer *catimer.Service
	list  []*server
	// callsCtx is the context of all calls.
	callsCtx    context.Context
	cancelCalls context.CancelCauseFunc
	isDraining  atomic.Bool
}

// server is one HTTP server.
type server struct {
	*http.Server
	lis *listener
	// served is closed when the server accepts no more connections.
	served chan struct{}
}

// New returns Servers without any server.
func New(log zerolog.Logger, timer *catimer.Service) *Servers {
	s := &Servers{log: log, timer: timer}
	s.callsCtx, s.cancelCalls = context.WithCancelCause(context.Background())
	return s
}

// Add listens on the address and adds a server of the handler to the group. The server
// ends with the context, also if it was drained before.
func (s *Servers) Add(ctx context.Context, g *run.Group, address string, h http.Handler) error {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return cakind.Wrap(cakind.KindUnavailable, err, "listen on %s", address)
	}
	conns := newConnections()
	added := &server{
		lis: &listener{TCPListener: lis.(*net.TCPListener), conns: conns}, served: make(chan struct{}),
		Server: &http.Server{
			Handler: s.closeConnections(h), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
			ConnState: conns.noteState, BaseContext: func(net.Listener) context.Context { return s.callsCtx },
		},
	}
	s.list = append(s.list, added)
	g.Add(func() error { return added.run(ctx) }, func(error) { _ = added.Close() })
	return nil
}

// run serves until the context ends.
func (s *server) run(ctx context.Context) error {
	err := s.Serve(s.lis)
	close(s.served)
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return err
	}
	<-ctx.Done()
	return nil
}

// closeConnections makes each response of the handler the last one of its connection during a drain.
func (s *Servers) closeConnections(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isDraining.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// Drain accepts connections for one call each until acceptFor has passed. Open connections may send one
// more call until then. After that it accepts none and waits for the calls in progress. Shortly before
// the given time has passed it cancels those that are left.
func (s *Servers) Drain(acceptFor, finishWithin time.Duration) {
	s.isDraining.Store(true)
	acceptTimer := s.timer.After(acceptFor)
	defer acceptTimer.Close()
	<-acceptTimer.C
	began := s.timer.Now()
	for _, server := range s.list {
		server.lis.stop()
	}
	for _, server := range s.list {
		<-server.served
	}
	s.finishCalls(began, finishWithin)
}

// drainReport tells how a drain went.
type drainReport struct {
	// open and busy count the connections and those with a call in progress when the servers had
	// stopped to accept connections, canceled the calls that were canceled, and unanswered those
	// that got no answer.
	open, busy, canceled, unanswered int
}

// finishCalls waits until all calls have ended.
func (s *Servers) finishCalls(began time.Time, finishWithin time.Duration) {
	var report drainReport
	report.open, report.busy = s.counts()
	isCanceled := false
	for {
		s.expireIdle()
		open, busy := s.counts()
		passed := s.timer.Now().Sub(began)
		if open == 0 || passed >= finishWithin {
			report.unanswered = busy
			break
		}
		if !isCanceled && passed >= finishWithin-cancelLead {
			isCanceled, report.canceled = true, busy
			s.cancelCalls(cakind.New(cakind.KindDraining, "the entry is stopping"))
		}
		pause := s.timer.After(drainPollInterval)
		<-pause.C
		pause.Close()
	}
	s.logDrain(report, s.timer.Now().Sub(began))
}

func (s *Servers) logDrain(r drainReport, took time.Duration) {
	caevent.Info(s.log, caevent.CallersDrained).Int("connections", r.open).Int("calls", r.busy).
		Int("canceled", r.canceled).Int("unanswered", r.unanswered).Dur("took", took).Send()
}

// expireIdle ends the connections without a call in progress. New ones get a while to send theirs.
func (s *Servers) expireIdle() {
	for _, server := range s.list {
		server.lis.conns.expireIdle(time.Now().Add(-firstRequestTimeout))
	}
}

// counts returns how many connections are open and how many of them have a call in progress.
func (s *Servers) counts() (open, busy int) {
	for _, server := range s.list {
		o, b := server.lis.conns.counts()
		open, busy = open+o, busy+b
	}
	return open, busy
}
