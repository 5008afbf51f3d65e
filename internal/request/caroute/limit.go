package caroute

import (
	"math"
	"time"
)

const (
	// latencyTolerance is the ratio of the short-term to the long-term mean
	// latency up to which the limit is not lowered.
	latencyTolerance = 2.0
	limitSmoothing   = 0.2
	shortMeanWeight  = 0.2
	longMeanWeight   = 0.01
	minLimit         = 1.0
)

// limit is the adaptive concurrency limit of an upstream. It falls while the
// short-term mean latency exceeds the tolerated multiple of both its long-term
// mean and the mean service time of all upstreams. Otherwise it rises up to the
// number of slots. When all upstreams slow down alike, the cause is not the
// load of one of them, and a lower limit would only waste slots.
//
// Worked example with 8 slots: both means are 10 ms. When the short-term mean
// rises to 40 ms, the gradient is 2*10/40 = 0.5, so the next target is
// 8*0.5+1 = 5 and the smoothed limit 0.8*8+0.2*5 = 7.4.
type limit struct {
	slots     float64
	value     float64
	shortMean float64
	longMean  float64
}

func newLimit(slots int) limit {
	return limit{slots: float64(slots), value: float64(slots)}
}

func (l *limit) resize(slots int) {
	if float64(slots) == l.slots {
		return
	}
	l.slots = float64(slots)
	l.value = l.slots
}

func (l *limit) observe(latency, mean time.Duration) {
	sample := latency.Seconds()
	if l.longMean == 0 {
		l.longMean = sample
		l.shortMean = sample
		return
	}
	l.shortMean += shortMeanWeight * (sample - l.shortMean)
	l.longMean += longMeanWeight * (sample - l.longMean)
	// After a long period of high latency the long-term mean falls faster than
	// it rose.
	if l.longMean > 2*l.shortMean {
		l.longMean *= 0.95
	}
	gradient := math.Min(1, math.Max(0.5, latencyTolerance*math.Max(l.longMean, mean.Seconds())/l.shortMean))
	target := l.value*gradient + 1
	l.value += limitSmoothing * (target - l.value)
	l.value = math.Min(l.slots, math.Max(minLimit, l.value))
}

// current returns the limit as a whole number of requests.
func (l *limit) current() int { return int(math.Round(l.value)) }
