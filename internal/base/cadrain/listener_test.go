package cadrain

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"
)

// scriptedListener accepts connections by a script, whatever its deadline is.
type scriptedListener struct {
	net.Listener
	accept func() (net.Conn, error)
}

func (l scriptedListener) Accept() (net.Conn, error) { return l.accept() }

func (scriptedListener) SetDeadline(time.Time) error { return nil }

// queuedListener is a socket whose queue is never taken from.
type queuedListener struct{ *net.TCPListener }

func (queuedListener) Accept() (net.Conn, error) { return nil, os.ErrDeadlineExceeded }

// TestStopClosesListenerBetweenConnections guards against a listener that closes while connections come.
func TestStopClosesListenerBetweenConnections(t *testing.T) {
	tcp := newLoopbackListener(t)
	calls := 0
	lis := &listener{conns: newConnections(longHeaderTimeout), Listener: scriptedListener{Listener: tcp, accept: func() (net.Conn, error) {
		calls++
		if calls == 2 {
			return nil, os.ErrDeadlineExceeded
		}
		return dial(t, tcp), nil
	}}}
	lis.stop()
	for range 2 {
		if _, err := lis.Accept(); err != nil {
			t.Errorf("connection that came before the listener was quiet: %v", err)
		}
	}
}

// TestStopNeverEndsBesideConnections guards against a listener that waits without end while connections come.
func TestStopNeverEndsBesideConnections(t *testing.T) {
	tcp := newLoopbackListener(t)
	calls := 0
	lis := &listener{conns: newConnections(longHeaderTimeout), Listener: scriptedListener{Listener: tcp, accept: func() (net.Conn, error) {
		calls++
		if calls%2 == 0 {
			return nil, os.ErrDeadlineExceeded
		}
		return dial(t, tcp), nil
	}}}
	lis.stop()
	for range maxWaits + 1 {
		if _, err := lis.Accept(); errors.Is(err, net.ErrClosed) {
			return
		}
	}
	t.Error("the listener did not close")
}

// TestStopNeverEndsBesideQueue guards against a listener that waits without end for its queue to become empty.
func TestStopNeverEndsBesideQueue(t *testing.T) {
	tcp := newLoopbackListener(t)
	lis := &listener{conns: newConnections(longHeaderTimeout), Listener: queuedListener{tcp.(*net.TCPListener)}}
	dial(t, tcp)
	lis.stop()
	ended := make(chan error, 1)
	go func() {
		_, err := lis.Accept()
		ended <- err
	}()
	select {
	case err := <-ended:
		if !errors.Is(err, net.ErrClosed) {
			t.Errorf("accept: %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the listener did not close")
	}
}
