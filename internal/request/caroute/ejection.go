package caroute

import (
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// ejectIfOutlier ejects an upstream whose failure rate or latency is far beyond that
// of its peers. A job that fails everywhere raises the rate of all peers
// alike and ejects none of them.
func (r *Router) ejectIfOutlier(now time.Time, id cawork.UpstreamID, h *health) []Change {
	if h.ejected {
		return nil
	}
	if h.failures < minFailures && !r.slow(id, h) {
		return nil
	}
	rate := r.peerFailureRate(now, id)
	if !h.failing(rate) && !r.slow(id, h) || !r.mayEject() {
		return nil
	}
	h.eject(now)
	return []Change{{
		Kind:        ChangeEjected,
		Upstream:    id,
		FailureRate: h.failureRate(),
		PeerRate:    rate,
		Latency:     h.latency,
	}}
}

func (h *health) failing(peerRate float64) bool {
	return h.failures >= minFailures && h.failureRate() > peerRate+failureExcess
}

func (r *Router) slow(id cawork.UpstreamID, h *health) bool {
	return h.samples() >= minSamples && r.isLatencyOutlier(id, h.latency)
}

// isLatencyOutlier reports whether the latency is far beyond that of the peers of
// the upstream.
func (r *Router) isLatencyOutlier(id cawork.UpstreamID, latency time.Duration) bool {
	// The mean of all is cheap and spares most comparisons with the median.
	if latency <= max(minSlowLatency, r.meanServiceTime) {
		return false
	}
	return float64(latency) > slowFactor*float64(r.peerLatency(id))
}

// mayEject reports whether one more upstream may be ejected: up to a third of
// them, but one of two or three.
func (r *Router) mayEject() bool {
	ejected := 0
	for _, h := range r.health {
		if h.ejected {
			ejected++
		}
	}
	n := len(r.health)
	maxEjected := int(float64(n) * maxEjectedFraction)
	if n > 1 {
		maxEjected = max(maxEjected, 1)
	}
	return ejected < maxEjected
}

func (r *Router) peerFailureRate(now time.Time, id cawork.UpstreamID) float64 {
	var failures, samples float64
	for other, h := range r.health {
		if other == id || h.ejected {
			continue
		}
		h.decay(now)
		failures += h.failures
		samples += h.samples()
	}
	if samples == 0 {
		return 0
	}
	return failures / samples
}

// peerLatency is the median of the latencies of the other upstreams that have
// been observed.
func (r *Router) peerLatency(id cawork.UpstreamID) time.Duration {
	var all []time.Duration
	for o, h := range r.health {
		if o != id && !h.ejected && h.successes > 0 {
			all = append(all, h.latency)
		}
	}
	if len(all) == 0 {
		return 1 << 62
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// probeTarget returns an ejected upstream that is due for a probe by the request.
// Only idempotent requests probe.
func (r *Router) probeTarget(now time.Time, req Ask) *slotPool {
	if !req.Idempotent {
		return nil
	}
	for _, s := range r.pools {
		h := r.health[s.upstream]
		if h.probeDue(now) && s.acceptsAt(now) && s.free(1) > 0 &&
			(s.useUntil.IsZero() || !req.Deadline.After(s.useUntil)) &&
			!slices.Contains(req.Exclude, s.upstream) {
			return s
		}
	}
	return nil
}

// finishProbe takes the result of a probe. An upstream that answers its probes
// as slowly as one that is ejected for it stays out.
func (r *Router) finishProbe(now time.Time, id cawork.UpstreamID, h *health, v Verdict, latency time.Duration) []Change {
	if !h.ejected {
		return nil
	}
	h.probeInFlight = false
	switch v {
	case VerdictAbandoned:
		return nil
	case VerdictFailed, VerdictRefused:
		h.eject(now)
		return nil
	}
	h.successfulProbes++
	h.probeLatencySum += latency
	if h.successfulProbes < probesToRestore {
		return nil
	}
	// One long request among the probes must not decide alone.
	mean := h.probeLatencySum / probesToRestore
	if r.isLatencyOutlier(id, mean) {
		h.eject(now)
		return nil
	}
	h.restore(now, mean)
	return []Change{{Kind: ChangeRestored, Upstream: id, Latency: h.latency}}
}
