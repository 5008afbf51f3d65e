package cajob

import (
	"cmp"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// AttemptsFound holds the states of the attempts of a shard that was rebuilt
// from the log, as reported after every upstream of the zone was fenced. The
// log may lack the records of some attempts.
type AttemptsFound struct {
	// Settled holds the ends of attempts that are open according to the log.
	Settled []AttemptSettled
	// Found holds attempts that upstreams reported and that are not open
	// according to the log.
	Found []FoundAttempt
}

// FoundAttempt is an attempt that an upstream reported, running or ended.
type FoundAttempt struct {
	Intent Intent
	State  cawork.TaskState
	Result []byte
}

// UnrecordedAttempts returns the record that a rebuilt shard must apply before it starts
// any attempt. It also returns the attempts that run without an open job of the
// shard, which must be stopped first.
func (s *State) UnrecordedAttempts(now time.Time, answers []FenceAnswer) (AttemptsFound, []Orphan) {
	var found AttemptsFound
	var orphans []Orphan
	for _, r := range s.ResolveAttempts(now, answers, nil).Resolutions {
		if r.Fate == FateSettle {
			found.Settled = append(found.Settled, r.Settled)
		}
	}
	for _, answer := range answers {
		for _, t := range answer.Tasks {
			if _, open := s.attempts[t.Attempt]; open || t.State == cawork.TaskStateFenced || t.State == cawork.TaskStateAbsent {
				continue
			}
			j, known := s.jobs[t.Task.Job]
			isOpenTask := known && j.IsOpen() && t.Task.Index >= 0 && t.Task.Index < len(j.Tasks)
			switch {
			case isOpenTask:
				found.Found = append(found.Found, FoundAttempt{
					Intent: Intent{Attempt: t.Attempt, Task: t.Task, Upstream: answer.Upstream, Charge: t.Size, View: answer.View - 1},
					State:  t.State, Result: t.Result,
				})
			case t.State == cawork.TaskStateRunning:
				orphans = append(orphans, Orphan{Upstream: answer.Upstream, Attempt: t.Attempt})
			}
		}
	}
	slices.SortFunc(found.Found, func(x, y FoundAttempt) int { return cmp.Compare(x.Intent.Attempt, y.Intent.Attempt) })
	return found, orphans
}

// IsRebuilding reports whether the shard was rebuilt from the log and may still
// lack records, that is, RecordThawed was not applied yet.
func (s *State) IsRebuilding() bool { return s.account.Frozen }

// NeedsSettlement reports whether a rebuilt shard has applied RecordAttemptsFound and
// must now be settled with the other shards.
func (s *State) NeedsSettlement() bool { return s.account.Frozen && s.foundApplied }

// applyAttemptsFound adds the attempts that the log lacks. It adds ended ones
// before running ones, so that a task that was retried ends up open with its
// last attempt.
func (s *State) applyAttemptsFound(r AttemptsFound, at time.Time) {
	s.foundApplied = true
	for _, end := range r.Settled {
		// Ignore the error of an attempt that was settled in the meantime.
		_ = s.settleAttempt(end)
	}
	counts := map[cawork.TaskRef]int{}
	for _, f := range r.Found {
		if f.State != cawork.TaskStateCheckpointed {
			counts[f.Intent.Task]++
		}
	}
	for _, running := range []bool{false, true} {
		for _, f := range r.Found {
			if running == (f.State == cawork.TaskStateRunning) {
				s.applyFoundAttempt(f, counts[f.Intent.Task], at)
			}
		}
	}
}

func (s *State) applyFoundAttempt(f FoundAttempt, count int, at time.Time) {
	j, ok := s.jobs[f.Intent.Task.Job]
	if !ok || !j.IsOpen() {
		return
	}
	t := &j.Tasks[f.Intent.Task.Index]
	t.Attempts = max(t.Attempts, count)
	if f.State != cawork.TaskStateRunning {
		t.addEndedAttempt(f, j.Job.Spec, j.maxAttempts())
		return
	}
	if _, open := s.attempts[f.Intent.Attempt]; open || t.Open != "" {
		return
	}
	// A running attempt is charged even if the allowance does not cover it. The
	// resulting debt is collected like any other.
	s.account.ChargeRunning(j.Job.Team, f.Intent.Charge)
	s.addAttempt(j, f.Intent, at)
	t.Attempts = max(t.Attempts-1, count)
}

// addEndedAttempt updates the task with an ended attempt that the log lacks.
func (t *Task) addEndedAttempt(f FoundAttempt, spec cawork.JobSpec, maxAttempts int) {
	t.Ran = true
	t.MayHaveRun = t.MayHaveRun || f.State != cawork.TaskStateCheckpointed
	switch {
	case t.Outcome != cawork.OutcomePending:
	case f.State == cawork.TaskStateDone:
		t.Outcome = cawork.OutcomeDone
		t.Result = f.Result
	case t.Open == "" && !(t.mayRetry(spec) && t.Attempts < maxAttempts):
		t.Outcome = t.unsuccessfulOutcome()
	}
}
