// Package catimer holds the timer service that parts subscribe to in place of
// calling the time package themselves.
package catimer

import (
	"context"
	"sync"
	"time"
)

// Service hands out the time and subscriptions to ticks. A rate other than 1
// makes its clock run fast or slow, which tests use to bring about clock
// drift.
type Service struct {
	clock  Clock
	origin time.Time
	rate   float64
}

// NewService returns a service that follows the clock of the machine.
func NewService() *Service { return NewDriftingService(1) }

// NewServiceOf returns a service that follows the clock.
func NewServiceOf(c Clock) *Service { return &Service{clock: c, origin: c.Now(), rate: 1} }

// NewDriftingService returns a service whose clock advances rate times as fast
// as the clock of the machine.
func NewDriftingService(rate float64) *Service {
	return &Service{clock: machineClock{}, origin: time.Now(), rate: rate}
}

// Now returns the time of the service.
func (s *Service) Now() time.Time {
	now := s.clock.Now()
	if s.rate == 1 {
		return now
	}
	return s.origin.Add(time.Duration(float64(now.Sub(s.origin)) * s.rate))
}

// Every returns a subscription to a tick in each period. Ticks that the
// subscriber is too slow to take are dropped.
func (s *Service) Every(period time.Duration) *Subscription {
	ticks, stop := s.clock.Every(s.machineTime(period))
	return &Subscription{C: ticks, stop: stop}
}

// After returns a subscription to one tick after the delay.
func (s *Service) After(delay time.Duration) *Subscription {
	tick, stop := s.clock.After(s.machineTime(delay))
	return &Subscription{C: tick, stop: stop}
}

// Repeat calls act at each tick of the period until the context ends. Ticks
// during a call are dropped but for one.
func (s *Service) Repeat(ctx context.Context, period time.Duration, act func(ctx context.Context)) {
	ticks := s.Every(period)
	defer ticks.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
			act(ctx)
		}
	}
}

func (s *Service) machineTime(d time.Duration) time.Duration {
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
