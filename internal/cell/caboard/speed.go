package caboard

import (
	"time"

	"celeryarch.example/celeryarch/internal/cell/caspec"
)

const (
	// slownessWeight is the weight of one run in the mean slowness of its upstream.
	slownessWeight = 0.15
	// durationRatioWeight is the weight of one run in the mean duration ratio of its
	// queue.
	durationRatioWeight = 0.03
	// minDurationRatio and maxDurationRatio bound the duration ratio of a single run.
	minDurationRatio = 0.3
	maxDurationRatio = 4.0
	// urgentSlackFactor is the slack, as a multiple of the estimate of a step, below
	// which a job needs a fast upstream.
	urgentSlackFactor = 1.5
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
)

// addRunTime updates two averages from a run that ended well: how far the estimates of
// its queue are off, and how slow its upstream is compared with others.
func (b *Planner) addRunTime(r *run, took time.Duration) {
	if r.step.spec.Estimate <= 0 || r.step.spec.LongRunning || r.inherited || r.resumed {
		return
	}
	ratio := float64(took) / float64(r.step.spec.Estimate)
	ratio = min(max(ratio, minDurationRatio), maxDurationRatio)
	stats := b.statsOf(r.step.job.Submission.Queue)
	relative := ratio / stats.durationRatio
	stats.durationRatio += durationRatioWeight * (ratio - stats.durationRatio)
	r.upstream.slowness += slownessWeight * (relative - r.upstream.slowness)
}

// expectedRunTime returns how long a task of the step is expected to run on an upstream.
func (b *Planner) expectedRunTime(s *step, u *upstream) time.Duration {
	stats := b.statsOf(s.job.Submission.Queue)
	return time.Duration(float64(s.spec.Estimate) * stats.durationRatio * u.slowness)
}

// isUrgent reports whether a job with the slack has little time beyond the run time of
// the step. Long-running work is never urgent.
func isUrgent(slack time.Duration, s caspec.Step) bool {
	return !s.LongRunning && slack < time.Duration(urgentSlackFactor*float64(s.Estimate))
}

// baseScore scores an upstream for one more task. The lowest score is the best. Urgent
// work goes where it runs fast. Other work fills up upstreams, slow ones first, so that
// the rest keep room for large tasks.
func baseScore(u *upstream, urgent, takesGangSlot bool) float64 {
	freeShare := 0.0
	if u.info.Capacity.CPU > 0 {
		freeShare = float64(u.free().CPU) / float64(u.info.Capacity.CPU)
	}
	if urgent {
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
	return freeShare - slowUpstreamWeight*u.slowness
}
