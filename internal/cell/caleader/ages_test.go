package caleader

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caboard"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// steppedClock is a clock of elapsed time that a test moves, as a suspension does.
type steppedClock struct{ now time.Time }

func (c *steppedClock) Now() time.Time { return c.now }

func (c *steppedClock) Every(time.Duration) (<-chan time.Time, func()) { return nil, func() {} }

func (c *steppedClock) After(time.Duration) (<-chan time.Time, func()) { return nil, func() {} }

// loadedLeader returns a leader that has just appended, with one upstream.
func loadedLeader(clock *steppedClock) *Leader {
	l := New(Deps{
		Log: zerolog.Nop(), Timer: catimer.NewServiceOf(clock), Wall: func() int64 { return clock.now.UnixMilli() },
	}, Claim{VM: "entry-1"}, 7, 7)
	l.loaded = true
	l.board.SetUpstreams([]caspec.Upstream{{ID: "up-1", Address: "a", Born: 1}})
	l.board.Observe(caboard.Report{Upstream: "up-1", Born: 1, SentAt: clock.now, ReceivedAt: clock.now, ClockMS: 5000})
	return l
}

// TestSuspendedLeaderActsOnNothing suspends a leader for longer than its permissions
// last: right after that it grants no lease and does not deny any job.
func TestSuspendedLeaderActsOnNothing(t *testing.T) {
	clock := &steppedClock{now: time.Unix(1000, 0)}
	l := loadedLeader(clock)
	if lease, _ := l.nextLease("up-1"); lease.UntilMS == 0 {
		t.Error("a leader that has just appended grants no lease")
	}
	if _, err := l.Phase("0123456789abcdef"); cakind.Of(err) != cakind.KindNotFound {
		t.Errorf("a leader that has just appended says %v of a job that is not known", err)
	}
	clock.now = clock.now.Add(5 * time.Second)
	lease, _ := l.nextLease("up-1")
	if diff := cmp.Diff(int64(0), lease.UntilMS); diff != "" {
		t.Errorf("end of the lease after the suspension (-want +got):\n%s", diff)
	}
	_, err := l.Phase("0123456789abcdef")
	if diff := cmp.Diff(cakind.KindUnavailable, cakind.Of(err)); diff != "" {
		t.Errorf("kind of the answer about a job after the suspension (-want +got):\n%s", diff)
	}
	if _, err := l.cancel(cawork.JobID("0123456789abcdef")); cakind.Of(err) != cakind.KindUnavailable {
		t.Errorf("a cancellation after the suspension says %v", err)
	}
}

func TestSlowStoreIsNotAway(t *testing.T) {
	tests := []struct {
		name       string
		last, want time.Duration
	}{
		{"fast", 12 * time.Millisecond, 500 * time.Millisecond},
		{"slow", 700 * time.Millisecond, 1750 * time.Millisecond},
		{"after an outage", 6 * time.Second, 1800 * time.Millisecond},
	}
	for _, test := range tests {
		if diff := cmp.Diff(test.want, awayAfter(test.last)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", test.name, diff)
		}
	}
}
