package casoak

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"celeryarch.example/celeryarch/internal/soak/caconn"
	"celeryarch.example/celeryarch/platform"
)

const (
	// newConnectionShare is the share of the calls that open a connection, although one is idle.
	newConnectionShare = 0.3
	// splitShare is the share of the calls beside planned work that are sent in two parts, and
	// maxSplitPause bounds the pause between these.
	splitShare    = 0.1
	maxSplitPause = 50 * time.Millisecond
)

// call is a call to the node at an address.
type call func(ctx context.Context, address string) platform.CallResult

// CallCounts counts calls by their results: Refused ones were not sent, since no connection was opened, Unread ones were not received
// by the node, Cut ones got no answer from a node that had received them.
type CallCounts struct {
	Answered, Refused, Unread, Cut, Unanswered int
}

// String returns the counts.
func (c CallCounts) String() string {
	return fmt.Sprintf("%d answered, %d refused, %d unread, %d cut, %d unanswered", c.Answered, c.Refused, c.Unread, c.Cut, c.Unanswered)
}

// callCounter counts calls.
type callCounter struct {
	mu    sync.Mutex
	total CallCounts
}

func (c *callCounter) counts() CallCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total
}

// count counts a call by its result.
func (c *callCounter) count(answer platform.CallResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var cut *caconn.CutError
	switch {
	case answer.Status != 0:
		c.total.Answered++
	case isRefused(answer):
		c.total.Refused++
	case errors.As(answer.Err, &cut):
		c.total.Cut++
	case isTimeout(answer.Err):
		c.total.Unanswered++
	default:
		c.total.Unread++
	}
}

// isTimeout reports whether a call had no answer when its time was over.
func isTimeout(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded)
}

// newTransport returns the transport of all callers.
func newTransport(isPlanned bool) *caconn.Transport {
	t := &caconn.Transport{NewShare: newConnectionShare}
	if isPlanned {
		t.SplitShare, t.MaxSplitPause = splitShare, maxSplitPause
	}
	return t
}

// newCaller returns a caller with the API key of a team.
func (c *cell) newCaller(key string) *platform.Caller {
	return platform.NewCaller(key, callTimeout).WithTransport(c.transport)
}

// call calls a node and records a violation if the answer is late, or if there is none and nothing but
// planned work may be the cause. It waits beyond callTimeout to measure late answers.
func (c *cell) call(n *node, l *outcomeLog, do call) platform.CallResult {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout+2*responseMargin)
	defer cancel()
	began := time.Now()
	answer := do(ctx, n.address(portFront))
	took := time.Since(began)
	c.calls.count(answer)
	if answer.Status != 0 && took > callTimeout+responseMargin && !n.resumedSince(began) {
		l.recordViolation("%s answered after %v, %v were allowed", n.name, took, callTimeout)
	}
	if c.isPlanned && answer.Status == 0 && !isRefused(answer) {
		checkCut(n, l, answer.Err, took)
	}
	return answer
}

// checkCut records a violation if a node received a call and did not answer it.
func checkCut(n *node, l *outcomeLog, err error, took time.Duration) {
	var cut *caconn.CutError
	switch {
	case errors.As(err, &cut):
		l.recordViolation("%s: a call was cut %v after the end of its request, with %d bytes of its response, over a kept connection: %v (%s): %v",
			time.Now().Format(time.TimeOnly+".000"), cut.After.Round(time.Microsecond), cut.Bytes, cut.IsKept, n.history(), cut.Cause)
	case isTimeout(err):
		l.recordViolation("%s: a call had no answer after %v (%s): %v", time.Now().Format(time.TimeOnly+".000"), took.Round(time.Millisecond), n.history(), err)
	}
}

// isGoneTooEarly reports whether a node answered that it does not have a job that was accepted.
func isGoneTooEarly(a acceptance, answer platform.CallResult, askedAt time.Time) bool {
	return answer.Status == http.StatusGone && askedAt.Sub(a.at) > visibleTime
}
