package caclient

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/node/caapi"
)

const (
	// longestWait is the time that one call waits for an outcome. A wait that
	// is longer takes several calls, each at any entry behind the balancer.
	longestWait = time.Minute
	// longestPause bounds the pause between two calls of which the first was
	// not answered.
	longestPause = 5 * time.Second
)

var errPending = errors.New("the job is pending")

// Await returns the state of a job once it has its final outcome, or when the
// wait is over. A call that is not answered, because its entry ended for
// example, is repeated until then, and its error is returned only if no call
// before it was answered.
func (c Client) Await(ctx context.Context, id cawork.JobID, wait time.Duration) (caapi.JobAnswer, error) {
	end := time.Now().Add(wait)
	var (
		last   caapi.JobAnswer
		failed error
	)
	look := func() (caapi.JobAnswer, error) {
		answer, err := c.Get(ctx, id, max(0, min(time.Until(end), longestWait)))
		if err != nil {
			failed = err
			return last, retryable(err)
		}
		last, failed = answer, nil
		if answer.Outcome == cawork.OutcomePending && time.Until(end) > 0 {
			return last, errPending
		}
		return last, nil
	}
	_, _ = repeat(ctx, look, wait)
	if last.JobID != "" {
		return last, nil
	}
	return last, failed
}

// repeat calls up to the time, with growing pauses, until there is no error or
// a permanent one.
func repeat[T any](ctx context.Context, call backoff.Operation[T], within time.Duration) (T, error) {
	pause := backoff.NewExponentialBackOff()
	pause.MaxInterval = longestPause
	return backoff.Retry(ctx, call, backoff.WithBackOff(pause), backoff.WithMaxElapsedTime(within))
}

// retryable marks errors that a further look at a job cannot mend.
func retryable(err error) error {
	switch cakind.Of(err) {
	case cakind.KindUnknown, cakind.KindUnavailable, cakind.KindDraining, cakind.KindOverloaded:
		return err
	}
	return backoff.Permanent(err)
}
