package cajob

import (
	"cmp"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// AttemptsFound tells a shard that was rebuilt from the log what became of its
// attempts, after every upstream of the zone was fenced. The log may lack the
// records of some.
type AttemptsFound struct {
	// Settled are the ends of attempts that the log has as open.
	Settled []AttemptSettled
	// Found are the attempts at upstreams that the log has not as open.
	Found []FoundAttempt
}

// FoundAttempt is an attempt that an upstream knows, running or ended.
type FoundAttempt struct {
	Intent Intent
	State  cawork.TaskState
	Result []byte
}

// Unrecorded returns what a rebuilt shard has to take in before anything of it
// starts, and the attempts that run for no job of it, which are to be stopped
// first.
func (s *State) Unrecorded(now time.Time, answers []FenceAnswer) (AttemptsFound, []Orphan) {
	var found AttemptsFound
	var orphans []Orphan
	for _, r := range s.Settle(now, answers, nil).Resolutions {
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
			takes := known && j.IsOpen() && t.Task.Index >= 0 && t.Task.Index < len(j.Tasks)
			switch {
			case takes:
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

// IsRebuilt reports whether the shard was rebuilt from the log and may yet lack
// records.
func (s *State) IsRebuilt() bool { return s.account.Frozen }

// IsToSettle reports whether a rebuilt shard has taken in its attempts and is
// to be settled with the other shards.
func (s *State) IsToSettle() bool { return s.account.Frozen && s.taken }

// takeFound folds the attempts that the log lacked. Ended ones go first, so
// that a task that runs again is open with its last attempt.
func (s *State) takeFound(r AttemptsFound, at time.Time) {
	s.taken = true
	for _, end := range r.Settled {
		// One that was settled since is of no matter any more.
		_ = s.settle(end)
	}
	seen := map[cawork.TaskRef]int{}
	for _, f := range r.Found {
		if f.State != cawork.TaskStateCheckpointed {
			seen[f.Intent.Task]++
		}
	}
	for _, running := range []bool{false, true} {
		for _, f := range r.Found {
			if running == (f.State == cawork.TaskStateRunning) {
				s.takeFoundAttempt(f, seen[f.Intent.Task], at)
			}
		}
	}
}

func (s *State) takeFoundAttempt(f FoundAttempt, count int, at time.Time) {
	j, ok := s.jobs[f.Intent.Task.Job]
	if !ok || !j.IsOpen() {
		return
	}
	t := &j.Tasks[f.Intent.Task.Index]
	t.Attempts = max(t.Attempts, count)
	if f.State != cawork.TaskStateRunning {
		t.found(f, j.Job.Spec, j.maxAttempts())
		return
	}
	if _, open := s.attempts[f.Intent.Attempt]; open || t.Open != "" {
		return
	}
	// What runs is charged whether or not the allowance covers it: a debt is
	// collected like any other.
	s.account.ChargeRunning(j.Job.Team, f.Intent.Charge)
	s.openAttempt(j, f.Intent, at)
	t.Attempts = max(t.Attempts-1, count)
}

// found folds an attempt that has ended and was not recorded.
func (t *Task) found(f FoundAttempt, spec cawork.JobSpec, limit int) {
	t.Ran = true
	t.MayHaveRun = t.MayHaveRun || f.State != cawork.TaskStateCheckpointed
	switch {
	case t.Outcome != cawork.OutcomePending:
	case f.State == cawork.TaskStateDone:
		t.Outcome = cawork.OutcomeDone
		t.Result = f.Result
	case t.Open == "" && !(t.mayRepeat(spec) && t.Attempts < limit):
		t.Outcome = t.endedBadly()
	}
}
