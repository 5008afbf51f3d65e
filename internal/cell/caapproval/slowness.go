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
	// transferAllowance is how much longer an answer may take without being late: its way through the
	// network and the processes.
	transferAllowance = 50 * time.Millisecond
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
}

func (s *slowness) add(now time.Time, announced, took time.Duration) {
	s.announced.add(now, float64(announced))
	s.took.add(now, float64(max(took-transferAllowance, announced)))
}

func (s *slowness) value(now time.Time) float64 {
	return (float64(announcedWeight) + s.took.at(now)) / (float64(announcedWeight) + s.announced.at(now))
}

// load is the mean number of entries that a kind of request occupies.
type load struct{ cost decayingSum }

func (l *load) add(now time.Time, cost time.Duration) { l.cost.add(now, float64(cost)) }

func (l *load) value(now time.Time) float64 { return l.cost.at(now) / float64(averageTime) }
