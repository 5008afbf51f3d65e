// Package caconn makes HTTP calls over connections that are kept until their server closes them, and
// finds out whether a server received a request that it did not answer.
package caconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// dialTimeout bounds the time to open a connection.
	dialTimeout = 500 * time.Millisecond
	// resetWait is how long a reset may take to arrive after the end of a connection.
	resetWait = 50 * time.Millisecond
)

// CutError is the error of a call that the server received, but did not answer completely.
type CutError struct {
	// After is the time from the end of the request to that of the connection.
	After time.Duration
	// IsKept is set if the connection had carried a call before.
	IsKept bool
	// Bytes is the length of the part of the response that arrived.
	Bytes int64
	Cause error
}

// Error implements error.
func (e *CutError) Error() string { return "the connection ended during a call: " + e.Cause.Error() }

// Unwrap returns the error of the connection.
func (e *CutError) Unwrap() error { return e.Cause }

// Transport is an http.RoundTripper that repeats a call only if its server did not receive it, over a kept
// connection that was closed. Calls that get no response fail with CutError if the server received them.
type Transport struct {
	// NewShare is the share of the calls that open a connection, although one is idle.
	NewShare float64
	// SplitShare is the share of the calls whose requests are sent in two parts, with a pause of up to
	// MaxSplitPause between them.
	SplitShare    float64
	MaxSplitPause time.Duration

	mu   sync.Mutex
	idle map[string][]*conn
}

// conn is a connection with what was read of it.
type conn struct {
	net.Conn
	reader *bufio.Reader
	isKept bool
	// received counts the bytes received.
	received int64
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received += int64(n)
	return n, err
}

// RoundTrip implements http.RoundTripper. The body of the response has been read.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := readBody(r)
	if err != nil {
		return nil, err
	}
	for {
		c, err := t.connection(r.Context(), r.URL.Host)
		if err != nil {
			return nil, err
		}
		request := r.Clone(r.Context())
		request.Body = io.NopCloser(bytes.NewReader(body))
		response, err := c.call(request, t.splitPause())
		if err == nil {
			t.keep(r.URL.Host, c, response)
			return response, nil
		}
		_ = c.Close()
		if !c.isKept || !errors.Is(err, errNotReceived) {
			return nil, err
		}
	}
}

// splitPause returns the pause between the two parts of a request, or zero if it is sent at once.
func (t *Transport) splitPause() time.Duration {
	if t.MaxSplitPause <= 0 || rand.Float64() >= t.SplitShare {
		return 0
	}
	return time.Duration(rand.Int63n(int64(t.MaxSplitPause)))
}

// errNotReceived means that the connection was closed before the server had received the request.
var errNotReceived = errors.New("the connection was closed before the request was received")

func readBody(r *http.Request) ([]byte, error) {
	if r.Body == nil {
		return nil, nil
	}
	defer func() { _ = r.Body.Close() }()
	return io.ReadAll(r.Body)
}

// connection returns an idle connection to the address, or a new one.
func (t *Transport) connection(ctx context.Context, address string) (*conn, error) {
	if rand.Float64() >= t.NewShare {
		if c := t.takeIdle(address); c != nil {
			return c, nil
		}
	}
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	opened, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: opened}
	c.reader = bufio.NewReader(c)
	return c, nil
}

func (t *Transport) takeIdle(address string) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.idle[address]
	if len(list) == 0 {
		return nil
	}
	i := rand.Intn(len(list))
	c := list[i]
	list[i] = list[len(list)-1]
	t.idle[address] = list[:len(list)-1]
	return c
}

// keep keeps the connection of a response unless the server closes it.
func (t *Transport) keep(address string, c *conn, response *http.Response) {
	if response.Close {
		_ = c.Close()
		return
	}
	c.isKept = true
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.idle == nil {
		t.idle = make(map[string][]*conn)
	}
	t.idle[address] = append(t.idle[address], c)
}

// Close closes the idle connections.
func (t *Transport) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, list := range t.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	t.idle = nil
}

// call sends the request, in two parts if there is a pause, and reads the whole response.
func (c *conn) call(r *http.Request, pause time.Duration) (*http.Response, error) {
	// Without a deadline of the context, only its end ends the call.
	deadline, _ := r.Context().Deadline()
	_ = c.SetDeadline(deadline)
	stop := context.AfterFunc(r.Context(), func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	c.received = 0
	if err := c.send(r, pause); err != nil {
		return nil, errors.Join(errNotReceived, err)
	}
	sentAt := time.Now()
	response, err := c.readResponse(r)
	took := time.Since(sentAt)
	switch {
	case err == nil || errors.Is(err, os.ErrDeadlineExceeded):
		return response, err
	case c.received == 0 && !c.wasReceived(err):
		return nil, errors.Join(errNotReceived, err)
	}
	return nil, &CutError{After: took, IsKept: c.isKept, Bytes: c.received, Cause: err}
}

func (c *conn) send(r *http.Request, pause time.Duration) error {
	var request bytes.Buffer
	if err := r.Write(&request); err != nil {
		return err
	}
	if pause > 0 {
		if _, err := c.Write(request.Next(1 + rand.Intn(request.Len()))); err != nil {
			return err
		}
		time.Sleep(pause)
	}
	_, err := c.Write(request.Bytes())
	return err
}

func (c *conn) readResponse(r *http.Request) (*http.Response, error) {
	if _, err := c.reader.Peek(1); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(c.reader, r)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(response.Body)
	response.Body = io.NopCloser(bytes.NewReader(body))
	return response, err
}

// wasReceived reports whether the server had read the request when it closed the connection. A
// server that closes a connection with bytes that it has not read, or that gets bytes after it closed the
// connection, resets it.
func (c *conn) wasReceived(err error) bool {
	if !errors.Is(err, io.EOF) {
		return false
	}
	time.Sleep(resetWait)
	_, err = c.Write([]byte{'\n'})
	return err == nil
}
