package calisten

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"celeryarch.example/celeryarch/internal/request/cabudget"
)

// lastChunk ends a body that is sent in chunks, without trailers.
var lastChunk = []byte("0\r\n\r\n")

// countedConn counts what its caller sends.
type countedConn struct {
	net.Conn
	limiter *Limiter
	id      cabudget.ID

	mu sync.Mutex
	// serving is set while a complete request is being answered.
	serving bool
	header  headerScan
	// isParsed is set once the server has parsed the header.
	isParsed bool
	// bodyBytes counts what was read after the header, and wantBytes is the length of the body. isChunked is
	// set if it is sent in chunks, without a length.
	bodyBytes, wantBytes int64
	isChunked            bool
}

// headerScan finds the end of a header.
type headerScan struct {
	// lines counts the lines so far, isEmptyLine is set at the beginning of a line, and isOver once an
	// empty line has ended the header.
	lines       int64
	isEmptyLine bool
	isOver      bool
}

// add scans more of a request, and returns how much of that follows the header and how many lines it has.
func (s *headerScan) add(b []byte) (rest, lines int64) {
	for i, c := range b {
		switch {
		case s.isOver:
			return int64(len(b) - i), lines
		case c == '\n':
			s.isOver = s.isEmptyLine && s.lines > 0
			s.isEmptyLine = true
			s.lines++
			lines++
		case c != '\r':
			s.isEmptyLine = false
		}
	}
	return 0, lines
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.count(b[:n])
	}
	return n, err
}

// count charges what was read.
func (c *countedConn) count(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serving {
		// The server looks for the next request while it answers one.
		return
	}
	rest, lines := int64(len(b)), int64(0)
	if !c.header.isOver {
		rest, lines = c.header.add(b)
	}
	c.bodyBytes += rest
	c.charge(readFactor*int64(len(b)) + headerLineBytes*lines)
	switch {
	case !c.header.isOver:
	case !c.isParsed:
		// Until the server has parsed the header it is not known whether the request is complete.
		c.tellBudget(true)
	default:
		c.setServing(c.isWhole(b))
	}
}

// isWhole reports whether the body is complete, given what was read last. The lock is held.
func (c *countedConn) isWhole(last []byte) bool {
	if c.isChunked {
		return bytes.HasSuffix(last, lastChunk)
	}
	return c.wantBytes >= 0 && c.bodyBytes >= c.wantBytes
}

// charge charges bytes and closes the connections that must make room. The lock is held.
func (c *countedConn) charge(n int64) {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	l.close(l.budget.Read(c.id, n, time.Now()))
}

// setServing tells the budget whether the request is complete. The lock is held.
func (c *countedConn) setServing(serving bool) {
	c.serving = serving
	c.tellBudget(serving)
}

func (c *countedConn) tellBudget(serving bool) {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if serving {
		l.budget.Serve(c.id)
	} else {
		l.budget.AwaitBody(c.id, time.Now())
	}
}

// beginCall notes that the server has parsed the header of a request, and returns the body to read.
func (c *countedConn) beginCall(r *http.Request) io.ReadCloser {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isParsed, c.wantBytes, c.isChunked = true, r.ContentLength, r.ContentLength < 0
	hasBody := r.Body != nil && r.Body != http.NoBody
	// Of a chunked body, or a request that followed another at once, only the end of the body tells.
	c.setServing(!hasBody || c.header.isOver && !c.isChunked && c.isWhole(nil))
	if !hasBody {
		return r.Body
	}
	return &countedBody{ReadCloser: r.Body, conn: c}
}

// endCall notes that a request was answered.
func (c *countedConn) endCall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.isParsed, c.header, c.bodyBytes, c.wantBytes, c.isChunked = false, false, headerScan{}, 0, 0, false
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.Answer(c.id, connectionBytes, time.Now())
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	l := c.limiter
	l.mu.Lock()
	l.budget.Close(c.id)
	l.forget(c)
	l.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite shuts down the writing side of the connection, so that the caller can read the last response
// before the connection is reset.
func (c *countedConn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// SyscallConn implements syscall.Conn. It fails with http.ErrNotSupported if the connection is not a socket.
func (c *countedConn) SyscallConn() (syscall.RawConn, error) { return syscallConn(c.Conn) }

// countedBody is the body of a request.
type countedBody struct {
	io.ReadCloser
	conn *countedConn
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.conn.mu.Lock()
		defer b.conn.mu.Unlock()
		if !b.conn.serving {
			b.conn.setServing(true)
		}
	}
	return n, err
}
