package catimer

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// machine is a machine whose clocks a test moves. Its readings lack a monotonic
// part, so that the time of day stands in for the steady clock where both agree.
type machine struct {
	now  time.Time
	boot time.Duration
	// asked counts the readings of the time since the start.
	asked int
	err   error
}

func (m *machine) sinceBoot() (time.Duration, error) {
	m.asked++
	return m.boot, m.err
}

// TestSuspensionIsCounted drives the decision with the two clocks as a machine
// shows them: steady stands still in a suspension, the time of day does not.
func TestSuspensionIsCounted(t *testing.T) {
	m := &machine{now: time.Unix(1000, 0), boot: time.Hour}
	c := newElapsedClock(func() time.Time { return m.now }, m.sinceBoot)
	steps := []struct {
		name           string
		steady, offset time.Duration
		boot           time.Duration
		want           time.Duration
	}{
		{"runs", time.Second, 0, time.Hour + time.Second, 0},
		{"suspended for 7 s", time.Second, 7 * time.Second, time.Hour + 8*time.Second, 7 * time.Second},
		{"runs on", 3 * time.Second, 7 * time.Second, time.Hour + 10*time.Second, 7 * time.Second},
		{"the time of day jumps ahead", 4 * time.Second, 60 * time.Second, time.Hour + 11*time.Second, 7 * time.Second},
		{"and back", 5 * time.Second, 7 * time.Second, time.Hour + 12*time.Second, 7 * time.Second},
		{"suspended again for 2 s", 5 * time.Second, 9 * time.Second, time.Hour + 14*time.Second, 9 * time.Second},
	}
	for _, s := range steps {
		m.boot = s.boot
		if diff := cmp.Diff(s.want, c.suspendedAt(s.steady, s.offset)); diff != "" {
			t.Errorf("%s: suspended (-want +got):\n%s", s.name, diff)
		}
	}
}

func TestSteadyMachineIsNotAsked(t *testing.T) {
	m := &machine{now: time.Unix(1000, 0)}
	c := newElapsedClock(func() time.Time { return m.now }, m.sinceBoot)
	for range 100 {
		m.now = m.now.Add(10 * time.Millisecond)
		c.Now()
	}
	if diff := cmp.Diff(1, m.asked); diff != "" {
		t.Errorf("readings of the time since the start (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(time.Unix(1001, 0), c.Now()); diff != "" {
		t.Errorf("time (-want +got):\n%s", diff)
	}
}

func TestMachineWithoutBootTimeRunsBySteadyTime(t *testing.T) {
	m := &machine{now: time.Unix(1000, 0), err: errors.New("not supported")}
	c := newElapsedClock(func() time.Time { return m.now }, m.sinceBoot)
	if diff := cmp.Diff(time.Duration(0), c.suspendedAt(time.Second, time.Minute)); diff != "" {
		t.Errorf("suspended (-want +got):\n%s", diff)
	}
}

func TestElapsedClockOfThisMachineRuns(t *testing.T) {
	c := NewElapsedClock()
	before := c.Now()
	time.Sleep(2 * time.Millisecond)
	if took := c.Now().Sub(before); took < 2*time.Millisecond || took > time.Minute {
		t.Errorf("2 ms took %v by the elapsed clock", took)
	}
}
