package calaunch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/cadecide"
	"celeryarch.example/celeryarch/internal/core/casched"
)

// TestLooksFollowWhatWaits covers when the launcher looks at its timers, and
// when it polls other owners.
func TestLooksFollowWhatWaits(t *testing.T) {
	const owned, foreign = "u1", "u2"
	task := cawork.TaskRef{Job: "e1-1.1"}
	tests := []struct {
		name     string
		attempts []attempt
		unended  bool
		tick     time.Duration
		poll     time.Duration
	}{
		{name: "nothing", tick: calmPeriod, poll: calmPollPeriod},
		{"running here", []attempt{{id: "a", upstream: owned, phase: phaseRunning}}, false, calmPeriod, calmPollPeriod},
		{"running elsewhere", []attempt{{id: "a", upstream: foreign, phase: phaseRunning}}, false, calmPeriod, pollPeriod},
		{"start under way", []attempt{{id: "a", upstream: owned, phase: phaseSent}}, false, tickPeriod, calmPollPeriod},
		{"end to be recorded again", nil, true, tickPeriod, calmPollPeriod},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := NewLauncher(Config{
				Self: "e1", Shard: "e1-1", Timer: catimer.NewService(),
				Scheduler: cadecide.New(casched.DefaultPolicy(), func(v *casched.Violation) { t.Error(v) }),
			})
			l.table.Gain(owned, nil)
			for _, a := range test.attempts {
				a.task = task
				l.track(&a)
			}
			if test.unended {
				l.unended[task.Job] = struct{}{}
			}
			got := []time.Duration{l.nextTick().Sub(l.lastTick), l.pollPause()}
			if diff := cmp.Diff([]time.Duration{test.tick, test.poll}, got); diff != "" {
				t.Errorf("times to the next tick and between polls (-want +got):\n%s", diff)
			}
		})
	}
}

func TestAlarmMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		a := newAlarm(catimer.NewService())
		defer a.close()
		a.set(began.Add(time.Minute))
		a.set(began.Add(time.Second))
		a.set(began.Add(time.Second))
		<-a.ticks()
		if diff := cmp.Diff(time.Second, time.Since(began)); diff != "" {
			t.Errorf("time of the tick (-want +got):\n%s", diff)
		}
	})
}
