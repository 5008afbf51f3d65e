package catimer

import (
	"context"
	"time"
)

// Recur calls act at once, and again whenever the time that act returned is
// over or wake delivers, until the context ends. A part that has nothing to
// wait for thus costs nothing. The wake channel may be nil; it should hold one
// value, so that a wake-up during a call is not lost.
func (s *Service) Recur(ctx context.Context, wake <-chan struct{}, act func(ctx context.Context) time.Duration) {
	for ctx.Err() == nil {
		next := s.After(act(ctx))
		select {
		case <-ctx.Done():
		case <-wake:
		case <-next.C:
		}
		next.Close()
	}
}
