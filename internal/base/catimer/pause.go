package catimer

import (
	"context"
	"time"
)

// Pause waits for the time, unless the context ends first, whose cause it then
// returns.
func (s *Service) Pause(ctx context.Context, d time.Duration) error {
	after := s.After(d)
	defer after.Close()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-after.C:
		return nil
	}
}
