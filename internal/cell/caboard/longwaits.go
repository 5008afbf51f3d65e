package caboard

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

const (
	// longWaitLogInterval is the time between two scans for steps that wait long.
	longWaitLogInterval = 2 * time.Second
	// minLongWait is how long a ready step waits before it is logged.
	minLongWait = 2 * time.Second
	// maxLoggedWaits bounds the log lines of one scan.
	maxLoggedWaits = 12
)

// logLongWaits logs the state of steps that have been ready for long and still wait, in the
// order in which they are placed.
func (b *Planner) logLongWaits() {
	if b.now.Monotonic.Sub(b.longWaitsLoggedAt) < longWaitLogInterval {
		return
	}
	b.longWaitsLoggedAt = b.now.Monotonic
	logged, position := 0, 0
	for _, s := range b.steps {
		if !s.ready || s.waitingTasks == 0 || b.now.Monotonic.Sub(s.readyAt) < minLongWait {
			continue
		}
		position++
		if q, ok := b.queueOf(s.job); ok && logged < maxLoggedWaits {
			logged++
			b.logLongWait(s, q, position)
		}
	}
}

func (b *Planner) logLongWait(s *step, q caspec.Queue, position int) {
	usable, permitted, fitting := 0, 0, 0
	freeShare, reservedShare := 0.0, 0.0
	if p := b.pools[q.Pool]; p != nil {
		freeShare, reservedShare = float64(p.free.CPU)/float64(p.capacity), p.reservedCPU/float64(p.capacity)
		for _, u := range b.usableUpstreams(s, q, p) {
			usable++
			if _, ok := b.mayPlace(s, q, u); ok {
				permitted++
				fitting += fittingTasks(u.free(), s.spec)
			}
		}
	}
	caevent.Info(b.log, caevent.StepWaits).Str("job", string(s.job.Submission.ID)).Int("step", s.number).
		Str("queue", string(q.Name)).Str("team", string(s.job.Submission.Team)).Int("position", position).
		Dur("since_ready", b.now.Monotonic.Sub(s.readyAt)).Int("lateness", s.lateness).Int("waiting", s.waitingTasks).
		Int("runs", s.liveRuns).Int("usable", usable).Int("permitted", permitted).Int("room", fitting).
		Bool("within_limit", b.withinLimit(s.job.Submission.Team, s.spec.Size())).Bool("asking", s.approvals.requestPending).
		Bool("held", s.reservation != nil).Bool("probation", s.job.onProbation).Bool("excess", s.job.OverRate).Float64("pool_free", freeShare).Float64("pool_held", reservedShare).
		Float64("pool_area", b.partitionOf(q.Pool).share).Send()
}
