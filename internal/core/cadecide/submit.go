package cadecide

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/caledger"
	"celeryarch.example/celeryarch/internal/core/caplace"
	"celeryarch.example/celeryarch/internal/core/caqueue"
	"celeryarch.example/celeryarch/internal/core/casched"
)

// Submit implements casched.Scheduler.
func (s *Scheduler) Submit(j cawork.Job, now time.Time) error {
	if err := casched.Validate(j); err != nil {
		return err
	}
	if s.ledger.Job(j.ID) != nil {
		return cakind.New(cakind.KindConflict, "job %s is known", j.ID)
	}
	if j.Spec.Deadline > 0 && !now.Before(j.Accepted.Add(j.Spec.Deadline)) {
		return cakind.New(cakind.KindDeadlineBeforeStart, "the deadline of job %s has passed", j.ID)
	}
	if err := s.policy.NeverFits(j, s.shapesKnown(), s.total()); err != nil {
		return err
	}
	t := s.team(j.Team)
	length, bound := t.queued[j.Spec.Kind]+j.Spec.Tasks, s.policy.Bound(j.Spec)
	if length > bound {
		return cakind.New(cakind.KindOverloaded, "%d tasks of kind %v of team %s are queued, allowed are %d",
			t.queued[j.Spec.Kind], j.Spec.Kind, j.Team, bound).
			WithRetryAfter(retryAfter(t.wait(j.Spec.Kind, length-bound, now)))
	}
	if err := s.startsTooLate(t, j, now); err != nil {
		return err
	}
	s.enqueue(s.ledger.Add(j))
	return nil
}

// enqueue puts a new job into the accounts and the queue.
func (s *Scheduler) enqueue(j *caledger.Job) {
	s.team(j.Team).queued[j.Spec.Kind] += j.Queued()
	if j.Spec.Deadline > 0 && j.Untouched() {
		s.expiry[j.ID] = s.deadlines.Push(j, caqueue.Key{}, j.Accepted.Add(j.Spec.Deadline))
	}
	if j.Spec.Urgent {
		t := s.team(j.Team)
		t.nextRelief, t.nextUrgent = time.Time{}, time.Time{}
	}
	s.refreshEntry(j)
}

// refreshEntry makes the queue hold the job exactly when it may start tasks.
func (s *Scheduler) refreshEntry(j *caledger.Job) {
	t := s.team(j.Team)
	switch startable := j.Startable(); {
	case startable && j.Entry == nil:
		j.Entry = t.queue.Push(j, caqueue.KeyOf(j.Spec), s.policy.Due(j.Job, s.runTime(j)))
		t.countUrgent(j, 1)
	case !startable && j.Entry != nil:
		t.queue.Remove(j.Entry)
		j.Entry = nil
		t.countUrgent(j, -1)
	}
}

func (t *team) countUrgent(j *caledger.Job, n int) {
	if j.Spec.Urgent {
		t.urgent += n
	}
}

func (s *Scheduler) dropDeadline(j *caledger.Job) {
	if e, ok := s.expiry[j.ID]; ok {
		s.deadlines.Remove(e)
		delete(s.expiry, j.ID)
	}
}

// Restore implements casched.Scheduler.
func (s *Scheduler) Restore(r casched.RestoredJob, now time.Time) error {
	if err := casched.Validate(r.Job); err != nil {
		return err
	}
	if s.ledger.Job(r.Job.ID) != nil {
		return cakind.New(cakind.KindConflict, "job %s is known", r.Job.ID)
	}
	j := s.ledger.Add(r.Job)
	for _, rt := range r.Tasks {
		switch rt.Phase {
		case casched.TaskPhaseEnded:
			j.EndQueued(rt.Index, rt.Outcome)
		case casched.TaskPhaseOpen:
			j.SetAttempts(rt.Index, max(0, rt.Attempts-1))
			s.openKnown(j, rt.Index, rt.Upstream, rt.Size, now)
		default:
			j.SetAttempts(rt.Index, rt.Attempts)
		}
	}
	for _, t := range s.ledger.Foreign(r.Job.ID) {
		s.openKnown(j, t.Ref.Index, t.Upstream, t.Demand.Size, now)
	}
	s.enqueue(j)
	s.noteBroken(j)
	s.finish(j)
	return nil
}

// openKnown opens a queued task that already runs somewhere.
func (s *Scheduler) openKnown(
	j *caledger.Job, index int, upstream cawork.UpstreamID, size cawork.Resources, now time.Time,
) bool {
	if size.IsZero() {
		size = j.Spec.Size
	}
	if !j.IsQueued(index) {
		return false
	}
	if t := s.ledger.Task(cawork.TaskRef{Job: j.ID, Index: index}); t != nil {
		s.ledger.Drop(t)
		if t.Host != caplace.NoHost {
			s.index.Give(t.Host, t.Demand)
		}
	}
	o := s.opening(s.team(j.Team), upstream, s.demandOf(size, j.Spec.Kind), s.end(j, now), now)
	s.ledger.OpenIndex(j, index, o)
	s.charge(s.team(j.Team), size)
	return true
}

// opening takes the room of a task that runs on the upstream, when it is an
// own one.
func (s *Scheduler) opening(
	tm *team, upstream cawork.UpstreamID, d caplace.Demand, end, now time.Time,
) caledger.Opening {
	h, ok := s.index.Host(upstream)
	if !ok {
		h = caplace.NoHost
	} else {
		s.index.Take(h, d)
	}
	return caledger.Opening{Host: h, Upstream: upstream, Demand: d, Account: tm.Team, Now: now, End: end}
}

// Cancel implements casched.Scheduler.
func (s *Scheduler) Cancel(id cawork.JobID, now time.Time) (casched.Cancellation, error) {
	j := s.ledger.Job(id)
	if j == nil {
		return casched.Cancellation{}, cakind.New(cakind.KindNotFound, "job %s is not known", id)
	}
	var c casched.Cancellation
	c.NotRun = s.dropQueued(j, cawork.OutcomeCanceled)
	for _, t := range j.Open {
		c.Running = append(c.Running, t.Placement())
		s.ask(t, caledger.StoppingStop, now)
	}
	_, c.Ended = s.finish(j)
	return c, nil
}

// dropQueued ends the job as far as it has not started.
func (s *Scheduler) dropQueued(j *caledger.Job, o cawork.Outcome) int {
	n := j.DropQueued(o)
	j.Ending = true
	s.team(j.Team).dequeued(j.Spec.Kind, n)
	s.refreshEntry(j)
	s.dropDeadline(j)
	s.dropClaimOf(j)
	return n
}

// finish forgets the job when it is over.
func (s *Scheduler) finish(j *caledger.Job) (cawork.Outcome, bool) {
	o, over := j.Over()
	if over {
		s.ledger.Forget(j)
	}
	return o, over
}
