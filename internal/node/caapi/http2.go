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
	// maxStreams bounds the calls in progress on one connection of HTTP/2.
	maxStreams = 60
	// connectionBuffer holds the buffers of all streams, so that calls whose
	// bodies wait never hold up those beside them.
	connectionBuffer = maxStreams * cadispatch.StreamBytes
	// writeStall closes a connection that takes no byte for that long.
	writeStall = 20 * time.Second
)

var errTooManyCalls = cakind.New(cakind.KindUnavailable, "too many calls to this entry").
	WithRetryAfter(cakind.DefaultRetryAfter)

// allowHTTP2 has the server speak HTTP/2 in plain text, with prior knowledge,
// beside HTTP/1.1. A call on a shared connection takes a third less memory than
// one on a connection of its own.
func allowHTTP2(s *http.Server) {
	s.Protocols = new(http.Protocols)
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetUnencryptedHTTP2(true)
	s.HTTP2 = &http.HTTP2Config{
		MaxConcurrentStreams:          maxStreams,
		MaxReceiveBufferPerStream:     cadispatch.StreamBytes,
		MaxReceiveBufferPerConnection: connectionBuffer,
		WriteByteTimeout:              writeStall,
	}
}

// callBound bounds the calls in progress.
type callBound struct {
	most  int64
	calls atomic.Int64
}

func newCallBound(most int) *callBound { return &callBound{most: int64(most)} }

// middleware refuses calls beyond the bound. Those for health are not counted.
func (b *callBound) middleware(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if c.Path() == PathHealth {
			return next(c)
		}
		defer b.calls.Add(-1)
		if b.calls.Add(1) > b.most {
			return errTooManyCalls
		}
		return next(c)
	}
}
