package caboard

import (
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caobjective"
	"celeryarch.example/celeryarch/internal/cell/caroom"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/cell/castate"
	"celeryarch.example/celeryarch/internal/cell/cateam"
)

// Submit opens a job. It reports whether the job is stored already, because the submission
// repeats an earlier one. Otherwise, the job is accepted once its record is stored. An error
// means that the job is not accepted.
func (b *Planner) Submit(s caspec.Submission) (stored bool, err error) {
	if j, ok := b.jobs[s.ID]; ok {
		if !b.isRepeated(j, s) {
			return false, cakind.New(cakind.KindConflict, "job %s was submitted to another queue or by another team", s.ID)
		}
		return j.stored, nil
	}
	excess, err := b.admit(s)
	if cakind.Of(err) == cakind.KindOverloaded {
		b.refusals.Add(s.ID, b.now.Monotonic)
	}
	if err != nil {
		return false, err
	}
	b.open(s, excess)
	return false, nil
}

func (b *Planner) open(s caspec.Submission, excess bool) {
	j := &job{Job: castate.NewJob(s.WithoutKey(), b.now.WallMS), key: s.Key, acceptedAt: b.now.Monotonic.Add(-b.refusals.Waited(s.ID, b.now.Monotonic))}
	j.OverRate = excess
	j.CrashesCounted = true
	if !excess {
		b.teamOf(s.Team).TakeToken()
	}
	b.addJob(j)
	if !s.Schedule.IsTimed() {
		b.openSteps(j, j.OpenNext())
	}
	b.markChanged(j)
	caevent.Info(b.log, caevent.JobAccepted).Str("job", string(s.ID)).Str("queue", string(s.Queue)).
		Str("team", string(s.Team)).Int("steps", len(s.Steps)).Bool("excess", j.OverRate).
		Int64("policy", b.policy.Version).Dur("objective", j.objective).Send()
}

// roomRetryAfter is the delay after which callers retry a job that finds too little room for now.
const roomRetryAfter = time.Second

// admit refuses a job that can never run in this cell or would miss its objective. It
// reports whether the job is beyond the guaranteed rate of its team.
func (b *Planner) admit(s caspec.Submission) (excess bool, err error) {
	if err := s.Check(); err != nil {
		return false, err
	}
	q, ok := b.policy.Queue(s.Queue)
	if !ok {
		return false, cakind.New(cakind.KindNotFound, "no queue %q in version %d", s.Queue, b.policy.Version)
	}
	for i, step := range s.Steps {
		if err := b.admitStep(q, s.Team, i, step); err != nil {
			return false, err
		}
	}
	if err := b.checkRecord(s); err != nil {
		return false, err
	}
	team, _ := b.terms.Team(s.Team)
	waited := b.refusals.Waited(s.ID, b.now.Monotonic)
	stale := waited > caobjective.SlackOf(q, s.Steps)
	excess = !b.teamOf(s.Team).HasToken(b.now.Monotonic, team.Weight, stale)
	if s.Schedule.IsTimed() || s.IsLongRunning() {
		return excess, nil
	}
	return excess, b.forecastFor(s, q, excess).WithWaited(waited).CheckWait()
}

func (b *Planner) admitStep(q caspec.Queue, team cawork.TeamName, number int, s caspec.Step) error {
	teamPolicy, _ := b.terms.Team(team)
	atOnce := caroom.AtOnce(s)
	if !cateam.Fits(s.Size().Times(int64(atOnce)), teamPolicy.Limit) {
		return cakind.New(cakind.KindNeverFits, "step %d exceeds the upper limit of team %s", number, team)
	}
	if err := b.checkRoom(q.Pool, number, s, atOnce); err != nil {
		return err
	}
	return b.checkDrainedRoom(q.Pool, s, atOnce)
}

// checkRoom refuses a step for which the pool lacks room, even when it is empty.
func (b *Planner) checkRoom(pool caspec.PoolName, number int, s caspec.Step, atOnce int) error {
	fitting := b.fittingTasksInPool(pool, s, atOnce, caspec.ZoneDrains{})
	switch {
	case fitting >= atOnce:
		return nil
	case b.knownRooms.MayFit(pool, s, atOnce):
		return cakind.New(cakind.KindOverloaded, "step %d needs room for %d tasks at once, the pool %s has room for %d for now",
			number, atOnce, pool, fitting).WithRetryAfter(roomRetryAfter)
	default:
		return cakind.New(cakind.KindNeverFits, "step %d needs room for %d tasks at once, the pool %s has room for %d", number, atOnce, pool, fitting)
	}
}

// fittingTasksInPool returns how many tasks of a step fit on the upstreams of a pool when
// these are empty, those outside of the given zones. It stops counting once the number is
// enough.
func (b *Planner) fittingTasksInPool(pool caspec.PoolName, s caspec.Step, enough int, without caspec.ZoneDrains) int {
	fitting := 0
	for _, u := range b.sortedUpstreams {
		if u.info.Pool != pool || !u.info.HasLabel(s.Label) || without.Contains(u.info.Zone) {
			continue
		}
		fitting += caroom.TasksIn(u.info.Capacity, s)
		if fitting >= enough {
			return fitting
		}
	}
	return fitting
}

// Withdraw drops a job whose record was in no batch yet. It reports whether the job was
// dropped.
func (b *Planner) Withdraw(id cawork.JobID) bool {
	j, ok := b.jobs[id]
	if !ok || j.stored {
		return false
	}
	if _, pending := b.changed[id]; !pending || len(j.runs) > 0 {
		return false
	}
	b.dropSteps(j)
	delete(b.changed, id)
	delete(b.jobs, id)
	return true
}

// Cancel cancels a job. It reports whether the job is known, and whether its end is stored
// already.
func (b *Planner) Cancel(id cawork.JobID) (known, stored bool) {
	j, ok := b.jobs[id]
	if !ok {
		return false, false
	}
	if j.Phase.IsFinal() {
		return true, j.storedPhase.IsFinal()
	}
	b.endJob(j, castate.PhaseCanceled)
	return true, false
}

// endJob makes the phase of a job final and stops its runs.
func (b *Planner) endJob(j *job, p castate.Phase) {
	j.End(p, b.now.WallMS)
	j.endedAt = b.now.Monotonic
	b.dropSteps(j)
	b.markChanged(j)
	b.stopRuns(j)
	caevent.Info(b.log, caevent.JobEnded).Str("job", string(j.Submission.ID)).Str("phase", p.String()).
		Dur("after", b.now.Monotonic.Sub(j.acceptedAt)).Dur("objective", j.objective).Int("runs", len(j.runs)).Send()
	b.releaseEndedJob(j)
}

func (b *Planner) dropSteps(j *job) {
	kept := b.steps[:0]
	for _, s := range b.steps {
		if s.job != j {
			kept = append(kept, s)
		}
	}
	clear(b.steps[len(kept):])
	b.steps = kept
}

// stopRuns marks all runs of a job to be stopped. Those of a completed job end by
// themselves.
func (b *Planner) stopRuns(j *job) {
	if j.Phase == castate.PhaseCompleted {
		return
	}
	for _, r := range j.runs {
		b.stop(r)
	}
}

// stop marks a run to be stopped. A run whose start was not sent gets no stop order, and is
// dropped once its assignment is stored.
func (b *Planner) stop(r *run) {
	r.stopping = true
	b.stopping[r] = struct{}{}
}

// Phase returns the phase of a job by its last stored record, and whether there is such a
// record. A job with an assigned run counts as running even if that is not stored yet.
func (b *Planner) Phase(id cawork.JobID) (castate.Phase, bool) {
	j, ok := b.jobs[id]
	if !ok || !j.stored {
		return 0, false
	}
	if j.storedPhase == castate.PhaseQueued && j.RunOrdered {
		return castate.PhaseRunning, true
	}
	return j.storedPhase, true
}

// IsOfTeams reports whether one of the teams submitted a job.
func (b *Planner) IsOfTeams(id cawork.JobID, teams []cawork.TeamName) bool {
	j, ok := b.jobs[id]
	return ok && slices.Contains(teams, j.Submission.Team)
}

// IsInNextBatch reports whether the next batch will contain a record of the job.
func (b *Planner) IsInNextBatch(id cawork.JobID) bool {
	_, ok := b.changed[id]
	return ok
}

// IsUnstored reports whether the job is known but not stored yet.
func (b *Planner) IsUnstored(id cawork.JobID) bool {
	j, ok := b.jobs[id]
	return ok && !j.stored
}

// UnstartedJobs counts, by queue, the stored jobs that have not ended and of which no upstream
// has reported a run yet. Queues without such jobs are left out.
func (b *Planner) UnstartedJobs() map[caspec.QueueName]int {
	counts := make(map[caspec.QueueName]int)
	for _, j := range b.jobs {
		if j.stored && !j.reportedRunning && !j.Phase.IsFinal() {
			counts[j.Submission.Queue]++
		}
	}
	return counts
}

// RunMaintenance drops jobs that ended long ago, opens occurrences that are due, and logs steps that
// wait long.
func (b *Planner) RunMaintenance() {
	b.updateSpeeds()
	b.logLongWaits()
	b.logLackedRoom()
	b.logDrains()
	b.endUnneededTerms()
	oldest := b.now.Monotonic.Add(-historyRetention)
	for id, j := range b.jobs {
		switch {
		case j.Phase.IsFinal() && len(j.runs) == 0 && j.endedAt.Before(oldest):
			delete(b.jobs, id)
			delete(b.records.held, id)
			b.forgetCrashes(j)
			b.removedJobs = append(b.removedJobs, id)
		case !j.Phase.IsFinal() && j.Submission.Schedule.IsTimed():
			b.openDueOccurrences(j)
		}
	}
}

// openDueOccurrences opens the occurrences of a job that are due, the oldest first, as far as its record
// has room for them. The others are opened once earlier ones have ended.
func (b *Planner) openDueOccurrences(j *job) {
	schedule := j.Submission.Schedule
	_, held := b.records.held[j.Submission.ID]
	for !held && j.OccurrenceCount < schedule.Count() && schedule.Due(j.OccurrenceCount) <= b.now.WallMS &&
		len(j.OpenOccurrences) < maxOpenOccurrences && b.hasRecordRoom(j) {
		b.openSteps(j, j.OpenNext())
		b.markChanged(j)
	}
	b.updateRecordRoom(j)
}

// age returns how long ago the job was accepted.
func (b *Planner) age(j *job) time.Duration { return b.now.Monotonic.Sub(j.acceptedAt) }
