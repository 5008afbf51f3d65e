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

// Decide implements casched.Scheduler. What must end goes before what may
// start.
func (s *Scheduler) Decide(now time.Time) []casched.Decision {
	s.out = s.out[:0]
	s.expireReservations(now)
	s.expireClaims(now)
	s.expireJobs(now)
	s.applyVerdicts(now)
	s.flushPending()
	s.stopBrokenGangs(now)
	s.stopExcess(now)
	s.stopUnsaved(now)
	s.placeAll(now)
	s.relieve(now)
	return s.out
}

func (s *Scheduler) full() bool { return len(s.out) >= casched.MaxDecisions }

func (s *Scheduler) emit(d casched.Decision) { s.out = append(s.out, d) }

// onJob returns a decision about a job.
func (s *Scheduler) onJob(k casched.DecisionKind, r casched.Reason, j *caledger.Job, now time.Time) casched.Decision {
	return casched.Decision{
		Kind: k, Reason: r, At: now, Job: j.ID, Team: j.Team, WorkKind: j.Spec.Kind,
		Waited: now.Sub(j.Accepted), Share: s.team(j.Team).Share(),
	}
}

func (s *Scheduler) expireJobs(now time.Time) {
	for !s.full() && s.deadlines.Len() > 0 {
		j := s.deadlines.First(func(*caqueue.Mark) bool { return true }).Head().Value
		if now.Before(j.Accepted.Add(j.Spec.Deadline)) {
			return
		}
		s.dropQueued(j, cawork.OutcomeNotRun)
		s.finish(j)
		s.emit(s.onJob(casched.DecisionExpire, casched.ReasonDeadline, j, now))
	}
}

// flushPending emits decisions that were taken between the calls, but for those
// about tasks that have ended since.
func (s *Scheduler) flushPending() {
	n := 0
	for ; n < len(s.pending) && !s.full(); n++ {
		d := s.pending[n]
		if len(d.Placements) == 0 || s.ledger.Task(d.Placements[0].Task) != nil {
			s.emit(d)
		}
	}
	s.pending = append(s.pending[:0], s.pending[n:]...)
}

// stopBrokenGangs ends what still runs of gangs that lost a member, so that
// they start whole again, or are over.
func (s *Scheduler) stopBrokenGangs(now time.Time) {
	for len(s.broken) > 0 && !s.full() {
		j := s.broken[len(s.broken)-1]
		if j.Ending || j.Queued() > 0 {
			for _, t := range j.Open {
				if t.Stopping == caledger.StoppingNot {
					s.emit(s.checkpoint(t, casched.ReasonGangMemberLost, now))
				}
			}
		}
		s.broken = s.broken[:len(s.broken)-1]
	}
}

// stopExcess ends tasks of teams whose allowance was lowered, those first that
// lose least.
func (s *Scheduler) stopExcess(now time.Time) {
	for _, tm := range s.order {
		for !s.full() && !tm.Use.Minus(tm.Stopping).Fits(tm.Allowance) {
			t := s.cheapest(tm, now)
			if t == nil {
				break
			}
			s.emit(s.checkpoint(t, casched.ReasonOverLimit, now))
		}
	}
}

// cheapest returns the task whose end relieves the account of the team at the
// least loss.
func (s *Scheduler) cheapest(tm *team, now time.Time) *caledger.Task {
	excess := tm.Use.Minus(tm.Stopping).Minus(tm.Allowance)
	var best *caledger.Task
	for _, t := range s.ledger.All() {
		if t.Job == nil || t.Team != tm.Name || t.Stopping != caledger.StoppingNot || !relieves(t, excess) {
			continue
		}
		if best == nil || loss(t, now) < loss(best, now) {
			best = t
		}
	}
	return best
}

// relieves reports whether the task uses a dimension that is in excess.
func relieves(t *caledger.Task, excess cawork.Resources) bool {
	size := t.Demand.Size
	return (excess.CPU > 0 && size.CPU > 0) ||
		(excess.Memory > 0 && size.Memory > 0) ||
		(excess.Accelerators > 0 && size.Accelerators > 0)
}

// loss is the work that is at risk when the task ends now. A gang loses that
// of all its tasks.
func loss(t *caledger.Task, now time.Time) time.Duration {
	d := now.Sub(t.Placed)
	if t.OfOwnGang() {
		d *= time.Duration(len(t.Job.Open))
	}
	return d
}

// stopUnsaved stops tasks that did not save their progress in time. Work that
// would be lost for good is stopped only for a limit or for its size.
func (s *Scheduler) stopUnsaved(now time.Time) {
	kept := s.asked[:0]
	for i, t := range s.asked {
		if s.ledger.Task(t.Ref) != t {
			continue
		}
		if s.full() {
			kept = append(kept, s.asked[i:]...)
			break
		}
		kept = append(kept, t)
		if t.Stopping == caledger.StoppingCheckpoint && now.Sub(t.StopAsked) >= s.policy.PreemptGrace && s.mayStop(t) {
			s.ask(t, caledger.StoppingStop, now)
			s.emit(s.onTask(casched.DecisionStop, casched.ReasonNotSavedInTime, t, now))
		}
	}
	clear(s.asked[len(kept):])
	s.asked = kept
}

func (s *Scheduler) mayStop(t *caledger.Task) bool {
	if t.Job == nil {
		return false
	}
	if t.Job.Spec.Idempotent || t.Overran || t.Job.Gang() {
		return true
	}
	tm := s.team(t.Team)
	return !tm.Use.Fits(tm.Allowance)
}

// applyVerdicts opens and closes upstreams by their rate of failures.
func (s *Scheduler) applyVerdicts(now time.Time) {
	for _, c := range s.monitor.Changes(now) {
		h, ok := s.index.Host(c.Upstream)
		if !ok || s.index.StateOf(h) == caplace.StateGone {
			continue
		}
		d := casched.Decision{At: now, Upstream: c.Upstream}
		switch c.State {
		case caeject.StateEjected:
			s.dropClaimsOn(h)
			s.index.SetVerdict(h, caplace.StateClosed)
			d.Kind, d.Reason = casched.DecisionEject, casched.ReasonFailureRate
		case caeject.StateTrial:
			s.index.SetVerdict(h, caplace.StateProbe)
			d.Kind, d.Reason = casched.DecisionRestore, casched.ReasonProbe
		default:
			s.index.SetVerdict(h, caplace.StateOpen)
			d.Kind, d.Reason = casched.DecisionRestore, casched.ReasonProbeSucceeded
		}
		s.pending = append(s.pending, d)
		s.shares.SetTotal(s.total())
	}
}
