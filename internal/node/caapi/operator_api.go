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

// OperatorAPIConfig holds the limits and dependencies of the operator API.
type OperatorAPIConfig struct {
	Limits  Limits
	Status  StatusReporter
	Metrics http.Handler
}

// OperatorAPI serves the operator API, which exposes the usage of all teams. It
// listens on a separate address that customers must not reach, and keeps serving
// during a drain.
type OperatorAPI struct {
	status StatusReporter
	server *http.Server
	done   chan struct{}
}

// NewOperatorAPI returns a server that is not serving yet.
func NewOperatorAPI(config OperatorAPIConfig) *OperatorAPI {
	o := &OperatorAPI{status: config.Status, done: make(chan struct{})}
	e := newEcho()
	e.GET(PathStatus, o.getStatus)
	e.GET(PathMetrics, echo.WrapHandler(config.Metrics))
	o.server = newServer(e, config.Limits)
	return o
}

// Serve answers calls on the listener until Close.
func (o *OperatorAPI) Serve(lis net.Listener) error {
	defer close(o.done)
	return serve(o.server, calisten.LimitListener(lis, operatorConnections))
}

// Run serves until the context ends.
func (o *OperatorAPI) Run(ctx context.Context, lis net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = o.server.Close() })
	defer stop()
	return o.Serve(lis)
}

// Done returns a channel that is closed when Serve has returned.
func (o *OperatorAPI) Done() <-chan struct{} { return o.done }

func (o *OperatorAPI) getStatus(c echo.Context) error {
	return c.JSON(http.StatusOK, o.status.Status(c.Request().Context()))
}
