// Package caapi answers callers and operators over HTTP.
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

	"celeryarch.example/celeryarch/internal/base/cakind"
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
	HeaderIdempotencyKey = caforward.HeaderKey
	HeaderQueue          = "X-Queue"
	bearerPrefix         = "Bearer "
)

const (
	// maxWait bounds how long a caller may wait for a job in one call.
	maxWait = 5 * time.Minute
	// maxSubmitBytes bounds the body of a submission.
	maxSubmitBytes = 128 << 10
)

// Authorizer maps a key, or a queue open to all, to the team that is charged.
type Authorizer interface {
	AuthorizeKey(key string) (cawork.TeamName, error)
	AuthorizeQueue(queue string, kind cawork.WorkKind) (cawork.TeamName, error)
}

// Principal is who a call stands for: a team by its key, or whoever uses a
// queue that is open to all and is charged to the team.
type Principal struct {
	Team  cawork.TeamName
	Queue string
}

// Jobs accepts and follows jobs.
type Jobs interface {
	Submit(ctx context.Context, team cawork.TeamName, spec cawork.JobSpec, idempotencyKey string) (cawork.JobID, error)
	Get(ctx context.Context, id cawork.JobID) (JobAnswer, error)
	Wait(ctx context.Context, id cawork.JobID) (JobAnswer, error)
	Cancel(ctx context.Context, who Principal, id cawork.JobID) error
}

// Requests runs a request for a team and streams the answer.
type Requests interface {
	ServeRequest(w http.ResponseWriter, r *http.Request, team cawork.TeamName)
}

// Status reports the state of the entry and of the cell as it sees it.
type Status interface {
	Status(ctx context.Context) any
	// Ready reports whether the balancer should send calls.
	Ready() bool
}

// Limits bound what one caller may take of the entry.
type Limits struct {
	// HeaderTime and BodyTime bound the time to receive headers and a whole
	// call, IdleTime that of a connection without a call.
	HeaderTime time.Duration
	BodyTime   time.Duration
	IdleTime   time.Duration
	// RequestTime bounds the deadline of a request.
	RequestTime time.Duration
	HeaderBytes int
	BodyBytes   int64
	// Connections bounds the connections of all callers together, and the calls
	// in progress, of which a connection of HTTP/2 carries several.
	Connections int
}

// Config wires the API.
type Config struct {
	Limits     Limits
	Authorizer Authorizer
	Jobs       Jobs
	Requests   Requests
	Status     Status
}

// API answers the calls of callers, and the balancer that asks for health.
type API struct {
	config Config
	server *http.Server
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
	if most := config.Limits.Connections; most > 0 {
		e.Use(newCallBound(most).middleware)
	}
	a.server = newServer(e, config.Limits)
	allowHTTP2(a.server)
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

// serve takes the end of the server for success.
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
	return serve(a.server, calisten.Limit(lis, a.config.Limits.Connections))
}

// Shutdown takes no new calls and waits for those in progress.
func (a *API) Shutdown(ctx context.Context) error { return a.server.Shutdown(ctx) }

// Close ends the API at once, with all calls in progress.
func (a *API) Close() error { return a.server.Close() }

// Done is closed when the API has ended.
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
	who, err := a.authorize(c.Request(), body.Queue, body.Kind)
	if err != nil {
		return err
	}
	spec.Queue = who.Queue
	key := c.Request().Header.Get(HeaderIdempotencyKey)
	id, err := a.config.Jobs.Submit(c.Request().Context(), who.Team, spec, key)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusAccepted, SubmitAnswer{JobID: id})
}

func (a *API) get(c echo.Context) error {
	who, err := a.authorize(c.Request(), c.QueryParam("queue"), cawork.WorkKindBatch)
	if err != nil {
		return err
	}
	answer, err := a.lookUp(c)
	if err != nil {
		return err
	}
	if !who.MaySee(answer.Team, answer.Queue) {
		return cakind.New(cakind.KindNotFound, "no job %s of team %s", answer.JobID, who.Team)
	}
	return c.JSON(http.StatusOK, answer)
}

func (a *API) lookUp(c echo.Context) (JobAnswer, error) {
	id := cawork.JobID(c.Param("id"))
	ctx := c.Request().Context()
	text := c.QueryParam("wait")
	if text == "" {
		return a.config.Jobs.Get(ctx, id)
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > maxWait {
		return JobAnswer{}, cakind.New(cakind.KindInvalid, "wait %q is not a duration within 0s to %v", text, maxWait)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return a.config.Jobs.Wait(ctx, id)
}

func (a *API) cancel(c echo.Context) error {
	who, err := a.authorize(c.Request(), c.QueryParam("queue"), cawork.WorkKindBatch)
	if err != nil {
		return err
	}
	if err := a.config.Jobs.Cancel(c.Request().Context(), who, cawork.JobID(c.Param("id"))); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

func (a *API) request(c echo.Context) error {
	who, err := a.authorize(c.Request(), c.Request().Header.Get(HeaderQueue), cawork.WorkKindLookup)
	if err != nil {
		return err
	}
	r := c.Request()
	if r.ContentLength > a.config.Limits.BodyBytes {
		return cakind.New(cakind.KindTooLarge, "the body has more than %d bytes", a.config.Limits.BodyBytes)
	}
	r.Body = http.MaxBytesReader(c.Response(), r.Body, a.config.Limits.BodyBytes)
	boundDeadline(r.Header, a.config.Limits.RequestTime)
	a.config.Requests.ServeRequest(c.Response(), r, who.Team)
	return nil
}

// boundDeadline lowers the deadline of a request to the bound. What is no
// number is left for the request path to refuse.
func boundDeadline(h http.Header, bound time.Duration) {
	asked, err := strconv.ParseInt(h.Get(caplatform.HeaderDeadline), 10, 64)
	missing := h.Get(caplatform.HeaderDeadline) == ""
	if missing || (err == nil && asked > bound.Milliseconds()) {
		h.Set(caplatform.HeaderDeadline, strconv.FormatInt(bound.Milliseconds(), 10))
	}
}

func (a *API) health(c echo.Context) error {
	if !a.config.Status.Ready() {
		return c.String(http.StatusServiceUnavailable, "draining\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// MaySee reports whether a job is in reach: a key reaches all jobs of its team,
// a queue only those that came by it.
func (p Principal) MaySee(team cawork.TeamName, queue string) bool {
	return p.Team == team && (p.Queue == "" || p.Queue == queue)
}

// authorize prefers the key of the call; without one the named queue must be
// open to all.
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

// writeError answers every error by the table of kinds.
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

// classify gives errors of the framework a kind.
func classify(err error) error {
	var framework *echo.HTTPError
	if !errors.As(err, &framework) {
		return err
	}
	switch framework.Code {
	case http.StatusNotFound:
		return cakind.New(cakind.KindNotFound, "no such path")
	case http.StatusMethodNotAllowed:
		return cakind.New(cakind.KindMethodNotAllowed, "the path has no such method")
	case http.StatusRequestEntityTooLarge:
		return cakind.New(cakind.KindTooLarge, "the body is too large")
	default:
		return cakind.Wrap(cakind.KindInvalid, err, "the call is refused")
	}
}
