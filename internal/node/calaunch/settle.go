package calaunch

import (
	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/cajob"
	"celeryarch.example/celeryarch/internal/core/casched"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// settlement is the end of an attempt that is being recorded.
type settlement struct {
	attempt  *attempt
	status   caplatform.TaskStatus
	observed bool
}

// settle records that an attempt has ended. Observed is false if the end is
// inferred from a lapsed lease.
func (l *Launcher) settle(a *attempt, s caplatform.TaskStatus, observed bool) {
	a.phase = phaseSettling
	l.proposeSettlement(settlement{attempt: a, status: s, observed: observed})
}

func (l *Launcher) proposeSettlement(s settlement) {
	record := cajob.AttemptSettled{
		Attempt:  s.attempt.id,
		State:    s.status.State,
		Observed: s.observed,
		Result:   s.status.Result,
	}
	err := l.propose(s.attempt.shard, cajob.Record{Type: cajob.RecordAttemptSettled, AttemptSettled: &record}, func(err error) {
		l.settlementRecorded(s, err)
	})
	if err != nil {
		l.unrecordedSettlements = append(l.unrecordedSettlements, s)
	}
}

// settlementRecorded frees the capacity of the attempt once its end has taken
// effect.
func (l *Launcher) settlementRecorded(s settlement, err error) {
	a := s.attempt
	if l.attempts[a.id] != a {
		return
	}
	if err != nil && cakind.Of(err) != cakind.KindNotFound {
		l.unrecordedSettlements = append(l.unrecordedSettlements, s)
		return
	}
	l.untrack(a)
	result := l.reportEnd(a, s.status)
	caevent.Info(l.Logger, caevent.TaskEnded).Str("task", a.task.String()).Str("attempt", string(a.id)).
		Str("upstream", string(a.upstream)).Str("state", s.status.State.String()).Bool("observed", s.observed).
		Bool("requeued", result.Requeued).Dur("elapsed_ms", s.status.Elapsed).Send()
	l.reconcile(a.task.Job)
	if result.JobEnded {
		l.giveUpJob(a.task.Job, reasonNoAttemptLeft)
	}
}

// reportEnd reports the end of an attempt to the scheduler.
func (l *Launcher) reportEnd(a *attempt, s caplatform.TaskStatus) casched.AttemptResult {
	if s.State == cawork.TaskStateAbsent || s.State == cawork.TaskStateFenced {
		return l.Scheduler.StartFailed(a.task, true, l.now())
	}
	return l.Scheduler.Ended(casched.AttemptEnd{Task: a.task, State: s.State, Used: s.Used, Elapsed: s.Elapsed}, l.now())
}

// retrySettlements proposes settlements again that could not be recorded.
func (l *Launcher) retrySettlements() {
	unrecorded := l.unrecordedSettlements
	l.unrecordedSettlements = nil
	for _, s := range unrecorded {
		if l.attempts[s.attempt.id] == s.attempt {
			l.proposeSettlement(s)
		}
	}
}

// reconcile ends a job whose outcome is determined by its tasks.
func (l *Launcher) reconcile(id cawork.JobID) {
	outcome := cawork.OutcomePending
	l.readState(l.currentShard(id), func(s *cajob.State) { outcome = s.DerivedOutcome(id) })
	if outcome != cawork.OutcomePending {
		l.endJob(id, outcome, "")
	}
}

// reasonNoAttemptLeft is the reason for ending jobs whose tasks get no further
// attempt.
const reasonNoAttemptLeft = "no_attempt_left"

// endJob records the final outcome of a job, with a reason if the job was given
// up.
func (l *Launcher) endJob(id cawork.JobID, outcome cawork.Outcome, reason string) {
	record := cajob.JobEnded{Job: id, Outcome: outcome, Result: []byte(reason)}
	err := l.propose(l.currentShard(id), cajob.Record{Type: cajob.RecordJobEnded, JobEnded: &record}, func(err error) {
		l.jobEnded(id, outcome, err)
	})
	if err != nil {
		l.unrecordedEnds[id] = struct{}{}
	}
}

func (l *Launcher) jobEnded(id cawork.JobID, outcome cawork.Outcome, err error) {
	if err != nil {
		return
	}
	delete(l.unrecordedEnds, id)
	caevent.Info(l.Logger, caevent.JobEnded).Str("job", string(id)).Str("outcome", outcome.String()).Send()
	l.Scope.Counter("jobs_" + outcome.String()).Inc(1)
	l.notifyWaiters(id)
}

// retryJobEnds ends jobs again whose end could not be recorded.
func (l *Launcher) retryJobEnds() {
	for id := range l.unrecordedEnds {
		delete(l.unrecordedEnds, id)
		l.reconcile(id)
	}
}

// giveUpJob ends a job that the scheduler has given up, with the most favorable
// outcome that is true of it.
func (l *Launcher) giveUpJob(id cawork.JobID, reason string) {
	outcome := cawork.OutcomePending
	l.readState(l.currentShard(id), func(s *cajob.State) {
		j, ok := s.Job(id)
		if !ok || !j.IsOpen() {
			return
		}
		outcome = finalOutcome(&j)
	})
	if outcome != cawork.OutcomePending {
		l.endJob(id, outcome, reason)
	}
}

// finalOutcome returns the most favorable outcome that is true of a job that
// gets no further attempt.
func finalOutcome(j *cajob.Job) cawork.Outcome {
	for _, o := range []cawork.Outcome{
		cawork.OutcomeDone, cawork.OutcomeNotRun, cawork.OutcomeFailed, cawork.OutcomeUnknown,
	} {
		if j.AllowsOutcome(o) {
			return o
		}
	}
	return cawork.OutcomePending
}
