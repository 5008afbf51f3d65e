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
	// maxWaitPerCall bounds the time that one call waits for an outcome. A longer
	// wait is split into several calls. Behind a load balancer, each call may
	// reach a different entry.
	maxWaitPerCall = time.Minute
	// maxRetryInterval bounds the backoff after a failed call.
	maxRetryInterval = 5 * time.Second
)

var errPending = errors.New("the job is pending")

// Await waits until a job has its final outcome or the wait time is over, and
// returns the last state received. It retries calls that fail temporarily, for
// example because their entry shut down. It returns an error only if no call
// succeeded.
func (c Client) Await(ctx context.Context, id cawork.JobID, wait time.Duration) (caapi.JobStatus, error) {
	deadline := time.Now().Add(wait)
	var (
		last    caapi.JobStatus
		lastErr error
	)
	poll := func() (caapi.JobStatus, error) {
		answer, err := c.Get(ctx, id, max(0, min(time.Until(deadline), maxWaitPerCall)))
		if err != nil {
			lastErr = err
			return last, permanentUnlessRetryable(err)
		}
		last, lastErr = answer, nil
		if answer.Outcome == cawork.OutcomePending && time.Until(deadline) > 0 {
			return last, errPending
		}
		return last, nil
	}
	_, _ = retry(ctx, poll, wait)
	if last.JobID != "" {
		return last, nil
	}
	return last, lastErr
}

// retry repeats the operation with exponential backoff until it succeeds, fails
// with a permanent error or the timeout has passed.
func retry[T any](ctx context.Context, operation backoff.Operation[T], timeout time.Duration) (T, error) {
	policy := backoff.NewExponentialBackOff()
	policy.MaxInterval = maxRetryInterval
	return backoff.Retry(ctx, operation, backoff.WithBackOff(policy), backoff.WithMaxElapsedTime(timeout))
}

// permanentUnlessRetryable marks an error as permanent unless a retry may
// succeed.
func permanentUnlessRetryable(err error) error {
	switch cakind.Of(err) {
	case cakind.KindUnknown, cakind.KindUnavailable, cakind.KindDraining, cakind.KindOverloaded:
		return err
	}
	return backoff.Permanent(err)
}
