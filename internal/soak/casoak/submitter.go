package casoak

import (
	"context"
	"math/rand"
	"net/http"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/platform"
)

const (
	// callTimeout is the timeout that a caller sends with a call, and
	// responseMargin the tolerated delay of the answer beyond it.
	callTimeout    = 3 * time.Second
	responseMargin = time.Second
	// maxAttempts bounds the attempts to submit or cancel one job.
	maxAttempts = 4
	// callerPatience is how long a caller waits for nodes that refuse connections.
	callerPatience = 30 * time.Second
	// retryDelay is the minimum delay before a failed call is retried.
	retryDelay = 400 * time.Millisecond
	// maxCancelDelay is the longest delay before a cancellation.
	maxCancelDelay = 800 * time.Millisecond
)

// submitter submits and cancels jobs of one caller at random nodes and records the answers.
type submitter struct {
	cell     *cell
	outcomes *outcomeLog
	caller   *platform.Caller
	queue    caspec.Queue
	random   *rand.Rand
}

// submit submits one job and retries while the outcome is unknown or the job is rejected, until
// the context ends. It reports whether the job was accepted.
func (c submitter) submit(ctx context.Context, s caspec.Submission) bool {
	c.outcomes.record(s.ID, outcomeUnknown)
	isAccepted, mayBeAccepted := false, false
	send := func(ctx context.Context, address string) platform.CallResult {
		return c.caller.Submit(ctx, address, c.queue, s)
	}
	c.repeat(ctx, send, func(answer platform.CallResult) bool {
		isAccepted = answer.IsAccepted()
		mayBeAccepted = mayBeAccepted || !answer.IsRejected() && !isRefused(answer)
		return isAccepted
	})
	switch {
	case isAccepted:
		c.outcomes.record(s.ID, outcomeAccepted)
		notify(c.cell.acknowledged.submitted)
	case !mayBeAccepted:
		c.outcomes.record(s.ID, outcomeRejected)
	}
	return isAccepted
}

// cancel cancels an accepted job after a random delay.
func (c submitter) cancel(id cawork.JobID) {
	time.Sleep(time.Duration(c.random.Int63n(int64(maxCancelDelay))))
	// Until the cancellation is answered, the job may either complete or be canceled.
	c.outcomes.record(id, outcomeUnknown)
	send := func(ctx context.Context, address string) platform.CallResult {
		return c.caller.Cancel(ctx, address, c.queue, id)
	}
	c.repeat(context.Background(), send, func(answer platform.CallResult) bool {
		switch {
		case answer.IsAccepted():
			c.outcomes.record(id, outcomeCanceled)
			notify(c.cell.acknowledged.canceled)
		case answer.IsGone():
			c.outcomes.recordViolation("job %s was accepted, but its cancellation was answered with 410 Gone", id)
		}
		return answer.IsAccepted() || answer.IsGone()
	})
}

// repeatAccepted submits an accepted job once more after a random delay. It records a violation if the request is taken for
// that of another job or caller.
func (c submitter) repeatAccepted(s caspec.Submission) {
	time.Sleep(time.Duration(c.random.Int63n(int64(maxRepeatDelay))))
	answer := c.callRandomNode(func(ctx context.Context, address string) platform.CallResult {
		return c.caller.Submit(ctx, address, c.queue, s)
	})
	if answer.Status == http.StatusConflict || answer.Status == http.StatusUnauthorized {
		c.outcomes.recordViolation("job %s was accepted, but its request that arrived again was answered with %d", s.ID, answer.Status)
	}
}

// repeat calls random nodes until an answer is final, maxAttempts calls were made, callerPatience has
// passed or the context ends. For patient callers, refused connections count as no attempt.
func (c submitter) repeat(ctx context.Context, do call, isFinal func(platform.CallResult) bool) {
	ctx, cancel := context.WithTimeout(ctx, callerPatience)
	defer cancel()
	for made := 0; made < maxAttempts; {
		answer := c.callRandomNode(do)
		if isFinal(answer) {
			return
		}
		if !c.cell.isPatient || !isRefused(answer) {
			made++
		}
		if c.cell.timer.Pause(ctx, max(retryDelay, answer.RetryAfter)) != nil {
			return
		}
	}
}

// isRefused reports whether a call was not sent, since no connection was opened.
func isRefused(answer platform.CallResult) bool {
	return answer.Status == 0 && cakind.Of(answer.Err) == cakind.KindUnavailable
}

// callRandomNode calls a random node.
func (c submitter) callRandomNode(do call) platform.CallResult {
	return c.cell.call(c.cell.nodes[c.random.Intn(len(c.cell.nodes))], c.outcomes, do)
}
