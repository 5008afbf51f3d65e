package capeer_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/node/capeer"
)

// replyCountingListener counts the writes to the connections that it accepts.
type replyCountingListener struct {
	net.Listener
	writes *atomic.Int64
}

func (l replyCountingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return replyCountingConn{conn, l.writes}, err
}

type replyCountingConn struct {
	net.Conn
	writes *atomic.Int64
}

func (c replyCountingConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(b)
}

// newEchoServer runs a server until the test ends. It returns its address and the number of writes to
// its connections.
func newEchoServer(tb testing.TB) (address string, writes *atomic.Int64) {
	tb.Helper()
	server := capeer.NewServer()
	capeer.Handle(server, "echo", func(_ context.Context, m message) (message, error) { return m, nil })
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatalf("Listen: %v", err)
	}
	writes = new(atomic.Int64)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = server.Serve(ctx, replyCountingListener{lis, writes}, nil) }()
	tb.Cleanup(func() {
		cancel()
		<-server.Done()
	})
	return lis.Addr().String(), writes
}

// TestReplyIsOneWrite guards against replies that cost two system calls at the server and wake the
// caller twice: a leader of many upstreams answers and makes thousands of calls a second.
func TestReplyIsOneWrite(t *testing.T) {
	const calls = 50
	address, writes := newEchoServer(t)
	client := capeer.NewClient(capeer.DialTCP, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for range calls {
		if _, err := capeer.Call[message, message](ctx, client, address, "echo", message{Text: "hello"}); err != nil {
			t.Fatalf("echo: %v", err)
		}
	}
	_ = client.Close()
	if diff := cmp.Diff(int64(calls), writes.Load()); diff != "" {
		t.Errorf("writes for %d replies (-want +got):\n%s", calls, diff)
	}
}

// BenchmarkCall measures a call and its reply, both sides together.
func BenchmarkCall(b *testing.B) {
	address, _ := newEchoServer(b)
	client := capeer.NewClient(capeer.DialTCP, nil)
	b.Cleanup(func() { _ = client.Close() })
	for b.Loop() {
		if _, err := capeer.Call[message, message](context.Background(), client, address, "echo", message{Text: "hello"}); err != nil {
			b.Fatalf("echo: %v", err)
		}
	}
}
