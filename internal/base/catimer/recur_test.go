package catimer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/catimer"
)

func TestRecurCallsWhenDueOrWoken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 9500*time.Millisecond)
		defer cancel()
		start := time.Now()
		wake := make(chan struct{}, 1)
		time.AfterFunc(5*time.Second, func() { wake <- struct{}{} })
		var calls []time.Duration
		catimer.NewService().Recur(ctx, wake, func(context.Context) time.Duration {
			calls = append(calls, time.Since(start))
			return time.Duration(len(calls)) * time.Second
		})
		want := []time.Duration{0, time.Second, 3 * time.Second, 5 * time.Second, 9 * time.Second}
		if diff := cmp.Diff(want, calls); diff != "" {
			t.Errorf("times of the calls (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(9500*time.Millisecond, time.Since(start)); diff != "" {
			t.Errorf("time of return (-want +got):\n%s", diff)
		}
	})
}

func TestRecurFollowsDriftingClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
		defer cancel()
		calls := 0
		catimer.NewDriftingService(2).Recur(ctx, nil, func(context.Context) time.Duration {
			calls++
			return 2 * time.Second
		})
		if diff := cmp.Diff(3, calls); diff != "" {
			t.Errorf("calls (-want +got):\n%s", diff)
		}
	})
}
