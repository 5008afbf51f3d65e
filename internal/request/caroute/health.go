package caroute

import (
	"math"
	"time"
)

const (
	// healthHalfLife is the time in which the weight of a result falls to half.
	healthHalfLife = 10 * time.Second
	// decayInterval is the minimum time between two updates of the weights.
	// Results within it count as equally old.
	decayInterval = 100 * time.Millisecond
	// minFailures is the weight of failures below which an upstream does not
	// count as failing, minSamples the weight of results below which it does not
	// count as slow. Few failures are enough, because a failing upstream is
	// chosen less often and adds few more.
	minFailures = 3.5
	minSamples  = 7.5
	// failureExcess is how far the failure rate must exceed that of the peers
	// for an ejection.
	failureExcess = 0.3
	// slowFactor is the multiple of the median latency of the peers above which
	// an upstream is ejected.
	slowFactor = 4.0
	// minSlowLatency is the latency up to which no upstream counts as slow.
	minSlowLatency = 20 * time.Millisecond
	// maxEjectedFraction is the largest fraction of the upstreams that may be
	// ejected at a time.
	maxEjectedFraction = 1.0 / 3
	// minEjectionTime and maxEjectionTime bound the time from an ejection to the
	// first probe. The time doubles with each ejection.
	minEjectionTime = 2 * time.Second
	maxEjectionTime = time.Minute
	// probesToRestore is the number of consecutive successful probes that
	// restore an upstream.
	probesToRestore = 3
	// pauseAfterRefusal is the time for which an upstream gets no request after
	// it refused one without starting it. It doubles with each consecutive
	// refusal.
	pauseAfterRefusal = 20 * time.Millisecond
	// latencyWeight is the weight of a request in the mean latency of its
	// upstream.
	latencyWeight = 0.1
	// serviceTimeWeight is the weight of a request in the mean service time over
	// all upstreams, serviceTimeClip the multiple of the mean to which its time
	// is clipped.
	serviceTimeWeight = 0.025
	serviceTimeClip   = 4
	// priorSuccesses is the weight of successes added to the results of every
	// upstream in the estimate of its failure rate (a Bayesian prior).
	priorSuccesses = 2.0
	initialLatency = 10 * time.Millisecond
)

// health holds the statistics of the requests sent to an upstream and its
// ejection state.
type health struct {
	successes float64
	failures  float64
	decayedAt time.Time
	latency   time.Duration
	lastUsed  time.Time
	limit     limit

	ejected          bool
	ejections        int
	nextProbeAt      time.Time
	probeInFlight    bool
	successfulProbes int
	// probeLatencySum is the sum of the latencies of the successful probes.
	probeLatencySum     time.Duration
	pausedUntil         time.Time
	consecutiveRefusals int
}

func newHealth(now time.Time, slots int) *health {
	return &health{decayedAt: now, lastUsed: now, latency: initialLatency, limit: newLimit(slots)}
}

func (h *health) decay(now time.Time) {
	elapsed := now.Sub(h.decayedAt)
	if elapsed < decayInterval {
		return
	}
	f := math.Exp2(-elapsed.Seconds() / healthHalfLife.Seconds())
	h.successes *= f
	h.failures *= f
	h.decayedAt = now
}

func (h *health) samples() float64 { return h.successes + h.failures }

func (h *health) failureRate() float64 {
	if h.samples() == 0 {
		return 0
	}
	return h.failures / h.samples()
}

// expectedFailureRate is the estimate by which upstreams are chosen. It falls to
// zero as the results age, so that an upstream avoided for its failures is
// tried again.
func (h *health) expectedFailureRate() float64 { return h.failures / (h.samples() + priorSuccesses) }

func (h *health) record(now time.Time, v Verdict, latency, mean time.Duration) {
	h.decay(now)
	switch v {
	case VerdictServed:
		h.successes++
		h.consecutiveRefusals = 0
		h.observe(latency, mean)
	case VerdictFailed:
		h.failures++
		h.consecutiveRefusals = 0
	case VerdictRefused:
		h.failures++
		h.pausedUntil = now.Add(pauseAfterRefusal << min(h.consecutiveRefusals, 6))
		h.consecutiveRefusals++
	case VerdictAbandoned:
	}
}

func (h *health) observe(latency, mean time.Duration) {
	h.latency += time.Duration(latencyWeight * float64(latency-h.latency))
	h.limit.observe(latency, mean)
}

// latencyAt returns the mean latency of the upstream. While the upstream is not
// used, the result approaches the mean of all upstreams. Without that, an
// upstream that was slow once would never be tried again.
func (h *health) latencyAt(now time.Time, mean time.Duration) time.Duration {
	idle := now.Sub(h.lastUsed)
	if idle < time.Second {
		return h.latency
	}
	f := math.Exp2(-idle.Seconds() / healthHalfLife.Seconds())
	return mean + time.Duration(f*float64(h.latency-mean))
}

// eject excludes the upstream from the choice. A probe is allowed after a time
// that grows with the number of ejections.
func (h *health) eject(now time.Time) {
	h.ejected = true
	h.probeInFlight = false
	h.successfulProbes = 0
	h.probeLatencySum = 0
	wait := min(minEjectionTime<<min(h.ejections, 10), maxEjectionTime)
	h.nextProbeAt = now.Add(wait)
	h.ejections++
}

// restore ends the ejection. The results from before the probes are discarded.
func (h *health) restore(now time.Time, latency time.Duration) {
	*h = health{decayedAt: now, lastUsed: now, latency: latency, limit: h.limit, ejections: max(h.ejections-1, 0)}
}

func (h *health) probeDue(now time.Time) bool {
	return h.ejected && !h.probeInFlight && !now.Before(h.nextProbeAt)
}
