package caboard

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/cahealth"
	"celeryarch.example/celeryarch/internal/cell/caorder"
	"celeryarch.example/celeryarch/internal/cell/castate"
)

// isUnneeded reports whether nothing about an upstream needs to be remembered.
func (u *upstream) isUnneeded() bool {
	return !u.listed && len(u.runs) == 0 && len(u.abandonedStarts) == 0
}

// stopOtherMembers stops the other members of the gang of a run that can not continue.
func (b *Planner) stopOtherMembers(r *run) {
	if !r.step.spec.Gang || !r.isCurrent() {
		return
	}
	for _, other := range b.runsOf(r.step) {
		if other != r && other.id.Number == r.id.Number {
			b.stop(other)
		}
	}
}

// runsOf returns the last assigned run of each task of the step, if it may be present at its
// upstream.
func (b *Planner) runsOf(s *step) []*run {
	if s.liveRuns == 0 {
		return nil
	}
	runs := make([]*run, 0, s.liveRuns)
	for i := range s.state().Tasks {
		if r, ok := b.runOf(s, i); ok {
			runs = append(runs, r)
		}
	}
	return runs
}

// runOf returns the last run of a task, if it may be present at its upstream.
func (b *Planner) runOf(s *step, index int) (*run, bool) {
	if index >= len(s.lastRuns) {
		return nil, false
	}
	r := s.lastRuns[index]
	return r, r != nil && r.isCharged && r.isOfTask(&s.state().Tasks[index])
}

// isOfTask reports whether the run is the last one of its task.
func (r *run) isOfTask(t *castate.Task) bool {
	return r.id.Number == t.Run && r.upstream.info.ID == t.Upstream
}

// keepLastRun records a run that is charged to its upstream if it is the last one of its task.
func (s *step) keepLastRun(r *run) {
	if s.orphan || !r.isOfTask(r.task()) {
		return
	}
	if s.lastRuns == nil {
		s.lastRuns = make([]*run, len(s.state().Tasks))
	}
	s.lastRuns[r.id.Index] = r
}

// ApplyReport applies a report of an upstream.
func (b *Planner) ApplyReport(report caorder.Report) {
	u, ok := b.upstreams[report.Upstream]
	if !ok {
		return
	}
	if report.Born == u.info.Incarnation {
		u.applyAnswer(report.Call)
	}
	u.endCall(report.Call)
	if report.Born < u.info.Incarnation {
		return
	}
	if report.Born > u.info.Incarnation {
		b.beginIncarnation(u, report.Born)
	}
	if !u.fenced {
		b.applyFirstAnswer(u, report)
	}
	b.applyToken(u, report.Token)
	u.renewalUnanswered = false
	b.markAnswered(u, report.ReceivedAt)
	b.updateClock(u, report.ClockMS, report.ReceivedAt)
	if report.SentAt.After(u.lastReportAt) {
		u.lastReportAt = report.SentAt
	}
	b.applyRunning(u, report)
	for _, row := range report.Ended {
		if row.Number > u.appliedEnd {
			u.appliedEnd = row.Number
			b.endsToStore[u] = endWatermark{born: u.info.Incarnation, number: row.Number}
			if j, known := b.jobs[row.Run.Job]; known {
				j.noteEnd(u)
			}
			b.applyEnd(u, row, report.ReceivedAt)
		}
	}
	b.dropUnlistedRuns(u, report)
	b.recordProvenRuns(u)
	if !report.Partial {
		b.applyAnswerToCrashes(u, report.Born, report.SentAt)
	}
}

// updateClock records a reading of the clock of an upstream. Zero is no reading.
func (b *Planner) updateClock(u *upstream, clockMS int64, at time.Time) {
	if clockMS == 0 {
		return
	}
	u.clockMS, u.clockAt = clockMS, at
}

func (b *Planner) applyRunning(u *upstream, report caorder.Report) {
	for _, row := range report.Running {
		r, ok := u.runs[row.Run]
		if !ok {
			b.stopUnassigned(u, row)
			continue
		}
		r.confirm(report.ReceivedAt)
		r.reportedIncarnation = report.Born
		if r.isCurrent() {
			b.applyProgress(r, row.Checkpoint)
		}
	}
}

// applyProgress records the checkpoint of a reported run, and the incarnation that runs it.
func (b *Planner) applyProgress(r *run, checkpoint string) {
	t := r.task()
	if checkpoint != "" {
		t.Checkpoint = checkpoint
	}
	if t.Born != r.reportedIncarnation {
		t.Born = r.reportedIncarnation
		b.markChanged(r.step.job)
	}
}

// stopUnassigned stops a reported run that the planner does not have, such as one that was started
// by a late order of an earlier leader.
func (b *Planner) stopUnassigned(u *upstream, row caorder.RunningRun) {
	r := &run{id: row.Run, upstream: u, confirmed: true, sent: true, born: u.info.Incarnation, assignedAt: b.now.Monotonic}
	j, ok := b.jobs[row.Run.Job]
	r.step = orphanStep(row.Run)
	if ok {
		r.step = b.stepOf(j, row.Run)
		r.team = j.Submission.Team
	}
	r.size = sizeOfUnassigned(j, row.Run, u)
	caevent.Warn(b.log, caevent.TaskAdopted).Str("job", string(row.Run.Job)).Int("step", row.Run.Step).
		Int("task", row.Run.Index).Int("run", row.Run.Number).Str("upstream", string(u.info.ID)).
		Bool("job_known", ok).Str("cause", "run is not assigned and will be stopped").Send()
	// The order came from an earlier leader, maybe with a lease for an earlier incarnation.
	u.extendLease(b.now.Monotonic, maxLease)
	b.charge(r)
	b.stop(r)
}

// sizeOfUnassigned returns what a run takes at an upstream, for a job that may be nil. A run
// of unknown size counts as taking the whole upstream until it is gone, also if its capacity
// grows again meanwhile.
func sizeOfUnassigned(j *job, id caorder.RunID, u *upstream) cawork.Resources {
	if j == nil || id.Step < 0 || id.Step >= len(j.taskSizes) {
		return u.largestCapacity
	}
	return j.taskSizes[id.Step]
}

// orphanStep returns a placeholder for the step of a run whose job or task is not known.
func orphanStep(id caorder.RunID) *step {
	state := castate.Job{Phase: castate.PhaseCanceled}
	state.Submission.ID = id.Job
	return &step{job: &job{Job: &state}, occurrence: &castate.Occurrence{Number: id.Occurrence}, number: id.Step, orphan: true}
}

func (b *Planner) stepOf(j *job, id caorder.RunID) *step {
	for _, s := range j.steps {
		if s.occurrence.Number == id.Occurrence && s.number == id.Step && id.Index >= 0 && id.Index < len(s.state().Tasks) {
			return s
		}
	}
	return orphanStep(id)
}

// applyEnd applies the end of one run.
func (b *Planner) applyEnd(u *upstream, row caorder.EndedRun, at time.Time) {
	r, ok := u.runs[row.Run]
	if !ok {
		if j, known := b.jobs[row.Run.Job]; known {
			b.applyCopyEnd(b.stepOf(j, row.Run), row)
		}
		return
	}
	caevent.Info(b.log, caevent.TaskEnded).Str("job", string(row.Run.Job)).Int("step", row.Run.Step).
		Int("task", row.Run.Index).Int("run", row.Run.Number).Str("upstream", string(u.info.ID)).
		Str("ending", row.Ending.String()).Int64("number", row.Number).Int64("born", u.info.Incarnation).Dur("after", at.Sub(r.assignedAt)).Send()
	if row.Ending == caorder.EndingStopped {
		b.noteStopTime(r)
	}
	r.step.job.reportedRunning = true
	if !r.isCurrent() {
		b.applyCopyEnd(r.step, row)
		b.dropRun(r)
		return
	}
	b.updateHealth(u, r.id.Job, row.Ending)
	if row.Checkpoint != "" {
		r.task().Checkpoint = row.Checkpoint
	}
	switch row.Ending {
	case caorder.EndingDone:
		b.addRunTime(r, at, false)
		b.applyDone(r)
	case caorder.EndingFailed:
		b.applyFailure(r)
	default:
		b.addRunTime(r, at, true)
		b.stopOtherMembers(r)
	}
	b.dropRun(r)
	b.markEnded(r, row.Ending)
}

func (b *Planner) updateHealth(u *upstream, job cawork.JobID, e caorder.Ending) {
	if e != caorder.EndingDone && e != caorder.EndingFailed {
		return
	}
	failed := e == caorder.EndingFailed
	u.health.Add(b.now.Monotonic, job, failed)
	b.overallHealth.Add(b.now.Monotonic, job, failed)
	if failed && !u.health.IsEjected(b.now.Monotonic) && u.health.IsOutlier(b.overallHealth) && b.mayEject() {
		u.health.Eject(b.now.Monotonic)
		caevent.Warn(b.log, caevent.UpstreamEjected).Str("upstream", string(u.info.ID)).
			Float64("failed_of_all", b.overallHealth.FailureRate()).Time("until", u.health.EjectedUntil()).Send()
	}
}

// mayEject reports whether one more upstream may be ejected.
func (b *Planner) mayEject() bool {
	ejected, listed := 0, 0
	for _, u := range b.sortedUpstreams {
		if !u.listed {
			continue
		}
		listed++
		if u.health.IsEjected(b.now.Monotonic) {
			ejected++
		}
	}
	return float64(ejected+1) <= cahealth.MaxEjectedShare*float64(listed)
}

// applyDone applies a run that ended well. It completes the task, or all tasks of a gang.
// Long-running tasks never complete.
func (b *Planner) applyDone(r *run) {
	s := r.step
	if s.spec.LongRunning {
		return
	}
	if !r.resumed && !r.inherited {
		s.longestRun = max(s.longestRun, b.now.Monotonic.Sub(r.assignedAt))
	}
	if s.spec.Gang {
		for i := range s.state().Tasks {
			s.state().Tasks[i].Phase = castate.TaskDone
		}
		s.waitingTasks = 0
	}
	b.completeTask(s, r.id.Index)
}

// completeTask completes a task and stops its other runs. The last task of a step also
// completes the step, and the last step the occurrence, which may complete the job.
func (b *Planner) completeTask(s *step, index int) {
	if mayCopy(s.spec) {
		b.stopTaskRuns(s, index)
	}
	s.state().Tasks[index].Phase = castate.TaskDone
	if !s.state().IsDone() || s.job.Phase.IsFinal() {
		return
	}
	b.markReadySteps(s)
	if s.job.CloseIfDone(s.occurrence, b.now.WallMS) {
		b.endJob(s.job, castate.PhaseCompleted)
	}
}

// markReadySteps marks the steps of the same occurrence that became ready because a step
// ended.
func (b *Planner) markReadySteps(ended *step) {
	for _, s := range ended.job.steps {
		if s.occurrence != ended.occurrence || s.ready {
			continue
		}
		if s.job.IsReady(s.occurrence, s.number) {
			s.ready = true
			s.readyAt = b.now.Monotonic
		}
	}
}

// applyFailure counts a failed attempt of a task or of its gang, and fails the job if no
// attempts are left.
func (b *Planner) applyFailure(r *run) {
	s := r.step
	failures := 0
	if s.spec.Gang {
		failures = countGangFailure(s.state(), r.id.Number)
	} else {
		s.countFailure(r.id)
		failures = r.task().Failures
	}
	b.stopOtherMembers(r)
	b.failIfExhausted(s, failures)
}

// failIfExhausted fails the job of a step if a task or gang has no attempts left after the
// given number of failures.
func (b *Planner) failIfExhausted(s *step, failures int) {
	q, ok := b.queueOf(s.job)
	if s.spec.LongRunning || !ok || q.MaxAttempts <= 0 || failures < q.MaxAttempts || s.job.Phase.IsFinal() {
		return
	}
	b.endJob(s.job, castate.PhaseFailed)
}

func countGangFailure(s *castate.StepState, number int) int {
	if s.FailedRun != number {
		s.FailedRun = number
		s.GangFailures++
	}
	return s.GangFailures
}

// dropUnlistedRuns ends the runs that the report lists neither as running nor as ended, if
// that proves that they have ended. A partial report proves nothing.
func (b *Planner) dropUnlistedRuns(u *upstream, report caorder.Report) {
	if report.Partial {
		return
	}
	present := make(map[caorder.RunID]bool, len(report.Running))
	for _, row := range report.Running {
		present[row.Run] = true
	}
	for id, r := range u.runs {
		if present[id] || !r.isGoneIfUnlisted(report.SentAt) {
			continue
		}
		b.declareLost(r, "run is not in the upstream's report")
	}
}

// isGoneIfUnlisted reports whether a report that was requested at the given time and does
// not list the run proves that the run has ended.
func (r *run) isGoneIfUnlisted(requestedAt time.Time) bool {
	switch {
	case !r.stopAckedAt.IsZero():
		return requestedAt.After(r.stopAckedAt)
	case r.inherited:
		return true
	default:
		return r.confirmed && requestedAt.After(r.confirmedAt)
	}
}
