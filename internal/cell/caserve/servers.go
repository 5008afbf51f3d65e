// Package caserve runs the HTTP servers of an entry and stops them without failing calls.
package caserve

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/oklog/run"
	"github.com/rs/zerolog"

	"celeryarch.example/celeryarch/internal/base/cadrain"
	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/request/calisten"
)

const (
	// headerTimeout bounds the time to read a request header.
	headerTimeout = 3 * time.Second
	// idleTimeout is the time after which idle connections are closed.
	idleTimeout = 15 * time.Second
	// maxHeaderBytes bounds the size of a request header.
	maxHeaderBytes = 16 << 10
	// cancelLead is how long before the end of a drain the calls in progress are canceled, so that
	// their callers still get an answer. In a short drain it is half of the time.
	cancelLead = 400 * time.Millisecond
)

var errStopping = cakind.New(cakind.KindDraining, "the entry is stopping")

// Servers are the HTTP servers of one entry.
type Servers struct {
	log   zerolog.Logger
	timer *catimer.Service
	list  []*cadrain.Server
	// limiter bounds what callers occupy, of all servers together.
	limiter *calisten.Limiter
}

// New returns Servers without any server. The limiter bounds what their callers occupy.
func New(log zerolog.Logger, timer *catimer.Service, limiter *calisten.Limiter) *Servers {
	return &Servers{log: log, timer: timer, limiter: limiter}
}

// Listen listens on a TCP address. It fails with KindUnavailable.
func Listen(address string) (net.Listener, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, cakind.Wrap(cakind.KindUnavailable, err, "listen on %s", address)
	}
	return lis, nil
}

// Add listens on the address and adds a server of the handler to the group. The server
// ends with the context, also if it was drained before.
func (s *Servers) Add(ctx context.Context, g *run.Group, address string, h http.Handler) error {
	lis, err := Listen(address)
	if err != nil {
		return err
	}
	server := cadrain.NewServer(&http.Server{
		Handler: s.limiter.Handler(h), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}, s.timer)
	s.list = append(s.list, server)
	g.Add(func() error {
		if err := server.Serve(s.limiter.Listen(lis)); err != nil {
			return err
		}
		<-ctx.Done()
		return nil
	}, func(error) { _ = server.Close() })
	return nil
}

// Drain accepts connections for one call each until acceptFor has passed. Open connections may send one
// more call until then. After that it accepts none and waits for the calls in progress. Shortly before
// finishWithin has passed it cancels those that are left.
func (s *Servers) Drain(acceptFor, finishWithin time.Duration) {
	for _, server := range s.list {
		server.CloseAfterNextCall()
	}
	acceptTimer := s.timer.After(acceptFor)
	defer acceptTimer.Close()
	<-acceptTimer.C
	began := s.timer.Now()
	ctx, cancel := context.WithTimeout(context.Background(), finishWithin)
	defer cancel()
	report, err := s.stop(ctx, max(finishWithin-cancelLead, finishWithin/2))
	caevent.Info(s.log, caevent.CallersDrained).Int("connections", report.Open).Int("calls", report.Busy).
		Int("canceled", report.Canceled).Int("unanswered", report.Unanswered).
		Dur("took", s.timer.Now().Sub(began)).AnErr("error", err).Send()
}

// stop stops all servers. It returns the sum of their reports and the last error.
func (s *Servers) stop(ctx context.Context, cancelAfter time.Duration) (cadrain.Report, error) {
	var mu sync.Mutex
	var total cadrain.Report
	var lastErr error
	var stops sync.WaitGroup
	for _, server := range s.list {
		stops.Go(func() {
			report, err := server.Stop(ctx, cancelAfter, errStopping)
			mu.Lock()
			defer mu.Unlock()
			total = total.Plus(report)
			if err != nil {
				lastErr = err
			}
		})
	}
	stops.Wait()
	return total, lastErr
}
