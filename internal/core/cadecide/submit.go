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
	if err := casched.ValidateJob(j); err != nil {
		return err
	}
	if s.ledger.Job(j.ID) != nil {
		return cakind.New(cakind.KindConflict, "job %s already exists", j.ID)
	}
	if j.Spec.Deadline > 0 && !now.Before(j.Accepted.Add(j.Spec.Deadline)) {
		return cakind.New(cakind.KindDeadlineBeforeStart, "the deadline of job %s has passed", j.ID)
	}
	if err := s.policy.CheckFeasible(j, s.knownUpstreamShapes(), s.fleetCapacity()); err != nil {
		return err
	}
	t := s.team(j.Team)
	length, bound := t.queued[j.Spec.Kind]+j.Spec.Tasks, s.policy.QueueLimit(j.Spec)
	if length > bound {
		return cakind.New(cakind.KindOverloaded, "%d tasks of kind %v of team %s are queued, the limit is %d",
			t.queued[j.Spec.Kind], j.Spec.Kind, j.Team, bound).
			WithRetryAfter(retryAfter(t.expectedWait(j.Spec.Kind, length-bound, now)))
	}
	if err := s.refuseLongWait(t, j, now); err != nil {
		return err
	}
	s.enqueue(s.ledger.AddJob(j))
	return nil
}

// enqueue counts a new job and adds it to the queue of its team.
func (s *Scheduler) enqueue(j *caledger.Job) {
	s.team(j.Team).queued[j.Spec.Kind] += j.Queued()
	if j.Spec.Deadline > 0 && j.Untouched() {
		s.deadlineEntries[j.ID] = s.deadlines.Push(j, caqueue.Key{}, j.Accepted.Add(j.Spec.Deadline))
	}
	if j.Spec.Urgent {
		t := s.team(j.Team)
		t.nextRetry, t.nextUrgentSearch = time.Time{}, time.Time{}
	}
	s.refreshEntry(j)
}

// refreshEntry adds the job to the queue when it may start tasks and removes it
// when it may not.
func (s *Scheduler) refreshEntry(j *caledger.Job) {
	t := s.team(j.Team)
	switch startable := j.Startable(); {
	case startable && j.QueueEntry == nil:
		j.QueueEntry = t.queue.Push(j, caqueue.KeyOf(j.Spec), s.policy.DueTime(j.Job, s.expectedRunTime(j)))
		t.countUrgent(j, 1)
	case !startable && j.QueueEntry != nil:
		t.queue.Remove(j.QueueEntry)
		j.QueueEntry = nil
		t.countUrgent(j, -1)
	}
}

func (t *team) countUrgent(j *caledger.Job, n int) {
	if j.Spec.Urgent {
		t.urgentQueued += n
	}
}

func (s *Scheduler) dropDeadline(j *caledger.Job) {
	if e, ok := s.deadlineEntries[j.ID]; ok {
		s.deadlines.Remove(e)
		delete(s.deadlineEntries, j.ID)
	}
}

// Restore implements casched.Scheduler.
func (s *Scheduler) Restore(r casched.RestoredJob, now time.Time) error {
	if err := casched.ValidateJob(r.Job); err != nil {
		return err
	}
	if s.ledger.Job(r.Job.ID) != nil {
		return cakind.New(cakind.KindConflict, "job %s already exists", r.Job.ID)
	}
	j := s.ledger.AddJob(r.Job)
	for _, rt := range r.Tasks {
		switch rt.Phase {
		case casched.TaskPhaseEnded:
			j.EndQueued(rt.Index, rt.Outcome)
		case casched.TaskPhaseOpen:
			j.SetAttempts(rt.Index, max(0, rt.Attempts-1))
			s.openRunning(j, rt.Index, rt.Upstream, rt.Size, now)
		default:
			j.SetAttempts(rt.Index, rt.Attempts)
		}
	}
	for _, t := range s.ledger.ForeignTasks(r.Job.ID) {
		s.openRunning(j, t.Ref.Index, t.Upstream, t.Demand.Size, now)
	}
	s.enqueue(j)
	s.noteBrokenGang(j)
	s.finish(j)
	return nil
}

// openRunning opens a queued task that already runs on the upstream. It reports
// false when the task is not queued.
func (s *Scheduler) openRunning(
	j *caledger.Job, index int, upstream cawork.UpstreamID, size cawork.Resources, now time.Time,
) bool {
	if size.IsZero() {
		size = j.Spec.Size
	}
	if !j.IsQueued(index) {
		return false
	}
	if t := s.ledger.Task(cawork.TaskRef{Job: j.ID, Index: index}); t != nil {
		s.ledger.RemoveForeign(t)
		if t.Host != caplace.NoHost {
			s.index.Release(t.Host, t.Demand)
		}
	}
	o := s.openingOn(s.team(j.Team), upstream, s.demandOf(size, j.Spec.Kind), s.expectedEnd(j, now), now)
	s.ledger.OpenIndex(j, index, o)
	s.charge(s.team(j.Team), size)
	return true
}

// openingOn returns the opening of a task that runs on the upstream. If this
// entry owns the upstream, it commits the capacity.
func (s *Scheduler) openingOn(
	tm *team, upstream cawork.UpstreamID, d caplace.Demand, end, now time.Time,
) caledger.OpenParams {
	h, ok := s.index.Host(upstream)
	if !ok {
		h = caplace.NoHost
	} else {
		s.index.Commit(h, d)
	}
	return caledger.OpenParams{Host: h, Upstream: upstream, Demand: d, Account: tm.Team, Now: now, ExpectedEnd: end}
}

// Cancel implements casched.Scheduler.
func (s *Scheduler) Cancel(id cawork.JobID, now time.Time) (casched.Cancellation, error) {
	j := s.ledger.Job(id)
	if j == nil {
		return casched.Cancellation{}, cakind.New(cakind.KindNotFound, "job %s not found", id)
	}
	var c casched.Cancellation
	c.NotRun = s.dropQueued(j, cawork.OutcomeCanceled)
	for _, t := range j.OpenTasks {
		c.Running = append(c.Running, t.Placement())
		s.noteStopRequest(t, caledger.StopStageStop, now)
	}
	_, c.Ended = s.finish(j)
	return c, nil
}

// dropQueued ends the queued tasks of the job with the outcome and returns their
// number. No task of the job starts afterwards.
func (s *Scheduler) dropQueued(j *caledger.Job, o cawork.Outcome) int {
	n := j.DropQueued(o)
	j.Ending = true
	s.team(j.Team).noteDequeued(j.Spec.Kind, n)
	s.refreshEntry(j)
	s.dropDeadline(j)
	s.dropHoldOf(j)
	return n
}

// finish forgets the job when all its tasks have ended.
func (s *Scheduler) finish(j *caledger.Job) (cawork.Outcome, bool) {
	o, ended := j.Finished()
	if ended {
		s.ledger.RemoveJob(j)
	}
	return o, ended
}
