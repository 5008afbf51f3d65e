// Package cadrain stops HTTP servers without cutting calls.
//
// http.Server.Shutdown is not enough: a server that shuts down closes a connection without an answer if it has
// read a request after the call of Shutdown, and one whose request it has not read up to the end of the header
// counts as idle.
package cadrain

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"celeryarch.example/celeryarch/internal/base/catimer"
)

const (
	// firstRequestTimeout is how long a connection that was accepted during a drain may take to send
	// its request.
	firstRequestTimeout = 300 * time.Millisecond
	// pollInterval is the time between two looks at the connections during a drain.
	pollInterval = 5 * time.Millisecond
	// defaultHeaderTimeout bounds the time to read the header of a request that arrives during a drain,
	// if the server has no bound.
	defaultHeaderTimeout = 3 * time.Second
)

// Server is an HTTP server that stops without cutting calls.
type Server struct {
	*http.Server
	timer *catimer.Service
	conns *connections
	lis   *listener
	// listening is closed when lis is set, and served when the server accepts no more connections.
	listening, served chan struct{}
	callsCtx          context.Context
	cancelCalls       context.CancelCauseFunc
	// isLast is set when each response is the last one of its connection.
	isLast atomic.Bool
}

// NewServer wraps a server, whose handler is set and that does not serve yet.
func NewServer(s *http.Server, timer *catimer.Service) *Server {
	d := &Server{Server: s, timer: timer, listening: make(chan struct{}), served: make(chan struct{})}
	d.callsCtx, d.cancelCalls = context.WithCancelCause(context.Background())
	headerTimeout := s.ReadHeaderTimeout
	if headerTimeout <= 0 {
		headerTimeout = defaultHeaderTimeout
	}
	d.conns = newConnections(headerTimeout)
	s.Handler = d.handler(s.Handler)
	s.ConnState = d.conns.noteState
	s.BaseContext = func(net.Listener) context.Context { return d.callsCtx }
	return d
}

// handler returns a handler that closes connections after their last response.
func (s *Server) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isLast.Load() && r.ProtoMajor == 1 {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// Serve answers calls on the listener until the server is closed or stops to accept connections. It is to be
// called once. A stop is not an error.
func (s *Server) Serve(lis net.Listener) error {
	s.lis = &listener{Listener: lis, conns: s.conns}
	close(s.listening)
	defer close(s.served)
	if err := s.Server.Serve(s.lis); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// CloseAfterNextCall makes each response the last one of its connection from now on.
func (s *Server) CloseAfterNextCall() { s.isLast.Store(true) }

// Report tells how a server has stopped.
type Report struct {
	// Open and Busy count the connections and those with a call in progress when the server had
	// stopped to accept connections, Canceled the calls that were canceled, and Unanswered those
	// that got no answer. Shared connections (HTTP/2) do not count.
	Open, Busy, Canceled, Unanswered int
}

// Plus returns the sum of two reports.
func (r Report) Plus(other Report) Report {
	return Report{r.Open + other.Open, r.Busy + other.Busy, r.Canceled + other.Canceled, r.Unanswered + other.Unanswered}
}

// Stop accepts no more connections and waits until all calls in progress have ended, or the context. After
// cancelAfter it cancels the contexts of those that are left, with the cause; zero means never. It fails with the
// cause of the context if calls are left.
func (s *Server) Stop(ctx context.Context, cancelAfter time.Duration, cause error) (Report, error) {
	s.CloseAfterNextCall()
	endCancel := s.cancelLater(cancelAfter, cause)
	report, err := s.finish(ctx)
	report.Canceled = endCancel()
	return report, err
}

// cancelLater cancels the contexts of the calls that are left after the given time, unless that is zero. The
// function that it returns ends the wait for that time and returns how many calls were canceled.
func (s *Server) cancelLater(after time.Duration, cause error) (end func() int) {
	if after <= 0 {
		return func() int { return 0 }
	}
	canceled := 0
	timer := s.timer.After(after)
	ending, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		defer timer.Close()
		select {
		case <-timer.C:
			_, canceled = s.conns.counts()
			s.cancelCalls(cause)
		case <-ending:
		}
	}()
	return func() int {
		close(ending)
		<-ended
		return canceled
	}
}

// finish stops the listener and waits until all calls have ended, or the context.
func (s *Server) finish(ctx context.Context) (Report, error) {
	if err := s.stopListener(ctx); err != nil {
		_, busy := s.conns.counts()
		return Report{Unanswered: busy}, err
	}
	report := s.finishCalls(ctx)
	if report.Unanswered > 0 {
		return report, context.Cause(ctx)
	}
	// What is left are shared connections, which Shutdown does not cut.
	return report, s.Shutdown(ctx)
}

// stopListener waits until the server accepts no more connections. It fails with the cause of the context.
func (s *Server) stopListener(ctx context.Context) error {
	select {
	case <-s.listening:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	s.lis.stop()
	select {
	case <-s.served:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// finishCalls waits until all connections that are not shared have ended, or the context.
func (s *Server) finishCalls(ctx context.Context) Report {
	var report Report
	report.Open, report.Busy = s.conns.counts()
	polls := s.timer.Every(pollInterval)
	defer polls.Close()
	for {
		s.conns.expireIdle(time.Now().Add(-firstRequestTimeout))
		open, busy := s.conns.counts()
		if open == 0 {
			return report
		}
		select {
		case <-polls.C:
		case <-ctx.Done():
			report.Unanswered = busy
			return report
		}
	}
}
