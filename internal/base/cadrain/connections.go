package caserve

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// connections are the open connections of a server.
//
// A connection is busy from the first byte of a request until the response has been sent.
// http.Server.Shutdown closes connections whose request it has not read up to the end of the header, and
// does not wait for those that the listener has just returned.
type connections struct {
	mu   sync.Mutex
	open map[*conn]struct{}
}

func newConnections() *connections { return &connections{open: make(map[*conn]struct{})} }

// conn is an accepted connection.
type conn struct {
	net.Conn
	owner      *connections
	acceptedAt time.Time
	// isBusy, wasUsed and isExpired are guarded by the owner. wasUsed is set once a request has
	// begun, and isExpired while the deadline for reading lies in the past.
	isBusy, wasUsed, isExpired bool
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
	if n > 0 {
		c.owner.markBusy(c)
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

// markBusy records that a request has begun. A deadline by which the connection was to end is
// replaced, so that the rest of the request can be read.
func (s *connections) markBusy(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.isBusy, c.wasUsed = true, true
	if c.isExpired {
		c.isExpired = false
		// An error means that the connection is closed; the next read reports that.
		_ = c.SetReadDeadline(time.Now().Add(headerTimeout))
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
// after the given time and have not sent a request yet. A read that has received a request is not
// affected; one that has not makes the server close the connection.
func (s *connections) expireIdle(acceptedBefore time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if c.isBusy || !c.wasUsed && c.acceptedAt.After(acceptedBefore) {
			continue
		}
		c.isExpired = true
		// An error means that the connection is closed already.
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

// counts returns how many connections are open, and how many of them are busy.
func (s *connections) counts() (open, busy int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if c.isBusy {
			busy++
		}
	}
	return len(s.open), busy
}
