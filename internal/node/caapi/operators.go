package caapi

import (
	"context"
	"net"
	"net/http"

	"github.com/labstack/echo/v4"

	"celeryarch.example/celeryarch/internal/request/calisten"
)

// operatorConnections bounds the connections of all operators and scrapers of
// an entry together.
const operatorConnections = 64

// OperatorsConfig wires the paths of operators.
type OperatorsConfig struct {
	Limits  Limits
	Status  Status
	Metrics http.Handler
}

// Operators answers operators, who see what all teams use. It listens on an
// address of its own, since callers must not reach it, and goes on during a
// drain.
type Operators struct {
	status Status
	server *http.Server
	done   chan struct{}
}

// NewOperators returns a server that is not serving yet.
func NewOperators(config OperatorsConfig) *Operators {
	o := &Operators{status: config.Status, done: make(chan struct{})}
	e := newEcho()
	e.GET(PathStatus, o.report)
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

// Done is closed when the server has ended.
func (o *Operators) Done() <-chan struct{} { return o.done }

func (o *Operators) report(c echo.Context) error {
	return c.JSON(http.StatusOK, o.status.Status(c.Request().Context()))
}
