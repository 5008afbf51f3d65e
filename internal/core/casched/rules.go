package casched

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// MaxTasks is the maximum number of tasks of one job.
const MaxTasks = 100_000

// ValidateJob returns an error of KindInvalid for a job that cannot be queued.
func ValidateJob(j cawork.Job) error {
	s := j.Spec
	if j.ID == "" || j.Team == "" {
		return cakind.New(cakind.KindInvalid, "a job needs an id and a team")
	}
	if !s.Kind.IsAWorkKind() {
		return cakind.New(cakind.KindInvalid, "unknown kind of work %d", s.Kind)
	}
	if s.Tasks < 1 || s.Tasks > MaxTasks {
		return cakind.New(cakind.KindInvalid, "a job of %d tasks, allowed are 1 to %d", s.Tasks, MaxTasks)
	}
	if s.Size.IsNegative() || s.RunTime < 0 || s.Deadline < 0 || s.MaxAttempts < 0 {
		return cakind.New(cakind.KindInvalid, "a size, time or count is negative")
	}
	return nil
}

// DueTime returns the time by which the job is due to start. The jobs of a team are
// ordered by this time, which never changes. A job therefore precedes all jobs
// that are accepted more than its aging period later, except for urgent ones and
// those whose run time exceeds their deadline.
//
// Example: with an aging of 10 min, a batch job accepted at 12:00 is due at
// 12:10. With a deadline of 8 min and a run time of 5 min it is due at 12:03,
// and with an urgent lead of 1 h an urgent one is due at 11:10.
func (p Policy) DueTime(j cawork.Job, runTime time.Duration) time.Time {
	k := p.Kind(j.Spec.Kind)
	due := j.Accepted.Add(k.Aging)
	if j.Spec.Deadline > 0 {
		latest := j.Accepted.Add(j.Spec.Deadline - runTime)
		if latest.Before(due) {
			due = latest
		}
	}
	if j.Spec.Urgent {
		due = due.Add(-k.UrgentLead)
	}
	return due
}

// AttemptLimit returns the maximum number of attempts of each task of the job.
func (p Policy) AttemptLimit(s cawork.JobSpec) int {
	bound := max(1, p.Kind(s.Kind).MaxAttempts)
	if s.MaxAttempts > 0 {
		return min(bound, s.MaxAttempts)
	}
	return bound
}

// startsPerAttempt is the number of failed starts that a task may have for each
// attempt that it may make.
const startsPerAttempt = 10

// StartLimit returns the maximum number of failed starts of each task of the job.
// Only starts that are proved not to have run count, and they are counted apart
// from the attempts that ran.
func (p Policy) StartLimit(s cawork.JobSpec) int { return startsPerAttempt * p.AttemptLimit(s) }

// QueueLimit returns the maximum number of queued tasks of the team and kind,
// including those of the job, at which the job is accepted.
func (p Policy) QueueLimit(s cawork.JobSpec) int {
	k := p.Kind(s.Kind)
	if s.Urgent {
		return k.QueueBound + k.UrgentHeadroom
	}
	return k.QueueBound
}

// CheckFeasible returns an error of KindNeverFits when the job could not run even if
// the cell were empty: it exceeds the limit of its team or the cell, or no shape
// could hold one of its tasks. The error states the largest size that would fit.
// The shapes are one upstream of each distinct shape; without any, only the limit
// is checked.
func (p Policy) CheckFeasible(j cawork.Job, shapes []Upstream, cellCapacity cawork.Resources) error {
	s := j.Spec
	startSize := s.Size
	if s.Kind == cawork.WorkKindGang {
		startSize = s.Size.Times(int64(s.Tasks))
	}
	if t, ok := p.Team(j.Team); ok && !startSize.Fits(t.Limit) {
		return cakind.New(cakind.KindNeverFits,
			"%v exceed the limit of the team, the largest that would fit: %v", startSize, t.Limit)
	}
	if len(shapes) == 0 {
		return nil
	}
	var largest cawork.Resources
	for _, u := range shapes {
		if !u.Admits(s.Constraints) {
			continue
		}
		if s.Size.Fits(u.Capacity) && startSize.Fits(cellCapacity) {
			return nil
		}
		if u.Capacity.DominantShare(cellCapacity) > largest.DominantShare(cellCapacity) {
			largest = u.Capacity
		}
	}
	if !startSize.Fits(cellCapacity) {
		return cakind.New(cakind.KindNeverFits,
			"%v in total exceed the capacity of the cell, the largest that would fit: %v", startSize, cellCapacity)
	}
	return cakind.New(cakind.KindNeverFits,
		"no upstream holds %v under the constraints, the largest that would fit: %v", s.Size, largest)
}

// OutcomeCounts counts the tasks of a job by their outcome.
type OutcomeCounts [int(cawork.OutcomeCanceled) + 1]int

// JobOutcome returns the outcome of a job whose tasks have all ended with the counted
// outcomes.
func (c OutcomeCounts) JobOutcome() cawork.Outcome {
	switch {
	case c[cawork.OutcomeUnknown] > 0:
		return cawork.OutcomeUnknown
	case c[cawork.OutcomeFailed] > 0:
		return cawork.OutcomeFailed
	case c[cawork.OutcomeCanceled] > 0:
		return cawork.OutcomeCanceled
	case c[cawork.OutcomeNotRun] > 0 && c[cawork.OutcomeDone] > 0:
		return cawork.OutcomeFailed
	case c[cawork.OutcomeNotRun] > 0:
		return cawork.OutcomeNotRun
	default:
		return cawork.OutcomeDone
	}
}
