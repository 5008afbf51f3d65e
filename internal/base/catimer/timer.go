// Package catimer provides a timer service that other packages use in place of
// the time package.
package catimer

import (
	"context"
	"sync"
	"time"
)

// Service provides the current time and subscriptions to ticks. A rate other
// than 1 makes its clock run fast or slow, with which tests simulate clock drift.
type Service struct {
	clock  Clock
	origin time.Time
	rate   float64
}

// NewService returns a service that uses the system clock.
func NewService() *Service { return NewDriftingService(1) }

// NewServiceWithClock returns a service that uses the given clock.
func NewServiceWithClock(c Clock) *Service { return &Service{clock: c, origin: c.Now(), rate: 1} }

// NewDriftingService returns a service whose clock advances rate times as fast
// as the system clock.
func NewDriftingService(rate float64) *Service {
	return &Service{clock: systemClock{}, origin: time.Now(), rate: rate}
}

// Now returns the current time of the service.
func (s *Service) Now() time.Time {
	now := s.clock.Now()
	if s.rate == 1 {
		return now
	}
	return s.origin.Add(time.Duration(float64(now.Sub(s.origin)) * s.rate))
}

// Every returns a subscription to a tick in each period. Ticks are dropped when
// the subscriber is too slow to receive them.
func (s *Service) Every(period time.Duration) *Subscription {
	ticks, stop := s.clock.Every(s.systemDuration(period))
	return &Subscription{C: ticks, stop: stop}
}

// After returns a subscription to one tick after the delay.
func (s *Service) After(delay time.Duration) *Subscription {
	tick, stop := s.clock.After(s.systemDuration(delay))
	return &Subscription{C: tick, stop: stop}
}

// Repeat calls f at each tick of the period until the context ends. Of the ticks
// during a call, one is kept and the others are dropped.
func (s *Service) Repeat(ctx context.Context, period time.Duration, f func(ctx context.Context)) {
	ticks := s.Every(period)
	defer ticks.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
			f(ctx)
		}
	}
}

func (s *Service) systemDuration(d time.Duration) time.Duration {
	return max(time.Duration(float64(d)/s.rate), 1)
}

// Subscription delivers ticks on C until it is closed.
type Subscription struct {
	// C delivers the ticks.
	C    <-chan time.Time
	once sync.Once
	stop func()
}

// Close ends the subscription. It may be called more than once.
func (s *Subscription) Close() { s.once.Do(s.stop) }
