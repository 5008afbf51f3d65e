package catimer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/catimer"
)

func TestRecurActsWhenDueOrWoken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 9500*time.Millisecond)
		defer cancel()
		began := time.Now()
		wake := make(chan struct{}, 1)
		time.AfterFunc(5*time.Second, func() { wake <- struct{}{} })
		var acts []time.Duration
		catimer.NewService().Recur(ctx, wake, func(context.Context) time.Duration {
			acts = append(acts, time.Since(began))
			return time.Duration(len(acts)) * time.Second
		})
		want := []time.Duration{0, time.Second, 3 * time.Second, 5 * time.Second, 9 * time.Second}
		if diff := cmp.Diff(want, acts); diff != "" {
			t.Errorf("times of the acts (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(9500*time.Millisecond, time.Since(began)); diff != "" {
			t.Errorf("end (-want +got):\n%s", diff)
		}
	})
}

func TestRecurActsInTimeOfADriftingClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
		defer cancel()
		acts := 0
		catimer.NewDriftingService(2).Recur(ctx, nil, func(context.Context) time.Duration {
			acts++
			return 2 * time.Second
		})
		if diff := cmp.Diff(3, acts); diff != "" {
			t.Errorf("acts (-want +got):\n%s", diff)
		}
	})
}
