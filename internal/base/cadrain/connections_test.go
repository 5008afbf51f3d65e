package cadrain

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// longHeaderTimeout is longer than a test.
const longHeaderTimeout = time.Minute

// acceptOne returns a connection of a server and its caller's end.
func acceptOne(t *testing.T) (accepted *conn, caller net.Conn) {
	t.Helper()
	tcp := newLoopbackListener(t)
	lis := &listener{Listener: tcp, conns: newConnections(longHeaderTimeout)}
	caller = dial(t, tcp)
	c, err := lis.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c.(*conn), caller
}

// send sends a text to a connection, which reads it.
func send(t *testing.T, caller net.Conn, c *conn, text string) {
	t.Helper()
	if _, err := io.WriteString(caller, text); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c, make([]byte, len(text))); err != nil {
		t.Fatal(err)
	}
}

// TestStopEndsConnectionsInUse guards against connections that end, or do not, against their state.
func TestStopEndsConnectionsInUse(t *testing.T) {
	all, none := time.Now().Add(time.Hour), time.Time{}
	for _, test := range []struct {
		name   string
		use    func(c *conn, caller net.Conn)
		before time.Time
		isEnd  bool
	}{
		{"new", func(*conn, net.Conn) {}, none, false},
		{"silent", func(*conn, net.Conn) {}, all, true},
		{"first byte", func(c *conn, caller net.Conn) { send(t, caller, c, "G") }, all, false},
		{"idle", func(c *conn, caller net.Conn) {
			send(t, caller, c, "G")
			c.owner.noteState(c, http.StateIdle)
		}, none, true},
		{"next request from the buffer", func(c *conn, caller net.Conn) {
			send(t, caller, c, "G")
			c.owner.noteState(c, http.StateIdle)
			c.owner.noteState(c, http.StateActive)
		}, all, false},
		{"HTTP/2 without a call", func(c *conn, caller net.Conn) {
			send(t, caller, c, sharedPreface)
			c.owner.noteState(c, http.StateIdle)
		}, all, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, caller := acceptOne(t)
			test.use(c, caller)
			c.owner.expireIdle(test.before)
			if diff := cmp.Diff(test.isEnd, c.isExpired); diff != "" {
				t.Errorf("the connection is to end (-want +got):\n%s", diff)
			}
		})
	}
}

// TestStopWaitsForSilentConnection guards against a stop that waits for a request on a connection that is to end.
func TestStopWaitsForSilentConnection(t *testing.T) {
	c, _ := acceptOne(t)
	c.owner.expireIdle(time.Now())
	failed := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 1))
		failed <- err
	}()
	select {
	case err := <-failed:
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("read: %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the read does not end")
	}
}

// hookedConn calls a function after each read.
type hookedConn struct {
	net.Conn
	afterRead func()
}

func (c hookedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.afterRead()
	return n, err
}

// TestStopCutsRestOfRequest guards against requests whose rest is not read, since their connection was to end as
// their first bytes were read.
func TestStopCutsRestOfRequest(t *testing.T) {
	c, caller := acceptOne(t)
	c.Conn = hookedConn{Conn: c.Conn, afterRead: func() { c.owner.expireIdle(time.Now()) }}
	send(t, caller, c, "G")
	rest := make([]byte, 2)
	sent := time.AfterFunc(50*time.Millisecond, func() { _, _ = io.WriteString(caller, "ET") })
	defer sent.Stop()
	n, err := io.ReadFull(c, rest)
	if diff := cmp.Diff("ET", string(rest[:n])); diff != "" {
		t.Errorf("rest of the request (-want +got):\n%s\n%v", diff, err)
	}
}

// TestStopCountsSharedConnections guards against stops that wait for connections of HTTP/2, which Shutdown ends.
func TestStopCountsSharedConnections(t *testing.T) {
	c, caller := acceptOne(t)
	send(t, caller, c, sharedPreface)
	open, busy := c.owner.counts()
	if diff := cmp.Diff([]int{0, 0}, []int{open, busy}); diff != "" {
		t.Errorf("open and busy connections (-want +got):\n%s", diff)
	}
}
