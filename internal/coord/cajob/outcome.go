package cajob

import (
	"slices"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// DerivedOutcome derives the outcome of the job from its tasks. It returns
// OutcomePending while an attempt is open or a task may still be attempted.
func (j *Job) DerivedOutcome() cawork.Outcome {
	if j.Outcome != cawork.OutcomePending {
		return j.Outcome
	}
	if j.HasOpenAttempt() {
		return cawork.OutcomePending
	}
	if j.Canceled && !j.allDone() && !j.hasUnknown() {
		return cawork.OutcomeCanceled
	}
	if combined := j.combinedOutcome(); combined != cawork.OutcomePending {
		return combined
	}
	if j.Canceled {
		return cawork.OutcomeCanceled
	}
	return cawork.OutcomePending
}

func (j *Job) hasUnknown() bool {
	return slices.ContainsFunc(j.Tasks, func(t Task) bool { return t.Outcome == cawork.OutcomeUnknown })
}

// combinedOutcome combines the outcomes of the tasks into that of the job. A job
// of which some task is done and another never ran has failed.
func (j *Job) combinedOutcome() cawork.Outcome {
	counts := map[cawork.Outcome]int{}
	for i := range j.Tasks {
		counts[j.Tasks[i].Outcome]++
	}
	switch {
	case counts[cawork.OutcomePending] > 0 && (j.Canceled || !j.isUnrestartableGang(counts)):
		return cawork.OutcomePending
	case counts[cawork.OutcomeUnknown] > 0:
		return cawork.OutcomeUnknown
	case counts[cawork.OutcomeFailed] > 0:
		return cawork.OutcomeFailed
	case counts[cawork.OutcomeNotRun] == 0:
		return cawork.OutcomeDone
	case j.mayHaveRun():
		return j.failedOrUnknown()
	default:
		return cawork.OutcomeNotRun
	}
}

// isUnrestartableGang reports whether the job is a gang that cannot start again
// because one of its tasks ended without success.
func (j *Job) isUnrestartableGang(counts map[cawork.Outcome]int) bool {
	unsuccessful := counts[cawork.OutcomeUnknown] + counts[cawork.OutcomeFailed] + counts[cawork.OutcomeNotRun]
	return j.Job.Spec.Kind == cawork.WorkKindGang && unsuccessful > 0
}

// AllowsOutcome reports whether the outcome is consistent with the tasks, so that it
// may be reported to the caller.
func (j *Job) AllowsOutcome(o cawork.Outcome) bool {
	if j.HasOpenAttempt() {
		return false
	}
	switch o {
	case cawork.OutcomeDone:
		return j.allDone()
	case cawork.OutcomeNotRun:
		return !j.mayHaveRun()
	case cawork.OutcomeFailed:
		return !j.allDone() && j.hasRun()
	case cawork.OutcomeUnknown:
		return !j.allDone() && j.mayHaveRun()
	case cawork.OutcomeCanceled:
		return j.Canceled && !j.allDone()
	default:
		return false
	}
}

// failedOrUnknown returns the outcome of an unsuccessful job of which some task
// may have run.
func (j *Job) failedOrUnknown() cawork.Outcome {
	if j.hasRun() {
		return cawork.OutcomeFailed
	}
	return cawork.OutcomeUnknown
}

func (j *Job) allDone() bool {
	for i := range j.Tasks {
		if j.Tasks[i].Outcome != cawork.OutcomeDone {
			return false
		}
	}
	return true
}

func (j *Job) hasRun() bool {
	for i := range j.Tasks {
		if j.Tasks[i].Ran {
			return true
		}
	}
	return false
}

func (j *Job) mayHaveRun() bool {
	for i := range j.Tasks {
		if j.Tasks[i].MayHaveRun || j.Tasks[i].Ran {
			return true
		}
	}
	return false
}
