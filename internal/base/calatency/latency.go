// Package calatency derives the timeouts of calls from the latency of earlier ones. A call that is
// given up may take effect all the same: under a fixed timeout, peers that are all slow lose the
// answers of most calls, and each is repeated.
package calatency

import (
	"sync"
	"time"
)

const (
	// quantile is the fraction of the calls that do not exceed the estimate of a Quantile.
	quantile = 0.75
	// quantileStep is by which fraction one call changes that estimate.
	quantileStep = 0.1
	// peakDecay is how much of an earlier latency remains after each answer in a Peak.
	peakDecay = 0.75
	// timeoutFactor is the ratio of a timeout to the latency that it follows.
	timeoutFactor = 2
)

// Bounds are the shortest and the longest timeout.
type Bounds struct {
	Min, Max time.Duration
}

// timeout returns the timeout of calls with the latency.
func (b Bounds) timeout(latency time.Duration) time.Duration {
	return min(max(timeoutFactor*latency, b.Min), b.Max)
}

// Quantile follows the latency that three of four calls do not exceed. Lost answers of few peers do
// not change it. It is meant for many calls to many peers, and safe for concurrent use.
type Quantile struct {
	bounds  Bounds
	mu      sync.Mutex
	latency time.Duration
}

// NewQuantile returns a Quantile whose timeout keeps within the bounds.
func NewQuantile(b Bounds) *Quantile { return &Quantile{bounds: b, latency: b.Min / timeoutFactor} }

// Observe records that a call was answered, or given up, after the time.
func (q *Quantile) Observe(took time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	step := -(1 - quantile)
	if took > q.latency {
		step = quantile
	}
	q.latency = max(q.latency+time.Duration(quantileStep*step*float64(q.latency)), q.bounds.Min/timeoutFactor)
}

// Typical returns the latency that three of four calls do not exceed, at least half of the shortest
// timeout.
func (q *Quantile) Typical() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.latency
}

// Timeout returns the timeout of the next call.
func (q *Quantile) Timeout() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.bounds.timeout(q.latency)
}

// Peak follows the longest latency of the last answers. It is meant for calls one after the other to
// the same peer, and safe for concurrent use.
type Peak struct {
	bounds  Bounds
	mu      sync.Mutex
	latency time.Duration
}

// NewPeak returns a Peak whose timeout keeps within the bounds.
func NewPeak(b Bounds) *Peak { return &Peak{bounds: b} }

// Observe records that a call was answered after the time.
func (p *Peak) Observe(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latency = max(took, time.Duration(peakDecay*float64(p.latency)))
}

// Timeout returns the timeout of the next call.
func (p *Peak) Timeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bounds.timeout(p.latency)
}
