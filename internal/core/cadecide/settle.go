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
	t.PlacedAt = now
	t.ExpectedEnd = s.expectedEnd(t.Job, now)
}

// StartFailed implements casched.Scheduler.
func (s *Scheduler) StartFailed(ref cawork.TaskRef, notRun bool, now time.Time) casched.AttemptResult {
	t := s.ledger.Task(ref)
	if t == nil {
		return casched.AttemptResult{}
	}
	s.observeUpstream(caeject.Event{Upstream: t.Upstream, Failed: true}, t.Host, now)
	if !notRun {
		return casched.AttemptResult{WasOpen: true, Own: t.Job != nil}
	}
	return s.settle(t, cawork.TaskStateFenced)
}

// Withdrawn implements casched.Scheduler.
func (s *Scheduler) Withdrawn(ref cawork.TaskRef, _ time.Time) casched.AttemptResult {
	t := s.ledger.Task(ref)
	if t == nil {
		return casched.AttemptResult{}
	}
	s.reopenTrial(t.Host)
	return s.settle(t, cawork.TaskStateAbsent)
}

// Ended implements casched.Scheduler.
func (s *Scheduler) Ended(e casched.AttemptEnd, now time.Time) casched.AttemptResult {
	t := s.ledger.Task(e.Task)
	if t == nil {
		return casched.AttemptResult{}
	}
	s.observeEnd(t, e, now)
	return s.settle(t, e.State)
}

// observeEnd records the end of an attempt: the usage of the task, to correct
// declarations, and the success or failure of the upstream.
func (s *Scheduler) observeEnd(t *caledger.Task, e casched.AttemptEnd, now time.Time) {
	event := caeject.Event{Upstream: t.Upstream, Job: t.Ref.Job}
	switch e.State {
	case cawork.TaskStateDone:
		if j := t.Job; j != nil {
			r := s.team(j.Team).records[j.Spec.Kind]
			r.ObserveRunTime(j.Spec.RunTime, e.Elapsed)
			r.ObserveSize(j.Spec.Size, elementwiseMax(t.PeakUsage, e.Used))
		}
	case cawork.TaskStateFailed:
		event.Failed = true
		if t.Job != nil {
			event.FailedElsewhere = t.Job.RecordFailure(t.Upstream)
		}
	default:
		s.reopenTrial(t.Host)
		return
	}
	s.observeUpstream(event, t.Host, now)
}

// reopenTrial lets an upstream on trial take another task when the previous one
// ended without showing whether the upstream works.
func (s *Scheduler) reopenTrial(h caplace.HostIndex) {
	if h != caplace.NoHost && s.index.StateOf(h) != caplace.StateRemoved && s.monitor.IsProbing(s.index.ID(h)) {
		s.index.SetHealthState(h, caplace.StateProbe)
	}
}

func (s *Scheduler) observeUpstream(e caeject.Event, h caplace.HostIndex, now time.Time) {
	if h == caplace.NoHost || s.index.StateOf(h) == caplace.StateRemoved {
		return
	}
	limit := max(1, int(s.policy.EjectFraction*float64(s.index.OpenCount()+s.monitor.UnhealthyCount())))
	s.monitor.Observe(e, limit, now)
}

// ReportUpstreamResult implements casched.Scheduler.
func (s *Scheduler) ReportUpstreamResult(id cawork.UpstreamID, failed bool, now time.Time) {
	if h, ok := s.index.Host(id); ok {
		s.observeUpstream(caeject.Event{Upstream: id, Failed: failed}, h, now)
	}
}

// settle frees the capacity and the allowance of an ended attempt and queues the
// task again or ends it.
func (s *Scheduler) settle(t *caledger.Task, state cawork.TaskState) casched.AttemptResult {
	host, d := t.Host, t.Demand
	out := s.ledger.EndAttempt(t, state, s.policy)
	if host != caplace.NoHost {
		s.index.Release(host, d)
	}
	j := t.Job
	if j == nil {
		return out
	}
	tm := s.team(j.Team)
	s.refund(tm, d.Size)
	if t.StopStage != caledger.StopStageNone {
		tm.Stopping = tm.Stopping.Minus(d.Size)
	}
	if out.Requeued {
		tm.queued[j.Spec.Kind]++
	} else if out.Outcome != cawork.OutcomeDone && j.IsGang() && !j.Ending {
		s.dropQueued(j, cawork.OutcomeNotRun)
	}
	s.refreshEntry(j)
	s.noteBrokenGang(j)
	out.JobOutcome, out.JobEnded = s.finish(j)
	return out
}

// noteBrokenGang records the job for stopBrokenGangs if it is a gang and only
// some of its tasks are open.
func (s *Scheduler) noteBrokenGang(j *caledger.Job) {
	if j.IsGang() && len(j.OpenTasks) > 0 && (j.Ending || j.Queued() > 0) {
		s.brokenGangs = append(s.brokenGangs, j)
	}
}

// Adopt implements casched.Scheduler.
func (s *Scheduler) Adopt(st caplatform.TaskStatus, upstream cawork.UpstreamID, now time.Time) {
	if st.State != cawork.TaskStateRunning {
		return
	}
	d := s.demandOf(st.Size, st.Kind)
	if t := s.ledger.Task(st.Task); t != nil {
		s.moveTask(t, upstream, d)
		return
	}
	j := s.ledger.Job(st.Task.Job)
	if j != nil && s.openRunning(j, st.Task.Index, upstream, st.Size, now) {
		s.team(j.Team).queued[j.Spec.Kind]--
		s.dropDeadline(j)
		s.refreshEntry(j)
		s.noteBrokenGang(j)
		return
	}
	s.ledger.OpenForeign(st.Task, st.Team, st.Kind, s.openingOn(s.team(st.Team), upstream, d, time.Time{}, now))
}

// moveTask updates the upstream and the demand of an open task to what the
// upstream reports.
func (s *Scheduler) moveTask(t *caledger.Task, upstream cawork.UpstreamID, d caplace.Demand) {
	if t.Host != caplace.NoHost {
		s.index.Release(t.Host, t.Demand)
	}
	s.updateCharge(t, d)
	h, ok := s.index.Host(upstream)
	if !ok {
		h = caplace.NoHost
	} else {
		s.index.Commit(h, d)
	}
	s.ledger.Move(t, h, upstream)
}

// updateCharge changes the demand of a task and the charge to its team.
func (s *Scheduler) updateCharge(t *caledger.Task, d caplace.Demand) {
	difference := d.Size.Minus(t.Demand.Size)
	t.Demand = d
	if t.Job == nil {
		return
	}
	tm := s.team(t.Team)
	s.charge(tm, difference)
	tm.allowanceSeq++
	if t.StopStage != caledger.StopStageNone {
		tm.Stopping = tm.Stopping.Plus(difference)
	}
}
