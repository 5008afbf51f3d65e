package caboard

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

const (
	// explainPeriod is the time between two looks for steps that wait long.
	explainPeriod = 2 * time.Second
	// explainAfter is how long a step waits before it is explained.
	explainAfter = 2 * time.Second
	// explainMost bounds the lines of one look.
	explainMost = 12
)

// explain writes why steps wait that have been ready for long, the most urgent
// first.
func (b *Board) explain() {
	if b.now.Steady.Sub(b.explainedAt) < explainPeriod {
		return
	}
	b.explainedAt = b.now.Steady
	lines, waiting := 0, 0
	for _, s := range b.steps {
		if !s.ready || s.waitingTasks == 0 || b.now.Steady.Sub(s.readyAt) < explainAfter {
			continue
		}
		waiting++
		if q, ok := b.queueOf(s.job); ok && lines < explainMost {
			lines++
			b.explainStep(s, q, waiting)
		}
	}
}

func (b *Board) explainStep(s *step, q caspec.Queue, position int) {
	approved, valid, room := 0, 0, 0
	free, held := 0.0, 0.0
	if p := b.pools[q.Pool]; p != nil {
		free, held = float64(p.free.CPU)/float64(p.capacity), p.reservedCPU/float64(p.capacity)
		for _, u := range b.usableUpstreams(s, q, p) {
			approved++
			if _, ok := b.mayPlace(s, q, u); ok {
				valid++
				room += places(u.free(), s.spec)
			}
		}
	}
	caevent.Info(b.log, caevent.StepWaits).Str("job", string(s.job.Submission.ID)).Int("step", s.number).
		Str("queue", string(q.Name)).Str("team", string(s.job.Submission.Team)).Int("position", position).
		Dur("since_ready", b.now.Steady.Sub(s.readyAt)).Int("lateness", s.lateness).Int("waiting", s.waitingTasks).
		Int("runs", s.liveRuns).Int("usable", approved).Int("permitted", valid).Int("room", room).
		Bool("within_limit", b.withinLimit(s.job.Submission.Team, s.spec.Size())).Bool("asking", s.approvals.requestPending).
		Bool("held", s.reservation != nil).Bool("excess", s.job.Excess).Float64("pool_free", free).Float64("pool_held", held).
		Float64("pool_area", b.partitionOf(q.Pool).share).Send()
}
