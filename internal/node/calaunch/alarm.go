package calaunch

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// alarm delivers a tick at the time that was set last.
type alarm struct {
	timer *catimer.Service
	at    time.Time
	wait  *catimer.Subscription
}

func newAlarm(timer *catimer.Service) *alarm { return &alarm{timer: timer} }

// set moves the alarm. The time that is set already costs nothing.
func (a *alarm) set(at time.Time) {
	if a.wait != nil && at.Equal(a.at) {
		return
	}
	a.close()
	a.at, a.wait = at, a.timer.After(at.Sub(a.timer.Now()))
}

func (a *alarm) ticks() <-chan time.Time { return a.wait.C }

func (a *alarm) close() {
	if a.wait != nil {
		a.wait.Close()
	}
}

// nextTick returns when the timers of the launcher are to be looked at again.
func (l *Launcher) nextTick() time.Time {
	if l.isCalm() {
		return l.lastTick.Add(calmPeriod)
	}
	return l.lastTick.Add(tickPeriod)
}

// isCalm reports whether nothing waits for a retry or for room. What runs on
// upstreams reports its changes by events.
func (l *Launcher) isCalm() bool {
	if len(l.unsent) > 0 || len(l.unended) > 0 || len(l.spilling) > 0 {
		return false
	}
	for _, a := range l.attempts {
		if a.phase != phaseRunning {
			return false
		}
	}
	return l.queued() == 0
}

// queued returns the number of queued tasks.
func (l *Launcher) queued() int {
	queued := 0
	for _, team := range l.policy.Teams() {
		for _, kind := range cawork.WorkKindValues() {
			queued += l.Scheduler.QueueLength(team, kind)
		}
	}
	return queued
}
