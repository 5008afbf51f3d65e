package caroute

import (
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// ejectIfOutlier ejects an upstream whose failure rate or latency is far above
// that of its peers. Requests that fail at every upstream raise the rate of
// all peers alike, so that none is ejected.
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
		Kind:            ChangeEjected,
		Upstream:        id,
		FailureRate:     h.failureRate(),
		PeerFailureRate: rate,
		Latency:         h.latency,
	}}
}

func (h *health) failing(peerRate float64) bool {
	return h.failures >= minFailures && h.failureRate() > peerRate+failureExcess
}

func (r *Router) slow(id cawork.UpstreamID, h *health) bool {
	return h.samples() >= minSamples && r.isLatencyOutlier(id, h.latency)
}

// isLatencyOutlier reports whether the latency is far above that of the peers
// of the upstream.
func (r *Router) isLatencyOutlier(id cawork.UpstreamID, latency time.Duration) bool {
	// The mean service time is known already, which avoids computing the median
	// of the peers in most cases.
	if latency <= max(minSlowLatency, r.meanServiceTime) {
		return false
	}
	return float64(latency) > slowFactor*float64(r.peerLatency(id))
}

// mayEject reports whether one more upstream may be ejected: up to a third of
// all upstreams at a time, and one if there are two or three.
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

// peerLatency returns the median latency of the other upstreams that have
// served requests. Without any, it returns a value that no latency exceeds.
func (r *Router) peerLatency(id cawork.UpstreamID) time.Duration {
	var all []time.Duration
	for other, h := range r.health {
		if other != id && !h.ejected && h.successes > 0 {
			all = append(all, h.latency)
		}
	}
	if len(all) == 0 {
		return 1 << 62
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// probeTarget returns the slots of an ejected upstream that the request may
// probe, nil if there is none. Only idempotent requests are sent as probes.
func (r *Router) probeTarget(now time.Time, req SlotRequest) *slotPool {
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

// finishProbe records the result of a probe and restores the upstream after
// enough successes. An upstream whose probes are so slow that their latency
// would eject it stays ejected.
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
	// The mean keeps a single long request among the probes from deciding alone.
	mean := h.probeLatencySum / probesToRestore
	if r.isLatencyOutlier(id, mean) {
		h.eject(now)
		return nil
	}
	h.restore(now, mean)
	return []Change{{Kind: ChangeRestored, Upstream: id, Latency: h.latency}}
}
