package calatency

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cakind"
)

// testBounds are the bounds of the timeouts in tests.
var testBounds = Bounds{Min: 500 * time.Millisecond, Max: 2 * time.Second}

// TestCallsToSlowPeersAreAwaited guards against a timeout that stays below the latency of all peers.
func TestCallsToSlowPeersAreAwaited(t *testing.T) {
	q := NewQuantile(testBounds)
	for range 30 {
		q.Observe(min(900*time.Millisecond, q.Timeout()))
	}
	if got := q.Timeout(); got <= 900*time.Millisecond {
		t.Errorf("timeout %v where all calls take 900 ms", got)
	}
	for range 200 {
		q.Observe(5 * time.Millisecond)
	}
	if diff := cmp.Diff(testBounds.Min, q.Timeout()); diff != "" {
		t.Errorf("timeout once they are fast again (-want +got):\n%s", diff)
	}
}

// TestLostAnswersKeepTimeoutShort covers peers of which a fifth leave calls unanswered.
func TestLostAnswersKeepTimeoutShort(t *testing.T) {
	q := NewQuantile(testBounds)
	for i := range 1000 {
		took := 5 * time.Millisecond
		if i%5 == 0 {
			took = q.Timeout()
		}
		q.Observe(took)
	}
	if diff := cmp.Diff(testBounds.Min, q.Timeout()); diff != "" {
		t.Errorf("timeout (-want +got):\n%s", diff)
	}
}

// TestPeakTimeoutFollowsLastAnswers replays answers that get slow and fast again.
func TestPeakTimeoutFollowsLastAnswers(t *testing.T) {
	p := NewPeak(testBounds)
	var got []time.Duration
	for _, took := range []time.Duration{5 * time.Millisecond, 600 * time.Millisecond, 5 * time.Second, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0} {
		p.Observe(took)
		got = append(got, p.Timeout())
	}
	want := []time.Duration{testBounds.Min, 1200 * time.Millisecond, testBounds.Max, testBounds.Max, testBounds.Min}
	if diff := cmp.Diff(want, append(got[:4], got[len(got)-1])); diff != "" {
		t.Errorf("timeouts (-want +got):\n%s", diff)
	}
}

// hedged makes a call whose attempts take the latencies in turn, and returns how many were made and how
// long it took.
func hedged(ctx context.Context, latencies ...time.Duration) (attempts int, took time.Duration, err error) {
	began := time.Now()
	next := make(chan time.Duration, len(latencies))
	for _, latency := range latencies {
		next <- latency
	}
	_, err = Hedge(ctx, NewPeak(testBounds), 3*time.Second, func() { attempts++ }, func(ctx context.Context) (int, error) {
		select {
		case <-time.After(<-next):
			return 0, nil
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	})
	return attempts + 1, time.Since(began), err
}

// TestLateAnswerCounts guards against a call that is repeated without end though each is answered, late.
func TestLateAnswerCounts(t *testing.T) {
	type outcome struct {
		Attempts int
		Took     time.Duration
	}
	tests := map[string]struct {
		latencies []time.Duration
		want      outcome
	}{
		"late answer":       {[]time.Duration{700 * time.Millisecond, time.Hour}, outcome{2, 700 * time.Millisecond}},
		"lost answer":       {[]time.Duration{time.Hour, 5 * time.Millisecond}, outcome{2, 505 * time.Millisecond}},
		"end of a lifetime": {[]time.Duration{time.Hour, time.Hour, time.Hour, time.Hour, time.Hour, time.Hour, time.Hour, 0}, outcome{8, 3500 * time.Millisecond}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				attempts, took, err := hedged(t.Context(), test.latencies...)
				if err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff(test.want, outcome{attempts, took}); diff != "" {
					t.Errorf("(-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestHedgeEndsWithItsContext covers a peer that never answers.
func TestHedgeEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
		defer cancel()
		_, took, err := hedged(ctx, time.Hour, time.Hour, time.Hour)
		if diff := cmp.Diff(cakind.KindUnknown, cakind.Of(err)); diff != "" {
			t.Errorf("kind of the error %v (-want +got):\n%s", err, diff)
		}
		if diff := cmp.Diff(700*time.Millisecond, took); diff != "" {
			t.Errorf("duration (-want +got):\n%s", diff)
		}
	})
}
