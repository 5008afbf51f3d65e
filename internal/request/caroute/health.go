package caroute

import (
	"math"
	"time"
)

const (
	// healthHalfLife is the time in which a past result loses half of its
	// weight.
	healthHalfLife = 10 * time.Second
	// healthStep is the time in which results are taken as equally old.
	healthStep = 100 * time.Millisecond
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
	// slowFloor is the latency below which nothing counts as slow.
	slowFloor = 20 * time.Millisecond
	// ejectedPart is the largest part of the upstreams that may be ejected.
	ejectedPart = 1.0 / 3
	// firstEjection and longestEjection bound the time before a probe.
	firstEjection   = 2 * time.Second
	longestEjection = time.Minute
	// probeSuccesses is the number of probes in a row that restore.
	probeSuccesses = 3
	// pauseAfterRefusal is the time for which an upstream that refused a
	// request before it started it gets no other.
	pauseAfterRefusal = 20 * time.Millisecond
	latencyWeight     = 0.1
	// serviceWeight is the weight of a request in the mean over all upstreams,
	// serviceClip the multiple of the mean beyond which its time is cut.
	serviceWeight = 0.025
	serviceClip   = 4
	// riskPrior is the weight of the successes that an upstream is credited
	// with in advance.
	riskPrior      = 2.0
	initialLatency = 10 * time.Millisecond
)

// health is what is known of an upstream from the requests it got.
type health struct {
	successes float64
	failures  float64
	decayed   time.Time
	latency   time.Duration
	used      time.Time
	limit     limit

	ejected   bool
	ejections int
	probeFrom time.Time
	probing   bool
	probed    int
	// probeTime is the sum of the latencies of the probes in a row.
	probeTime time.Duration
	pausedTo  time.Time
	// refusals counts the refusals in a row.
	refusals int
}

func newHealth(now time.Time, slots int) *health {
	return &health{decayed: now, used: now, latency: initialLatency, limit: newLimit(slots)}
}

func (h *health) decay(now time.Time) {
	elapsed := now.Sub(h.decayed)
	if elapsed < healthStep {
		return
	}
	f := math.Exp2(-elapsed.Seconds() / healthHalfLife.Seconds())
	h.successes *= f
	h.failures *= f
	h.decayed = now
}

func (h *health) samples() float64 { return h.successes + h.failures }

func (h *health) failureRate() float64 {
	if h.samples() == 0 {
		return 0
	}
	return h.failures / h.samples()
}

// risk is the failure rate that a choice reckons with. It falls to zero while
// the results age, so that an avoided upstream is tried again.
func (h *health) risk() float64 { return h.failures / (h.samples() + riskPrior) }

func (h *health) record(now time.Time, v Verdict, latency, mean time.Duration) {
	h.decay(now)
	switch v {
	case VerdictServed:
		h.successes++
		h.refusals = 0
		h.observe(latency, mean)
	case VerdictFailed:
		h.failures++
		h.refusals = 0
	case VerdictRefused:
		h.failures++
		h.pausedTo = now.Add(pauseAfterRefusal << min(h.refusals, 6))
		h.refusals++
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
	idle := now.Sub(h.used)
	if idle < time.Second {
		return h.latency
	}
	f := math.Exp2(-idle.Seconds() / healthHalfLife.Seconds())
	return mean + time.Duration(f*float64(h.latency-mean))
}

// eject takes the upstream out of use until a probe may be made.
func (h *health) eject(now time.Time) {
	h.ejected = true
	h.probing = false
	h.probed = 0
	h.probeTime = 0
	wait := min(firstEjection<<min(h.ejections, 10), longestEjection)
	h.probeFrom = now.Add(wait)
	h.ejections++
}

// restore puts the upstream to use again. What it did before the probes counts
// no longer.
func (h *health) restore(now time.Time, latency time.Duration) {
	*h = health{decayed: now, used: now, latency: latency, limit: h.limit, ejections: max(h.ejections-1, 0)}
}

func (h *health) probeDue(now time.Time) bool {
	return h.ejected && !h.probing && !now.Before(h.probeFrom)
}
