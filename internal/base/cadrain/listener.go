package caserve

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
)

const (
	// quietTime is how long no connection must have come before a listener closes: those in its
	// queue would be reset.
	quietTime = 10 * time.Millisecond
	// maxQuietWait bounds the wait for that time.
	maxQuietWait = 300 * time.Millisecond
)

// Listen listens on a TCP address. It fails with KindUnavailable.
func Listen(address string) (net.Listener, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, cakind.Wrap(cakind.KindUnavailable, err, "listen on %s", address)
	}
	return lis, nil
}

// listener accepts connections until its queue is empty after a request to stop.
type listener struct {
	*net.TCPListener
	conns *connections

	mu sync.Mutex
	// stopBy is the latest time to close the listener, zero before stop.
	stopBy time.Time
	// acceptedSince is set if a connection came since the deadline was last set.
	acceptedSince bool
}

// stop makes Accept return net.ErrClosed once no connection has come for a while.
func (l *listener) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopBy = time.Now().Add(maxQuietWait)
	l.awaitQuiet()
}

// awaitQuiet starts the wait for a time without connections. The caller must hold l.mu.
func (l *listener) awaitQuiet() {
	l.acceptedSince = false
	// An error means that the listener is closed; Accept reports that.
	_ = l.SetDeadline(time.Now().Add(quietTime))
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.TCPListener.Accept()
		switch {
		case err == nil:
			l.mu.Lock()
			l.acceptedSince = true
			l.mu.Unlock()
			return l.conns.add(accepted, time.Now()), nil
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		case l.isQuiet():
			_ = l.Close()
			return nil, net.ErrClosed
		}
	}
}

// isQuiet reports whether no connection came since the deadline was set, or none may come any more.
// Otherwise it sets the deadline again.
func (l *listener) isQuiet() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.acceptedSince || time.Now().After(l.stopBy) {
		return true
	}
	l.awaitQuiet()
	return false
}
