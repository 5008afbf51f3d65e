// Package canaive is a naive implementation of the decision core, against which
// differential tests compare the real one. It keeps no sums and no indexes, but
// scans all jobs, tasks and upstreams for every result. It places jobs of the
// teams with the lowest shares first, each task on the first upstream with enough
// free capacity. It has no backfill, no preemption to restore shares, no
// correction of declared sizes and run times, and no ejection.
package canaive

import (
	"cmp"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/casched"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

type task struct {
	ref          cawork.TaskRef
	job          *job
	team         cawork.TeamName
	kind         cawork.WorkKind
	phase        casched.TaskPhase
	outcome      cawork.Outcome
	upstream     cawork.UpstreamID
	size         cawork.Resources
	attempts     int
	fencedStarts int
	stopping     bool
}

type job struct {
	cawork.Job
	tasks  []*task
	ending bool
}

type reservation struct {
	request   casched.ReserveRequest
	upstreams []cawork.UpstreamID
}

// Scheduler is the naive implementation of casched.Scheduler.
type Scheduler struct {
	policy       casched.Policy
	report       func(*casched.Violation)
	upstreams    []casched.Upstream
	allowance    map[cawork.TeamName]cawork.Resources
	remote       casched.RemoteUse
	jobs         []*job
	foreign      []*task
	reservations []*reservation
}

var _ casched.Scheduler = (*Scheduler)(nil)

// New returns an empty scheduler that passes violated invariants to report.
func New(p casched.Policy, report func(*casched.Violation)) *Scheduler {
	return &Scheduler{policy: p, report: report, allowance: map[cawork.TeamName]cawork.Resources{}}
}

// SetPolicy implements casched.Scheduler.
func (s *Scheduler) SetPolicy(p casched.Policy, _ time.Time) { s.policy = p }

// PutUpstream implements casched.Scheduler.
func (s *Scheduler) PutUpstream(u casched.Upstream, _ time.Time) {
	s.upstreams = slices.DeleteFunc(s.upstreams, func(o casched.Upstream) bool { return o.ID == u.ID })
	s.upstreams = append(s.upstreams, u)
	slices.SortFunc(s.upstreams, func(a, b casched.Upstream) int { return cmp.Compare(a.ID, b.ID) })
}

// RemoveUpstream implements casched.Scheduler.
func (s *Scheduler) RemoveUpstream(id cawork.UpstreamID, _ time.Time) {
	s.upstreams = slices.DeleteFunc(s.upstreams, func(o casched.Upstream) bool { return o.ID == id })
}

// SetAllowance implements casched.Scheduler.
func (s *Scheduler) SetAllowance(team cawork.TeamName, amount cawork.Resources, _ time.Time) {
	s.allowance[team] = amount
}

// SetRemoteUse implements casched.Scheduler.
func (s *Scheduler) SetRemoteUse(r casched.RemoteUse, _ time.Time) { s.remote = r }

// Submit implements casched.Scheduler.
func (s *Scheduler) Submit(j cawork.Job, now time.Time) error {
	if err := casched.ValidateJob(j); err != nil {
		return err
	}
	if s.findJob(j.ID) != nil {
		return cakind.New(cakind.KindConflict, "job %s already exists", j.ID)
	}
	if j.Spec.Deadline > 0 && !now.Before(j.Accepted.Add(j.Spec.Deadline)) {
		return cakind.New(cakind.KindDeadlineBeforeStart, "the deadline has passed")
	}
	shapes := slices.Concat(s.upstreams, s.remote.Shapes)
	if err := s.policy.CheckFeasible(j, shapes, s.Capacity().Plus(s.remote.Capacity)); err != nil {
		return err
	}
	if s.QueueLength(j.Team, j.Spec.Kind)+j.Spec.Tasks > s.policy.QueueLimit(j.Spec) {
		return cakind.New(cakind.KindOverloaded, "the queue is full").WithRetryAfter(time.Second)
	}
	s.add(j)
	return nil
}

func (s *Scheduler) add(j cawork.Job) *job {
	added := &job{Job: j}
	for i := range j.Spec.Tasks {
		ref := cawork.TaskRef{Job: j.ID, Index: i}
		added.tasks = append(added.tasks, &task{ref: ref, job: added, team: j.Team, kind: j.Spec.Kind, size: j.Spec.Size})
	}
	s.jobs = append(s.jobs, added)
	return added
}

// Restore implements casched.Scheduler.
func (s *Scheduler) Restore(r casched.RestoredJob, _ time.Time) error {
	if s.findJob(r.Job.ID) != nil {
		return cakind.New(cakind.KindConflict, "job %s already exists", r.Job.ID)
	}
	if err := casched.ValidateJob(r.Job); err != nil {
		return err
	}
	j := s.add(r.Job)
	for _, rt := range r.Tasks {
		t := j.tasks[rt.Index]
		t.phase, t.outcome, t.upstream, t.attempts = rt.Phase, rt.Outcome, rt.Upstream, rt.Attempts
		if !rt.Size.IsZero() {
			t.size = rt.Size
		}
	}
	return nil
}

// Cancel implements casched.Scheduler.
func (s *Scheduler) Cancel(id cawork.JobID, _ time.Time) (casched.Cancellation, error) {
	j := s.findJob(id)
	if j == nil {
		return casched.Cancellation{}, cakind.New(cakind.KindNotFound, "job %s does not exist", id)
	}
	j.ending = true
	var c casched.Cancellation
	for _, t := range j.tasks {
		switch t.phase {
		case casched.TaskPhaseQueued:
			t.end(cawork.OutcomeCanceled)
			c.NotRun++
		case casched.TaskPhaseOpen:
			t.stopping = true
			c.Running = append(c.Running, t.placement())
		}
	}
	_, c.Ended = s.finish(j)
	return c, nil
}

// Started implements casched.Scheduler.
func (s *Scheduler) Started(cawork.TaskRef, time.Time) {}

// StartFailed implements casched.Scheduler.
func (s *Scheduler) StartFailed(ref cawork.TaskRef, notRun bool, now time.Time) casched.AttemptResult {
	if !notRun {
		return casched.AttemptResult{}
	}
	return s.Ended(casched.AttemptEnd{Task: ref, State: cawork.TaskStateFenced}, now)
}

// Withdrawn implements casched.Scheduler.
func (s *Scheduler) Withdrawn(ref cawork.TaskRef, now time.Time) casched.AttemptResult {
	return s.Ended(casched.AttemptEnd{Task: ref, State: cawork.TaskStateAbsent}, now)
}

// Ended implements casched.Scheduler.
func (s *Scheduler) Ended(e casched.AttemptEnd, _ time.Time) casched.AttemptResult {
	t := s.openTask(e.Task)
	if t == nil {
		return casched.AttemptResult{}
	}
	if t.job == nil {
		s.foreign = slices.DeleteFunc(s.foreign, func(o *task) bool { return o == t })
		return casched.AttemptResult{WasOpen: true}
	}
	outcome, retry := casched.AttemptOutcome(t.job.Spec, e.State)
	switch e.State {
	case cawork.TaskStateCheckpointed, cawork.TaskStateAbsent:
		t.attempts--
	case cawork.TaskStateFenced:
		t.attempts--
		t.fencedStarts++
	}
	if t.job.ending && outcome != cawork.OutcomeDone {
		outcome, retry = cawork.OutcomeCanceled, false
	}
	out := casched.AttemptResult{WasOpen: true, Own: true}
	if retry && t.attempts < s.policy.AttemptLimit(t.job.Spec) && t.fencedStarts < s.policy.StartLimit(t.job.Spec) {
		t.phase, t.upstream, t.stopping = casched.TaskPhaseQueued, "", false
		out.Requeued = true
		return out
	}
	t.end(outcome)
	if outcome != cawork.OutcomeDone && t.kind == cawork.WorkKindGang {
		t.job.endGang()
	}
	out.Outcome = outcome
	out.JobOutcome, out.JobEnded = s.finish(t.job)
	return out
}

// endGang ends the queued tasks of a gang after a task that is not retried. Its
// open tasks are stopped by Decide.
func (j *job) endGang() {
	j.ending = true
	for _, t := range j.tasks {
		if t.phase == casched.TaskPhaseQueued {
			t.end(cawork.OutcomeNotRun)
		}
	}
}

// finish removes the job if all its tasks have ended. It returns the outcome of
// the job and whether it has ended.
func (s *Scheduler) finish(j *job) (cawork.Outcome, bool) {
	var counts casched.OutcomeCounts
	for _, t := range j.tasks {
		if t.phase != casched.TaskPhaseEnded {
			return cawork.OutcomePending, false
		}
		counts[t.outcome]++
	}
	s.jobs = slices.DeleteFunc(s.jobs, func(o *job) bool { return o == j })
	return counts.JobOutcome(), true
}

// Adopt implements casched.Scheduler.
func (s *Scheduler) Adopt(st caplatform.TaskStatus, upstream cawork.UpstreamID, _ time.Time) {
	if st.State != cawork.TaskStateRunning {
		return
	}
	if t := s.openTask(st.Task); t != nil {
		t.upstream, t.size = upstream, st.Size
		return
	}
	if j := s.findJob(st.Task.Job); j != nil {
		t := j.tasks[st.Task.Index]
		if t.phase == casched.TaskPhaseQueued {
			t.phase, t.upstream, t.size = casched.TaskPhaseOpen, upstream, st.Size
			t.attempts++
		}
		return
	}
	s.foreign = append(s.foreign, &task{
		ref: st.Task, team: st.Team, kind: st.Kind,
		phase: casched.TaskPhaseOpen, upstream: upstream, size: st.Size,
	})
}

// ReportUsage implements casched.Scheduler.
func (s *Scheduler) ReportUsage(cawork.TaskRef, cawork.Resources, time.Time) {}

// ReportUpstreamResult implements casched.Scheduler.
func (s *Scheduler) ReportUpstreamResult(cawork.UpstreamID, bool, time.Time) {}

func (s *Scheduler) findJob(id cawork.JobID) *job {
	for _, j := range s.jobs {
		if j.ID == id {
			return j
		}
	}
	return nil
}

// openTask returns the open task with the reference, of an own or a foreign job.
func (s *Scheduler) openTask(ref cawork.TaskRef) *task {
	for _, t := range s.openTasks() {
		if t.ref == ref {
			return t
		}
	}
	return nil
}

func (s *Scheduler) openTasks() []*task {
	var out []*task
	for _, j := range s.jobs {
		for _, t := range j.tasks {
			if t.phase == casched.TaskPhaseOpen {
				out = append(out, t)
			}
		}
	}
	return append(out, s.foreign...)
}

func (t *task) end(o cawork.Outcome) {
	t.phase, t.outcome, t.upstream = casched.TaskPhaseEnded, o, ""
}

func (t *task) placement() casched.Placement {
	return casched.Placement{Task: t.ref, Upstream: t.upstream, Size: t.size}
}
