// Package caforward sends requests to the request endpoint of an upstream
// over HTTP and streams the answers back.
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
	// idleTimeout closes unused connections before upstreams commonly do, so
	// that a request rarely meets a connection that is being closed.
	idleTimeout = 15 * time.Second
	// maxResponseHeaderBytes bounds the header of an answer in bytes.
	maxResponseHeaderBytes = 64 << 10
	// readBufferSize and writeBuffer are small, because bodies larger than them
	// pass by without being copied into them.
	readBufferSize  = 2 << 10
	writeBufferSize = 1 << 10
	keepAlivePeriod = 15 * time.Second
	// pruneAfter is the time without use after which an upstream is forgotten,
	// longer than any request.
	pruneAfter = 15 * time.Minute
)

// Attempt is one try to run a request at an upstream.
type Attempt struct {
	ID         cawork.AttemptID
	Upstream   cawork.UpstreamID
	Address    string
	Epoch      caplatform.Epoch
	Deadline   time.Time
	Idempotent bool
	Header     http.Header
	Query      string
	// Prefix is the start of the body, the whole body if Rest is nil.
	Prefix []byte
	Rest   io.Reader
	// Length is the length of the body in bytes, -1 when it is not known.
	Length int64
}

// Answer is the start of an answer of an upstream. Body must be closed.
type Answer struct {
	Status  int
	Header  http.Header
	Trailer http.Header
	Body    io.ReadCloser
	// Length is the length of the body in bytes, -1 when it is not known.
	Length int64
}

// Forwarder sends attempts. Each upstream has connections of its own, never
// more than were allowed for it.
type Forwarder struct {
	now     func() time.Time
	mu      sync.Mutex
	clients map[cawork.UpstreamID]*upstreamClient
}

// upstreamClient holds the connections to one upstream.
type upstreamClient struct {
	address   string
	transport *http.Transport
	// echoesAttemptID is set once the upstream has shown that its answers name the
	// attempt. Until then no connection is used twice, because a late second
	// answer could pass for the answer to the next request.
	echoesAttemptID atomic.Bool
	// lastUsed is guarded by the lock of the forwarder.
	lastUsed time.Time
}

// New returns a forwarder that reads the time from now.
func New(now func() time.Time) *Forwarder {
	return &Forwarder{now: now, clients: map[cawork.UpstreamID]*upstreamClient{}}
}

// Send sends the attempt and returns the start of the answer. It fails with
// KindNotStarted when the upstream is known not to have started the request,
// else with KindUnknown.
func (f *Forwarder) Send(ctx context.Context, a Attempt, connections int) (*Answer, error) {
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
	return &Answer{
		Status:  res.StatusCode,
		Header:  res.Header,
		Trailer: res.Trailer,
		Body:    res.Body,
		Length:  res.ContentLength,
	}, nil
}

// Forget closes the unused connections to an upstream and forgets it.
func (f *Forwarder) Forget(id cawork.UpstreamID) {
	f.mu.Lock()
	c := f.clients[id]
	delete(f.clients, id)
	f.mu.Unlock()
	if c != nil {
		c.transport.CloseIdleConnections()
	}
}

// Close closes all unused connections.
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

// prune forgets upstreams that have not been used for a while, of which this
// entry may have borrowed slots.
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

// setBody sets the body of the request. The transport reads it a second time
// only when it has written no byte to a connection that turned out closed,
// because a POST without an idempotency key is not repeatable to it.
func (a Attempt) setBody(req *http.Request) {
	if a.Length == 0 {
		return
	}
	req.ContentLength = a.Length
	if a.Rest != nil {
		req.Body = io.NopCloser(io.MultiReader(bytes.NewReader(a.Prefix), a.Rest))
		return
	}
	req.GetBody = func() (io.ReadCloser, error) {
		return io.NopCloser(bytes.NewReader(a.Prefix)), nil
	}
	req.Body, _ = req.GetBody()
}

// checkResponse refuses an answer that belongs to another attempt, or that is a
// refusal before the start.
func (c *upstreamClient) checkResponse(a Attempt, res *http.Response) error {
	echo := res.Header.Get(caplatform.HeaderAttempt)
	if echo != "" && echo != string(a.ID) {
		return cakind.New(cakind.KindUnknown, "%s answered to another attempt", a.Upstream)
	}
	c.echoesAttemptID.Store(echo != "")
	if notRun, _ := strconv.ParseBool(res.Header.Get(caplatform.HeaderNotRun)); notRun {
		return cakind.New(cakind.KindNotStarted, "%s refused with status %d before the start", a.Upstream, res.StatusCode)
	}
	if res.StatusCode < http.StatusOK {
		return cakind.New(cakind.KindUnknown, "%s answered with status %d", a.Upstream, res.StatusCode)
	}
	return nil
}

// writeTracker tells whether bytes of a request were written to a connection.
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
		return cakind.Wrap(cakind.KindNotStarted, err, "no byte was sent to %s", id)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return cakind.Wrap(cakind.KindUnknown, err, "%s did not answer in time", id)
	}
	return cakind.Wrap(cakind.KindUnknown, err, "%s gave no answer", id)
}
