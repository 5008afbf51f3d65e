package catimer

import "time"

// Clock is a source of time. Ticks that are not received in time are dropped, and
// none is delivered after stop was called.
type Clock interface {
	Now() time.Time
	// Every delivers a tick in each period.
	Every(period time.Duration) (ticks <-chan time.Time, stop func())
	// After delivers one tick after the delay.
	After(delay time.Duration) (tick <-chan time.Time, stop func())
}

// systemClock is the system clock.
type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

func (systemClock) Every(period time.Duration) (<-chan time.Time, func()) {
	ticker := time.NewTicker(period)
	return ticker.C, ticker.Stop
}

func (systemClock) After(delay time.Duration) (<-chan time.Time, func()) {
	timer := time.NewTimer(delay)
	return timer.C, func() { timer.Stop() }
}
