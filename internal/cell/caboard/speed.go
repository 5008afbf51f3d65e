package caboard

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caruntime"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

const (
	// freeShareWeight weighs the free fraction of an upstream against its speed in the
	// choice of an upstream.
	freeShareWeight = 0.25
	// avoidPenalty keeps a task from the upstream where its last run failed or is late,
	// and all work from an upstream that was ejected and has ended no run well since.
	avoidPenalty = 2.0
	// unplacedShareWeight keeps the tasks of urgent work on few upstreams, so that the
	// loss of one affects few jobs: it weighs the fraction of the waiting tasks that does
	// not fit on an upstream.
	unplacedShareWeight = 0.5
	// slowUpstreamWeight makes work that is not urgent prefer slow upstreams.
	slowUpstreamWeight = 0.2
	// wrongSpeedPenalty keeps work that has the time for it on slow upstreams, and other work that is
	// not urgent on fast ones.
	wrongSpeedPenalty = 0.5
	// slowRunMargin is how many times longer than expected a run on a slow upstream may take for a job
	// that counts as having the time for it.
	slowRunMargin = 2.5
)

// addRunTime adds a run that has ended, or was cut short, to what is known about run times.
func (b *Planner) addRunTime(r *run, at time.Time, cut bool) {
	if r.step.orphan || r.step.spec.LongRunning || r.inherited || r.resumed {
		return
	}
	b.runTimes.Add(caruntime.Run{
		Queue: r.step.job.Submission.Queue, Upstream: r.upstream.info.ID, Incarnation: r.born,
		Estimate: r.step.spec.Estimate, Took: at.Sub(r.assignedAt), Cut: cut,
	})
	r.upstream.slowness = b.runTimes.Slowness(r.upstream.info.ID)
}

// updateSpeeds compares the upstreams with one another.
func (b *Planner) updateSpeeds() {
	b.runTimes.Update(func(id cawork.UpstreamID) bool { return b.upstreams[id] != nil })
	for _, u := range b.sortedUpstreams {
		u.slowness, u.slow = b.runTimes.Slowness(u.info.ID), b.runTimes.IsSlow(u.info.ID)
	}
}

// RunTimeRecord returns what a later leader should know of the speeds of upstreams, nil if nothing.
func (b *Planner) RunTimeRecord() ([]byte, error) { return b.runTimes.Record() }

// LogRunTimes logs what is known about the speeds of upstreams and the run times of queues.
func (b *Planner) LogRunTimes() {
	slow, fast := b.runTimes.Counts()
	queues := make(map[caspec.QueueName]caruntime.Learned)
	for _, q := range b.runTimes.Queues() {
		queues[q] = b.runTimes.Learned(q)
	}
	caevent.Info(b.log, caevent.RunTimesLearned).Int("slow", slow).Int("fast", fast).
		Float64("slowness", b.runTimes.SlowSlowness()).Interface("queues", queues).Send()
}

// InheritRunTimes takes over such a record of an earlier leader.
func (b *Planner) InheritRunTimes(record []byte) error { return b.runTimes.Inherit(record) }

// expectedRunTime returns how long a task of the step is expected to run on an upstream.
func (b *Planner) expectedRunTime(s *step, u *upstream) time.Duration {
	return time.Duration(float64(b.expectedWork(s)) * u.slowness)
}

// expectedWork returns how long a task of the step is expected to run on an upstream of usual speed.
func (b *Planner) expectedWork(s *step) time.Duration {
	return b.runTimes.Expected(s.job.Submission.Queue, s.spec.Estimate)
}

// chooseSpeed determines on which upstreams the waiting tasks of a step should run: on slow ones if it has
// the time for that, and only on others if it would miss its objective on slow ones, and not on these.
func (b *Planner) chooseSpeed(s *step) {
	s.prefersSlow, s.avoidsSlow = false, false
	slow := b.runTimes.SlowSlowness()
	if slow == 0 || !s.mayBeLate() {
		return
	}
	s.prefersSlow = !s.urgent && b.meetsObjective(s, slowRunMargin*slow)
	s.avoidsSlow = !b.meetsObjective(s, slow) && b.meetsObjective(s, b.runTimes.FastSlowness())
}

// meetsObjective reports whether a job is expected to meet its objective if the tasks of the step start now
// on upstreams that are so many times slower than usual.
func (b *Planner) meetsObjective(s *step, slowness float64) bool {
	later := s.criticalPath - s.spec.Estimate
	runs := time.Duration(slowness * float64(b.expectedWork(s)))
	return b.age(s.job)+runs+later <= s.job.objective
}

// suitsSpeed reports whether the speed of an upstream is the one at which the tasks of the step should run.
func (s *step) suitsSpeed(u *upstream) bool { return u.slow == s.prefersSlow }

// baseScore scores an upstream for one more task of a step. The lowest score is the best. Urgent
// work goes where it runs fast. Other work fills up upstreams, slow ones first, so that
// the rest keep room for large tasks.
func (s *step) baseScore(u *upstream, takesGangSlot bool) float64 {
	freeShare := 0.0
	if u.info.Capacity.CPU > 0 {
		freeShare = float64(u.free().CPU) / float64(u.info.Capacity.CPU)
	}
	if s.urgent {
		penalty := 0.0
		if u.reservedBy != nil {
			penalty += freeShareWeight
		}
		if takesGangSlot {
			penalty += gangSlotPenalty
		}
		return u.slowness + freeShareWeight*freeShare + penalty
	}
	if takesGangSlot {
		freeShare++
	}
	if !s.suitsSpeed(u) {
		freeShare += wrongSpeedPenalty
	}
	return freeShare - slowUpstreamWeight*u.slowness
}
