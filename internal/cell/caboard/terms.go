package caboard

import (
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caobjective"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/cell/castate"
	"celeryarch.example/celeryarch/internal/cell/caterms"
)

// SetPolicy applies a version of the policy, again where the part of the shard in it has changed. Older versions are
// ignored. An accepted job whose queue or team is no longer listed goes on under the newest version that lists it.
func (b *Planner) SetPolicy(p caspec.Policy) {
	if !b.policy.IsZero() && p.Version < b.policy.Version {
		return
	}
	b.policy = p
	b.terms.Apply(p)
	b.applyTerms()
	b.LogRemoved()
	for _, s := range b.steps {
		s.approvals.noRoomSince, s.approvals.allDecidedSince = 0, 0
	}
}

// RestoreTerms restores stored definitions, before the jobs that need them. It returns how many cannot be
// read: their jobs go on as far as the policy in force lists their queues.
func (b *Planner) RestoreTerms(records []caterms.Record) (unreadable int) {
	for _, r := range records {
		if b.terms.Restore(r) != nil {
			unreadable++
		}
	}
	b.applyTerms()
	return unreadable
}

// applyTerms applies the definitions to all jobs and teams.
func (b *Planner) applyTerms() {
	for _, j := range b.jobs {
		b.applyTermsTo(j)
	}
	b.accounts.ApplyLimits()
}

// queueOf returns the queue of a job by the newest version of the policy that lists it.
func (b *Planner) queueOf(j *job) (caspec.Queue, bool) {
	if j.queue == nil {
		return caspec.Queue{}, false
	}
	return *j.queue, true
}

// applyTermsTo applies the definition of its queue to a job, unless it is the one that the job has.
func (b *Planner) applyTermsTo(j *job) {
	q, ok := b.terms.Queue(j.Submission.Queue)
	if !ok || q == j.queue {
		return
	}
	if j.pool != q.Pool {
		b.dropReservations(j)
	}
	j.queue, j.pool, j.priority = q, q.Pool, q.Priority
	if j.Phase.IsFinal() {
		return
	}
	j.objective = caobjective.Of(*q, j.Submission.Steps)
	for _, s := range j.steps {
		b.applySlackTo(s)
	}
	b.failIfAttemptsUsedUp(j)
}

// dropReservations gives back the room that is reserved for a job.
func (b *Planner) dropReservations(j *job) {
	for _, s := range j.steps {
		b.dropReservation(s)
	}
}

// applySlackTo determines how much time a step has beyond its run time, by the queue of its job.
func (b *Planner) applySlackTo(s *step) {
	q, _ := b.queueOf(s.job)
	s.slack = caobjective.SlackOf(q, s.job.Submission.Steps)
	s.urgent = caobjective.IsUrgent(s.slack, s.spec)
}

// failIfAttemptsUsedUp fails a job if a task or gang of it would have to start again, but has used all attempts that the
// newest version permits. Runs that are at work may still end well.
func (b *Planner) failIfAttemptsUsedUp(j *job) {
	for _, s := range slices.Clone(j.steps) {
		if failures := s.failuresOfWaiting(); failures > 0 {
			b.failIfExhausted(s, failures)
		}
	}
}

// failuresOfWaiting returns the most failures of a waiting task, or those of a gang that waits.
func (s *step) failuresOfWaiting() int {
	failures := 0
	for _, t := range s.state().Tasks {
		switch {
		case t.Phase != castate.TaskWaiting:
		case s.spec.Gang:
			return s.state().GangFailures
		default:
			failures = max(failures, t.Failures)
		}
	}
	return failures
}

// isRepeated reports whether a submission repeats that of the job: it comes with the same key, or from the same team, maybe
// under a later name. Of a queue that is no longer listed, it may come through another queue, such as one that has taken
// its place. An entry with a later version may know that queue before this leader does.
func (b *Planner) isRepeated(j *job, s caspec.Submission) bool {
	hasSameKey := s.Key != 0 && s.Key == j.key
	if !hasSameKey && !s.IsOf(j.Submission.Team) {
		return false
	}
	return j.Submission.Queue == s.Queue || !b.terms.IsListed(j.Submission.Queue) || !b.terms.IsListed(s.Queue)
}

// OpenJobs counts the jobs that have not ended, by queue.
func (b *Planner) OpenJobs() map[caspec.QueueName]int {
	counts := make(map[caspec.QueueName]int)
	for _, j := range b.jobs {
		if !j.Phase.IsFinal() {
			counts[j.Submission.Queue]++
		}
	}
	return counts
}

// LogRemoved logs the queues and teams with open jobs that the policy in force has removed, unless this leader has logged
// them before.
func (b *Planner) LogRemoved() {
	if b.policy.IsZero() || !b.terms.HasUnlisted() {
		return
	}
	queues, teams := b.terms.TakeRemoved(b.policy.Version)
	byQueue, byTeam := b.OpenJobs(), make(map[cawork.TeamName]int)
	for _, j := range b.jobs {
		if !j.Phase.IsFinal() {
			byTeam[j.Submission.Team]++
		}
	}
	for _, name := range queues {
		if open := byQueue[name]; open > 0 {
			caevent.Info(b.log, caevent.QueueRemoved).Str("queue", string(name)).Int("jobs", open).Int64("policy", b.policy.Version).
				Int64("listed_by", b.terms.QueueVersion(name)).Send()
		}
	}
	for _, name := range teams {
		if open := byTeam[name]; open > 0 {
			caevent.Info(b.log, caevent.TeamRemoved).Str("team", string(name)).Str("successor", string(b.accounts.SuccessorOf(name))).Int("jobs", open).
				Int64("policy", b.policy.Version).Int64("listed_by", b.terms.TeamVersion(name)).Send()
		}
	}
}

// termsCheckInterval is the time between two scans of all jobs for definitions that none needs any more.
const termsCheckInterval = 2 * time.Second

// endUnneededTerms ends the definitions that the policy in force does not list once the end of the last job
// that needs them is stored.
func (b *Planner) endUnneededTerms() {
	if !b.terms.HasUnlisted() || b.now.Monotonic.Sub(b.termsCheckedAt) < termsCheckInterval {
		return
	}
	b.termsCheckedAt = b.now.Monotonic
	queues, teams := make(map[caspec.QueueName]bool), make(map[cawork.TeamName]bool)
	for _, j := range b.jobs {
		if !j.storedPhase.IsFinal() {
			queues[j.Submission.Queue], teams[j.Submission.Team] = true, true
		}
	}
	ended := b.terms.Prune(func(q caspec.QueueName) bool { return queues[q] }, func(t cawork.TeamName) bool { return teams[t] })
	for _, name := range ended {
		delete(b.queues, name)
		caevent.Info(b.log, caevent.QueueEnded).Str("queue", string(name)).Int64("policy", b.policy.Version).Send()
	}
}
