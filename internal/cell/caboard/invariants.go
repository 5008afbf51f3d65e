package caboard

import (
	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// BrokenInvariants returns how many violations of invariants were found.
func (b *Planner) BrokenInvariants() int { return b.brokenInvariants }

// checkInvariants checks the invariants that must hold once a run is assigned.
func (b *Planner) checkInvariants(r *run) {
	if r.upstream.free().IsNegative() {
		b.recordViolation("runs fit on their upstream", r)
	}
	if !b.withinLimit(r.team, cawork.Resources{}) {
		b.recordViolation("team is within its upper limit", r)
	}
	if q, ok := b.queueOf(r.step.job); ok && q.MaxAttempts > 0 && r.task().Failures >= q.MaxAttempts {
		b.recordViolation("task has attempts left", r)
	}
	if r.step.job.Phase.IsFinal() {
		b.recordViolation("job has not ended", r)
	}
}

// recordViolation counts and logs an invariant that does not hold for a run.
func (b *Planner) recordViolation(invariant string, r *run) {
	b.brokenInvariants++
	caevent.Warn(b.log, caevent.InvariantBroken).Str("invariant", invariant).Int("count", b.brokenInvariants).
		Str("job", string(r.id.Job)).Int("step", r.id.Step).Int("task", r.id.Index).Int("run", r.id.Number).
		Str("upstream", string(r.upstream.info.ID)).Stringer("free", r.upstream.free()).
		Str("team", string(r.team)).Stringer("used", b.teamOf(r.team).Used()).Send()
}
