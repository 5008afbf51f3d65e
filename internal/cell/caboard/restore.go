package caboard

import (
	"math"
	"time"

	"celeryarch.example/celeryarch/internal/cell/caobjective"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/cell/castate"
)

// Restore adds a job from its record. A new leader restores all jobs before it acts.
func (b *Planner) Restore(state *castate.Job) {
	j := &job{Job: state, endedAt: b.now.Monotonic, stored: true, storedPhase: state.Phase}
	age := time.Duration(b.now.WallMS-state.AcceptedMS) * time.Millisecond
	j.acceptedAt = b.now.Monotonic.Add(-min(max(age, 0), maxRestoredAge))
	b.addJob(j)
	b.closeUntouched(j)
	for _, o := range state.OpenOccurrences {
		b.openSteps(j, o)
	}
	b.updateRecordRoom(j)
	b.failIfAttemptsUsedUp(j)
	if state.Phase.IsFinal() {
		b.stopRuns(j)
		b.releaseEndedJob(j)
	}
}

func (b *Planner) addJob(j *job) {
	b.jobs[j.Submission.ID] = j
	j.record.laterOccurrence = math.MaxInt
	for _, s := range j.Submission.Steps {
		j.taskSizes = append(j.taskSizes, s.Size())
	}
	j.isTimed = j.Submission.Schedule.IsTimed()
	if !j.Phase.IsFinal() {
		b.terms.Need(j.Submission.Queue, j.Submission.Team)
	}
	b.applyTermsTo(j)
}

// openSteps adds the steps of an occurrence, with the runs that its tasks are assigned
// to.
func (b *Planner) openSteps(j *job, o *castate.Occurrence) {
	paths := caobjective.CriticalPaths(j.Submission.Steps, 0)
	for i := range o.Steps {
		s := &step{job: j, occurrence: o, number: i, spec: j.Submission.Steps[i], readyAt: b.now.Monotonic}
		s.ready = j.IsReady(o, i)
		s.criticalPath = paths[i]
		b.applySlackTo(s)
		b.statsOf(j.Submission.Queue).gangs.Add(s.spec)
		j.steps = append(j.steps, s)
		for index := range o.Steps[i].Tasks {
			t := &o.Steps[i].Tasks[index]
			switch t.Phase {
			case castate.TaskWaiting:
				b.addWaitingTask(s)
			case castate.TaskAssigned:
				b.inheritRun(s, index)
			case castate.TaskDone:
				j.reportedRunning = true
			}
			if t.Failures > 0 {
				j.reportedRunning = true
			}
		}
		if !j.Phase.IsFinal() {
			b.steps = append(b.steps, s)
		}
	}
}

// inheritRun charges a run that an earlier leader assigned.
func (b *Planner) inheritRun(s *step, index int) {
	t := &s.state().Tasks[index]
	u, ok := b.upstreams[t.Upstream]
	if !ok {
		u = newUpstream(caspec.Upstream{ID: t.Upstream, Incarnation: t.Born, Draining: b.wasDraining(t.Upstream, t.Born)})
		b.addUpstream(u)
	}
	for _, end := range []time.Time{b.inheritedLeaseEnd(t.Upstream, t.Born), b.inheritedLongLeaseEnd(t.Upstream, t.Born)} {
		if end.After(u.leaseExpires) {
			u.leaseExpires = end
		}
	}
	r := b.newRun(s, index, u)
	r.sent, r.inherited = true, true
	b.charge(r)
}
