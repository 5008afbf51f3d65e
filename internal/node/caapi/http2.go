package caapi

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/request/cadispatch"
)

const (
	// maxStreams bounds the calls in progress on one HTTP/2 connection.
	maxStreams = 60
	// connectionBuffer has room for the buffers of all streams, so that unread
	// bodies never block other calls on the connection.
	connectionBuffer = maxStreams * cadispatch.StreamBufferBytes
	// writeStallTimeout closes a connection to which no byte could be written for
	// that long.
	writeStallTimeout = 20 * time.Second
)

var errTooManyCalls = cakind.New(cakind.KindUnavailable, "too many calls to this entry").
	WithRetryAfter(cakind.DefaultRetryAfter)

// enableHTTP2 enables unencrypted HTTP/2 with prior knowledge in addition to
// HTTP/1.1. A call on a shared connection takes a third less memory than one on
// a connection of its own.
func enableHTTP2(s *http.Server) {
	s.Protocols = new(http.Protocols)
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetUnencryptedHTTP2(true)
	s.HTTP2 = &http.HTTP2Config{
		MaxConcurrentStreams:          maxStreams,
		MaxReceiveBufferPerStream:     cadispatch.StreamBufferBytes,
		MaxReceiveBufferPerConnection: connectionBuffer,
		WriteByteTimeout:              writeStallTimeout,
	}
}

// callLimiter limits the calls in progress.
type callLimiter struct {
	limit    int64
	inFlight atomic.Int64
}

func newCallLimiter(limit int) *callLimiter { return &callLimiter{limit: int64(limit)} }

// middleware rejects calls beyond the limit. Health checks are not counted.
func (l *callLimiter) middleware(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if c.Path() == PathHealth {
			return next(c)
		}
		defer l.inFlight.Add(-1)
		if l.inFlight.Add(1) > l.limit {
			return errTooManyCalls
		}
		return next(c)
	}
}
