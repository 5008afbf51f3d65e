package caroute

import (
	"math"
	"time"
)

const (
	// healthHalfLife is the time in which a past result loses half of its
	// weight.
	healthHalfLife = 10 * time.Second
	// decayInterval is the time in which results are taken as equally old.
	decayInterval = 100 * time.Millisecond
	// minFailures and minSamples are the weights of failures, and of results,
	// below which an upstream is not found failing, or slow. Few failures are
	// enough: an upstream that fails is chosen less and shows few more.
	minFailures = 3.5
	minSamples  = 7.5
	// failureExcess is the failure rate above that of the peers that ejects.
	failureExcess = 0.3
	// slowFactor is the latency relative to the median of the peers that
	// ejects.
	slowFactor = 4.0
	// minSlowLatency is the latency below which nothing counts as slow.
	minSlowLatency = 20 * time.Millisecond
	// maxEjectedFraction is the largest part of the upstreams that may be ejected.
	maxEjectedFraction = 1.0 / 3
	// minEjectionTime and longestEjection bound the time before a probe.
	minEjectionTime = 2 * time.Second
	maxEjectionTime = time.Minute
	// probesToRestore is the number of probes in a row that restore.
	probesToRestore = 3
	// pauseAfterRefusal is the time for which an upstream that refused a
	// request before it started it gets no other.
	pauseAfterRefusal = 20 * time.Millisecond
	latencyWeight     = 0.1
	// serviceTimeWeight is the weight of a request in the mean over all upstreams,
	// serviceClip the multiple of the mean beyond which its time is cut.
	serviceTimeWeight = 0.025
	serviceTimeClip   = 4
	// priorSuccesses is the weight of the successes that an upstream is credited
	// with in advance.
	priorSuccesses = 2.0
	initialLatency = 10 * time.Millisecond
)

// health is what is known of an upstream from the requests it got.
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
	// probeLatencySum is the sum of the latencies of the probes in a row.
	probeLatencySum time.Duration
	pausedUntil     time.Time
	// consecutiveRefusals counts the refusals in a row.
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

// expectedFailureRate is the failure rate that a choice reckons with. It falls to zero while
// the results age, so that an avoided upstream is tried again.
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

// latencyAt is the mean latency, which approaches the mean of all upstreams
// while the upstream is not used. Without that, an upstream that was slow once
// would never be tried again.
func (h *health) latencyAt(now time.Time, mean time.Duration) time.Duration {
	idle := now.Sub(h.lastUsed)
	if idle < time.Second {
		return h.latency
	}
	f := math.Exp2(-idle.Seconds() / healthHalfLife.Seconds())
	return mean + time.Duration(f*float64(h.latency-mean))
}

// eject takes the upstream out of use until a probe may be made.
func (h *health) eject(now time.Time) {
	h.ejected = true
	h.probeInFlight = false
	h.successfulProbes = 0
	h.probeLatencySum = 0
	wait := min(minEjectionTime<<min(h.ejections, 10), maxEjectionTime)
	h.nextProbeAt = now.Add(wait)
	h.ejections++
}

// restore puts the upstream to use again. What it did before the probes counts
// no longer.
func (h *health) restore(now time.Time, latency time.Duration) {
	*h = health{decayedAt: now, lastUsed: now, latency: latency, limit: h.limit, ejections: max(h.ejections-1, 0)}
}

func (h *health) probeDue(now time.Time) bool {
	return h.ejected && !h.probeInFlight && !now.Before(h.nextProbeAt)
}
