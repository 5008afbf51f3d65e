package catimer

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// fakeMachine provides clocks that a test sets. Its times have no monotonic
// reading, so that ElapsedClock uses the wall clock as the monotonic clock too.
type fakeMachine struct {
	now  time.Time
	boot time.Duration
	// bootReads counts the calls of sinceBoot.
	bootReads int
	err       error
}

func (m *fakeMachine) sinceBoot() (time.Duration, error) {
	m.bootReads++
	return m.boot, m.err
}

// TestSuspendedTime passes the readings of a machine before and after suspensions
// and steps of the wall clock: in a suspension the monotonic clock stops and the
// wall clock does not.
func TestSuspendedTime(t *testing.T) {
	m := &fakeMachine{now: time.Unix(1000, 0), boot: time.Hour}
	c := newElapsedClock(func() time.Time { return m.now }, m.sinceBoot)
	steps := []struct {
		name              string
		monotonic, offset time.Duration
		boot              time.Duration
		want              time.Duration
	}{
		{"running", time.Second, 0, time.Hour + time.Second, 0},
		{"suspended for 7 s", time.Second, 7 * time.Second, time.Hour + 8*time.Second, 7 * time.Second},
		{"keeps running", 3 * time.Second, 7 * time.Second, time.Hour + 10*time.Second, 7 * time.Second},
		{"wall clock steps forward", 4 * time.Second, 60 * time.Second, time.Hour + 11*time.Second, 7 * time.Second},
		{"wall clock steps back", 5 * time.Second, 7 * time.Second, time.Hour + 12*time.Second, 7 * time.Second},
		{"suspended again for 2 s", 5 * time.Second, 9 * time.Second, time.Hour + 14*time.Second, 9 * time.Second},
	}
	for _, s := range steps {
		m.boot = s.boot
		if diff := cmp.Diff(s.want, c.suspendedTime(s.monotonic, s.offset)); diff != "" {
			t.Errorf("%s: suspended (-want +got):\n%s", s.name, diff)
		}
	}
}

func TestBootTimeIsReadOnlyAfterClockStep(t *testing.T) {
	m := &fakeMachine{now: time.Unix(1000, 0)}
	c := newElapsedClock(func() time.Time { return m.now }, m.sinceBoot)
	for range 100 {
		m.now = m.now.Add(10 * time.Millisecond)
		c.Now()
	}
	if diff := cmp.Diff(1, m.bootReads); diff != "" {
		t.Errorf("readings of the time since boot (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(time.Unix(1001, 0), c.Now()); diff != "" {
		t.Errorf("time (-want +got):\n%s", diff)
	}
}

func TestElapsedClockWithoutBootTime(t *testing.T) {
	m := &fakeMachine{now: time.Unix(1000, 0), err: errors.New("not supported")}
	c := newElapsedClock(func() time.Time { return m.now }, m.sinceBoot)
	if diff := cmp.Diff(time.Duration(0), c.suspendedTime(time.Second, time.Minute)); diff != "" {
		t.Errorf("suspended (-want +got):\n%s", diff)
	}
}

func TestElapsedClockOnThisMachine(t *testing.T) {
	c := NewElapsedClock()
	before := c.Now()
	time.Sleep(2 * time.Millisecond)
	if took := c.Now().Sub(before); took < 2*time.Millisecond || took > time.Minute {
		t.Errorf("2 ms took %v by the elapsed clock", took)
	}
}
