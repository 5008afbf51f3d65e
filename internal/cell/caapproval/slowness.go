package caapproval

import (
	"math"
	"time"
)

const (
	// averageTime is the time constant of the moving averages.
	averageTime = 5 * time.Second
	// announcedWeight is how much announced time without delay the slowness begins with and returns to.
	announcedWeight = time.Second
	// inheritedWeight is for how much announced time the slowness counts that another leader observed.
	inheritedWeight = 4 * time.Second
	// initialTransferTime and maxTransferTime are the first and the largest estimate of how much
	// longer an answer takes that is not late: its way through the network and the processes.
	initialTransferTime = 50 * time.Millisecond
	maxTransferTime     = 200 * time.Millisecond
	// transferWeight is the weight of an answer that takes longer in that estimate.
	transferWeight = 0.02
	// maxDelayFactor bounds how many times longer than expected an answer counts, so that a few answers
	// that something else delayed change little.
	maxDelayFactor = 4
	// maxPause is the longest time between two plans of a leader that was not suspended.
	maxPause = 300 * time.Millisecond
)

// decayingSum is an exponentially decaying sum.
type decayingSum struct {
	sum       float64
	decayedAt time.Time
}

func (d *decayingSum) add(now time.Time, value float64) { *d = decayingSum{d.at(now) + value, now} }

// at returns the sum, decayed up to now.
func (d decayingSum) at(now time.Time) float64 {
	return d.sum * math.Exp(-max(now.Sub(d.decayedAt), 0).Seconds()/averageTime.Seconds())
}

// slowness is the ratio of the time that answers take to the announced one, long answers counting more.
type slowness struct {
	announced, took decayingSum
	transferTime    time.Duration
	// runningAt is when the leader was last known to run, and resumedAt when it last was again after a
	// suspension. Requests sent before tell nothing.
	runningAt, resumedAt time.Time
}

func newSlowness() slowness { return slowness{transferTime: initialTransferTime} }

// inherit begins with the slowness that another leader observed. None tells nothing.
func (s *slowness) inherit(now time.Time, observed float64) {
	if observed <= 1 {
		return
	}
	s.announced.add(now, float64(inheritedWeight))
	s.took.add(now, observed*float64(inheritedWeight))
}

// noteRunning records that the leader runs.
func (s *slowness) noteRunning(now time.Time) {
	if !s.runningAt.IsZero() && now.Sub(s.runningAt) > maxPause {
		s.resumedAt = now
	}
	s.runningAt = now
}

// add adds an answer that arrived now.
func (s *slowness) add(now, sentAt time.Time, announced time.Duration) {
	s.noteRunning(now)
	if sentAt.Before(s.resumedAt) {
		return
	}
	excess := max(now.Sub(sentAt)-announced, 0)
	longest := time.Duration((maxDelayFactor*s.value(now) - 1) * float64(announced))
	s.announced.add(now, float64(announced))
	s.took.add(now, float64(announced+min(max(excess-s.transferTime, 0), longest)))
	s.updateTransferTime(excess)
}

// updateTransferTime follows the shortest delays.
func (s *slowness) updateTransferTime(excess time.Duration) {
	if excess > s.transferTime {
		excess = s.transferTime + time.Duration(transferWeight*float64(excess-s.transferTime))
	}
	s.transferTime = min(excess, maxTransferTime)
}

func (s *slowness) value(now time.Time) float64 {
	return (float64(announcedWeight) + s.took.at(now)) / (float64(announcedWeight) + s.announced.at(now))
}

// load is the mean number of entries that a kind of request occupies.
type load struct{ cost decayingSum }

func (l *load) add(now time.Time, cost time.Duration) { l.cost.add(now, float64(cost)) }

func (l *load) value(now time.Time) float64 { return l.cost.at(now) / float64(averageTime) }
