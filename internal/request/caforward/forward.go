// Package caforward sends requests to the request endpoint of an upstream
// over HTTP and relays the responses to the callers.
package caforward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

const (
	dialTimeout = time.Second
	// idleTimeout is shorter than the usual idle timeout of upstreams, so that
	// a request is rarely sent on a connection that the upstream is closing.
	idleTimeout            = 15 * time.Second
	maxResponseHeaderBytes = 64 << 10
	// readBufferSize and writeBufferSize are small, because larger bodies
	// bypass these buffers.
	readBufferSize  = 2 << 10
	writeBufferSize = 1 << 10
	keepAlivePeriod = 15 * time.Second
	// pruneAfter is the time without use after which the client of an upstream
	// is removed. It is longer than any request.
	pruneAfter = 15 * time.Minute
)

// Attempt is one attempt to run a request at an upstream.
type Attempt struct {
	ID         cawork.AttemptID
	Upstream   cawork.UpstreamID
	Address    string
	Epoch      caplatform.Epoch
	Deadline   time.Time
	Idempotent bool
	Header     http.Header
	Query      string
	// BodyPrefix is the start of the body, or the whole body if BodyRest is nil.
	BodyPrefix []byte
	BodyRest   io.Reader
	// Length is the length of the body in bytes, -1 when it is not known.
	Length int64
}

// Response is a response of an upstream whose body has not been read yet. Body
// must be closed.
type Response struct {
	Status  int
	Header  http.Header
	Trailer http.Header
	Body    io.ReadCloser
	// Length is the length of the body in bytes, -1 when it is not known.
	Length int64
}

// Forwarder sends attempts to upstreams. It keeps a separate, bounded set of
// connections to each upstream.
type Forwarder struct {
	now     func() time.Time
	mu      sync.Mutex
	clients map[cawork.UpstreamID]*upstreamClient
}

// upstreamClient holds the connections to one upstream.
type upstreamClient struct {
	address   string
	transport *http.Transport
	// echoesAttemptID is set when the last response contained the ID of its
	// attempt. Otherwise connections are not reused, because a late second
	// response could be taken for the response to the next request.
	echoesAttemptID atomic.Bool
	// lastUsed is guarded by Forwarder.mu.
	lastUsed time.Time
}

// New returns a forwarder that uses now as its clock.
func New(now func() time.Time) *Forwarder {
	return &Forwarder{now: now, clients: map[cawork.UpstreamID]*upstreamClient{}}
}

// Send sends the attempt and returns the response as soon as its header has
// arrived. It fails with KindInvalid when no request can be made of the
// attempt, with KindNotStarted when the upstream is known not to have started
// the request, and otherwise with KindUnknown.
func (f *Forwarder) Send(ctx context.Context, a Attempt, connections int) (*Response, error) {
	c := f.client(a, connections)
	tracker := &writeTracker{}
	req, err := f.request(httptrace.WithClientTrace(ctx, tracker.clientTrace()), a)
	if err != nil {
		return nil, cakind.Wrap(cakind.KindInvalid, err, "request to %s", a.Upstream)
	}
	req.Close = !c.echoesAttemptID.Load()
	res, err := c.transport.RoundTrip(req)
	if err != nil {
		return nil, tracker.classify(err, a.Upstream)
	}
	if err := c.checkResponse(a, res); err != nil {
		res.Body.Close()
		return nil, err
	}
	return &Response{
		Status:  res.StatusCode,
		Header:  res.Header,
		Trailer: res.Trailer,
		Body:    res.Body,
		Length:  res.ContentLength,
	}, nil
}

// RemoveUpstream removes the client of an upstream and closes its idle connections.
func (f *Forwarder) RemoveUpstream(id cawork.UpstreamID) {
	f.mu.Lock()
	c := f.clients[id]
	delete(f.clients, id)
	f.mu.Unlock()
	if c != nil {
		c.transport.CloseIdleConnections()
	}
}

// Close closes all idle connections.
func (f *Forwarder) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.clients {
		c.transport.CloseIdleConnections()
	}
}

func (f *Forwarder) client(a Attempt, connections int) *upstreamClient {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	c := f.clients[a.Upstream]
	if c != nil && c.address == a.Address {
		c.lastUsed = now
		return c
	}
	f.prune(now)
	if c != nil {
		c.transport.CloseIdleConnections()
	}
	c = newUpstreamClient(a.Address, connections)
	c.lastUsed = now
	f.clients[a.Upstream] = c
	return c
}

// prune removes the clients of upstreams that have not been used for a while.
// Forget is not called for upstreams of which this entry only borrowed slots.
func (f *Forwarder) prune(now time.Time) {
	for id, c := range f.clients {
		if now.Sub(c.lastUsed) > pruneAfter {
			c.transport.CloseIdleConnections()
			delete(f.clients, id)
		}
	}
}

func newUpstreamClient(address string, connections int) *upstreamClient {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: c}, nil
	}
	return &upstreamClient{
		address: address,
		transport: &http.Transport{
			DialContext:            dial,
			DisableCompression:     true,
			MaxConnsPerHost:        connections,
			MaxIdleConnsPerHost:    connections,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
			ReadBufferSize:         readBufferSize,
			WriteBufferSize:        writeBufferSize,
		},
	}
}

func (f *Forwarder) request(ctx context.Context, a Attempt) (*http.Request, error) {
	u := url.URL{Scheme: "http", Host: a.Address, Path: caplatform.RequestPath, RawQuery: a.Query}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), nil)
	if err != nil {
		return nil, err
	}
	copyRequestHeader(req.Header, a.Header)
	req.Header.Set(caplatform.HeaderAttempt, string(a.ID))
	req.Header.Set(caplatform.HeaderEpoch, strconv.FormatInt(int64(a.Epoch), 10))
	remaining := max(a.Deadline.Sub(f.now()).Milliseconds(), 1)
	req.Header.Set(caplatform.HeaderDeadline, strconv.FormatInt(remaining, 10))
	req.Header.Set(caplatform.HeaderIdempotent, strconv.FormatBool(a.Idempotent))
	a.setBody(req)
	return req, nil
}

// setBody sets the body of the request. The transport reads the body a second
// time only when it has written no byte to a connection that turned out to be
// closed: it does not treat a POST without an Idempotency-Key header as
// replayable.
func (a Attempt) setBody(req *http.Request) {
	if a.Length == 0 {
		return
	}
	req.ContentLength = a.Length
	if a.BodyRest != nil {
		req.Body = io.NopCloser(io.MultiReader(bytes.NewReader(a.BodyPrefix), a.BodyRest))
		return
	}
	req.GetBody = func() (io.ReadCloser, error) {
		return io.NopCloser(bytes.NewReader(a.BodyPrefix)), nil
	}
	req.Body, _ = req.GetBody()
}

// checkResponse returns an error for a response that belongs to another
// attempt, that is not final, or by which the upstream refused the request
// without starting it.
func (c *upstreamClient) checkResponse(a Attempt, res *http.Response) error {
	echo := res.Header.Get(caplatform.HeaderAttempt)
	if echo != "" && echo != string(a.ID) {
		return cakind.New(cakind.KindUnknown, "%s responded to another attempt", a.Upstream)
	}
	c.echoesAttemptID.Store(echo != "")
	if notRun, _ := strconv.ParseBool(res.Header.Get(caplatform.HeaderNotRun)); notRun {
		return cakind.New(cakind.KindNotStarted, "%s refused the request with status %d without starting it", a.Upstream, res.StatusCode)
	}
	if res.StatusCode < http.StatusOK {
		return cakind.New(cakind.KindUnknown, "%s responded with unexpected status %d", a.Upstream, res.StatusCode)
	}
	return nil
}

// writeTracker tracks whether bytes of a request were written to a connection.
type writeTracker struct {
	mu            sync.Mutex
	conn          *countingConn
	writtenBefore int64
}

func (t *writeTracker) clientTrace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		c, ok := info.Conn.(*countingConn)
		if !ok {
			return
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		t.conn = c
		t.writtenBefore = c.written.Load()
	}}
}

func (t *writeTracker) wroteAny() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn != nil && t.conn.written.Load() != t.writtenBefore
}

func (t *writeTracker) classify(err error, id cawork.UpstreamID) error {
	if !t.wroteAny() {
		return cakind.Wrap(cakind.KindNotStarted, err, "no byte of the request was sent to %s", id)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return cakind.Wrap(cakind.KindUnknown, err, "%s did not respond before the deadline", id)
	}
	return cakind.Wrap(cakind.KindUnknown, err, "%s sent no response", id)
}
