package catimer

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// minClockStep is the smallest shift between the wall clock and the monotonic
// clock after which ElapsedClock reads the boot time clock again.
const minClockStep = 5 * time.Millisecond

// ElapsedClock is a system clock for measuring elapsed time. It counts the time
// for which the machine was suspended, unlike the monotonic clock of time.Now, and
// ignores steps of the wall clock. Its ticks follow the monotonic clock.
type ElapsedClock struct {
	systemClock
	now func() time.Time
	// sinceBoot returns the time since the machine booted, including suspensions.
	sinceBoot       func() (time.Duration, error)
	origin          time.Time
	originSinceBoot time.Duration

	mu sync.Mutex
	// offset is the wall clock time minus the monotonic time since the origin, as
	// of the last reading of sinceBoot.
	offset time.Duration
	// suspended is the time for which the machine was suspended since the origin.
	suspended time.Duration
}

// NewElapsedClock returns an ElapsedClock that starts now. Suspensions are not
// counted where the time since boot is unavailable.
func NewElapsedClock() *ElapsedClock { return newElapsedClock(time.Now, readBootTime) }

func newElapsedClock(now func() time.Time, sinceBoot func() (time.Duration, error)) *ElapsedClock {
	c := &ElapsedClock{now: now, sinceBoot: sinceBoot, origin: now()}
	// Later readings are relative to the first one. Without it they are useless.
	if at, err := sinceBoot(); err == nil {
		c.originSinceBoot = at
	} else {
		c.sinceBoot = nil
	}
	return c
}

func readBootTime() (time.Duration, error) {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		return 0, err
	}
	return time.Duration(at.Nano()), nil
}

// Now returns the wall clock time at the origin plus the time elapsed since then.
func (c *ElapsedClock) Now() time.Time {
	now := c.now()
	monotonic := now.Sub(c.origin)
	offset := now.Round(0).Sub(c.origin.Round(0)) - monotonic
	return c.origin.Round(0).Add(monotonic + c.suspendedTime(monotonic, offset))
}

// suspendedTime returns how long the machine was suspended since the origin. It
// reads the boot time clock only when the wall clock has shifted against the
// monotonic clock, as it does in a suspension, so that most calls need no system
// call.
func (c *ElapsedClock) suspendedTime(monotonic, offset time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sinceBoot == nil || (offset-c.offset).Abs() < minClockStep {
		return c.suspended
	}
	c.offset = offset
	// A failed reading keeps the previous count.
	if at, err := c.sinceBoot(); err == nil {
		c.suspended = max(c.suspended, at-c.originSinceBoot-monotonic)
	}
	return c.suspended
}
