package catimer

import (
	"context"
	"time"
)

// Recur calls f immediately, and again whenever the delay that f returned has
// passed or wake delivers a value, until the context ends. An idle
// caller returns a long delay and then uses no processor time. The wake channel
// may be nil; it should have a buffer of one value, so that a wake-up during a
// call is not lost.
func (s *Service) Recur(ctx context.Context, wake <-chan struct{}, f func(ctx context.Context) time.Duration) {
	for ctx.Err() == nil {
		next := s.After(f(ctx))
		select {
		case <-ctx.Done():
		case <-wake:
		case <-next.C:
		}
		next.Close()
	}
}
