package catimer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/catimer"
)

func TestRepeatCallsAtEachTickUntilContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		start := time.Now()
		var calls []time.Duration
		catimer.NewService().Repeat(ctx, time.Second, func(context.Context) { calls = append(calls, time.Since(start)) })
		if diff := cmp.Diff([]time.Duration{time.Second, 2 * time.Second, 3 * time.Second}, calls); diff != "" {
			t.Errorf("times of the calls (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(3500*time.Millisecond, time.Since(start)); diff != "" {
			t.Errorf("time of return (-want +got):\n%s", diff)
		}
	})
}
