package caboard

import (
	"maps"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/cacrash"
	"celeryarch.example/celeryarch/internal/cell/caorder"
	"celeryarch.example/celeryarch/internal/cell/castate"
)

// A task may crash each upstream that starts it. Its end is never reported, so its attempts say
// nothing. Therefore the crashes of upstreams are counted for the tasks that they ran. The
// suspects of a crash are the runs that the upstream had not survived for long. A suspect is on
// probation: it is started on an upstream where no other job has a suspect, and no other job is
// started there until the upstream has survived it. If that upstream crashes too, the job is
// given up. Tasks that are lost in crashes without being suspects are started as before.

// unresolvedTimeout is how long an upstream may be silent after its lease expired before that
// counts as a crash, though no later incarnation was seen.
const unresolvedTimeout = 30 * time.Second

// judgementDelay is the time from a crash to the end of the job that is to blame for it. In between
// other crashes may show a common cause.
const judgementDelay = time.Second

// maxUncountedRuns is how many runs of a task may end without a report, under leaders that count no
// crashes, before these are presumed to be crashes.
const maxUncountedRuns = 2

// crashState is what the planner keeps about crashes of upstreams.
type crashState struct {
	// suspects are the jobs with crashes that have not ended.
	suspects map[cawork.JobID]*job
	// sortedSuspects holds them by their ids, nil if it is out of date.
	sortedSuspects []*job
	// changed are the jobs whose stored crashes are out of date, and removed those whose stored
	// crashes are to be deleted.
	changed map[cawork.JobID]*job
	removed []cawork.JobID
	// openSince is when the last crash or copied run of an upstream was recorded that is not resolved.
	openSince map[cawork.UpstreamID]time.Time
	// events are the crashes of the last seconds.
	events []crashEvent
	// probationUpstreams are the upstreams with a run on probation.
	probationUpstreams []*upstream
}

func newCrashState() crashState {
	return crashState{
		suspects: make(map[cawork.JobID]*job), changed: make(map[cawork.JobID]*job),
		openSince: make(map[cawork.UpstreamID]time.Time),
	}
}

// crashTaskOf returns the identifier of the run's task in the history of its job.
func crashTaskOf(id caorder.RunID) cacrash.Task {
	return cacrash.Task{Occurrence: id.Occurrence, Step: id.Step, Index: id.Index}
}

// crashTask returns the identifier of a task in the history of its job.
func (s *step) crashTask(index int) cacrash.Task {
	return cacrash.Task{Occurrence: s.occurrence.Number, Step: s.number, Index: index}
}

// survived returns for how long the upstream is known to have lived with the run: from its start
// to the last answer, zero if it did not answer since or the run may still start.
func (r *run) survived() time.Duration {
	if r.mayStillStart() {
		return 0
	}
	start := r.assignedAt
	for _, later := range []time.Time{r.sentAt, r.confirmedAt} {
		if later.After(start) {
			start = later
		}
	}
	return max(r.upstream.lastAnswerAt.Sub(start), 0)
}

// isProven reports whether the upstream has survived the run for so long that the run is cleared,
// under this leader or an earlier one.
func (r *run) isProven() bool {
	return r.sent && (r.survived() >= r.probationTime() || r.isProvenBefore())
}

// isProvenBefore reports whether an earlier leader has recorded that the run outlasted any probation.
func (r *run) isProvenBefore() bool {
	return r.inherited && r.step.job.IsProvenRun(provenRunOf(r.id))
}

// provenRunOf returns the identifier of the run in the record of its job.
func provenRunOf(id caorder.RunID) castate.ProvenRunID {
	return castate.ProvenRunID{Occurrence: id.Occurrence, Step: id.Step, Index: id.Index, Number: id.Number}
}

// recordProvenRuns records the long-running tasks that have outlasted any probation at the upstream,
// so that a later leader does not suspect them.
func (b *Planner) recordProvenRuns(u *upstream) {
	for _, r := range u.runs {
		if r.step.spec.LongRunning && r.isCurrent() && r.survived() >= cacrash.MaxProbation && r.step.job.AddProvenRun(provenRunOf(r.id)) {
			b.markChanged(r.step.job)
		}
	}
}

// probationTime returns for how long the upstream must survive the run to clear it.
func (r *run) probationTime() time.Duration {
	return r.step.job.crashes.ProbationTime(crashTaskOf(r.id), !r.step.spec.LongRunning)
}

// isSuspect reports whether the run is a suspect if its upstream crashes. One of an earlier leader is
// unless the upstream has lived with it since this leader took over.
func (r *run) isSuspect() bool {
	return !r.isProven()
}

// wasAt reports whether the run may have been at its upstream in the given incarnation. Orders for
// an earlier one may have been carried out late, which only matters once the incarnation has ended.
func (r *run) wasAt(incarnation int64, hasEnded bool) bool {
	if !r.sent {
		return false
	}
	return r.born == incarnation || r.reportedIncarnation == incarnation || hasEnded && r.mayStillStart()
}

// sortedRuns returns the runs that may be present at the upstream, in the order of their ids.
func (u *upstream) sortedRuns() []*run {
	return slices.SortedFunc(maps.Values(u.runs), func(x, y *run) int { return x.id.Compare(y.id) })
}

// countCrash counts the end of an incarnation of an upstream for the tasks that it ran. An
// unresolved one may only be unreachable. An upstream that was leaving did not crash.
func (b *Planner) countCrash(u *upstream, incarnation int64, cause string, unresolved bool) {
	var runs, suspects []*run
	suspectJobs := make(map[cawork.JobID]bool)
	for _, r := range u.sortedRuns() {
		if !r.wasAt(incarnation, !unresolved) {
			continue
		}
		runs = append(runs, r)
		if r.isSuspect() {
			suspects = append(suspects, r)
			suspectJobs[r.id.Job] = true
		}
	}
	if len(runs) > 0 {
		b.logCrash(u, incarnation, cause, len(runs), len(suspects), suspectJobs)
	}
	if u.info.Draining {
		return
	}
	b.addCrashEvent(u, incarnation, runs, suspectJobs)
	for _, r := range runs {
		b.addCrash(r, cacrash.Crash{
			Upstream: u.info.ID, Incarnation: incarnation, Unresolved: unresolved, Survived: r.survived(),
			Blamed: r.isSuspect(), Sole: len(suspectJobs) == 1,
		})
	}
	b.shareCrashes()
}

// logCrash logs that an incarnation of an upstream ended with runs.
func (b *Planner) logCrash(u *upstream, born int64, cause string, runs, suspects int, suspectJobs map[cawork.JobID]bool) {
	var names []string
	for _, id := range slices.Sorted(maps.Keys(suspectJobs)) {
		names = append(names, string(id))
	}
	caevent.Warn(b.log, caevent.UpstreamCrashed).Str("upstream", string(u.info.ID)).Int64("born", born).Str("cause", cause).
		Bool("draining", u.info.Draining).Dur("since_answer", b.timeSinceAnswer(u)).Int("runs", runs).
		Int("suspects", suspects).Strs("suspect_jobs", names).Send()
}

// addCrash adds a crash to the history of a run's job. A run that does not end by itself and has
// outlasted any probation has not caused it.
func (b *Planner) addCrash(r *run, c cacrash.Crash) {
	j := r.step.job
	if r.step.orphan || j.Phase.IsFinal() || r.task().Phase == castate.TaskDone || !r.mayCountCrash(c.Incarnation) {
		return
	}
	if r.step.spec.LongRunning && (c.Survived >= cacrash.MaxProbation || r.isProvenBefore()) {
		return
	}
	if j.crashes == nil {
		j.crashes = cacrash.New()
	}
	c.Confirmed, c.Probation = r.confirmed, r.onProbation || r.inherited && r.step.isOnProbation(r.id.Index)
	c.AtMS = b.now.WallMS
	r.crashCounted, r.crashedIn = true, c.Incarnation
	if !j.crashes.Add(crashTaskOf(r.id), c) {
		return
	}
	j.crashedAt = b.now.Monotonic
	b.addSuspect(j)
	b.markCrashesChanged(j)
	if c.Unresolved || c.Present {
		b.crashes.openSince[c.Upstream] = b.now.Monotonic
	}
}

// markCrashesChanged marks the crashes of a job to be stored, along with its record.
func (b *Planner) markCrashesChanged(j *job) {
	b.crashes.changed[j.Submission.ID] = j
	b.markChanged(j)
}

// giveUpHarmfulJobs fails the jobs with tasks that are not to be started any more, once crashes with
// a common cause would have been noticed. Until then these tasks are held back.
func (b *Planner) giveUpHarmfulJobs() {
	for _, j := range b.sortedSuspects() {
		if b.now.Monotonic.Sub(j.crashedAt) >= judgementDelay {
			b.giveUpIfHarmful(j)
		}
	}
}

// giveUpIfHarmful fails a job with a task that is not to be started any more.
func (b *Planner) giveUpIfHarmful(j *job) {
	if j.Phase.IsFinal() {
		return
	}
	for _, t := range j.crashes.Tasks() {
		s := j.stepOfTask(t)
		if !j.crashes.IsGivenUp(t, s != nil && s.spec.Gang) {
			continue
		}
		var upstreams []string
		for _, c := range j.crashes.Crashes(t) {
			upstreams = append(upstreams, string(c.Upstream))
		}
		caevent.Warn(b.log, caevent.JobGivenUp).Str("job", string(j.Submission.ID)).Int("step", t.Step).Int("task", t.Index).
			Strs("upstreams", upstreams).Send()
		b.endJob(j, castate.PhaseFailed)
		return
	}
}

// countCopiedRun records a run whose task is started elsewhere as well. It counts as a crash while its
// upstream does not answer, and if the upstream crashes under a later leader, which does not have
// the run.
func (b *Planner) countCopiedRun(r *run) {
	u := r.upstream
	if u.info.Draining {
		return
	}
	sole := true
	for _, other := range u.runs {
		if other.step.job != r.step.job && other.isSuspect() {
			sole = false
		}
	}
	b.addCrash(r, cacrash.Crash{
		Upstream: u.info.ID, Incarnation: r.born, Unresolved: u.isSuspected() || r.mayStillStart(), Present: true,
		Survived: r.survived(), Blamed: r.isSuspect(), Sole: sole,
	})
}

// applyAnswerToCrashes withdraws the unresolved crashes of an incarnation that answered a call made
// at calledAt.
func (b *Planner) applyAnswerToCrashes(u *upstream, born int64, calledAt time.Time) {
	since, ok := b.crashes.openSince[u.info.ID]
	if !ok || !calledAt.After(since) {
		return
	}
	for _, j := range b.sortedSuspects() {
		if j.crashes.ApplyAnswer(u.info.ID, born, func(t cacrash.Task) bool { return u.hasRunOf(j, t) }) {
			b.markCrashesChanged(j)
		}
	}
	b.resolveCrashes(u.info.ID, born)
}

// hasRunOf reports whether the upstream may have a run of the task.
func (u *upstream) hasRunOf(j *job, t cacrash.Task) bool {
	for id := range u.runs {
		if id.Job == j.Submission.ID && crashTaskOf(id) == t {
			return true
		}
	}
	return false
}

// resolveCrashes counts the unresolved crashes of incarnations of an upstream before the given one.
func (b *Planner) resolveCrashes(id cawork.UpstreamID, before int64) {
	if _, ok := b.crashes.openSince[id]; !ok {
		return
	}
	remaining := false
	for _, j := range b.sortedSuspects() {
		if j.crashes.Resolve(id, before) {
			j.crashedAt = b.now.Monotonic
			b.markCrashesChanged(j)
		}
		remaining = remaining || slices.Contains(j.crashes.OpenUpstreams(), id)
	}
	if !remaining {
		delete(b.crashes.openSince, id)
	}
}

// expireUnresolvedCrashes counts the unresolved crashes of upstreams that were silent for long. Those
// that an earlier leader stored are not counted before their upstreams had time to answer this one:
// they may have answered a leader in between that keeps no crashes.
func (b *Planner) expireUnresolvedCrashes() {
	before := b.now.WallMS - unresolvedTimeout.Milliseconds()
	isSilent := func(id cawork.UpstreamID) bool {
		return b.now.Monotonic.Sub(b.crashes.openSince[id]) >= LeaseDuration
	}
	for _, j := range b.sortedSuspects() {
		if j.crashes.ResolveOld(before, isSilent) {
			j.crashedAt = b.now.Monotonic
			b.markCrashesChanged(j)
		}
	}
}

// addSuspect adds a job with crashes.
func (b *Planner) addSuspect(j *job) {
	b.crashes.suspects[j.Submission.ID] = j
	b.crashes.sortedSuspects = nil
}

// sortedSuspects returns the jobs with crashes by their ids. Later changes do not affect the result.
func (b *Planner) sortedSuspects() []*job {
	if b.crashes.sortedSuspects == nil {
		jobs := make([]*job, 0, len(b.crashes.suspects))
		for _, id := range slices.Sorted(maps.Keys(b.crashes.suspects)) {
			jobs = append(jobs, b.crashes.suspects[id])
		}
		b.crashes.sortedSuspects = jobs
	}
	return b.crashes.sortedSuspects
}

// RestoreCrashes adds the stored crashes by job. A new leader calls it once all jobs are restored.
// Crashes of jobs that are not known any more are deleted with the next batch.
func (b *Planner) RestoreCrashes(histories map[cawork.JobID]*cacrash.History) {
	for _, id := range slices.Sorted(maps.Keys(histories)) {
		j, ok := b.jobs[id]
		if !ok {
			b.crashes.removed = append(b.crashes.removed, id)
			continue
		}
		j.crashes = histories[id]
		if j.Phase.IsFinal() {
			continue
		}
		b.addSuspect(j)
		j.crashedAt = b.now.Monotonic
		for _, u := range j.crashes.OpenUpstreams() {
			b.crashes.openSince[u] = b.now.Monotonic
		}
	}
	b.presumeUncountedCrashes()
	for _, u := range b.sortedUpstreams {
		b.countInheritedCrashes(u)
		b.resolveCrashes(u.info.ID, u.info.Incarnation)
	}
	b.shareCrashes()
}

// presumeUncountedCrashes presumes crashes under the tasks that were started again and again by
// leaders that count none, such as those of an earlier build. The answer of the upstream that had
// the last run withdraws it.
func (b *Planner) presumeUncountedCrashes() {
	for _, id := range slices.Sorted(maps.Keys(b.jobs)) {
		j := b.jobs[id]
		if j.CrashesCounted || j.Phase.IsFinal() {
			continue
		}
		j.CrashesCounted = true
		for _, s := range j.steps {
			b.presumeCrashesOfStep(s)
		}
	}
}

// presumeCrashesOfStep presumes crashes under the tasks of a step. The members of a gang are started
// again for many reasons.
func (b *Planner) presumeCrashesOfStep(s *step) {
	if s.spec.Gang {
		return
	}
	for i, t := range s.state().Tasks {
		uncounted := t.Run - t.Failures - len(s.job.crashes.Crashes(s.crashTask(i)))
		if t.Phase == castate.TaskDone || uncounted < maxUncountedRuns {
			continue
		}
		if s.job.crashes == nil {
			s.job.crashes = cacrash.New()
		}
		s.job.crashes.Add(s.crashTask(i), cacrash.Crash{
			Upstream: t.Upstream, Incarnation: t.Born, Unresolved: true, Blamed: true, Repeated: true, AtMS: b.now.WallMS,
		})
		b.addSuspect(s.job)
		b.crashes.openSince[t.Upstream] = b.now.Monotonic
		b.markCrashesChanged(s.job)
	}
}

// countInheritedCrashes counts the crash of an upstream that an earlier leader did not notice: its
// runs were assigned to an earlier incarnation. Whether they are to blame is not known, so that
// they count as suspects.
func (b *Planner) countInheritedCrashes(u *upstream) {
	var last int64
	var runs []*run
	for _, r := range u.sortedRuns() {
		if !r.inherited || r.born == 0 || r.born >= u.info.Incarnation {
			continue
		}
		if r.born > last {
			last, runs = r.born, nil
		}
		if r.born == last {
			runs = append(runs, r)
		}
		b.addCrash(r, cacrash.Crash{Upstream: u.info.ID, Incarnation: r.born, Blamed: true})
	}
	if len(runs) > 0 {
		b.addCrashEvent(u, last, runs, u.suspectJobs())
	}
}

// takeCrashRecords returns the records of crashes that are out of date, and clears the list.
func (b *Planner) takeCrashRecords() ([]Record, error) {
	var records []Record
	for id, j := range b.crashes.changed {
		if !j.Phase.IsFinal() {
			j.crashes.KeepOccurrences(j.hasOpenOccurrence)
		}
		value, err := j.crashes.Encode()
		if err != nil {
			return nil, err
		}
		records = append(records, Record{Job: id, Value: value})
		if j.crashes.IsEmpty() || j.Phase.IsFinal() {
			b.clearSuspect(j)
		}
	}
	for _, id := range b.crashes.removed {
		records = append(records, Record{Job: id})
	}
	b.crashes.changed = make(map[cawork.JobID]*job)
	b.crashes.removed = nil
	return records, nil
}

func (j *job) hasOpenOccurrence(number int) bool {
	return slices.ContainsFunc(j.OpenOccurrences, func(o *castate.Occurrence) bool { return o.Number == number })
}

// clearSuspect ends the probation of a job.
func (b *Planner) clearSuspect(j *job) {
	j.onProbation = false
	delete(b.crashes.suspects, j.Submission.ID)
	b.crashes.sortedSuspects = nil
}

// forgetCrashes deletes the crashes of a job whose record is deleted.
func (b *Planner) forgetCrashes(j *job) {
	id := j.Submission.ID
	b.clearSuspect(j)
	delete(b.crashes.changed, id)
	if j.crashes != nil {
		b.crashes.removed = append(b.crashes.removed, id)
	}
}
