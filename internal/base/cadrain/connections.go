package cadrain

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// sharedPreface is how a connection of HTTP/2 begins.
const sharedPreface = "PRI * HTTP/2"

// connections are the open connections of a server. A connection is busy from the first byte of a request until
// the response has been sent.
type connections struct {
	headerTimeout time.Duration

	mu   sync.Mutex
	open map[*conn]struct{}
}

func newConnections(headerTimeout time.Duration) *connections {
	return &connections{headerTimeout: headerTimeout, open: make(map[*conn]struct{})}
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	owner      *connections
	acceptedAt time.Time
	// The other fields are guarded by the owner. wasUsed is set once a request has begun, isExpired
	// while the deadline for reading lies in the past, and isShared if the connection carries several
	// calls at a time (HTTP/2).
	isBusy, wasUsed, isExpired, isShared bool
}

func (s *connections) add(accepted net.Conn, now time.Time) *conn {
	c := &conn{Conn: accepted, owner: s, acceptedAt: now}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = struct{}{}
	return c
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.owner.revive(c) {
		n, err = c.Conn.Read(b)
	}
	if n > 0 {
		c.owner.markBusy(c, bytes.HasPrefix(b[:n], []byte(sharedPreface)))
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.open, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite shuts down the writing side of the connection. The server calls it where it has not read a
// request to its end, so that the caller can read the response.
func (c *conn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// markBusy records that a request has begun, the first one perhaps with the preface of HTTP/2. A deadline by
// which the connection was to end is replaced, so that the rest of the request can be read.
func (s *connections) markBusy(c *conn, hasPreface bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.isShared = c.isShared || hasPreface && !c.wasUsed
	c.isBusy, c.wasUsed = true, true
	s.replaceDeadline(c)
}

// revive makes a connection that was to end busy if a request has arrived on it and is not read yet: a read
// reports a deadline in the past before it looks for input. It reports whether the read is to be repeated.
func (s *connections) revive(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.isExpired || !hasInput(c.Conn) {
		return false
	}
	c.isBusy = true
	s.replaceDeadline(c)
	return true
}

// replaceDeadline replaces the deadline by which a connection was to end, if there is one. The caller must hold
// s.mu.
func (s *connections) replaceDeadline(c *conn) {
	if c.isExpired {
		c.isExpired = false
		// An error means that the connection is closed; the next read reports that.
		_ = c.SetReadDeadline(time.Now().Add(s.headerTimeout))
	}
}

// noteState is the hook of http.Server for the states of connections.
func (s *connections) noteState(accepted net.Conn, state http.ConnState) {
	c, ok := accepted.(*conn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateActive:
		c.isBusy, c.wasUsed = true, true
	case http.StateIdle:
		c.isBusy = false
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}

// expireIdle ends the reads of all connections that are not busy, except of those that were accepted
// after the given time and have not sent a request yet. A read that finds a request is not affected;
// one that does not makes the server close the connection.
func (s *connections) expireIdle(acceptedBefore time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if c.isBusy || c.isShared || !c.wasUsed && c.acceptedAt.After(acceptedBefore) {
			continue
		}
		c.isExpired = true
		// An error means that the connection is closed already.
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

// counts returns how many connections are open that are not shared, and how many of them are busy.
func (s *connections) counts() (open, busy int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if c.isShared {
			continue
		}
		open++
		if c.isBusy {
			busy++
		}
	}
	return open, busy
}
