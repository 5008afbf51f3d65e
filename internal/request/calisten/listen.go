// Package calisten bounds what callers can make an entry hold: connections,
// headers, and the time that each part of a request may take.
package calisten

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
)

const (
	// maxHeaderBytes bounds the header of a request in bytes. The server adds 4 KiB
	// of slack and answers with status 431 beyond it.
	maxHeaderBytes = 16 << 10
	// headerTimeout bounds the time in which a caller sends the header.
	headerTimeout = 5 * time.Second
	// idleTimeout closes connections without requests.
	idleTimeout = 60 * time.Second
	// refusalTimeout bounds the time in which a refusal is written.
	refusalTimeout = 50 * time.Millisecond
)

// refusal is the answer to a connection beyond the bound. The request has not
// been read, so that it has not run.
var refusal = refusalText()

func refusalText() string {
	body := cakind.BodyOf(cakind.New(cakind.KindUnavailable, "too many connections to this entry"))
	payload, _ := json.Marshal(body)
	status := cakind.AnswerTo(body.Kind).Status
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n"+
		"Connection: close\r\n"+
		"Content-Type: application/json\r\n"+
		"Content-Length: %d\r\n"+
		"Retry-After: 1\r\n"+
		"X-Outcome: not_run\r\n\r\n%s", status, http.StatusText(status), len(payload), payload)
}

// NewServer returns a server of the handler with bounded headers and times.
// Bodies are bounded by the handler.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		// The server logs each aborted answer, which has a line already.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

// limitedListener is a listener with a bound on its open connections.
type limitedListener struct {
	net.Listener
	maxConns int

	mu        sync.Mutex
	openConns int
}

// Limit returns a listener with at most the number of open connections. Those
// beyond it get a refusal and are closed, so that a flood costs no memory.
func Limit(l net.Listener, maxConns int) net.Listener {
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

// limitedConn gives its place back when it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.release()
	return c.Conn.Close()
}

// CloseWrite ends the sending side. The server needs it to have its last
// answer read before it resets the connection.
func (c *limitedConn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}
