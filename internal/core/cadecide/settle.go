package cadecide

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/caeject"
	"celeryarch.example/celeryarch/internal/core/caledger"
	"celeryarch.example/celeryarch/internal/core/caplace"
	"celeryarch.example/celeryarch/internal/core/casched"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// Started implements casched.Scheduler.
func (s *Scheduler) Started(ref cawork.TaskRef, now time.Time) {
	t := s.ledger.Task(ref)
	if t == nil || t.Job == nil {
		return
	}
	t.Placed = now
	t.End = s.end(t.Job, now)
}

// StartFailed implements casched.Scheduler.
func (s *Scheduler) StartFailed(ref cawork.TaskRef, notRun bool, now time.Time) casched.Settlement {
	t := s.ledger.Task(ref)
	if t == nil {
		return casched.Settlement{}
	}
	s.observe(caeject.Event{Upstream: t.Upstream, Failed: true}, t.Host, now)
	if !notRun {
		return casched.Settlement{Known: true, Own: t.Job != nil}
	}
	return s.settle(t, cawork.TaskStateFenced)
}

// Withdrawn implements casched.Scheduler.
func (s *Scheduler) Withdrawn(ref cawork.TaskRef, _ time.Time) casched.Settlement {
	t := s.ledger.Task(ref)
	if t == nil {
		return casched.Settlement{}
	}
	s.reopenTrial(t.Host)
	return s.settle(t, cawork.TaskStateAbsent)
}

// Ended implements casched.Scheduler.
func (s *Scheduler) Ended(e casched.End, now time.Time) casched.Settlement {
	t := s.ledger.Task(e.Task)
	if t == nil {
		return casched.Settlement{}
	}
	s.learn(t, e, now)
	return s.settle(t, e.State)
}

// learn takes what the end of an attempt tells of declarations and upstreams.
func (s *Scheduler) learn(t *caledger.Task, e casched.End, now time.Time) {
	event := caeject.Event{Upstream: t.Upstream, Job: t.Ref.Job}
	switch e.State {
	case cawork.TaskStateDone:
		if j := t.Job; j != nil {
			r := s.team(j.Team).records[j.Spec.Kind]
			r.ObserveRunTime(j.Spec.RunTime, e.Elapsed)
			r.ObserveSize(j.Spec.Size, larger(t.Peak, e.Used))
		}
	case cawork.TaskStateFailed:
		event.Failed = true
		if t.Job != nil {
			event.FailedElsewhere = t.Job.NoteFailure(t.Upstream)
		}
	default:
		s.reopenTrial(t.Host)
		return
	}
	s.observe(event, t.Host, now)
}

// reopenTrial lets an upstream on trial take another task, after one whose end
// tells nothing about it.
func (s *Scheduler) reopenTrial(h caplace.HostIndex) {
	if h != caplace.NoHost && s.index.StateOf(h) != caplace.StateGone && s.monitor.OnTrial(s.index.ID(h)) {
		s.index.SetVerdict(h, caplace.StateProbe)
	}
}

func (s *Scheduler) observe(e caeject.Event, h caplace.HostIndex, now time.Time) {
	if h == caplace.NoHost || s.index.StateOf(h) == caplace.StateGone {
		return
	}
	limit := max(1, int(s.policy.EjectFraction*float64(s.index.Open()+s.monitor.Ejected())))
	s.monitor.Observe(e, limit, now)
}

// MarkUpstream implements casched.Scheduler.
func (s *Scheduler) MarkUpstream(id cawork.UpstreamID, failed bool, now time.Time) {
	if h, ok := s.index.Host(id); ok {
		s.observe(caeject.Event{Upstream: id, Failed: failed}, h, now)
	}
}

// settle frees what the attempt took and queues or ends the task.
func (s *Scheduler) settle(t *caledger.Task, state cawork.TaskState) casched.Settlement {
	host, d := t.Host, t.Demand
	out := s.ledger.Settle(t, state, s.policy)
	if host != caplace.NoHost {
		s.index.Give(host, d)
	}
	j := t.Job
	if j == nil {
		return out
	}
	tm := s.team(j.Team)
	s.refund(tm, d.Size)
	if t.Stopping != caledger.StoppingNot {
		tm.Stopping = tm.Stopping.Minus(d.Size)
	}
	if out.Requeued {
		tm.queued[j.Spec.Kind]++
	} else if out.Outcome != cawork.OutcomeDone && j.Gang() && !j.Ending {
		s.dropQueued(j, cawork.OutcomeNotRun)
	}
	s.refreshEntry(j)
	s.noteBroken(j)
	out.JobOutcome, out.JobEnded = s.finish(j)
	return out
}

// noteBroken notes a gang of which only a part is open.
func (s *Scheduler) noteBroken(j *caledger.Job) {
	if j.Gang() && len(j.Open) > 0 && (j.Ending || j.Queued() > 0) {
		s.broken = append(s.broken, j)
	}
}

// Adopt implements casched.Scheduler.
func (s *Scheduler) Adopt(st caplatform.TaskStatus, upstream cawork.UpstreamID, now time.Time) {
	if st.State != cawork.TaskStateRunning {
		return
	}
	d := s.demandOf(st.Size, st.Kind)
	if t := s.ledger.Task(st.Task); t != nil {
		s.move(t, upstream, d)
		return
	}
	j := s.ledger.Job(st.Task.Job)
	if j != nil && s.openKnown(j, st.Task.Index, upstream, st.Size, now) {
		s.team(j.Team).queued[j.Spec.Kind]--
		s.dropDeadline(j)
		s.refreshEntry(j)
		s.noteBroken(j)
		return
	}
	s.ledger.OpenForeign(st.Task, st.Team, st.Kind, s.opening(s.team(st.Team), upstream, d, time.Time{}, now))
}

// move makes the accounts of an open task follow what its upstream reports.
func (s *Scheduler) move(t *caledger.Task, upstream cawork.UpstreamID, d caplace.Demand) {
	if t.Host != caplace.NoHost {
		s.index.Give(t.Host, t.Demand)
	}
	s.recharge(t, d)
	h, ok := s.index.Host(upstream)
	if !ok {
		h = caplace.NoHost
	} else {
		s.index.Take(h, d)
	}
	s.ledger.Move(t, h, upstream)
}

// recharge changes the demand of a task in the account of its team.
func (s *Scheduler) recharge(t *caledger.Task, d caplace.Demand) {
	difference := d.Size.Minus(t.Demand.Size)
	t.Demand = d
	if t.Job == nil {
		return
	}
	tm := s.team(t.Team)
	s.charge(tm, difference)
	tm.room++
	if t.Stopping != caledger.StoppingNot {
		tm.Stopping = tm.Stopping.Plus(difference)
	}
}
