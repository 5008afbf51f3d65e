package cadecide

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/caeject"
	"celeryarch.example/celeryarch/internal/core/caledger"
	"celeryarch.example/celeryarch/internal/core/caplace"
	"celeryarch.example/celeryarch/internal/core/caqueue"
	"celeryarch.example/celeryarch/internal/core/casched"
)

// Decide implements casched.Scheduler. It ends tasks and jobs before it starts
// others, so that freed capacity is available for placement.
func (s *Scheduler) Decide(now time.Time) []casched.Decision {
	s.decisions = s.decisions[:0]
	s.expireReservations(now)
	s.expireHolds(now)
	s.expireJobs(now)
	s.applyEjections(now)
	s.flushPending()
	s.stopBrokenGangs(now)
	s.stopExcess(now)
	s.stopUnsaved(now)
	s.placeAll(now)
	s.unblockJobs(now)
	return s.decisions
}

func (s *Scheduler) full() bool { return len(s.decisions) >= casched.MaxDecisions }

func (s *Scheduler) emit(d casched.Decision) { s.decisions = append(s.decisions, d) }

// jobDecision returns a decision about a job.
func (s *Scheduler) jobDecision(k casched.DecisionKind, r casched.Reason, j *caledger.Job, now time.Time) casched.Decision {
	return casched.Decision{
		Kind: k, Reason: r, At: now, Job: j.ID, Team: j.Team, WorkKind: j.Spec.Kind,
		Waited: now.Sub(j.Accepted), Share: s.team(j.Team).Share(),
	}
}

func (s *Scheduler) expireJobs(now time.Time) {
	for !s.full() && s.deadlines.Len() > 0 {
		j := s.deadlines.First(func(*caqueue.ClassState) bool { return true }).Head().Value
		if now.Before(j.Accepted.Add(j.Spec.Deadline)) {
			return
		}
		s.dropQueued(j, cawork.OutcomeNotRun)
		s.finish(j)
		s.emit(s.jobDecision(casched.DecisionExpire, casched.ReasonDeadline, j, now))
	}
}

// flushPending emits the decisions made between calls of Decide, except those
// about tasks that have ended since.
func (s *Scheduler) flushPending() {
	n := 0
	for ; n < len(s.pendingDecisions) && !s.full(); n++ {
		d := s.pendingDecisions[n]
		if len(d.Placements) == 0 || s.ledger.Task(d.Placements[0].Task) != nil {
			s.emit(d)
		}
	}
	s.pendingDecisions = append(s.pendingDecisions[:0], s.pendingDecisions[n:]...)
}

// stopBrokenGangs checkpoints the remaining tasks of gangs that lost a member,
// so that all tasks of the gang restart together or the gang ends.
func (s *Scheduler) stopBrokenGangs(now time.Time) {
	for len(s.brokenGangs) > 0 && !s.full() {
		j := s.brokenGangs[len(s.brokenGangs)-1]
		if j.Ending || j.Queued() > 0 {
			for _, t := range j.OpenTasks {
				if t.StopStage == caledger.StopStageNone {
					s.emit(s.checkpoint(t, casched.ReasonGangMemberLost, now))
				}
			}
		}
		s.brokenGangs = s.brokenGangs[:len(s.brokenGangs)-1]
	}
}

// stopExcess checkpoints tasks of teams that exceed a lowered allowance, those
// with the least loss first.
func (s *Scheduler) stopExcess(now time.Time) {
	for _, tm := range s.sortedTeams {
		for !s.full() && !tm.Use.Minus(tm.Stopping).Fits(tm.Allowance) {
			t := s.cheapestTask(tm, now)
			if t == nil {
				break
			}
			s.emit(s.checkpoint(t, casched.ReasonOverLimit, now))
		}
	}
}

// cheapestTask returns the task with the least loss among those whose end
// reduces the excess of the team, nil when there is none.
func (s *Scheduler) cheapestTask(tm *team, now time.Time) *caledger.Task {
	excess := tm.Use.Minus(tm.Stopping).Minus(tm.Allowance)
	var best *caledger.Task
	for _, t := range s.ledger.OpenTasks() {
		if t.Job == nil || t.Team != tm.Name || t.StopStage != caledger.StopStageNone || !usesExcess(t, excess) {
			continue
		}
		if best == nil || loss(t, now) < loss(best, now) {
			best = t
		}
	}
	return best
}

// usesExcess reports whether the task uses a resource that is in excess.
func usesExcess(t *caledger.Task, excess cawork.Resources) bool {
	size := t.Demand.Size
	return (excess.CPU > 0 && size.CPU > 0) ||
		(excess.Memory > 0 && size.Memory > 0) ||
		(excess.Accelerators > 0 && size.Accelerators > 0)
}

// loss returns the run time that is lost in the worst case when the task ends
// now. For a task of a gang, it counts all open tasks of the gang.
func loss(t *caledger.Task, now time.Time) time.Duration {
	d := now.Sub(t.PlacedAt)
	if t.InOwnGang() {
		d *= time.Duration(len(t.Job.OpenTasks))
	}
	return d
}

// stopUnsaved stops tasks that did not save their progress within PreemptGrace.
// A task that is not idempotent cannot run again, so it is stopped only when its
// team is over its allowance or it overran its size; tasks of gangs are always
// stopped.
func (s *Scheduler) stopUnsaved(now time.Time) {
	remaining := s.stopRequested[:0]
	for i, t := range s.stopRequested {
		if s.ledger.Task(t.Ref) != t {
			continue
		}
		if s.full() {
			remaining = append(remaining, s.stopRequested[i:]...)
			break
		}
		remaining = append(remaining, t)
		if t.StopStage == caledger.StopStageCheckpoint && now.Sub(t.StopRequestedAt) >= s.policy.PreemptGrace && s.mayForceStop(t) {
			s.noteStopRequest(t, caledger.StopStageStop, now)
			s.emit(s.taskDecision(casched.DecisionStop, casched.ReasonNotSavedInTime, t, now))
		}
	}
	clear(s.stopRequested[len(remaining):])
	s.stopRequested = remaining
}

func (s *Scheduler) mayForceStop(t *caledger.Task) bool {
	if t.Job == nil {
		return false
	}
	if t.Job.Spec.Idempotent || t.Overran || t.Job.IsGang() {
		return true
	}
	tm := s.team(t.Team)
	return !tm.Use.Fits(tm.Allowance)
}

// applyEjections applies the changes of the failure monitor: upstreams that are
// ejected, put on trial or restored.
func (s *Scheduler) applyEjections(now time.Time) {
	for _, c := range s.monitor.Transitions(now) {
		h, ok := s.index.Host(c.Upstream)
		if !ok || s.index.StateOf(h) == caplace.StateRemoved {
			continue
		}
		d := casched.Decision{At: now, Upstream: c.Upstream}
		switch c.State {
		case caeject.StateEjected:
			s.dropHoldsOn(h)
			s.index.SetHealthState(h, caplace.StateClosed)
			d.Kind, d.Reason = casched.DecisionEject, casched.ReasonFailureRate
		case caeject.StateProbing:
			s.index.SetHealthState(h, caplace.StateProbe)
			d.Kind, d.Reason = casched.DecisionRestore, casched.ReasonProbe
		default:
			s.index.SetHealthState(h, caplace.StateOpen)
			d.Kind, d.Reason = casched.DecisionRestore, casched.ReasonProbeSucceeded
		}
		s.pendingDecisions = append(s.pendingDecisions, d)
		s.shares.SetTotal(s.fleetCapacity())
	}
}
