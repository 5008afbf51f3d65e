package catimer

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// stepLeast is by how much the time of day must have moved against the steady
// clock before the machine is asked whether it was suspended.
const stepLeast = 5 * time.Millisecond

// ElapsedClock is the clock of the machine, and counts the time for which the
// machine was suspended. Its times are made for differences: they follow neither
// the steps of the time of day nor, unlike time.Now, stand still in a suspension.
// Ticks come by the steady clock.
type ElapsedClock struct {
	machineClock
	now func() time.Time
	// sinceBoot returns the time since the machine was started, with suspensions.
	sinceBoot func() (time.Duration, error)
	origin    time.Time
	bootAt    time.Duration

	mu sync.Mutex
	// offset is the time of day against the steady clock, both since the origin.
	offset time.Duration
	// suspended is how long the machine was suspended since the origin.
	suspended time.Duration
}

// NewElapsedClock returns the clock of the machine. Where the machine does not
// tell the time since its start, suspensions are not counted.
func NewElapsedClock() *ElapsedClock { return newElapsedClock(time.Now, readBootTime) }

func newElapsedClock(now func() time.Time, sinceBoot func() (time.Duration, error)) *ElapsedClock {
	c := &ElapsedClock{now: now, sinceBoot: sinceBoot, origin: now()}
	// Without a reading now there is nothing to compare later ones with.
	if at, err := sinceBoot(); err == nil {
		c.bootAt = at
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

// Now returns the time of day at the origin and what has elapsed since.
func (c *ElapsedClock) Now() time.Time {
	now := c.now()
	steady := now.Sub(c.origin)
	offset := now.Round(0).Sub(c.origin.Round(0)) - steady
	return c.origin.Round(0).Add(steady + c.suspendedAt(steady, offset))
}

// suspendedAt returns how long the machine was suspended. The machine is asked
// only when the time of day has moved against the steady clock, as it does in a
// suspension, so that most readings cost no system call.
func (c *ElapsedClock) suspendedAt(steady, offset time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sinceBoot == nil || (offset-c.offset).Abs() < stepLeast {
		return c.suspended
	}
	c.offset = offset
	// A failed reading leaves what was counted before.
	if at, err := c.sinceBoot(); err == nil {
		c.suspended = max(c.suspended, at-c.bootAt-steady)
	}
	return c.suspended
}
