// Package cahealth decides from how runs end on an upstream whether it fails much more often than others, and
// keeps new work from it for a while then.
package cahealth

import (
	"math"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

const (
	// healthHalfLife is the half-life of the counts of ended runs.
	healthHalfLife = 4 * time.Second
	// minEjectFailures is the smallest number of failures that ejects an upstream.
	minEjectFailures = 3
	// minEjectFailureRate is the failure rate above which an upstream is ejected.
	minEjectFailureRate = 0.5
	// minEjectConsecutiveJobs is the smallest number of consecutive jobs with failed runs
	// that ejects an upstream, and maxCoincidenceProbability the largest probability that
	// so many fail in a row by chance.
	minEjectConsecutiveJobs   = 2
	maxCoincidenceProbability = 0.01
	// minEjectRateRatio is the ratio of an upstream's failure rate to the overall one
	// above which it is ejected.
	minEjectRateRatio = 3
	// minEjection and maxEjection bound how long an upstream stays ejected.
	minEjection = 1500 * time.Millisecond
	maxEjection = 6 * time.Second
	// MaxEjectedShare is the largest fraction of upstreams that may be ejected at the
	// same time.
	MaxEjectedShare = 0.3
)

// Counts counts how runs on one upstream ended. Consecutive failures of one job count
// once. The counts decay, so that an upstream that has recovered is used again.
type Counts struct {
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

func (h *Counts) decay(now time.Time) {
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

// Add counts a run of the job that has ended.
func (h *Counts) Add(now time.Time, job cawork.JobID, failed bool) {
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

// FailureRate returns the fraction of runs that failed.
func (h *Counts) FailureRate() float64 {
	if h.failed == 0 {
		return 0
	}
	return h.failed / (h.failed + h.done)
}

// IsEjected reports whether the upstream gets no new work at the time.
func (h *Counts) IsEjected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// Eject keeps new work from the upstream, longer for each consecutive ejection.
func (h *Counts) Eject(now time.Time) {
	ejection := min(minEjection<<h.ejections, maxEjection)
	h.ejectedUntil = now.Add(ejection)
	h.ejections++
	h.done, h.failed = 0, 0
}

// IsOutlier reports whether the runs on an upstream fail much more often than those on
// all upstreams: by their failure rate, or by more consecutive jobs with failures than
// chance explains.
func (h *Counts) IsOutlier(overall Counts) bool {
	if h.consecutiveJobs >= minEjectConsecutiveJobs && math.Pow(overall.FailureRate(), float64(h.consecutiveJobs)) < maxCoincidenceProbability {
		return true
	}
	return h.failed >= minEjectFailures && h.FailureRate() > minEjectFailureRate && h.FailureRate() > minEjectRateRatio*overall.FailureRate()
}

// EjectedUntil returns until when the upstream gets no new work.
func (h *Counts) EjectedUntil() time.Time { return h.ejectedUntil }

// WasEjected reports whether the upstream was ejected and has ended no run well since.
func (h *Counts) WasEjected() bool { return h.ejections > 0 }
