package caroute

import (
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// judge ejects an upstream whose failure rate or latency is far beyond that
// of its peers. A job that fails everywhere raises the rate of all peers
// alike and ejects none of them.
func (r *Router) judge(now time.Time, id cawork.UpstreamID, h *health) []Change {
	if h.ejected {
		return nil
	}
	if h.failures < minFailures && !r.slow(id, h) {
		return nil
	}
	rate := r.peerRate(now, id)
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
	return h.samples() >= minSamples && r.slowLatency(id, h.latency)
}

// slowLatency reports whether the latency is far beyond that of the peers of
// the upstream.
func (r *Router) slowLatency(id cawork.UpstreamID, latency time.Duration) bool {
	// The mean of all is cheap and spares most comparisons with the median.
	if latency <= max(slowFloor, r.service) {
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
	most := int(float64(n) * ejectedPart)
	if n > 1 {
		most = max(most, 1)
	}
	return ejected < most
}

func (r *Router) peerRate(now time.Time, id cawork.UpstreamID) float64 {
	var failures, samples float64
	for o, h := range r.health {
		if o == id || h.ejected {
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

// probe returns an ejected upstream that is due for a probe by the request.
// Only idempotent requests probe.
func (r *Router) probe(now time.Time, a Ask) *source {
	if !a.Idempotent {
		return nil
	}
	for _, s := range r.sources {
		h := r.health[s.upstream]
		if h.probeDue(now) && s.startsAt(now) && s.free(1) > 0 &&
			(s.useEnd.IsZero() || !a.Deadline.After(s.useEnd)) &&
			!slices.Contains(a.Exclude, s.upstream) {
			return s
		}
	}
	return nil
}

// probeEnded takes the result of a probe. An upstream that answers its probes
// as slowly as one that is ejected for it stays out.
func (r *Router) probeEnded(now time.Time, id cawork.UpstreamID, h *health, v Verdict, latency time.Duration) []Change {
	if !h.ejected {
		return nil
	}
	h.probing = false
	switch v {
	case VerdictAbandoned:
		return nil
	case VerdictFailed, VerdictRefused:
		h.eject(now)
		return nil
	}
	h.probed++
	h.probeTime += latency
	if h.probed < probeSuccesses {
		return nil
	}
	// One long request among the probes must not decide alone.
	mean := h.probeTime / probeSuccesses
	if r.slowLatency(id, mean) {
		h.eject(now)
		return nil
	}
	h.restore(now, mean)
	return []Change{{Kind: ChangeRestored, Upstream: id, Latency: h.latency}}
}
