package calisten

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/request/cabudget"
)

const (
	// connectionBytes is what a connection occupies without a request: its goroutine and buffers.
	connectionBytes = 16 << 10
	// headerLineBytes is what a header line occupies as parsed, in addition to its text.
	headerLineBytes = 128
	// readFactor is the ratio of what the bytes of a request occupy while it is read to their number: a
	// buffer that grows holds up to twice its content.
	readFactor = 2
	// answerTimeout bounds the time in which a caller reads its answer.
	answerTimeout = 10 * time.Second
	// closedLogInterval is the time between two log lines on closed connections.
	closedLogInterval = time.Second
)

// Limiter bounds what callers occupy at an entry by a budget for all of its listeners. It closes
// connections whose requests are not complete, or idle ones, and never one whose request is being served.
type Limiter struct {
	log   zerolog.Logger
	scope tally.Scope

	mu     sync.Mutex
	budget *cabudget.Budget
	lastID cabudget.ID
	conns  map[cabudget.ID]*countedConn
	// byAddress are the same connections by the addresses of their callers.
	byAddress map[string]*countedConn
	// closed and refused count the connections since loggedAt that were closed to make room, and the new
	// ones for which there was none.
	closed, refused int
	loggedAt        time.Time
}

// NewLimiter returns a limiter without connections.
func NewLimiter(limits cabudget.Limits, log zerolog.Logger, scope tally.Scope) *Limiter {
	return &Limiter{
		log: log, scope: scope, budget: cabudget.New(limits),
		conns: make(map[cabudget.ID]*countedConn), byAddress: make(map[string]*countedConn),
	}
}

// Listen returns a listener whose connections count towards the budget. A new connection for which there is
// no room gets a refusal and is closed.
func (l *Limiter) Listen(lis net.Listener) net.Listener {
	return &countedListener{Listener: lis, limiter: l}
}

// Handler returns a handler that tells the budget when requests are complete and answered. The server that
// calls it must accept its connections from Listen.
func (l *Limiter) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := l.connOf(r)
		if c == nil {
			h.ServeHTTP(w, r)
			return
		}
		r.Body = c.beginCall(r)
		control := http.NewResponseController(w)
		// An error means that the connection can have no deadline, or is closed.
		_ = control.SetWriteDeadline(time.Time{})
		defer func() {
			_ = control.SetWriteDeadline(time.Now().Add(answerTimeout))
			c.endCall()
		}()
		h.ServeHTTP(w, r)
	})
}

// connOf returns the connection of a request, nil if it is shared by several calls or not known.
func (l *Limiter) connOf(r *http.Request) *countedConn {
	if r.ProtoMajor != 1 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byAddress[r.RemoteAddr]
}

// add adds an accepted connection. It returns nil if there is no room for it.
func (l *Limiter) add(accepted net.Conn) *countedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	c := &countedConn{Conn: accepted, limiter: l, id: l.lastID}
	l.conns[c.id] = c
	l.byAddress[accepted.RemoteAddr().String()] = c
	closing, kept := l.budget.Open(c.id, connectionBytes, time.Now())
	if !kept {
		l.forget(c)
		l.refused++
		l.scope.Counter("callers_refused").Inc(1)
		closing = nil
	}
	l.close(closing)
	l.report()
	if !kept {
		return nil
	}
	return c
}

// forget removes a connection. The lock is held.
func (l *Limiter) forget(c *countedConn) {
	delete(l.conns, c.id)
	if address := c.RemoteAddr().String(); l.byAddress[address] == c {
		delete(l.byAddress, address)
	}
}

// close closes connections that the budget has removed. The lock is held.
func (l *Limiter) close(closing []cabudget.ID) {
	for _, id := range closing {
		if c, ok := l.conns[id]; ok {
			l.forget(c)
			// The server finds the connection closed and ends its call.
			_ = c.Conn.Close()
			l.closed++
			l.scope.Counter("callers_closed").Inc(1)
		}
	}
	if len(closing) > 0 {
		l.report()
	}
}

// report reports the use of the budget. The lock is held.
func (l *Limiter) report() {
	bytes, connections := l.budget.Use()
	l.scope.Gauge("caller_bytes").Update(float64(bytes))
	l.scope.Gauge("caller_connections").Update(float64(connections))
	now := time.Now()
	if l.closed+l.refused == 0 || now.Sub(l.loggedAt) < closedLogInterval {
		return
	}
	caevent.Warn(l.log, caevent.CallersLimited).Int("closed", l.closed).Int("refused", l.refused).
		Int64("bytes", bytes).Int("connections", connections).Send()
	l.closed, l.refused, l.loggedAt = 0, 0, now
}

// countedListener counts the connections that it accepts.
type countedListener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.limiter.add(accepted); c != nil {
			return c, nil
		}
		refuse(accepted)
	}
}
