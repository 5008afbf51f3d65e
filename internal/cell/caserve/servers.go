// Package caserve runs the HTTP servers of an entry and stops them without failing calls.
package caserve

import (
	"context"
	"errors"
	"net"
	"net/http"
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
)

// Servers are the HTTP servers of one entry.
type Servers struct {
	log   zerolog.Logger
	timer *catimer.Service
	list  []*http.Server
}

// New returns Servers without any server.
func New(log zerolog.Logger, timer *catimer.Service) *Servers {
	return &Servers{log: log, timer: timer}
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
	server := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	s.list = append(s.list, server)
	g.Add(func() error {
		if err := server.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		<-ctx.Done()
		return nil
	}, func(error) { _ = server.Close() })
	return nil
}

// Drain accepts connections for one call each until acceptFor has passed. Then it accepts
// none and waits up to the given time for the calls in progress.
func (s *Servers) Drain(acceptFor, finishWithin time.Duration) {
	for _, server := range s.list {
		server.SetKeepAlivesEnabled(false)
	}
	acceptTimer := s.timer.After(acceptFor)
	defer acceptTimer.Close()
	<-acceptTimer.C
	ctx, cancel := context.WithTimeout(context.Background(), finishWithin)
	defer cancel()
	for _, server := range s.list {
		if err := server.Shutdown(ctx); err != nil {
			caevent.Warn(s.log, caevent.PartFailed).Str("part", "callers").Err(err).Send()
		}
	}
}
