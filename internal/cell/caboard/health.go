package caboard

import (
	"math"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// health counts how runs on one upstream ended. Consecutive failures of one job count
// once. The counts decay, so that an upstream that has recovered is used again.
type health struct {
	done, failed float64
	decayedAt    time.Time
	ejectedUntil time.Time
	// ejections counts consecutive ejections. Each one lasts longer than the one before.
	ejections int
	// consecutiveJobs counts the jobs with failed runs since the last run that ended
	// well, and lastFailedJob is the last of them. Consecutive failures of one job count
	// once, because a job may fail on every upstream through its own fault.
	consecutiveJobs int
	lastFailedJob   cawork.JobID
}

func (h *health) decay(now time.Time) {
	if h.decayedAt.IsZero() {
		h.decayedAt = now
		return
	}
	for now.Sub(h.decayedAt) >= healthHalfLife {
		h.done /= 2
		h.failed /= 2
		h.decayedAt = h.decayedAt.Add(healthHalfLife)
		if h.done < 0.01 && h.failed < 0.01 {
			h.decayedAt = now
		}
	}
}

func (h *health) add(now time.Time, job cawork.JobID, failed bool) {
	h.decay(now)
	if !failed {
		h.done++
		h.ejections, h.consecutiveJobs, h.lastFailedJob = 0, 0, ""
		return
	}
	if job != h.lastFailedJob {
		h.failed++
		h.consecutiveJobs++
		h.lastFailedJob = job
	}
}

// failureRate returns the fraction of runs that failed.
func (h *health) failureRate() float64 {
	if h.failed == 0 {
		return 0
	}
	return h.failed / (h.failed + h.done)
}

func (h *health) isEjected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// eject keeps new work from the upstream, longer for each consecutive ejection.
func (h *health) eject(now time.Time) {
	ejection := min(minEjection<<h.ejections, maxEjection)
	h.ejectedUntil = now.Add(ejection)
	h.ejections++
	h.done, h.failed = 0, 0
}

// isOutlier reports whether the runs on an upstream fail much more often than those on
// all upstreams: by their failure rate, or by more consecutive jobs with failures than
// chance explains.
func (h *health) isOutlier(overall health) bool {
	if h.consecutiveJobs >= minEjectConsecutiveJobs && math.Pow(overall.failureRate(), float64(h.consecutiveJobs)) < maxCoincidenceProbability {
		return true
	}
	return h.failed >= minEjectFailures && h.failureRate() > minEjectFailureRate && h.failureRate() > minEjectRateRatio*overall.failureRate()
}
