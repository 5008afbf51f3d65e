package calatency

import (
	"context"
	"sync"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
)

// Hedge makes an idempotent call, and makes it again whenever the newest attempt has had no answer for
// the timeout of the latency, while the earlier ones go on for the lifetime. It returns the first
// answer or error, and cancels the other attempts. It calls onOverdue before each repetition. An error
// of KindUnknown means that the context has ended or that the call returned it.
func Hedge[T any](ctx context.Context, latency *Peak, lifetime time.Duration, onOverdue func(), call func(context.Context) (T, error)) (T, error) {
	var attempts sync.WaitGroup
	defer attempts.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result[T])
	for {
		attempts.Go(func() { attempt(ctx, latency, lifetime, call, results) })
		overdue, stop := context.WithTimeout(ctx, latency.Timeout())
		select {
		case r := <-results:
			stop()
			return r.answer, r.err
		case <-overdue.Done():
			stop()
		}
		if ctx.Err() != nil {
			var none T
			return none, cakind.Wrap(cakind.KindUnknown, ctx.Err(), "await an answer")
		}
		onOverdue()
	}
}

// result is the result of one attempt.
type result[T any] struct {
	answer T
	err    error
}

// attempt makes one call and sends its result, unless there is none within the lifetime.
func attempt[T any](ctx context.Context, latency *Peak, lifetime time.Duration, call func(context.Context) (T, error), results chan<- result[T]) {
	callCtx, cancel := context.WithTimeout(ctx, lifetime)
	defer cancel()
	began := time.Now()
	answer, err := call(callCtx)
	if err == nil {
		latency.Observe(time.Since(began))
	}
	if err != nil && callCtx.Err() != nil {
		return
	}
	select {
	case results <- result[T]{answer, err}:
	case <-ctx.Done():
	}
}
