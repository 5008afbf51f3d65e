package caboard

import (
	"time"

	"celeryarch.example/celeryarch/internal/cell/caspec"
)

const (
	// speedWeight is the weight of one run in the mean of its upstream.
	speedWeight = 0.15
	// estimateWeight is the weight of one run in the mean of its queue.
	estimateWeight = 0.03
	// ratioLeast and ratioMost bound what one run says about speed.
	ratioLeast = 0.3
	ratioMost  = 4.0
	// tightSlack is the slack, as a multiple of the estimate of a step, below
	// which a job needs a fast upstream.
	tightSlack = 1.5
	// leftWeight weighs the room that stays free against speed in the choice of
	// an upstream, where the room is a fraction of its capacity.
	leftWeight = 0.25
	// failedWeight keeps a task from the upstream that its last run failed or is late on, and all
	// work from one that was ejected and has not ended anything well since.
	failedWeight = 2.0
	// spreadWeight keeps the tasks of tight work on few upstreams, so that the loss of one
	// hits few jobs: it weighs the part of what waits that does not fit at an upstream.
	spreadWeight = 0.5
	// slowWeight makes patient work prefer slow upstreams.
	slowWeight = 0.2
)

// noteSpeed learns from a run that ended well how far the estimates of its
// queue are off, and how slow its upstream is against others.
func (b *Board) noteSpeed(r *run, took time.Duration) {
	if r.step.spec.Estimate <= 0 || r.step.spec.LongRunning || r.inherited || r.resumed {
		return
	}
	ratio := float64(took) / float64(r.step.spec.Estimate)
	ratio = min(max(ratio, ratioLeast), ratioMost)
	stats := b.statsOf(r.step.job.Submission.Queue)
	relative := ratio / stats.durationRatio
	stats.durationRatio += estimateWeight * (ratio - stats.durationRatio)
	r.up.slowness += speedWeight * (relative - r.up.slowness)
}

// expectedTime returns how long a task of the step is expected to run at an
// upstream.
func (b *Board) expectedTime(s *step, u *upstream) time.Duration {
	stats := b.statsOf(s.job.Submission.Queue)
	return time.Duration(float64(s.spec.Estimate) * stats.durationRatio * u.slowness)
}

// isTight reports whether a job with the slack has little time beyond the run time
// of the step. Work that lasts has all the time.
func isTight(slack time.Duration, s caspec.Step) bool {
	return !s.LongRunning && slack < time.Duration(tightSlack*float64(s.Estimate))
}

// unfitness ranks an upstream for one more task; the lowest goes first. Tight
// work goes where it runs fast; patient work fills up upstreams, slow ones
// first, so that others keep room for large tasks.
func unfitness(u *upstream, tight, takesPlace bool) float64 {
	left := 0.0
	if u.info.Capacity.CPU > 0 {
		left = float64(u.free().CPU) / float64(u.info.Capacity.CPU)
	}
	if tight {
		kept := 0.0
		if u.reservedBy != nil {
			kept += leftWeight
		}
		if takesPlace {
			kept += areaWeight
		}
		return u.slowness + leftWeight*left + kept
	}
	if takesPlace {
		left++
	}
	return left - slowWeight*u.slowness
}
