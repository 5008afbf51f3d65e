package casoak

import (
	"context"
	"math/rand"
	"net/http"
	"time"

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
	mayBeAccepted := false
	for range maxAttempts {
		answer := c.callRandomNode(func(ctx context.Context, address string) platform.CallResult {
			return c.caller.Submit(ctx, address, c.queue, s)
		})
		switch {
		case answer.IsAccepted():
			c.outcomes.record(s.ID, outcomeAccepted)
			return true
		case !answer.IsRejected():
			mayBeAccepted = true
		}
		if c.cell.timer.Pause(ctx, max(retryDelay, answer.RetryAfter)) != nil {
			break
		}
	}
	if !mayBeAccepted {
		c.outcomes.record(s.ID, outcomeRejected)
	}
	return false
}

// cancel cancels an accepted job after a random delay.
func (c submitter) cancel(id cawork.JobID) {
	time.Sleep(time.Duration(c.random.Int63n(int64(maxCancelDelay))))
	// Until the cancellation is answered, the job may either complete or be canceled.
	c.outcomes.record(id, outcomeUnknown)
	for range maxAttempts {
		answer := c.callRandomNode(func(ctx context.Context, address string) platform.CallResult {
			return c.caller.Cancel(ctx, address, c.queue, id)
		})
		switch {
		case answer.IsAccepted():
			c.outcomes.record(id, outcomeCanceled)
			return
		case answer.Status == http.StatusGone:
			c.outcomes.recordViolation("job %s was accepted, but its cancellation was answered with 410 Gone", id)
			return
		}
		time.Sleep(retryDelay)
	}
}

// callRandomNode calls a random node.
func (c submitter) callRandomNode(do call) platform.CallResult {
	return c.cell.call(c.cell.nodes[c.random.Intn(len(c.cell.nodes))], c.outcomes, do)
}
