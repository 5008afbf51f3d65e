package catimer

import (
	"context"
	"time"
)

// Pause waits for the duration d. If the context ends first, Pause returns its
// cause.
func (s *Service) Pause(ctx context.Context, d time.Duration) error {
	sub := s.After(d)
	defer sub.Close()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-sub.C:
		return nil
	}
}
