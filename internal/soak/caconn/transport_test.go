package caconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const callTimeout = 5 * time.Second

// serveConns handles each connection to the returned address by the next function.
func serveConns(t *testing.T, handlers ...func(*net.TCPConn)) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for _, handle := range handlers {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			handle(c.(*net.TCPConn))
			_ = c.Close()
		}
	}()
	return lis.Addr().String()
}

// readRequest reads a request with its body.
func readRequest(c net.Conn) {
	if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

func answer(c *net.TCPConn) {
	readRequest(c)
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
}

func post(t *testing.T, transport *Transport, address string) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	_, err = transport.RoundTrip(r)
	return err
}

// TestUnreadCallIsTakenForCut guards against calls that count as cut although their server never
// read them, and against calls that a server read and that do not count.
func TestUnreadCallIsTakenForCut(t *testing.T) {
	for name, c := range map[string]struct {
		handle func(*net.TCPConn)
		isCut  bool
	}{
		"closed after the request was read": {func(c *net.TCPConn) { readRequest(c) }, true},
		"closed in the response": {func(c *net.TCPConn) {
			readRequest(c)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
		}, true},
		"closed before the request was read":      {func(*net.TCPConn) { time.Sleep(50 * time.Millisecond) }, false},
		"closed after a part of it was read":      {func(c *net.TCPConn) { time.Sleep(50 * time.Millisecond); _, _ = c.Read(make([]byte, 9)) }, false},
		"reset before the request had been read":  {func(c *net.TCPConn) { _ = c.SetLinger(0) }, false},
		"answered, then closed by the server":     {answer, false},
		"closed before the request had been sent": {func(*net.TCPConn) {}, false},
	} {
		err := post(t, &Transport{}, serveConns(t, c.handle))
		var cut *CutError
		if got := errors.As(err, &cut); got != c.isCut {
			t.Errorf("%s: cut is %v, want %v: %v", name, got, c.isCut, err)
		}
	}
}

// TestKeptConnectionIsClosed checks that a call is repeated over a new connection if the kept one was
// closed before the call, and is not repeated if the server had read it.
func TestKeptConnectionIsClosed(t *testing.T) {
	transport := &Transport{}
	address := serveConns(t, answer, answer)
	for range 2 {
		if err := post(t, transport, address); err != nil {
			t.Error(err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	address = serveConns(t, func(c *net.TCPConn) { answer(c); readRequest(c) }, answer)
	if err := post(t, transport, address); err != nil {
		t.Error(err)
	}
	var cut *CutError
	if err := post(t, transport, address); !errors.As(err, &cut) || !cut.IsKept {
		t.Errorf("error of a call that was read over a kept connection: %v", err)
	}
}

// TestSplitRequest checks that a request in two parts arrives whole.
func TestSplitRequest(t *testing.T) {
	const calls = 20
	var handlers []func(*net.TCPConn)
	for range calls {
		handlers = append(handlers, answer)
	}
	transport := &Transport{NewShare: 1, SplitShare: 1, MaxSplitPause: 5 * time.Millisecond}
	address := serveConns(t, handlers...)
	for range calls {
		if err := post(t, transport, address); err != nil {
			t.Error(err)
		}
	}
}

// TestRefusedCall checks that a refused connection is the error of a dial.
func TestRefusedCall(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = lis.Close()
	var op *net.OpError
	if err := post(t, &Transport{}, lis.Addr().String()); !errors.As(err, &op) || op.Op != "dial" {
		t.Errorf("error of a refused call: %v", err)
	}
}
