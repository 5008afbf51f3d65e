package caadmission

import (
	"iter"
	"math"
	"time"
)

const (
	// delayTimeConstant is the time constant of the moving average of delays.
	delayTimeConstant = 5 * time.Second
	// undelayedWeight is the number of requests without delay that the average begins with and returns to.
	undelayedWeight = 4
	// inheritedWeight is the number of requests that a delay counts for which another leader observed.
	inheritedWeight = 16
	// maxDelayFactor bounds how many times longer than expected a request counts, so that a few that
	// something else delayed change little.
	maxDelayFactor = 4
	// usualDelay is the delay of requests through network and processes that are not busy.
	usualDelay = 50 * time.Millisecond
)

// RequestDelay measures how much longer than announced approval requests are in flight, as an
// exponentially decaying average.
type RequestDelay struct {
	// sum is that of the delays, and requests the number of requests.
	sum, requests float64
	decayedAt     time.Time
}

// Add adds a request that was in flight for the delay longer than announced.
func (d *RequestDelay) Add(now time.Time, announced, delay time.Duration) {
	longest := maxDelayFactor * (announced + usualDelay + d.Value(now))
	d.sum += float64(min(max(delay, 0), longest))
	d.requests++
}

// Inherit adds a mean delay that another leader observed, if it is not zero.
func (d *RequestDelay) Inherit(now time.Time, mean time.Duration) {
	if mean <= 0 {
		return
	}
	d.Value(now)
	d.sum += inheritedWeight * float64(mean)
	d.requests += inheritedWeight
}

// MeanOf returns the mean delay of all requests of several queues.
func MeanOf(now time.Time, delays iter.Seq[*RequestDelay]) time.Duration {
	all := RequestDelay{decayedAt: now}
	for d := range delays {
		d.Value(now)
		all.sum += d.sum
		all.requests += d.requests
	}
	return all.Value(now)
}

// IsKnown reports whether any request was added.
func (d *RequestDelay) IsKnown() bool { return d.requests > 0 }

// Value returns the mean delay.
func (d *RequestDelay) Value(now time.Time) time.Duration {
	if !d.decayedAt.IsZero() {
		kept := math.Exp(-max(now.Sub(d.decayedAt), 0).Seconds() / delayTimeConstant.Seconds())
		d.sum, d.requests = kept*d.sum, kept*d.requests
	}
	d.decayedAt = now
	return time.Duration(d.sum / (undelayedWeight + d.requests))
}
