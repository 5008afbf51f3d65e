package cadrain

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// newLoopbackListener returns a TCP listener that is closed when the test ends.
func newLoopbackListener(t *testing.T) net.Listener {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	return lis
}

// dial opens a connection to the listener that is closed when the test ends.
func dial(t *testing.T, lis net.Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", lis.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// TestStarvedServerCutsQueuedConnections guards against connections that are reset in the queue of a listener,
// since the process did not run while they came.
func TestStarvedServerCutsQueuedConnections(t *testing.T) {
	tcp := newLoopbackListener(t)
	lis := &listener{Listener: tcp, conns: newConnections(time.Second)}
	lis.stop()
	dial(t, tcp)
	time.Sleep(2 * quietTime)
	accepted, err := lis.Accept()
	if err != nil {
		t.Fatalf("connection in the queue: %v", err)
	}
	_ = accepted.Close()
	if _, err := lis.Accept(); err == nil {
		t.Error("the listener accepts connections without end")
	}
}

// TestStarvedServerCutsUnreadRequest guards against requests on idle connections that are dropped, since the
// process did not run between their arrival and the end of the idle connections.
func TestStarvedServerCutsUnreadRequest(t *testing.T) {
	tcp := newLoopbackListener(t)
	lis := &listener{Listener: tcp, conns: newConnections(time.Second)}
	caller := dial(t, tcp)
	accepted, err := lis.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	lis.conns.noteState(accepted, http.StateIdle)
	if _, err := io.WriteString(caller, "GET"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * quietTime)
	lis.conns.expireIdle(time.Now())
	got := make([]byte, 16)
	n, err := accepted.Read(got)
	if diff := cmp.Diff("GET", string(got[:n])); diff != "" {
		t.Errorf("request that has arrived (-want +got):\n%s\n%v", diff, err)
	}
}
