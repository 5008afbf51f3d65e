package cadrain_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cadrain"
	"celeryarch.example/celeryarch/internal/base/catimer"
)

// countingListener counts on its connections the requests without a body that were read and the responses that
// were written.
type countingListener struct {
	*net.TCPListener

	mu                  sync.Mutex
	requests, responses int
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &countingConn{TCPConn: c, lis: l}, nil
}

func (l *countingListener) counts() (requests, responses int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests, l.responses
}

type countingConn struct {
	*net.TCPConn
	lis *countingListener
	// unread is the end of what was read, in which a request may begin.
	unread []byte
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.lis.mu.Lock()
	defer c.lis.mu.Unlock()
	c.unread = append(c.unread, b[:n]...)
	for {
		_, rest, found := bytes.Cut(c.unread, []byte("\r\n\r\n"))
		if !found {
			return n, err
		}
		c.unread = rest
		c.lis.requests++
	}
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	c.lis.mu.Lock()
	defer c.lis.mu.Unlock()
	c.lis.responses += bytes.Count(b[:n], []byte("HTTP/1.1 "))
	return n, err
}

func newCountingListener(t *testing.T) *countingListener {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return &countingListener{TCPListener: lis.(*net.TCPListener)}
}

// hammer sends calls, over new connections or over kept ones, until the server refuses connections.
func hammer(address string, keepAlive bool) {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: !keepAlive}}
	for {
		response, err := client.Get("http://" + address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}
}

// TestStopCutsCalls guards against requests that a server has read, and whose connection it closes without an
// answer, since it stopped meanwhile.
func TestStopCutsCalls(t *testing.T) {
	const rounds, callers, callTime = 15, 24, 10 * time.Millisecond
	for range rounds {
		lis := newCountingListener(t)
		server := cadrain.NewServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(callTime)
			w.WriteHeader(http.StatusNoContent)
		})}, catimer.NewService())
		served := make(chan error, 1)
		go func() { served <- server.Serve(lis) }()
		var hammers sync.WaitGroup
		for i := range callers {
			hammers.Go(func() { hammer(lis.Addr().String(), i%2 == 0) })
		}
		time.Sleep(3 * callTime)
		if _, err := server.Stop(t.Context(), 0, nil); err != nil {
			t.Error(err)
		}
		requests, responses := lis.counts()
		if requests == 0 || requests != responses {
			t.Errorf("%d requests were read and %d answered", requests, responses)
		}
		if err := <-served; err != nil {
			t.Error(err)
		}
		hammers.Wait()
	}
}

// TestStopCutsSlowRequest guards against requests that arrive piece by piece, and are cut as the server stops.
func TestStopCutsSlowRequest(t *testing.T) {
	lis := newCountingListener(t)
	server := cadrain.NewServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "answer")
	})}, catimer.NewService())
	go func() { _ = server.Serve(lis) }()
	conn, err := net.Dial("tcp", lis.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\n")
	time.Sleep(50 * time.Millisecond)
	stopped := make(chan error, 1)
	go func() {
		_, err := server.Stop(t.Context(), 0, nil)
		stopped <- err
	}()
	time.Sleep(500 * time.Millisecond)
	_, _ = io.WriteString(conn, "Host: test\r\n\r\n")
	answer, err := io.ReadAll(conn)
	if !bytes.HasSuffix(answer, []byte("answer")) || err != nil {
		t.Errorf("answer %q, %v", answer, err)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// TestStopReportsCalls covers the counts of a stop that has to cancel a call.
func TestStopReportsCalls(t *testing.T) {
	lis := newCountingListener(t)
	started := make(chan struct{})
	server := cadrain.NewServer(&http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
	})}, catimer.NewService())
	go func() { _ = server.Serve(lis) }()
	go hammer(lis.Addr().String(), false)
	<-started
	report, err := server.Stop(t.Context(), 50*time.Millisecond, errors.New("the server is stopping"))
	if err != nil {
		t.Error(err)
	}
	if diff := cmp.Diff(cadrain.Report{Open: 1, Busy: 1, Canceled: 1}, report); diff != "" {
		t.Errorf("report (-want +got):\n%s", diff)
	}
}

// TestStopWaitsForUsedConnection guards against stops that wait for kept connections without a call.
func TestStopWaitsForUsedConnection(t *testing.T) {
	lis := newCountingListener(t)
	server := cadrain.NewServer(&http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}, catimer.NewService())
	go func() { _ = server.Serve(lis) }()
	client := http.Client{Transport: &http.Transport{}}
	response, err := client.Get("http://" + lis.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if _, err := server.Stop(ctx, 0, nil); err != nil {
		t.Error(err)
	}
}
