package caboard

import (
	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Broken returns how often an invariant did not hold.
func (b *Board) Broken() int { return b.brokenInvariants }

// checkAssigned checks what must hold after a run is assigned.
func (b *Board) checkAssigned(r *run) {
	if r.upstream.free().IsNegative() {
		b.breach("room of an upstream", r)
	}
	if !b.withinLimit(r.team, cawork.Resources{}) {
		b.breach("upper limit of a team", r)
	}
	if q, ok := b.queueOf(r.step.job); ok && q.MaxAttempts > 0 && r.task().Failures >= q.MaxAttempts {
		b.breach("attempts of a task", r)
	}
	if r.step.job.Phase.IsFinal() {
		b.breach("no start after the end of a job", r)
	}
}

// breach logs an invariant that does not hold for a run.
func (b *Board) breach(invariant string, r *run) {
	b.brokenInvariants++
	caevent.Warn(b.log, caevent.InvariantBroken).Str("invariant", invariant).Int("count", b.brokenInvariants).
		Str("job", string(r.id.Job)).Int("step", r.id.Step).Int("task", r.id.Index).Int("run", r.id.Number).
		Str("upstream", string(r.upstream.info.ID)).Stringer("free", r.upstream.free()).
		Str("team", string(r.team)).Stringer("used", b.teamOf(r.team).used).Send()
}
