package caboard

import (
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/cell/castate"
)

// SetUpstreams puts a reading of the platform's list in force.
func (b *Board) SetUpstreams(list []caspec.Upstream) {
	for _, u := range b.sortedUpstreams {
		u.listed = false
	}
	for _, info := range list {
		b.list(info)
	}
	b.forgetUpstreams()
}

// list takes up the description of one upstream. A later incarnation runs
// nothing of what an earlier one ran.
func (b *Board) list(info caspec.Upstream) {
	u, ok := b.upstreams[info.ID]
	if !ok {
		u = newUpstream(info)
		b.addUpstream(u)
		caevent.Info(b.log, caevent.UpstreamListed).Str("upstream", string(info.ID)).Str("pool", string(info.Pool)).
			Stringer("capacity", info.Capacity).Int64("born", info.Born).Send()
	}
	switch {
	case info.Born > u.info.Born:
		b.reborn(u, info.Born)
	case info.Born < u.info.Born:
		info.Born = u.info.Born
	}
	u.listed = true
	u.info = info
}

// reborn forgets what was known of an earlier incarnation.
func (b *Board) reborn(u *upstream, born int64) {
	known := u.info.Born != 0
	u.info.Born = born
	u.clockAt, u.clockMS = time.Time{}, 0
	u.lastReportAt = time.Time{}
	u.suspectedSince = time.Time{}
	u.fenced = false
	u.appliedEnd, u.storedEnd = 0, 0
	delete(b.endsToStore, u)
	u.health = health{}
	if !known {
		return
	}
	late := b.takeLate(u)
	caevent.Info(b.log, caevent.UpstreamReborn).Str("upstream", string(u.info.ID)).Int64("born", born).
		Int("runs", len(u.runs)).Int("late_starts", len(late)).Send()
	for _, r := range u.runs {
		switch {
		case r.mayStillStart():
			r.stopAckedAt = time.Time{}
			b.stop(r)
		case r.reportedIncarnation == 0 && r.sent:
			// The new incarnation may have taken the order. Its reports tell.
		default:
			b.lose(r, "upstream started anew")
		}
	}
	for _, r := range late {
		if _, present := u.runs[r.id]; present {
			continue
		}
		r.stopAckedAt, r.lastStopAt, r.stopInFlight = time.Time{}, time.Time{}, false
		b.charge(r)
		b.stop(r)
	}
}

// takeLate returns the starts that were given up and may still come about in a
// later incarnation, which knows nothing of their stops.
func (b *Board) takeLate(u *upstream) []*run {
	b.pruneLate(u)
	late := u.abandonedStarts
	u.abandonedStarts = nil
	return late
}

// keepLate keeps a start that is given up without an answer.
func (b *Board) keepLate(r *run) {
	if r.mayStillStart() {
		r.upstream.abandonedStarts = append(r.upstream.abandonedStarts, r)
		b.pruneLate(r.upstream)
	}
}

// pruneLate drops the starts that can not come about any more.
func (b *Board) pruneLate(u *upstream) {
	u.abandonedStarts = slices.DeleteFunc(u.abandonedStarts, func(r *run) bool { return b.now.Steady.Sub(r.assignedAt) > maxStartDelay })
}

// isForgotten reports whether nothing is to be known of an upstream any more.
func (u *upstream) isForgotten() bool {
	return !u.listed && len(u.runs) == 0 && len(u.abandonedStarts) == 0
}

// Vanished tells that the incarnation of an upstream is proved to be gone. What
// it was seen to run is over; an order without an answer may still come about
// in a later incarnation.
func (b *Board) Vanished(id cawork.UpstreamID) {
	u, ok := b.upstreams[id]
	if !ok {
		return
	}
	for _, r := range u.runs {
		if r.confirmed {
			b.lose(r, "upstream is gone")
		}
	}
}

// lose ends a run that vanished without a word.
func (b *Board) lose(r *run, cause string) {
	caevent.Warn(b.log, caevent.TaskLapsed).Str("job", string(r.id.Job)).Int("step", r.id.Step).Int("task", r.id.Index).
		Int("run", r.id.Number).Str("upstream", string(r.upstream.info.ID)).Str("cause", cause).
		Dur("since_report", b.now.Steady.Sub(r.upstream.lastReportAt)).Bool("confirmed", r.confirmed).Send()
	b.breakGang(r)
	b.dropRun(r)
}

// breakGang stops the other members of a gang whose run can not go on.
func (b *Board) breakGang(r *run) {
	if !r.step.spec.Gang || !r.isCurrent() {
		return
	}
	for _, other := range b.runsOf(r.step) {
		if other != r && other.id.Number == r.id.Number {
			b.stop(other)
		}
	}
}

func (b *Board) runsOf(s *step) []*run {
	var runs []*run
	for i := range s.state().Tasks {
		t := &s.state().Tasks[i]
		u, ok := b.upstreams[t.Upstream]
		if !ok {
			continue
		}
		id := RunID{
			Job: s.job.Submission.ID, Occurrence: s.occurrence.Number, Step: s.number, Index: i, Number: t.Run,
		}
		if r, ok := u.runs[id]; ok {
			runs = append(runs, r)
		}
	}
	return runs
}

// Observe applies a report of an upstream.
func (b *Board) Observe(report Report) {
	u, ok := b.upstreams[report.Upstream]
	if !ok || report.Born < u.info.Born {
		return
	}
	if report.Born > u.info.Born {
		b.reborn(u, report.Born)
	}
	u.fenced = true
	u.renewalUnanswered = false
	b.markAnswered(u, report.ReceivedAt)
	b.readClock(u, report.ClockMS, report.ReceivedAt)
	if report.SentAt.After(u.lastReportAt) {
		u.lastReportAt = report.SentAt
	}
	b.noteRunning(u, report)
	for _, row := range report.Ended {
		if row.Number > u.appliedEnd {
			u.appliedEnd = row.Number
			b.endsToStore[u] = endSeen{born: u.info.Born, number: row.Number}
			b.noteEnded(u, row, report.ReceivedAt)
		}
	}
	b.noteAbsent(u, report)
}

// readClock takes up a reading of the clock of an upstream.
func (b *Board) readClock(u *upstream, clockMS int64, at time.Time) {
	if clockMS == 0 {
		return
	}
	u.clockMS, u.clockAt = clockMS, at
}

func (b *Board) noteRunning(u *upstream, report Report) {
	for _, row := range report.Running {
		r, ok := u.runs[row.Run]
		if !ok {
			b.noteForeign(u, row)
			continue
		}
		r.confirm(report.ReceivedAt)
		r.reportedIncarnation = report.Born
		if r.isCurrent() {
			b.noteProgress(r, row.Checkpoint)
		}
	}
}

// noteProgress takes up the checkpoint of a run that is shown, and which
// incarnation runs it.
func (b *Board) noteProgress(r *run, checkpoint string) {
	t := r.task()
	if checkpoint != "" {
		t.Checkpoint = checkpoint
	}
	if t.Born != r.reportedIncarnation {
		t.Born = r.reportedIncarnation
		b.markChanged(r.step.job)
	}
}

// noteForeign stops a run that the board does not stand on, such as one that a
// late order of an earlier leader started.
func (b *Board) noteForeign(u *upstream, row RunningRow) {
	r := &run{id: row.Run, upstream: u, confirmed: true, sent: true}
	j, ok := b.jobs[row.Run.Job]
	if !ok || len(j.steps) == 0 {
		r.step = orphanStep(row.Run)
	} else {
		r.step = b.stepOf(j, row.Run)
		r.size = r.step.spec.Size()
		r.team = j.Submission.Team
	}
	caevent.Warn(b.log, caevent.TaskAdopted).Str("job", string(row.Run.Job)).Int("step", row.Run.Step).
		Int("task", row.Run.Index).Int("run", row.Run.Number).Str("upstream", string(u.info.ID)).
		Bool("job_known", ok).Str("cause", "not assigned, will be stopped").Send()
	b.charge(r)
	b.stop(r)
}

// orphanStep stands in for the step of a run whose job or task is not known.
func orphanStep(id RunID) *step {
	state := castate.Job{Phase: castate.PhaseCanceled}
	state.Submission.ID = id.Job
	return &step{job: &job{Job: &state}, occurrence: &castate.Occurrence{Number: id.Occurrence}, number: id.Step, orphan: true}
}

func (b *Board) stepOf(j *job, id RunID) *step {
	for _, s := range j.steps {
		if s.occurrence.Number == id.Occurrence && s.number == id.Step && id.Index >= 0 && id.Index < len(s.state().Tasks) {
			return s
		}
	}
	return orphanStep(id)
}

// noteEnded applies the end of one run.
func (b *Board) noteEnded(u *upstream, row EndedRow, at time.Time) {
	r, ok := u.runs[row.Run]
	if !ok {
		if j, known := b.jobs[row.Run.Job]; known {
			b.noteCopyEnded(b.stepOf(j, row.Run), row)
		}
		return
	}
	caevent.Info(b.log, caevent.TaskEnded).Str("job", string(row.Run.Job)).Int("step", row.Run.Step).
		Int("task", row.Run.Index).Int("run", row.Run.Number).Str("upstream", string(u.info.ID)).
		Str("ending", row.Ending.String()).Int64("number", row.Number).Dur("after", at.Sub(r.assignedAt)).Send()
	r.step.job.reportedRunning = true
	if !r.isCurrent() {
		b.noteCopyEnded(r.step, row)
		b.dropRun(r)
		return
	}
	b.noteHealth(u, r.id.Job, row.Ending)
	if row.Checkpoint != "" {
		r.task().Checkpoint = row.Checkpoint
	}
	switch row.Ending {
	case EndingDone:
		b.addRunTime(r, at.Sub(r.assignedAt))
		b.noteDone(r)
	case EndingFailed:
		b.noteFailed(r)
	default:
		b.breakGang(r)
	}
	b.dropRun(r)
	b.markChanged(r.step.job)
}

func (b *Board) noteHealth(u *upstream, job cawork.JobID, e Ending) {
	if e != EndingDone && e != EndingFailed {
		return
	}
	failed := e == EndingFailed
	u.health.add(b.now.Steady, job, failed)
	b.overallHealth.add(b.now.Steady, job, failed)
	if failed && !u.health.isEjected(b.now.Steady) && u.health.isOutlier(b.overallHealth) && b.mayEject() {
		u.health.eject(b.now.Steady)
		caevent.Warn(b.log, caevent.UpstreamEjected).Str("upstream", string(u.info.ID)).
			Float64("failed_of_all", b.overallHealth.failureRate()).Time("until", u.health.ejectedUntil).Send()
	}
}

// mayEject reports whether one more upstream may be ejected.
func (b *Board) mayEject() bool {
	out, listed := 0, 0
	for _, u := range b.sortedUpstreams {
		if !u.listed {
			continue
		}
		listed++
		if u.health.isEjected(b.now.Steady) {
			out++
		}
	}
	return float64(out+1) <= maxEjectedShare*float64(listed)
}

// noteDone ends a task, and with the last one its step and its job. A gang
// ends as a whole.
func (b *Board) noteDone(r *run) {
	s := r.step
	if s.spec.LongRunning {
		return
	}
	if !r.resumed && !r.inherited {
		s.longestRun = max(s.longestRun, b.now.Steady.Sub(r.assignedAt))
	}
	if s.spec.Gang {
		for i := range s.state().Tasks {
			s.state().Tasks[i].Phase = castate.TaskDone
		}
		s.waitingTasks = 0
	}
	b.noteTaskDone(s, r.id.Index)
}

// noteTaskDone ends a task and stops its other runs, and ends its step and its job with
// the last one.
func (b *Board) noteTaskDone(s *step, index int) {
	if mayCopy(s.spec) {
		b.stopCopies(s, index)
	}
	s.state().Tasks[index].Phase = castate.TaskDone
	if !s.state().IsDone() || s.job.Phase.IsFinal() {
		return
	}
	b.readySteps(s)
	if s.job.CloseDone(s.occurrence, b.now.WallMS) {
		b.end(s.job, castate.PhaseCompleted)
	}
}

// readySteps marks the steps of an occurrence whose earlier steps have ended.
func (b *Board) readySteps(ended *step) {
	for _, s := range ended.job.steps {
		if s.occurrence != ended.occurrence || s.ready {
			continue
		}
		if s.job.IsReady(s.occurrence, s.number) {
			s.ready = true
			s.readyAt = b.now.Steady
		}
	}
}

// noteFailed counts an attempt of a task or of its gang, and fails the job
// when there are none left.
func (b *Board) noteFailed(r *run) {
	s := r.step
	failures := 0
	if s.spec.Gang {
		failures = noteGangFailure(s.state(), r.id.Number)
	} else {
		s.countFailure(r.id)
		failures = r.task().Failures
	}
	b.breakGang(r)
	b.failIfSpent(s, failures)
}

// failIfSpent fails a job one of whose tasks has no attempts left.
func (b *Board) failIfSpent(s *step, failures int) {
	q, ok := b.queueOf(s.job)
	if s.spec.LongRunning || !ok || q.MaxAttempts <= 0 || failures < q.MaxAttempts || s.job.Phase.IsFinal() {
		return
	}
	b.end(s.job, castate.PhaseFailed)
}

func noteGangFailure(s *castate.StepState, number int) int {
	if s.FailedRun != number {
		s.FailedRun = number
		s.GangFailures++
	}
	return s.GangFailures
}

// noteAbsent ends the runs that the upstream neither runs nor lists as ended,
// where that proves that they are over. A report of which rows could not be read
// proves nothing.
func (b *Board) noteAbsent(u *upstream, report Report) {
	if report.Partial {
		return
	}
	present := make(map[RunID]bool, len(report.Running))
	for _, row := range report.Running {
		present[row.Run] = true
	}
	for id, r := range u.runs {
		if present[id] || !r.provedGone(report.SentAt) {
			continue
		}
		b.lose(r, "the upstream does not know it")
	}
}

// provedGone reports whether a report that was asked for at the time proves
// that the run is over, when it does not show it.
func (r *run) provedGone(asked time.Time) bool {
	switch {
	case !r.stopAckedAt.IsZero():
		return asked.After(r.stopAckedAt)
	case r.inherited:
		return true
	default:
		return r.confirmed && asked.After(r.confirmedAt)
	}
}

// Lapse ends what runs at upstreams whose leases are over, and forgets
// upstreams that are gone.
func (b *Board) Lapse() {
	for _, u := range b.sortedUpstreams {
		if len(u.runs) > 0 && b.now.Steady.After(u.leaseExpires) {
			b.lapseRuns(u)
		}
		b.pruneLate(u)
	}
	b.forgetUpstreams()
}

func (b *Board) lapseRuns(u *upstream) {
	for _, r := range u.runs {
		if r.sent {
			b.lose(r, "lease is over")
		}
	}
}

// Started tells what became of a start order.
func (b *Board) Started(order StartOrder, outcome StartOutcome, clockMS int64) {
	u, ok := b.upstreams[order.Upstream]
	if !ok {
		return
	}
	r, ok := u.runs[order.Run]
	if !ok || u.info.Born != order.Born && outcome != StartMismatch {
		return
	}
	took := b.markStartCallEnded(r, outcome)
	b.readClock(u, clockMS, b.now.Steady)
	caevent.Info(b.log, caevent.TaskPlaced).Str("job", string(r.id.Job)).Int("step", r.id.Step).Int("task", r.id.Index).
		Int("run", r.id.Number).Str("upstream", string(u.info.ID)).Str("outcome", outcome.String()).
		Dur("since_accepted", b.age(r.step.job)).Dur("since_ready", b.now.Steady.Sub(r.step.readyAt)).Dur("took", took).Send()
	switch outcome {
	case StartAccepted:
		r.confirm(b.now.Steady)
	case StartUnknown:
		if !r.confirmed {
			b.breakGang(r)
			b.stop(r)
		}
	default:
		b.refused(r, outcome)
	}
}

// refused ends a run that its upstream turned away.
func (b *Board) refused(r *run, outcome StartOutcome) {
	u := r.upstream
	switch outcome {
	case StartNoTicket:
		r.step.approvals.expire(u.info.ID)
	case StartUnhealthy, StartNoRoom, StartMismatch:
		u.pausedUntil = b.now.Steady.Add(pauseAfterRejection)
	case StartLate:
		u.clockAt = time.Time{}
		u.pausedUntil = b.now.Steady.Add(pauseAfterRejection)
	}
	b.breakGang(r)
	// The order was answered and can not come about later.
	r.sent = false
	b.dropRun(r)
}

// Stopped tells whether an upstream acknowledged a stop order. It reports
// whether only a report of the upstream can tell that the run is gone: no end of
// a run is listed that was never present.
func (b *Board) Stopped(order StopOrder, acknowledged bool) (reportNeeded bool) {
	u, ok := b.upstreams[order.Upstream]
	if !ok {
		return false
	}
	r, ok := u.runs[order.Run]
	if !ok {
		return false
	}
	r.stopInFlight = false
	r.lastStopAt = b.now.Steady
	if acknowledged && u.info.Born == order.Born {
		b.markAnswered(u, b.now.Steady)
		r.stopAckedAt = b.now.Steady
	}
	caevent.Info(b.log, caevent.TaskStopped).Str("job", string(r.id.Job)).Int("step", r.id.Step).Int("task", r.id.Index).
		Int("run", r.id.Number).Str("upstream", string(u.info.ID)).Bool("acknowledged", acknowledged).Send()
	return !r.stopAckedAt.IsZero() && !r.confirmed
}

// stops returns the stop orders that are due.
func (b *Board) stops() []StopOrder {
	var orders []StopOrder
	for r := range b.stopping {
		u := r.upstream
		if !r.sent || !r.stopAckedAt.IsZero() || r.stopInFlight || u.info.Address == "" ||
			b.now.Steady.Sub(r.lastStopAt) < stopRetryInterval {
			continue
		}
		r.stopInFlight = true
		orders = append(orders, StopOrder{Run: r.id, Upstream: u.info.ID, Address: u.info.Address, Born: u.info.Born})
	}
	slices.SortFunc(orders, func(x, y StopOrder) int { return x.Run.compare(y.Run) })
	return orders
}

// Unanswered notes that a renewal had no answer. Until one has, renewals carry
// no more time, so that the lease of an upstream that is gone ends.
func (b *Board) Unanswered(id cawork.UpstreamID) {
	if u, ok := b.upstreams[id]; ok {
		u.renewalUnanswered = true
		if u.lastAnswerAt.IsZero() || b.timeSinceAnswer(u) > maxSuspicionTimeout {
			b.suspect(u, b.now.Steady)
		}
	}
}

// Lease returns what the next call to an upstream carries, and notes that it
// is sent.
func (b *Board) Lease(id cawork.UpstreamID) (Lease, bool) {
	u, ok := b.upstreams[id]
	if !ok || u.info.Address == "" {
		return Lease{}, false
	}
	l := Lease{
		Upstream: id, Address: u.info.Address, Born: u.info.Born, StoredEnd: u.storedEnd,
	}
	if u.renewalUnanswered {
		// A later incarnation may answer, whose ends are numbered anew.
		l.StoredEnd = 0
	} else {
		l.UntilMS = u.leaseEndMS(b.now.Steady, LeaseLength)
	}
	if l.UntilMS > 0 {
		u.extendLease(b.now.Steady, LeaseLength)
	}
	return l, true
}

// UpstreamIDs returns the upstreams that are to be looked after.
func (b *Board) UpstreamIDs() []cawork.UpstreamID {
	ids := make([]cawork.UpstreamID, 0, len(b.upstreams))
	for _, u := range b.sortedUpstreams {
		if u.info.Address != "" {
			ids = append(ids, u.info.ID)
		}
	}
	return ids
}
