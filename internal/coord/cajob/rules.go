package cajob

import (
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

func (s *State) accept(r JobAccepted) error {
	if err := s.checkAccepted(r); err != nil {
		return err
	}
	tasks := slices.Clone(r.Tasks)
	if len(tasks) == 0 {
		tasks = make([]Task, r.Job.Spec.Tasks)
	}
	j := &Job{Job: r.Job, Key: r.Key, Digest: r.Digest, Tasks: tasks, Canceled: r.Canceled}
	if len(tasks) != r.Job.Spec.Tasks || j.HasOpenAttempt() {
		return cakind.New(cakind.KindInvalid, "job %s comes with %d tasks or open attempts", r.Job.ID, len(tasks))
	}
	s.forgetHandover(r.Job.ID)
	s.jobs[r.Job.ID] = j
	s.index(r.Job.ID, j)
	if r.From != "" {
		s.handedFrom[r.From] = r.Number
	}
	return nil
}

// forgetHandover makes room for a job that comes back to this shard.
func (s *State) forgetHandover(id cawork.JobID) {
	if _, ok := s.jobs[id]; ok {
		s.ended = slices.DeleteFunc(s.ended, func(e cawork.JobID) bool { return e == id })
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
	if known, ok := s.JobOfKey(r.Job.Team, r.Key); ok && known.Job.ID != id {
		return cakind.New(cakind.KindConflict, "key %q is of job %s", r.Key, known.Job.ID)
	}
	if _, ok := s.jobs[id]; ok {
		return cakind.New(cakind.KindConflict, "job %s is already accepted", id)
	}
	return nil
}

// checkHandover lets the jobs of another shard in by number, each once. So a
// late copy is refused even after the job has ended and was forgotten.
func (s *State) checkHandover(r JobAccepted) error {
	expected := s.handedFrom[r.From] + 1
	switch {
	case r.Number < expected:
		return cakind.New(cakind.KindConflict, "job %s was already accepted from shard %s", r.Job.ID, r.From)
	case r.Number > expected:
		return cakind.New(cakind.KindUnavailable, "job %s is %d from shard %s, want %d", r.Job.ID, r.Number, r.From, expected)
	}
	if j, ok := s.jobs[r.Job.ID]; ok && j.HandedTo == "" {
		return cakind.New(cakind.KindInternal, "job %s of shard %s is already here", r.Job.ID, r.From)
	}
	return nil
}

// intend opens attempts: all of the record or none.
func (s *State) intend(r AttemptsIntended, at time.Time) error {
	if len(r.Attempts) == 0 {
		return cakind.New(cakind.KindInvalid, "no attempts")
	}
	j, err := s.openJob(r.Attempts[0].Task.Job)
	if err != nil {
		return err
	}
	if err := s.checkIntents(j, r.Attempts); err != nil {
		return err
	}
	var total cawork.Resources
	for _, i := range r.Attempts {
		total = total.Plus(i.Charge)
	}
	if err := s.account.Charge(j.Job.Team, total); err != nil {
		return err
	}
	for _, i := range r.Attempts {
		s.openAttempt(j, i, at)
	}
	return nil
}

func (s *State) openAttempt(j *Job, i Intent, at time.Time) {
	t := &j.Tasks[i.Task.Index]
	t.Open = i.Attempt
	t.Attempts++
	s.attempts[i.Attempt] = &Attempt{
		ID: i.Attempt, Task: i.Task, Team: j.Job.Team,
		Upstream: i.Upstream, Charge: i.Charge, View: i.View, Intended: at,
	}
}

func (s *State) openJob(id cawork.JobID) (*Job, error) {
	j, ok := s.jobs[id]
	if !ok {
		return nil, cakind.New(cakind.KindNotFound, "job %s is unknown", id)
	}
	if !j.IsOpen() {
		return nil, cakind.New(cakind.KindConflict, "job %s is closed", id)
	}
	return j, nil
}

func (s *State) checkIntents(j *Job, intents []Intent) error {
	seen := map[int]bool{}
	ids := map[cawork.AttemptID]bool{}
	for _, i := range intents {
		if i.Task.Job != j.Job.ID || seen[i.Task.Index] || ids[i.Attempt] {
			return cakind.New(cakind.KindInvalid, "attempt %s of task %v does not belong here", i.Attempt, i.Task)
		}
		seen[i.Task.Index] = true
		ids[i.Attempt] = true
		if err := s.checkIntent(j, i); err != nil {
			return err
		}
	}
	return checkGang(j, len(intents))
}

func (s *State) checkIntent(j *Job, i Intent) error {
	if i.Task.Index < 0 || i.Task.Index >= len(j.Tasks) || i.Attempt == "" || i.Charge.IsNegative() {
		return cakind.New(cakind.KindInvalid, "attempt %q of task %v", i.Attempt, i.Task)
	}
	if _, ok := s.attempts[i.Attempt]; ok {
		return cakind.New(cakind.KindConflict, "attempt %s is already open", i.Attempt)
	}
	t := &j.Tasks[i.Task.Index]
	switch {
	case j.Canceled:
		return cakind.New(cakind.KindCanceled, "job %s is canceled", j.Job.ID)
	case t.Open != "":
		return cakind.New(cakind.KindConflict, "task %v has the open attempt %s", i.Task, t.Open)
	case t.Outcome != cawork.OutcomePending:
		return cakind.New(cakind.KindConflict, "task %v ended as %v", i.Task, t.Outcome)
	case !t.mayRepeat(j.Job.Spec):
		return cakind.New(cakind.KindConflict, "task %v may have run and is not idempotent", i.Task)
	case t.Attempts >= j.maxAttempts():
		return cakind.New(cakind.KindConflict, "task %v had %d attempts", i.Task, t.Attempts)
	}
	return nil
}

// checkGang requires that the tasks of a gang start in one record.
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
		return cakind.New(cakind.KindConflict, "gang %s needs %d tasks, %d start", j.Job.ID, needed, starting)
	}
	return nil
}

func (s *State) settle(r AttemptSettled) error {
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

func (s *State) cancel(r JobCanceled) error {
	j, err := s.openJob(r.Job)
	if err != nil {
		return err
	}
	j.Canceled = true
	return nil
}

func (s *State) end(r JobEnded, at time.Time) error {
	j, err := s.openJob(r.Job)
	if err != nil {
		return err
	}
	if !j.IsTrue(r.Outcome) {
		return cakind.New(cakind.KindConflict, "outcome %v of job %s would not be true", r.Outcome, r.Job)
	}
	j.Outcome = r.Outcome
	j.Result = r.Result
	s.open--
	s.keepEnded(j, at)
	return nil
}

// keepEnded keeps what callers may still ask for until the retention ends.
func (s *State) keepEnded(j *Job, at time.Time) {
	j.Ended = at
	j.Job.Spec.Payload = nil
	s.ended = append(s.ended, j.Job.ID)
}

func (s *State) handOver(r HandedOver) error {
	j, err := s.openJob(r.Job)
	if err != nil {
		return err
	}
	if j.HasOpenAttempt() || r.To == s.shard || r.To == "" {
		return cakind.New(cakind.KindConflict, "job %s cannot be handed to %q now", r.Job, r.To)
	}
	s.handedTo[r.To]++
	j.HandedTo = r.To
	j.HandoverNumber = s.handedTo[r.To]
	s.open--
	return nil
}

func (s *State) handoverAcked(r HandoverAcked, at time.Time) error {
	j, ok := s.jobs[r.Job]
	if !ok || j.HandedTo == "" || j.HandoverAcked {
		return cakind.New(cakind.KindNotFound, "job %s is not being handed over", r.Job)
	}
	j.HandoverAcked = true
	s.keepEnded(j, at)
	return nil
}
