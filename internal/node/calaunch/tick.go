package calaunch

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// tickTimer delivers one tick at its deadline, which can be moved.
type tickTimer struct {
	service      *catimer.Service
	deadline     time.Time
	subscription *catimer.Subscription
}

func newTickTimer(service *catimer.Service) *tickTimer { return &tickTimer{service: service} }

// set moves the deadline. It does nothing if the deadline is unchanged.
func (t *tickTimer) set(deadline time.Time) {
	if t.subscription != nil && deadline.Equal(t.deadline) {
		return
	}
	t.close()
	t.deadline, t.subscription = deadline, t.service.After(deadline.Sub(t.service.Now()))
}

func (t *tickTimer) ticks() <-chan time.Time { return t.subscription.C }

func (t *tickTimer) close() {
	if t.subscription != nil {
		t.subscription.Close()
	}
}

// nextTick returns when the launcher runs its next tick.
func (l *Launcher) nextTick() time.Time {
	if l.isIdle() {
		return l.lastTick.Add(idleTickPeriod)
	}
	return l.lastTick.Add(tickPeriod)
}

// isIdle reports whether no work waits for a retry or for capacity. Running
// attempts need no ticks because events report their changes.
func (l *Launcher) isIdle() bool {
	if len(l.unrecordedSettlements) > 0 || len(l.unrecordedEnds) > 0 || len(l.spilling) > 0 {
		return false
	}
	for _, a := range l.attempts {
		if a.phase != phaseRunning {
			return false
		}
	}
	return l.queuedTasks() == 0
}

// queuedTasks returns the number of queued tasks.
func (l *Launcher) queuedTasks() int {
	total := 0
	for _, team := range l.policy.Teams() {
		for _, kind := range cawork.WorkKindValues() {
			total += l.Scheduler.QueueLength(team, kind)
		}
	}
	return total
}
