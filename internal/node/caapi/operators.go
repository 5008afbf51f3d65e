package caapi

import (
	"context"
	"net"
	"net/http"

	"github.com/labstack/echo/v4"

	"celeryarch.example/celeryarch/internal/request/calisten"
)

// operatorConnections bounds the open connections of all operators and metrics
// scrapers of an entry.
const operatorConnections = 64

// OperatorsConfig holds the limits and dependencies of the operator API.
type OperatorsConfig struct {
	Limits  Limits
	Status  Status
	Metrics http.Handler
}

// Operators serves the operator API, which exposes the usage of all teams. It
// listens on a separate address that customers must not reach, and keeps serving
// during a drain.
type Operators struct {
	status Status
	server *http.Server
	done   chan struct{}
}

// NewOperators returns a server that is not serving yet.
func NewOperators(config OperatorsConfig) *Operators {
	o := &Operators{status: config.Status, done: make(chan struct{})}
	e := newEcho()
	e.GET(PathStatus, o.getStatus)
	e.GET(PathMetrics, echo.WrapHandler(config.Metrics))
	o.server = newServer(e, config.Limits)
	return o
}

// Serve answers calls on the listener until Close.
func (o *Operators) Serve(lis net.Listener) error {
	defer close(o.done)
	return serve(o.server, calisten.Limit(lis, operatorConnections))
}

// Run serves until the context ends.
func (o *Operators) Run(ctx context.Context, lis net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = o.server.Close() })
	defer stop()
	return o.Serve(lis)
}

// Done returns a channel that is closed when Serve has returned.
func (o *Operators) Done() <-chan struct{} { return o.done }

func (o *Operators) getStatus(c echo.Context) error {
	return c.JSON(http.StatusOK, o.status.Status(c.Request().Context()))
}
