package cahttp_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/cahttp"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// maxHeartbeatBytes is a third of 18 KB/s in bytes, divided among the 36
// upstreams of an entry.
const maxHeartbeatBytes = 6000 / 36

func startServer(t *testing.T, handler http.Handler) *httptest.Server {
	t.Helper()
	server := httptest.NewUnstartedServer(handler)
	server.Config.Protocols = cahttp.ServerProtocols()
	server.Start()
	t.Cleanup(server.Close)
	return server
}

// scriptedAgent returns a preset answer to heartbeats and records the last one.
type scriptedAgent struct {
	caplatform.Agent
	result   caplatform.HeartbeatResult
	err      error
	received caplatform.Heartbeat
}

func (a *scriptedAgent) Heartbeat(_ context.Context, h caplatform.Heartbeat) (caplatform.HeartbeatResult, error) {
	a.received = h
	return a.result, a.err
}

func dialAgent(t *testing.T, a caplatform.Agent, dial func(ctx context.Context, network, address string) (net.Conn, error)) caplatform.Agent {
	t.Helper()
	mux := http.NewServeMux()
	cahttp.HandleAgent(mux, a)
	server := startServer(t, mux)
	client := cahttp.NewClient(10 * time.Second)
	client.Transport.(*http.Transport).DialContext = dial
	t.Cleanup(client.CloseIdleConnections)
	return cahttp.NewAgents(client).Agent(server.Listener.Addr().String())
}

var testHeartbeat = caplatform.Heartbeat{
	Holder: "entry & 1", Epoch: 7, TTL: 3 * time.Second, TaskTTL: 10 * time.Second, Since: 12,
}

// TestHeartbeat checks that a heartbeat and its answer arrive unchanged. An answer
// with changes must not be shortened to 204 No Content.
func TestHeartbeat(t *testing.T) {
	renewed := caplatform.Ownership{Holder: testHeartbeat.Holder, Epoch: 7, Remaining: 3 * time.Second}
	ended := []caplatform.TaskStatus{{Attempt: "a", State: cawork.TaskStateDone}}
	for name, tc := range map[string]struct {
		result caplatform.HeartbeatResult
		err    error
	}{
		"unchanged":             {result: caplatform.HeartbeatResult{Ownership: renewed, Sequence: 12}},
		"changed":               {result: caplatform.HeartbeatResult{Ownership: renewed, Sequence: 13, Changed: ended}},
		"sequence went back":    {result: caplatform.HeartbeatResult{Ownership: renewed, Sequence: 3}},
		"changed, same numbers": {result: caplatform.HeartbeatResult{Ownership: renewed, Sequence: 12, Changed: ended}},
		"former requests":       {result: caplatform.HeartbeatResult{Ownership: renewed, Sequence: 12, FormerRequests: 8}},
		"fenced":                {err: cakind.New(cakind.KindFenced, "epoch 8")},
	} {
		t.Run(name, func(t *testing.T) {
			agent := &scriptedAgent{result: tc.result, err: tc.err}
			got, err := dialAgent(t, agent, nil).Heartbeat(context.Background(), testHeartbeat)
			if diff := cmp.Diff(testHeartbeat, agent.received); diff != "" {
				t.Errorf("call mismatch (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(cakind.Of(tc.err), cakind.Of(err)); diff != "" {
				t.Errorf("kind mismatch (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tc.result, got); diff != "" {
				t.Errorf("result mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

// meteredConn counts its bytes in both directions, and discards writes while
// dropWrites is set.
type meteredConn struct {
	net.Conn
	bytes      *atomic.Int64
	dropWrites atomic.Bool
}

func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *meteredConn) Write(b []byte) (int, error) {
	c.bytes.Add(int64(len(b)))
	if c.dropWrites.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// TestRepeatedHeartbeatIsSmall guards the bandwidth of an entry: a repeated
// heartbeat must fit into the share of one upstream.
func TestRepeatedHeartbeatIsSmall(t *testing.T) {
	const repeats = 20
	var bytes atomic.Int64
	agent := &scriptedAgent{result: caplatform.HeartbeatResult{Sequence: testHeartbeat.Since}}
	client := dialAgent(t, agent, func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		return &meteredConn{Conn: conn, bytes: &bytes}, err
	})
	var before int64
	for i := range repeats + 1 {
		if i == 1 {
			before = bytes.Load()
		}
		if _, err := client.Heartbeat(context.Background(), testHeartbeat); err != nil {
			t.Fatalf("Heartbeat: %v", err)
		}
	}
	if got := (bytes.Load() - before) / repeats; got > maxHeartbeatBytes {
		t.Errorf("a repeated heartbeat takes %d bytes, want at most %d", got, maxHeartbeatBytes)
	}
}

// TestSilentConnectionIsReplaced guards against calls that keep failing on a
// connection whose writes are lost without an error.
func TestSilentConnectionIsReplaced(t *testing.T) {
	var bytes, dials atomic.Int64
	var first *meteredConn
	agent := &scriptedAgent{result: caplatform.HeartbeatResult{Sequence: testHeartbeat.Since}}
	client := dialAgent(t, agent, func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		metered := &meteredConn{Conn: conn, bytes: &bytes}
		if dials.Add(1) == 1 {
			first = metered
		}
		return metered, err
	})
	if _, err := client.Heartbeat(context.Background(), testHeartbeat); err != nil {
		t.Fatalf("Heartbeat: %v", err)
	}
	first.dropWrites.Store(true)
	failed := 0
	for {
		ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
		_, err := client.Heartbeat(ctx, testHeartbeat)
		cancel()
		if err == nil {
			break
		}
		if failed++; failed > 10 {
			t.Fatalf("heartbeat after %d tries: %v", failed, err)
		}
	}
	if diff := cmp.Diff(int64(2), dials.Load()); diff != "" {
		t.Errorf("connections mismatch (-want +got):\n%s", diff)
	}
	t.Logf("a new connection after %d failed calls of 700 ms", failed)
}
