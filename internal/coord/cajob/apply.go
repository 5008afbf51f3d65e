package cajob

import (
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

func (s *State) acceptJob(r JobAccepted) error {
	if err := s.checkAccepted(r); err != nil {
		return err
	}
	tasks := slices.Clone(r.Tasks)
	if len(tasks) == 0 {
		tasks = make([]Task, r.Job.Spec.Tasks)
	}
	j := &Job{Job: r.Job, Key: r.Key, Digest: r.Digest, Tasks: tasks, Canceled: r.Canceled}
	if len(tasks) != r.Job.Spec.Tasks || j.HasOpenAttempt() {
		return cakind.New(cakind.KindInvalid, "job %s has an unexpected number of tasks, %d, or an open attempt", r.Job.ID, len(tasks))
	}
	s.removeFromEnded(r.Job.ID)
	s.jobs[r.Job.ID] = j
	s.indexJob(r.Job.ID, j)
	if r.From != "" {
		s.handedFrom[r.From] = r.Number
	}
	return nil
}

// removeFromEnded removes a job that was handed over from the ended jobs, since
// another shard now hands it back.
func (s *State) removeFromEnded(id cawork.JobID) {
	if _, ok := s.jobs[id]; ok {
		s.endedJobs = slices.DeleteFunc(s.endedJobs, func(e cawork.JobID) bool { return e == id })
	}
}

func (s *State) checkAccepted(r JobAccepted) error {
	id := r.Job.ID
	if id == "" || r.Job.Spec.Tasks < 1 {
		return cakind.New(cakind.KindInvalid, "job %q has %d tasks", id, r.Job.Spec.Tasks)
	}
	if r.From != "" {
		return s.checkHandover(r)
	}
	if known, ok := s.JobByKey(r.Job.Team, r.Key); ok && known.Job.ID != id {
		return cakind.New(cakind.KindConflict, "key %q belongs to job %s", r.Key, known.Job.ID)
	}
	if _, ok := s.jobs[id]; ok {
		return cakind.New(cakind.KindConflict, "job %s is already accepted", id)
	}
	return nil
}

// checkHandover accepts handovers from another shard in order of their numbers
// and each number once. A late duplicate is thus refused even after the job
// has ended and was pruned.
func (s *State) checkHandover(r JobAccepted) error {
	expected := s.handedFrom[r.From] + 1
	switch {
	case r.Number < expected:
		return cakind.New(cakind.KindConflict, "job %s was already accepted from shard %s", r.Job.ID, r.From)
	case r.Number > expected:
		return cakind.New(cakind.KindUnavailable, "job %s has handover number %d from shard %s, want %d", r.Job.ID, r.Number, r.From, expected)
	}
	if j, ok := s.jobs[r.Job.ID]; ok && j.HandedTo == "" {
		return cakind.New(cakind.KindInternal, "job %s from shard %s is already in this shard", r.Job.ID, r.From)
	}
	return nil
}

// addAttempts opens all attempts of the record, or none on an error.
func (s *State) addAttempts(r AttemptsIntended, at time.Time) error {
	if len(r.Attempts) == 0 {
		return cakind.New(cakind.KindInvalid, "record has no attempts")
	}
	j, err := s.findOpenJob(r.Attempts[0].Task.Job)
	if err != nil {
		return err
	}
	if err := s.checkIntents(j, r.Attempts); err != nil {
		return err
	}
	var total cawork.Resources
	for _, intent := range r.Attempts {
		total = total.Plus(intent.Charge)
	}
	if err := s.account.Charge(j.Job.Team, total); err != nil {
		return err
	}
	for _, intent := range r.Attempts {
		s.addAttempt(j, intent, at)
	}
	return nil
}

func (s *State) addAttempt(j *Job, intent Intent, at time.Time) {
	t := &j.Tasks[intent.Task.Index]
	t.Open = intent.Attempt
	t.Attempts++
	s.attempts[intent.Attempt] = &Attempt{
		ID: intent.Attempt, Task: intent.Task, Team: j.Job.Team,
		Upstream: intent.Upstream, Charge: intent.Charge, View: intent.View, Intended: at,
	}
}

func (s *State) findOpenJob(id cawork.JobID) (*Job, error) {
	j, ok := s.jobs[id]
	if !ok {
		return nil, cakind.New(cakind.KindNotFound, "job %s is unknown", id)
	}
	if !j.IsOpen() {
		return nil, cakind.New(cakind.KindConflict, "job %s has ended or was handed over", id)
	}
	return j, nil
}

func (s *State) checkIntents(j *Job, intents []Intent) error {
	seenTasks := map[int]bool{}
	seenAttempts := map[cawork.AttemptID]bool{}
	for _, intent := range intents {
		if intent.Task.Job != j.Job.ID || seenTasks[intent.Task.Index] || seenAttempts[intent.Attempt] {
			return cakind.New(cakind.KindInvalid, "attempt %s of task %v is repeated or belongs to another job", intent.Attempt, intent.Task)
		}
		seenTasks[intent.Task.Index] = true
		seenAttempts[intent.Attempt] = true
		if err := s.checkIntent(j, intent); err != nil {
			return err
		}
	}
	return checkGang(j, len(intents))
}

func (s *State) checkIntent(j *Job, intent Intent) error {
	if intent.Task.Index < 0 || intent.Task.Index >= len(j.Tasks) || intent.Attempt == "" || intent.Charge.IsNegative() {
		return cakind.New(cakind.KindInvalid, "attempt %q of task %v is invalid", intent.Attempt, intent.Task)
	}
	if _, ok := s.attempts[intent.Attempt]; ok {
		return cakind.New(cakind.KindConflict, "attempt %s is already open", intent.Attempt)
	}
	t := &j.Tasks[intent.Task.Index]
	switch {
	case j.Canceled:
		return cakind.New(cakind.KindCanceled, "job %s is canceled", j.Job.ID)
	case t.Open != "":
		return cakind.New(cakind.KindConflict, "task %v has the open attempt %s", intent.Task, t.Open)
	case t.Outcome != cawork.OutcomePending:
		return cakind.New(cakind.KindConflict, "task %v ended as %v", intent.Task, t.Outcome)
	case !t.mayRetry(j.Job.Spec):
		return cakind.New(cakind.KindConflict, "task %v may have run and is not idempotent", intent.Task)
	case t.Attempts >= j.maxAttempts():
		return cakind.New(cakind.KindConflict, "task %v already had %d attempts", intent.Task, t.Attempts)
	}
	return nil
}

// checkGang requires that one record starts all unfinished tasks of a gang.
func checkGang(j *Job, starting int) error {
	if j.Job.Spec.Kind != cawork.WorkKindGang {
		return nil
	}
	needed := 0
	for i := range j.Tasks {
		if j.Tasks[i].Outcome != cawork.OutcomeDone {
			needed++
		}
	}
	if starting != needed {
		return cakind.New(cakind.KindConflict, "gang %s must start %d tasks together, got %d", j.Job.ID, needed, starting)
	}
	return nil
}

func (s *State) settleAttempt(r AttemptSettled) error {
	a, ok := s.attempts[r.Attempt]
	if !ok {
		return cakind.New(cakind.KindNotFound, "attempt %s is not open", r.Attempt)
	}
	if !r.State.Ended() {
		return cakind.New(cakind.KindInvalid, "attempt %s in state %v may still run", r.Attempt, r.State)
	}
	if err := s.account.Free(a.Team, a.Charge); err != nil {
		return err
	}
	delete(s.attempts, r.Attempt)
	j := s.jobs[a.Task.Job]
	j.Tasks[a.Task.Index].settle(r, j.Job.Spec, j.maxAttempts())
	return nil
}

func (s *State) cancelJob(r JobCanceled) error {
	j, err := s.findOpenJob(r.Job)
	if err != nil {
		return err
	}
	j.Canceled = true
	return nil
}

func (s *State) endJob(r JobEnded, at time.Time) error {
	j, err := s.findOpenJob(r.Job)
	if err != nil {
		return err
	}
	if !j.AllowsOutcome(r.Outcome) {
		return cakind.New(cakind.KindConflict, "outcome %v contradicts the tasks of job %s", r.Outcome, r.Job)
	}
	j.Outcome = r.Outcome
	j.Result = r.Result
	s.openCount--
	s.retainEnded(j, at)
	return nil
}

// retainEnded keeps a job without its payload until its retention ends, so that
// callers can query it.
func (s *State) retainEnded(j *Job, at time.Time) {
	j.Ended = at
	j.Job.Spec.Payload = nil
	s.endedJobs = append(s.endedJobs, j.Job.ID)
}

func (s *State) handOverJob(r HandedOver) error {
	j, err := s.findOpenJob(r.Job)
	if err != nil {
		return err
	}
	if j.HasOpenAttempt() || r.To == s.shard || r.To == "" {
		return cakind.New(cakind.KindConflict, "job %s cannot be handed over to %q: open attempt or invalid shard", r.Job, r.To)
	}
	s.handedTo[r.To]++
	j.HandedTo = r.To
	j.HandoverNumber = s.handedTo[r.To]
	s.openCount--
	return nil
}

func (s *State) acknowledgeHandover(r HandoverAcked, at time.Time) error {
	j, ok := s.jobs[r.Job]
	if !ok || j.HandedTo == "" || j.HandoverAcked {
		return cakind.New(cakind.KindNotFound, "job %s is not being handed over", r.Job)
	}
	j.HandoverAcked = true
	s.retainEnded(j, at)
	return nil
}
