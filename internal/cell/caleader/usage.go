package caleader

import (
	"context"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

const (
	// usagePeriod is the time between two checks of how the lock is used.
	usagePeriod = 2 * time.Second
	// busyWait is the wait for the lock, and busyShare the share of the time in which
	// it is held, from which on a leader counts as busy.
	busyWait  = 100 * time.Millisecond
	busyShare = 0.5
	// slowCancel is the duration of a cancellation that is logged.
	slowCancel = 500 * time.Millisecond
)

// usageLoop logs what the leader spends its time on while it is busy.
func (l *Leader) usageLoop(ctx context.Context) error {
	last := l.Timer.Now()
	for {
		if err := l.Timer.Pause(ctx, usagePeriod); err != nil {
			return err
		}
		now := l.Timer.Now()
		l.reportUsage(now.Sub(last))
		last = now
	}
}

// reportUsage reports the use of the lock in the last span.
func (l *Leader) reportUsage(span time.Duration) {
	l.lock(partReport)
	usage := l.mu.takeUsage()
	waiting := len(l.waiters) + len(l.inFlightWaiters)
	l.mu.unlock()
	var held, longestWait time.Duration
	for p, u := range usage {
		held += u.held
		longestWait = max(longestWait, u.longestWait)
		scope := l.Scope.SubScope("lock_" + partNames[p])
		scope.Timer("longest_wait").Record(u.longestWait)
		scope.Gauge("share").Update(float64(u.held) / float64(span))
	}
	if longestWait < busyWait && float64(held) < busyShare*float64(span) {
		return
	}
	line := caevent.Info(l.Log, caevent.LeaderBusy).Int64("token", l.token).Dur("span", span).Dur("held", held).Int("waiting", waiting)
	for p, u := range usage {
		line = line.Int(partNames[p]+"_count", u.count).Dur(partNames[p]+"_held", u.held).
			Dur(partNames[p]+"_longest", u.longestHold).Dur(partNames[p]+"_waited", u.longestWait)
	}
	line.Send()
}

// reportCancel reports for how long a cancellation waited for the lock and for the append,
// and logs slow ones.
func (l *Leader) reportCancel(id cawork.JobID, lockWait, appendWait time.Duration, err error) {
	scope := l.Scope.SubScope("cancel")
	scope.Timer("lock_wait").Record(lockWait)
	scope.Timer("append_wait").Record(appendWait)
	if lockWait+appendWait < slowCancel {
		return
	}
	caevent.Info(l.Log, caevent.CancelWaited).Str("job", string(id)).Int64("token", l.token).
		Dur("lock_wait", lockWait).Dur("append_wait", appendWait).Err(err).Send()
}
