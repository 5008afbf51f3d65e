package caclient

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/node/caapi"
)

// lostAnswers is how often a submission is repeated whose answer was lost.
const lostAnswers = 2

// SubmitSurely submits a job under an idempotency key. It repeats, up to the
// time, a submission whose answer was lost, and one that the entry refused for
// now and named a time to wait, as while the end of an entry is noticed.
func (c Client) SubmitSurely(ctx context.Context, s caapi.SubmitRequest, key string, within time.Duration) (cawork.JobID, error) {
	lost := 0
	var last error
	submit := func() (cawork.JobID, error) {
		id, err := c.Submit(ctx, s, key)
		last = err
		switch cakind.Of(err) {
		case cakind.KindUnknown:
			if lost++; lost > lostAnswers {
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
	id, _ := repeat(ctx, submit, within)
	return id, last
}
