package catimer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/catimer"
)

func TestRepeatActsAtEachTickUntilTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		began := time.Now()
		var acts []time.Duration
		catimer.NewService().Repeat(ctx, time.Second, func(context.Context) { acts = append(acts, time.Since(began)) })
		if diff := cmp.Diff([]time.Duration{time.Second, 2 * time.Second, 3 * time.Second}, acts); diff != "" {
			t.Errorf("times of the acts (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(3500*time.Millisecond, time.Since(began)); diff != "" {
			t.Errorf("end (-want +got):\n%s", diff)
		}
	})
}
