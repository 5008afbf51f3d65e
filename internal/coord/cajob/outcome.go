package cajob

import (
	"slices"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Verdict returns the outcome that the job has earned, OutcomePending while
// tasks are open or may still be attempted.
func (j *Job) Verdict() cawork.Outcome {
	if j.Outcome != cawork.OutcomePending {
		return j.Outcome
	}
	if j.HasOpenAttempt() {
		return cawork.OutcomePending
	}
	if j.Canceled && !j.allDone() && !j.hasUnknown() {
		return cawork.OutcomeCanceled
	}
	if worst := j.worstTask(); worst != cawork.OutcomePending {
		return worst
	}
	if j.Canceled {
		return cawork.OutcomeCanceled
	}
	return cawork.OutcomePending
}

func (j *Job) hasUnknown() bool {
	return slices.ContainsFunc(j.Tasks, func(t Task) bool { return t.Outcome == cawork.OutcomeUnknown })
}

// worstTask folds the outcomes of the tasks. A job of which some task is done
// and another never ran has failed.
func (j *Job) worstTask() cawork.Outcome {
	count := map[cawork.Outcome]int{}
	for i := range j.Tasks {
		count[j.Tasks[i].Outcome]++
	}
	switch {
	case count[cawork.OutcomePending] > 0 && (j.Canceled || !j.isLostGang(count)):
		return cawork.OutcomePending
	case count[cawork.OutcomeUnknown] > 0:
		return cawork.OutcomeUnknown
	case count[cawork.OutcomeFailed] > 0:
		return cawork.OutcomeFailed
	case count[cawork.OutcomeNotRun] == 0:
		return cawork.OutcomeDone
	case j.mayHaveRun():
		return j.badOutcome()
	default:
		return cawork.OutcomeNotRun
	}
}

// isLostGang reports whether a gang cannot start again because one of its
// tasks ended badly.
func (j *Job) isLostGang(count map[cawork.Outcome]int) bool {
	bad := count[cawork.OutcomeUnknown] + count[cawork.OutcomeFailed] + count[cawork.OutcomeNotRun]
	return j.Job.Spec.Kind == cawork.WorkKindGang && bad > 0
}

// IsTrue reports whether the outcome may be told to the caller.
func (j *Job) IsTrue(o cawork.Outcome) bool {
	if j.HasOpenAttempt() {
		return false
	}
	switch o {
	case cawork.OutcomeDone:
		return j.allDone()
	case cawork.OutcomeNotRun:
		return !j.mayHaveRun()
	case cawork.OutcomeFailed:
		return !j.allDone() && j.ran()
	case cawork.OutcomeUnknown:
		return !j.allDone() && j.mayHaveRun()
	case cawork.OutcomeCanceled:
		return j.Canceled && !j.allDone()
	default:
		return false
	}
}

// badOutcome returns the outcome of a job that ended badly after some task
// may have run.
func (j *Job) badOutcome() cawork.Outcome {
	if j.ran() {
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

func (j *Job) ran() bool {
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
