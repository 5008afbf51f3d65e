package caboard

import (
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/cell/cacrash"
	"celeryarch.example/celeryarch/internal/cell/castate"
)

const (
	// probationRunWeight makes tasks on probation prefer upstreams with few runs, which would be
	// lost in another crash, and probationSuspectWeight those without other suspects of a crash.
	probationRunWeight     = 4.0
	probationSuspectWeight = 40.0
	// probationUpstreamWeight makes gangs on probation prefer few upstreams.
	probationUpstreamWeight = 20.0
	// exclusiveProbation is how long an upstream must have survived its runs on probation before tasks
	// that must be restarted soon may start there.
	exclusiveProbation = 2 * time.Second
	// maxProbationWait is how long tasks that must be restarted soon wait for the probation of others of their
	// step, or for a place where no other job is on probation.
	maxProbationWait = 1500 * time.Millisecond
)

// updateProbation determines which jobs and upstreams have runs on probation. It requests a report
// from upstreams whose next answer ends a probation.
func (b *Planner) updateProbation() {
	for _, u := range b.crashes.probationUpstreams {
		u.probationOf, u.probationIsNew = nil, false
	}
	b.crashes.probationUpstreams = nil
	for _, j := range b.sortedSuspects() {
		j.onProbation = false
		if j.Phase.IsFinal() {
			b.clearSuspect(j)
			continue
		}
		for _, t := range j.crashes.Tasks() {
			if s := j.stepOfTask(t); s != nil {
				b.updateTaskProbation(s, t)
			}
		}
	}
}

// isOnProbation reports whether a task is on probation.
func (s *step) isOnProbation(index int) bool {
	return s.job.crashes.IsOnProbation(s.crashTask(index))
}

// mayCopyTask reports whether a task may have another run at the same time.
func (s *step) mayCopyTask(index int) bool {
	return s.job.crashes.MayCopy(s.crashTask(index))
}

func (j *job) stepOfTask(t cacrash.Task) *step {
	for _, s := range j.steps {
		if s.occurrence.Number == t.Occurrence && s.number == t.Step && t.Index >= 0 && t.Index < len(s.state().Tasks) {
			return s
		}
	}
	return nil
}

// updateTaskProbation applies the probation of one task. The members of a gang share it.
func (b *Planner) updateTaskProbation(s *step, t cacrash.Task) {
	if s.state().Tasks[t.Index].Phase == castate.TaskWaiting && s.isOnProbation(t.Index) {
		s.job.onProbation = true
	}
	for _, r := range b.runsWith(s, t.Index) {
		switch {
		case !r.isCurrent():
		case !r.isProven() && s.isOnProbation(t.Index):
			s.job.onProbation = true
			b.startProbation(r)
		case s.spec.LongRunning && r.survived() >= cacrash.MaxProbation:
			b.clearCrashes(r)
		}
	}
}

// runsWith returns the run of a task that may be present, and with it those of the other members of
// its gang.
func (b *Planner) runsWith(s *step, index int) []*run {
	if s.spec.Gang {
		return b.runsOf(s)
	}
	if r, ok := b.runOf(s, index); ok {
		return []*run{r}
	}
	return nil
}

// clearCrashes forgets the crashes under the task of a run that does not end by itself and has
// outlasted any probation: over its long life, crashes of other causes would add up.
func (b *Planner) clearCrashes(r *run) {
	j := r.step.job
	if len(j.crashes.Crashes(crashTaskOf(r.id))) == 0 {
		return
	}
	j.crashes.Clear(crashTaskOf(r.id))
	b.markCrashesChanged(j)
}

// startProbation keeps other jobs from the upstream of a run on probation.
func (b *Planner) startProbation(r *run) {
	u := r.upstream
	if u.probationOf != r.step.job {
		u.probationOf = r.step.job
		b.crashes.probationUpstreams = append(b.crashes.probationUpstreams, u)
	}
	u.probationIsNew = u.probationIsNew || r.survived() < exclusiveProbation
	if r.sent && b.now.Monotonic.Sub(r.sentAt) > r.probationTime() {
		b.queueProbe(u)
	}
}

// startProbationOf applies the probation of a run that was just assigned.
func (b *Planner) startProbationOf(r *run) {
	s := r.step
	if s.job.onProbation && (!b.isRestartedAsUsual(s) || s.isOnProbation(r.id.Index)) {
		r.onProbation = true
		b.startProbation(r)
	}
}

// isHeldBack reports whether a waiting task may not start now: too many upstreams may have crashed
// under it, or another task of its job is on probation.
func (b *Planner) isHeldBack(s *step, index int) bool {
	j := s.job
	if j.crashes == nil {
		return false
	}
	t := s.crashTask(index)
	if !j.crashes.MayStart(t, false) {
		return true
	}
	return j.onProbation && !s.isOnProbation(index) && !b.isRestartedAsUsual(s) && !b.hasWaitedForProbation(s)
}

// isRestartedAsUsual reports whether the probation of one long-running task of the step does not keep
// the others from being restarted: no upstream crashed soon after it had started one of them, or another
// one has survived that time with the same task since. That probation may last for much longer.
func (b *Planner) isRestartedAsUsual(s *step) bool {
	return s.spec.LongRunning && !b.mayCrashEarly(s)
}

// mayCrashEarly reports whether a task of the step may crash its upstream soon after it was started.
func (b *Planner) mayCrashEarly(s *step) bool {
	for _, t := range s.job.crashes.Tasks() {
		if s.job.stepOfTask(t) != s {
			continue
		}
		needed := s.job.crashes.EarlyProbationTime(t)
		if needed > 0 && !b.hasSurvived(s, t.Index, needed) {
			return true
		}
	}
	return false
}

// hasSurvived reports whether the upstream of the present run of a task has survived it for the time.
func (b *Planner) hasSurvived(s *step, index int, needed time.Duration) bool {
	r, ok := b.runOf(s, index)
	return ok && r.sent && (r.survived() >= needed || r.isProvenBefore())
}

// isGangHeldBack reports the same of a gang, whose members start together.
func (b *Planner) isGangHeldBack(s *step) bool {
	j := s.job
	if j.crashes == nil {
		return false
	}
	onProbation := false
	for i := range s.state().Tasks {
		t := s.crashTask(i)
		if !j.crashes.MayStart(t, true) {
			return true
		}
		onProbation = onProbation || s.isOnProbation(i)
	}
	return j.onProbation && !onProbation
}

// isStepHeldBack reports whether no task of the step that waits or soon will may start now.
func (b *Planner) isStepHeldBack(s *step) bool {
	if s.job.crashes == nil {
		return false
	}
	if s.spec.Gang {
		return b.isGangHeldBack(s)
	}
	if s.tasksEnding > 0 && (!s.job.onProbation || b.isRestartedAsUsual(s)) {
		return false
	}
	tasks := s.state().Tasks
	for i := range tasks {
		if tasks[i].Phase == castate.TaskWaiting && !b.isHeldBack(s, i) {
			return false
		}
	}
	return true
}

// isApart reports whether some task of the step may start on an upstream as far as probation is
// concerned. The tasks of a job on probation start on one upstream, where no other job is on
// probation and none starts, so that a crash of the upstream shows which job is to blame. Long-running
// tasks must be restarted soon: they may start where the upstream has survived the first seconds of
// another job's probation, and those whose own job is on probation may after maxProbationWait.
func (b *Planner) isApart(s *step, u *upstream) bool {
	isKeptForOther := u.probationOf != nil && u.probationOf != s.job
	switch {
	case isKeptForOther && (s.restarts() == 0 || u.probationIsNew):
		return false
	case !s.job.onProbation || b.isRestartedAsUsual(s) || b.hasWaitedForProbation(s):
		return true
	default:
		return !isKeptForOther && b.sharesProbation(s, u)
	}
}

// isTaskApart reports the same of a task, at an upstream that is apart enough for some task of its step:
// tasks on probation do not start beside new probation of their job, however long they wait.
func (b *Planner) isTaskApart(s *step, index int, u *upstream) bool {
	if !s.job.onProbation || !s.isOnProbation(index) || b.isRestartedAsUsual(s) {
		return true
	}
	return b.sharesProbation(s, u)
}

// hasWaitedForProbation reports whether tasks of the step that ran before have waited for maxProbationWait.
func (b *Planner) hasWaitedForProbation(s *step) bool {
	return s.restarts() > 0 && b.now.Monotonic.Sub(s.waitBegan()) > maxProbationWait
}

// sharesProbation reports whether the upstream has a run on probation of the step's job, or no other upstream
// has one that keeps the step from it: any, or for tasks to restart a new one.
func (b *Planner) sharesProbation(s *step, u *upstream) bool {
	return u.probationOf == s.job || !slices.ContainsFunc(b.crashes.probationUpstreams, func(other *upstream) bool {
		return other.probationOf == s.job && (other.probationIsNew || s.restarts() == 0)
	})
}

// probationPenalty returns the penalty for the runs of an upstream on which a task on probation
// would be placed.
func (s *step) probationPenalty(u *upstream) float64 {
	if !s.job.onProbation {
		return 0
	}
	penalty := probationRunWeight * float64(len(u.runs))
	for _, r := range u.runs {
		if r.step.job != s.job && !r.isProven() {
			penalty += probationSuspectWeight
		}
	}
	return penalty
}

// probationRisk returns what a crash of an upstream with so many members of a gang on probation would
// cost for each of them: the upstream, and the runs that are there.
func (s *step) probationRisk(u *upstream, members int) float64 {
	if !s.job.onProbation {
		return 0
	}
	return (probationUpstreamWeight + s.probationPenalty(u)) / float64(members)
}
