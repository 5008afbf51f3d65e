// Package caapi serves the HTTP APIs of customers and operators.
package caapi

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"celeryarch.example/celeryarch/internal/base/cadrain"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
	"celeryarch.example/celeryarch/internal/request/cadispatch"
	"celeryarch.example/celeryarch/internal/request/caforward"
	"celeryarch.example/celeryarch/internal/request/calisten"
)

// Paths of the API.
const (
	PathJobs     = "/v1/jobs"
	PathRequests = "/v1/requests"
	PathStatus   = "/v1/status"
	PathHealth   = "/healthz"
	PathMetrics  = "/metrics"
)

// Headers of the API.
const (
	HeaderIdempotencyKey = caforward.HeaderIdempotencyKey
	HeaderQueue          = "X-Queue"
	bearerPrefix         = "Bearer "
)

const (
	// maxWait bounds how long a caller may wait for a job in one call.
	maxWait = 5 * time.Minute
	// maxSubmitBytes bounds the body of a submission.
	maxSubmitBytes = 128 << 10
)

// Authorizer maps a key or a public queue to the team that is charged.
type Authorizer interface {
	AuthorizeKey(key string) (cawork.TeamName, error)
	AuthorizeQueue(queue string, kind cawork.WorkKind) (cawork.TeamName, error)
}

// Principal is the authenticated caller: a team identified by its key, or an
// anonymous user of a public queue whose use is charged to the team.
type Principal struct {
	Team  cawork.TeamName
	Queue string
}

// Jobs submits, queries and cancels jobs.
type Jobs interface {
	Submit(ctx context.Context, team cawork.TeamName, spec cawork.JobSpec, idempotencyKey string) (cawork.JobID, error)
	Get(ctx context.Context, id cawork.JobID) (JobStatus, error)
	Wait(ctx context.Context, id cawork.JobID) (JobStatus, error)
	Cancel(ctx context.Context, who Principal, id cawork.JobID) error
}

// Requests runs a request for a team and streams the response.
type Requests interface {
	ServeRequest(w http.ResponseWriter, r *http.Request, team cawork.TeamName)
}

// StatusReporter reports the state of the entry and its view of the cell.
type StatusReporter interface {
	Status(ctx context.Context) any
	// Ready reports whether the load balancer should send calls to this entry.
	Ready() bool
}

// Limits bound the resources that calls may use on the entry.
type Limits struct {
	// HeaderTime and BodyTime bound the time to receive the headers and the
	// whole call. IdleTime bounds how long a connection may stay idle.
	HeaderTime time.Duration
	BodyTime   time.Duration
	IdleTime   time.Duration
	// RequestTime bounds the deadline of a request.
	RequestTime time.Duration
	HeaderBytes int
	BodyBytes   int64
	// Connections bounds the open connections of all callers, and separately
	// the calls in progress, since an HTTP/2 connection carries several.
	Connections int
}

// Config holds the limits and dependencies of an API.
type Config struct {
	Limits     Limits
	Authorizer Authorizer
	Jobs       Jobs
	Requests   Requests
	Status     StatusReporter
}

// API serves customers and the health checks of the load balancer.
type API struct {
	config Config
	server *cadrain.Server
	done   chan struct{}
}

// NewAPI returns an API that is not serving yet.
func NewAPI(config Config) *API {
	a := &API{config: config, done: make(chan struct{})}
	e := newEcho()
	e.POST(PathJobs, a.submit)
	e.GET(PathJobs+"/:id", a.get)
	e.DELETE(PathJobs+"/:id", a.cancel)
	e.POST(PathRequests, a.request)
	e.GET(PathHealth, a.health)
	if limit := config.Limits.Connections; limit > 0 {
		e.Use(newCallLimiter(limit).middleware)
	}
	server := newServer(e, config.Limits)
	enableHTTP2(server)
	a.server = cadrain.NewServer(server, catimer.NewService())
	return a
}

func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = writeError
	return e
}

func newServer(h http.Handler, l Limits) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: l.HeaderTime,
		ReadTimeout:       l.BodyTime,
		IdleTimeout:       l.IdleTime,
		MaxHeaderBytes:    l.HeaderBytes,
	}
}

// serve runs the server; a shutdown is not an error.
func serve(s *http.Server, lis net.Listener) error {
	if err := s.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Handler returns the HTTP handler of the API.
func (a *API) Handler() http.Handler { return a.server.Handler }

// Serve answers calls on the listener until Shutdown.
func (a *API) Serve(lis net.Listener) error {
	defer close(a.done)
	return a.server.Serve(calisten.LimitListener(lis, a.config.Limits.Connections))
}

// Shutdown refuses new calls and waits for the calls in progress.
func (a *API) Shutdown(ctx context.Context) error {
	_, err := a.server.Stop(ctx, 0, nil)
	return err
}

// Close stops the API at once and aborts the calls in progress.
func (a *API) Close() error { return a.server.Close() }

// Done returns a channel that is closed when Serve has returned.
func (a *API) Done() <-chan struct{} { return a.done }

func (a *API) submit(c echo.Context) error {
	c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, maxSubmitBytes)
	var body SubmitRequest
	if err := decodeStrict(c.Request().Body, &body); err != nil {
		return err
	}
	spec, err := body.Spec()
	if err != nil {
		return err
	}
	principal, err := a.authorize(c.Request(), body.Queue, body.Kind)
	if err != nil {
		return err
	}
	spec.Queue = principal.Queue
	key := c.Request().Header.Get(HeaderIdempotencyKey)
	id, err := a.config.Jobs.Submit(c.Request().Context(), principal.Team, spec, key)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusAccepted, SubmitResponse{JobID: id})
}

func (a *API) get(c echo.Context) error {
	principal, err := a.authorize(c.Request(), c.QueryParam("queue"), cawork.WorkKindBatch)
	if err != nil {
		return err
	}
	answer, err := a.fetchJob(c)
	if err != nil {
		return err
	}
	if !principal.CanAccess(answer.Team, answer.Queue) {
		return cakind.New(cakind.KindNotFound, "no job %s of team %s", answer.JobID, principal.Team)
	}
	return c.JSON(http.StatusOK, answer)
}

func (a *API) fetchJob(c echo.Context) (JobStatus, error) {
	id := cawork.JobID(c.Param("id"))
	ctx := c.Request().Context()
	text := c.QueryParam("wait")
	if text == "" {
		return a.config.Jobs.Get(ctx, id)
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > maxWait {
		return JobStatus{}, cakind.New(cakind.KindInvalid, "wait %q is not a duration between 0s and %v", text, maxWait)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return a.config.Jobs.Wait(ctx, id)
}

func (a *API) cancel(c echo.Context) error {
	principal, err := a.authorize(c.Request(), c.QueryParam("queue"), cawork.WorkKindBatch)
	if err != nil {
		return err
	}
	if err := a.config.Jobs.Cancel(c.Request().Context(), principal, cawork.JobID(c.Param("id"))); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

func (a *API) request(c echo.Context) error {
	principal, err := a.authorize(c.Request(), c.Request().Header.Get(HeaderQueue), cawork.WorkKindLookup)
	if err != nil {
		return err
	}
	r := c.Request()
	if r.ContentLength > a.config.Limits.BodyBytes {
		return cakind.New(cakind.KindTooLarge, "the body has more than %d bytes", a.config.Limits.BodyBytes)
	}
	r.Body = http.MaxBytesReader(c.Response(), r.Body, a.config.Limits.BodyBytes)
	capDeadline(r.Header, a.config.Limits.RequestTime)
	a.config.Requests.ServeRequest(c.Response(), r, principal.Team)
	return nil
}

// capDeadline lowers the deadline of a request to the limit, which is also the
// default. A deadline that is not a number is rejected by the request path.
func capDeadline(h http.Header, limit time.Duration) {
	requested, err := strconv.ParseInt(h.Get(caplatform.HeaderDeadline), 10, 64)
	missing := h.Get(caplatform.HeaderDeadline) == ""
	if missing || (err == nil && requested > limit.Milliseconds()) {
		h.Set(caplatform.HeaderDeadline, strconv.FormatInt(limit.Milliseconds(), 10))
	}
}

func (a *API) health(c echo.Context) error {
	if !a.config.Status.Ready() {
		return c.String(http.StatusServiceUnavailable, "draining\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// CanAccess reports whether the principal may access a job: a key gives access to
// all jobs of its team, a public queue only to the jobs submitted to it.
func (p Principal) CanAccess(team cawork.TeamName, queue string) bool {
	return p.Team == team && (p.Queue == "" || p.Queue == queue)
}

// authorize uses the key of the call. Without a key, the named queue must be
// public.
func (a *API) authorize(r *http.Request, queue string, kind cawork.WorkKind) (Principal, error) {
	header := r.Header.Get(echo.HeaderAuthorization)
	if key, ok := strings.CutPrefix(header, bearerPrefix); ok {
		team, err := a.config.Authorizer.AuthorizeKey(key)
		return Principal{Team: team}, err
	}
	if queue != "" {
		team, err := a.config.Authorizer.AuthorizeQueue(queue, kind)
		return Principal{Team: team, Queue: queue}, err
	}
	return Principal{}, cakind.New(cakind.KindUnauthenticated, "send a key in the header Authorization: Bearer KEY")
}

// writeError writes an error with the status and body of its kind.
func writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	err = classify(err)
	if c.Request().URL.Path == PathRequests {
		cadispatch.WriteError(c.Response(), err)
		return
	}
	cakind.BodyOf(err).Write(c.Response())
}

// classify assigns a kind to errors of the echo framework.
func classify(err error) error {
	var httpErr *echo.HTTPError
	if !errors.As(err, &httpErr) {
		return err
	}
	switch httpErr.Code {
	case http.StatusNotFound:
		return cakind.New(cakind.KindNotFound, "no such path")
	case http.StatusMethodNotAllowed:
		return cakind.New(cakind.KindMethodNotAllowed, "the path does not support this method")
	case http.StatusRequestEntityTooLarge:
		return cakind.New(cakind.KindTooLarge, "the body is too large")
	default:
		return cakind.Wrap(cakind.KindInvalid, err, "the call is invalid")
	}
}
