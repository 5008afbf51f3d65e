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

// TestTickAndPollIntervals covers how the tick and poll intervals depend on
// open attempts and pending retries.
func TestTickAndPollIntervals(t *testing.T) {
	const owned, unowned = "u1", "u2"
	task := cawork.TaskRef{Job: "e1-1.1"}
	tests := []struct {
		name          string
		attempts      []attempt
		unrecordedEnd bool
		tick          time.Duration
		poll          time.Duration
	}{
		{name: "no attempts", tick: idleTickPeriod, poll: idlePollPeriod},
		{"running on an owned upstream", []attempt{{id: "a", upstream: owned, phase: phaseRunning}}, false, idleTickPeriod, idlePollPeriod},
		{"running on an upstream of another owner", []attempt{{id: "a", upstream: unowned, phase: phaseRunning}}, false, idleTickPeriod, pollPeriod},
		{"start in flight", []attempt{{id: "a", upstream: owned, phase: phaseSent}}, false, tickPeriod, idlePollPeriod},
		{"unrecorded end of a job", nil, true, tickPeriod, idlePollPeriod},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := NewLauncher(Config{
				Self: "e1", Shard: "e1-1", Timer: catimer.NewService(),
				Scheduler: cadecide.New(casched.DefaultPolicy(), func(v *casched.Violation) { t.Error(v) }),
			})
			l.table.AddUpstream(owned, nil)
			for _, a := range test.attempts {
				a.task = task
				l.track(&a)
			}
			if test.unrecordedEnd {
				l.unrecordedEnds[task.Job] = struct{}{}
			}
			got := []time.Duration{l.nextTick().Sub(l.lastTick), l.pollInterval()}
			if diff := cmp.Diff([]time.Duration{test.tick, test.poll}, got); diff != "" {
				t.Errorf("tick and poll intervals (-want +got):\n%s", diff)
			}
		})
	}
}

func TestTickTimerReset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		timer := newTickTimer(catimer.NewService())
		defer timer.close()
		timer.set(start.Add(time.Minute))
		timer.set(start.Add(time.Second))
		timer.set(start.Add(time.Second))
		<-timer.ticks()
		if diff := cmp.Diff(time.Second, time.Since(start)); diff != "" {
			t.Errorf("time of the tick (-want +got):\n%s", diff)
		}
	})
}
