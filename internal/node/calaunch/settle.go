package calaunch

import (
	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/cajob"
	"celeryarch.example/celeryarch/internal/core/casched"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// settlement is the end of an attempt on its way to the shard.
type settlement struct {
	attempt  *attempt
	status   caplatform.TaskStatus
	observed bool
}

// settle records that an attempt is over. Observed is false when the end is
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
		l.settled(s, err)
	})
	if err != nil {
		l.unsent = append(l.unsent, s)
	}
}

// settled frees what the attempt held once its end has taken effect.
func (l *Launcher) settled(s settlement, err error) {
	a := s.attempt
	if l.attempts[a.id] != a {
		return
	}
	if err != nil && cakind.Of(err) != cakind.KindNotFound {
		l.unsent = append(l.unsent, s)
		return
	}
	l.forget(a)
	result := l.report(a, s.status)
	caevent.Info(l.Logger, caevent.TaskEnded).Str("task", a.task.String()).Str("attempt", string(a.id)).
		Str("upstream", string(a.upstream)).Str("state", s.status.State.String()).Bool("observed", s.observed).
		Bool("requeued", result.Requeued).Dur("elapsed_ms", s.status.Elapsed).Send()
	l.reconcile(a.task.Job)
	if result.JobEnded {
		l.refuse(a.task.Job, reasonNoAttemptLeft)
	}
}

// report tells the scheduler of the end of an attempt.
func (l *Launcher) report(a *attempt, s caplatform.TaskStatus) casched.Settlement {
	if s.State == cawork.TaskStateAbsent || s.State == cawork.TaskStateFenced {
		return l.Scheduler.StartFailed(a.task, true, l.now())
	}
	return l.Scheduler.Ended(casched.End{Task: a.task, State: s.State, Used: s.Used, Elapsed: s.Elapsed}, l.now())
}

// retrySettlements proposes again what the shard could not take.
func (l *Launcher) retrySettlements() {
	waiting := l.unsent
	l.unsent = nil
	for _, s := range waiting {
		if l.attempts[s.attempt.id] == s.attempt {
			l.proposeSettlement(s)
		}
	}
}

// reconcile ends a job that has earned its outcome.
func (l *Launcher) reconcile(id cawork.JobID) {
	verdict := cawork.OutcomePending
	l.readState(l.home(id), func(s *cajob.State) { verdict = s.Verdict(id) })
	if verdict != cawork.OutcomePending {
		l.end(id, verdict, "")
	}
}

// reasonNoAttemptLeft is told of jobs whose tasks get no further attempt.
const reasonNoAttemptLeft = "no_attempt_left"

// end records the final outcome of a job, with the reason when it was given up.
func (l *Launcher) end(id cawork.JobID, outcome cawork.Outcome, reason string) {
	record := cajob.JobEnded{Job: id, Outcome: outcome, Result: []byte(reason)}
	err := l.propose(l.home(id), cajob.Record{Type: cajob.RecordJobEnded, JobEnded: &record}, func(err error) {
		l.ended(id, outcome, err)
	})
	if err != nil {
		l.unended[id] = struct{}{}
	}
}

func (l *Launcher) ended(id cawork.JobID, outcome cawork.Outcome, err error) {
	if err != nil {
		return
	}
	delete(l.unended, id)
	caevent.Info(l.Logger, caevent.JobEnded).Str("job", string(id)).Str("outcome", outcome.String()).Send()
	l.Scope.Counter("jobs_" + outcome.String()).Inc(1)
	l.wake(id)
}

// retryEnds ends jobs whose final record the shard could not take.
func (l *Launcher) retryEnds() {
	for id := range l.unended {
		delete(l.unended, id)
		l.reconcile(id)
	}
}

// refuse ends a job that the scheduler has given up. The outcome is the best
// one that is true.
func (l *Launcher) refuse(id cawork.JobID, reason string) {
	outcome := cawork.OutcomePending
	l.readState(l.home(id), func(s *cajob.State) {
		j, ok := s.Job(id)
		if !ok || !j.IsOpen() {
			return
		}
		outcome = truthful(&j)
	})
	if outcome != cawork.OutcomePending {
		l.end(id, outcome, reason)
	}
}

// truthful returns the outcome of a job that gets no further attempt.
func truthful(j *cajob.Job) cawork.Outcome {
	for _, o := range []cawork.Outcome{
		cawork.OutcomeDone, cawork.OutcomeNotRun, cawork.OutcomeFailed, cawork.OutcomeUnknown,
	} {
		if j.IsTrue(o) {
			return o
		}
	}
	return cawork.OutcomePending
}
