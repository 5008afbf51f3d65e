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

// manualClock is a monotonic clock that a test advances, as a suspension of the
// process does.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

func (c *manualClock) Every(time.Duration) (<-chan time.Time, func()) { return nil, func() {} }

func (c *manualClock) After(time.Duration) (<-chan time.Time, func()) { return nil, func() {} }

// loadedLeader returns a leader that has just appended, with one upstream.
func loadedLeader(clock *manualClock) *Leader {
	l := New(Deps{
		Log: zerolog.Nop(), Timer: catimer.NewServiceWithClock(clock), WallClockMS: func() int64 { return clock.now.UnixMilli() },
	}, Claim{VM: "entry-1"}, 7, 7)
	l.loaded = true
	l.planner.SetUpstreams([]caspec.Upstream{{ID: "up-1", Address: "a", Incarnation: 1}})
	l.planner.ApplyReport(caboard.Report{Upstream: "up-1", Born: 1, SentAt: clock.now, ReceivedAt: clock.now, ClockMS: 5000})
	return l
}

// TestSuspendedLeaderGrantsNoLeaseAndDeniesNoJob suspends a leader for longer than
// its claim is valid, so that another leader may have taken over. Right after that,
// it must not grant a lease or answer that a job does not exist.
func TestSuspendedLeaderGrantsNoLeaseAndDeniesNoJob(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	l := loadedLeader(clock)
	if lease, _ := l.nextLease("up-1"); lease.EndMS == 0 {
		t.Error("a leader that has just appended grants no lease")
	}
	if _, err := l.Phase("0123456789abcdef"); cakind.Of(err) != cakind.KindNotFound {
		t.Errorf("error for an unknown job from a leader that has just appended: %v", err)
	}
	clock.now = clock.now.Add(5 * time.Second)
	lease, _ := l.nextLease("up-1")
	if diff := cmp.Diff(int64(0), lease.EndMS); diff != "" {
		t.Errorf("end of the lease after the suspension (-want +got):\n%s", diff)
	}
	_, err := l.Phase("0123456789abcdef")
	if diff := cmp.Diff(cakind.KindUnavailable, cakind.Of(err)); diff != "" {
		t.Errorf("error kind for an unknown job after the suspension (-want +got):\n%s", diff)
	}
	if _, err := l.cancel(cawork.JobID("0123456789abcdef")); cakind.Of(err) != cakind.KindUnavailable {
		t.Errorf("cancellation after the suspension: %v", err)
	}
}

// TestSlowStoreIsNotSuspected guards against rejecting submissions because appends
// are slow but succeed.
func TestSlowStoreIsNotSuspected(t *testing.T) {
	tests := []struct {
		name       string
		last, want time.Duration
	}{
		{"fast", 12 * time.Millisecond, 500 * time.Millisecond},
		{"slow", 700 * time.Millisecond, 1750 * time.Millisecond},
		{"after an outage", 6 * time.Second, 1800 * time.Millisecond},
	}
	for _, test := range tests {
		if diff := cmp.Diff(test.want, storeSuspectTime(test.last)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", test.name, diff)
		}
	}
}
