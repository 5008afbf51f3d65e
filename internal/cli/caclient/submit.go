package caclient

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/node/caapi"
)

// maxLostResponses is the number of retries after lost responses.
const maxLostResponses = 2

// SubmitWithRetry submits a job under an idempotency key. Until the timeout it
// retries a submission whose response was lost, and one that the entry refused
// temporarily with a Retry-After, for example until the failure of another
// entry is detected.
func (c Client) SubmitWithRetry(ctx context.Context, s caapi.SubmitRequest, key string, timeout time.Duration) (cawork.JobID, error) {
	lostResponses := 0
	var lastErr error
	submit := func() (cawork.JobID, error) {
		id, err := c.Submit(ctx, s, key)
		lastErr = err
		switch cakind.Of(err) {
		case cakind.KindUnknown:
			if lostResponses++; lostResponses > maxLostResponses {
				return id, backoff.Permanent(err)
			}
			return id, err
		case cakind.KindUnavailable, cakind.KindDraining, cakind.KindNotStarted:
			if cakind.RetryAfterOf(err) > 0 {
				return id, err
			}
		}
		if err != nil {
			return id, backoff.Permanent(err)
		}
		return id, nil
	}
	id, _ := retry(ctx, submit, timeout)
	return id, lastErr
}
