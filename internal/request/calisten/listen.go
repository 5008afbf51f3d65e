// Package calisten limits the resources that callers can occupy at an entry:
// connections, header memory, and the time for each part of a request.
package calisten

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
)

const (
	// maxHeaderBytes bounds the header of a request. The server adds 4 KiB of
	// slack and responds with status 431 to larger headers.
	maxHeaderBytes = 16 << 10
	// headerTimeout bounds the time for reading the header of a request.
	headerTimeout = 5 * time.Second
	// idleTimeout is the time without a request after which a connection is
	// closed.
	idleTimeout = 60 * time.Second
	// refusalTimeout bounds the time for writing a refusal.
	refusalTimeout = 50 * time.Millisecond
)

// refusal is the response to a connection above the limit. No request has been
// read from the connection, so its outcome is not_run.
var refusal = refusalText()

func refusalText() string {
	body := cakind.BodyOf(cakind.New(cakind.KindUnavailable, "too many connections to this entry"))
	payload, _ := json.Marshal(body)
	status := cakind.ResponseTo(body.Kind).Status
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n"+
		"Connection: close\r\n"+
		"Content-Type: application/json\r\n"+
		"Content-Length: %d\r\n"+
		"Retry-After: 1\r\n"+
		"X-Outcome: not_run\r\n\r\n%s", status, http.StatusText(status), len(payload), payload)
}

// NewServer returns a server of the handler with limits on the header size, the
// time for the header and the idle time. The handler must limit bodies.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		// Discards the log of the server, which has a line for each aborted
		// response. The handler has logged these already.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

// limitedListener is a listener with a limit on its open connections.
type limitedListener struct {
	net.Listener
	maxConns int

	mu        sync.Mutex
	openConns int
}

// LimitListener returns a listener with at most maxConns open connections. Further
// connections get a refusal and are closed, so that a flood of connections uses
// no memory.
func LimitListener(l net.Listener, maxConns int) net.Listener {
	return &limitedListener{Listener: l, maxConns: maxConns}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.acquire() {
			return &limitedConn{Conn: c, release: sync.OnceFunc(l.release)}, nil
		}
		refuse(c)
	}
}

// SetDeadline bounds the wait of Accept. It fails with http.ErrNotSupported if the listener has no deadlines.
func (l *limitedListener) SetDeadline(t time.Time) error {
	limited, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return http.ErrNotSupported
	}
	return limited.SetDeadline(t)
}

// SyscallConn implements syscall.Conn. It fails with http.ErrNotSupported if the listener is not a socket.
func (l *limitedListener) SyscallConn() (syscall.RawConn, error) { return syscallConn(l.Listener) }

func syscallConn(source any) (syscall.RawConn, error) {
	if socket, ok := source.(syscall.Conn); ok {
		return socket.SyscallConn()
	}
	return nil, http.ErrNotSupported
}

func (l *limitedListener) acquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.openConns >= l.maxConns {
		return false
	}
	l.openConns++
	return true
}

func (l *limitedListener) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openConns--
}

func refuse(c net.Conn) {
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = c.Write([]byte(refusal))
	_ = c.Close()
}

// limitedConn releases its slot of the listener when it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.release()
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn. It fails with http.ErrNotSupported if the connection is not a socket.
func (c *limitedConn) SyscallConn() (syscall.RawConn, error) { return syscallConn(c.Conn) }

// CloseWrite shuts down the writing side of the connection. The server calls it
// so that the caller can read the last response before the connection is reset.
func (c *limitedConn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}
