package cadecide

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/caledger"
	"celeryarch.example/celeryarch/internal/core/caplace"
	"celeryarch.example/celeryarch/internal/core/casched"
)

const (
	// overrunPercent is the usage, in percent of the size of a task, above which
	// the task exceeds its size.
	overrunPercent = 105
	// overrunGrace is how long a throttled task may exceed its size before it is
	// checkpointed.
	overrunGrace = 10 * time.Second
)

// ReportUsage implements casched.Scheduler. When a task uses more than was
// committed for it but not more than it declared, the commitment grows to the
// declared size if capacity and allowance suffice. Otherwise the task is
// throttled, and checkpointed if it still exceeds its size after overrunGrace.
func (s *Scheduler) ReportUsage(ref cawork.TaskRef, used cawork.Resources, now time.Time) {
	t := s.ledger.Task(ref)
	if t == nil || t.StopStage != caledger.StopStageNone {
		return
	}
	t.PeakUsage = elementwiseMax(t.PeakUsage, used)
	if !exceeds(used, t.Demand.Size) {
		t.ThrottledAt = time.Time{}
		return
	}
	if t.Job != nil && s.growToDeclared(t, used) {
		return
	}
	switch {
	case t.ThrottledAt.IsZero():
		t.ThrottledAt = now
		s.pendingDecisions = append(s.pendingDecisions, s.taskDecision(casched.DecisionThrottle, casched.ReasonOverSize, t, now))
	case now.Sub(t.ThrottledAt) >= overrunGrace:
		if t.Job != nil {
			t.Job.SizeFloor = elementwiseMax(t.Job.SizeFloor, t.PeakUsage)
			t.Job.EstimateVersion = 0
		}
		t.Overran = true
		s.pendingDecisions = append(s.pendingDecisions, s.checkpoint(t, casched.ReasonOverSize, now))
	}
}

func exceeds(used, size cawork.Resources) bool {
	return int64(used.CPU)*100 > int64(size.CPU)*overrunPercent ||
		int64(used.Memory)*100 > int64(size.Memory)*overrunPercent
}

// growToDeclared commits the declared size of the task. It reports false when
// that is already committed, the task uses more, or capacity or allowance is
// lacking.
func (s *Scheduler) growToDeclared(t *caledger.Task, used cawork.Resources) bool {
	declared := t.Job.Spec.Size
	if exceeds(used, declared) || t.Host == caplace.NoHost || declared == t.Demand.Size {
		return false
	}
	d := t.Demand
	d.Size = elementwiseMax(d.Size, declared)
	difference := d.Minus(t.Demand)
	tm := s.team(t.Team)
	if !difference.Fits(s.index.FreeOn(t.Host)) || !tm.Allows(difference.Size) {
		return false
	}
	s.index.Resize(t.Host, difference)
	s.updateCharge(t, d)
	return true
}

// taskDecision returns a decision about an open task.
func (s *Scheduler) taskDecision(
	k casched.DecisionKind, r casched.Reason, t *caledger.Task, now time.Time,
) casched.Decision {
	d := casched.Decision{
		Kind: k, Reason: r, At: now, Job: t.Ref.Job, Team: t.Team, WorkKind: t.Kind,
		Upstream: t.Upstream, Placements: []casched.Placement{t.Placement()},
		Share: s.team(t.Team).Share(), Loss: now.Sub(t.PlacedAt), Attempts: t.Attempts - 1,
	}
	if t.Job != nil {
		d.Waited = now.Sub(t.Job.Accepted)
	}
	return d
}

// checkpoint returns the decision that asks a task to save its progress and end.
func (s *Scheduler) checkpoint(t *caledger.Task, r casched.Reason, now time.Time) casched.Decision {
	s.noteStopRequest(t, caledger.StopStageCheckpoint, now)
	return s.taskDecision(casched.DecisionCheckpoint, r, t, now)
}

// noteStopRequest records that a task was asked to end.
func (s *Scheduler) noteStopRequest(t *caledger.Task, stage caledger.StopStage, now time.Time) {
	if t.StopStage == caledger.StopStageNone {
		if t.Job != nil {
			t.Account.Stopping = t.Account.Stopping.Plus(t.Demand.Size)
		}
		s.stopRequested = append(s.stopRequested, t)
	}
	t.StopStage, t.StopRequestedAt = stage, now
}
