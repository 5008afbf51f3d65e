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
	// maxQuietWaits bounds how often a listener waits for that time, and maxWaits how often it waits until
	// its queue is empty at least. These are no times, since connections pile up in the queue while the process
	// does not run.
	maxQuietWaits = 30
	maxWaits      = 2 * maxQuietWaits
)

// listener accepts connections until its queue is empty after a request to stop.
type listener struct {
	net.Listener
	conns *connections

	mu sync.Mutex
	// waits counts the waits for a time without connections.
	waits int
	// acceptedSince is set if a connection came since the deadline was last set.
	acceptedSince bool
}

// stop makes Accept return net.ErrClosed once no connection has come for a while. A listener without
// deadlines is closed at once.
func (l *listener) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.awaitQuiet()
}

// awaitQuiet starts a wait for a time without connections. The caller must hold l.mu.
func (l *listener) awaitQuiet() {
	l.acceptedSince = false
	l.waits++
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
// Otherwise it sets the deadline again. Accept reports a deadline in the past before it looks into the queue.
func (l *listener) isQuiet() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	awaitsMore := l.acceptedSince && l.waits < maxQuietWaits
	if !awaitsMore && shutIfEmpty(l.Listener) || l.waits >= maxWaits {
		return true
	}
	l.awaitQuiet()
	return false
}
