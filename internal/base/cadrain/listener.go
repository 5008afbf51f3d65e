package cadrain

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// quietTime is how long no connection must have come before a listener closes: those in its
	// queue would be reset.
	quietTime = 10 * time.Millisecond
	// maxQuietWait bounds the wait for that time.
	maxQuietWait = 300 * time.Millisecond
)

// listener accepts connections until its queue is empty after a request to stop.
type listener struct {
	net.Listener
	conns *connections

	mu sync.Mutex
	// stopBy is the latest time to close the listener, zero before stop.
	stopBy time.Time
	// acceptedSince is set if a connection came since the deadline was last set.
	acceptedSince bool
}

// stop makes Accept return net.ErrClosed once no connection has come for a while. A listener without
// deadlines is closed at once.
func (l *listener) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopBy = time.Now().Add(maxQuietWait)
	l.awaitQuiet()
}

// awaitQuiet starts the wait for a time without connections. The caller must hold l.mu.
func (l *listener) awaitQuiet() {
	l.acceptedSince = false
	limited, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok || limited.SetDeadline(time.Now().Add(quietTime)) != nil {
		_ = l.Close()
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
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
