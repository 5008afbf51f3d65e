package caruntime

import (
	"math"
	"slices"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

const (
	// priorSpeedRuns is how many runs the assumption weighs at first that an upstream is as fast as others.
	priorSpeedRuns = 2
	// minSpeedWeight is the weight of one run in the mean slowness of its upstream after many.
	minSpeedWeight = 0.1
	// relativeWeight is the weight of one run in the mean ratio of run times of its upstream.
	relativeWeight = 0.15
	// minSpeedRuns is how many runs an upstream needs to count as slow.
	minSpeedRuns = 6
	// slowFactor is how many times longer than on the faster upstreams tasks run on one that counts as slow,
	// and fasterShare the fraction of the upstreams that are the faster ones.
	slowFactor  = 1.5
	fasterShare = 0.5
	// minKnownUpstreams is how many upstreams must be known for any to count as slow.
	minKnownUpstreams = 8
	// minFastShare is the smallest fraction of the upstreams that are not slow for any to count as slow, and
	// minSlowShare that of the slow ones: work is not planned around single ones.
	minFastShare = 0.2
	minSlowShare = 0.1
)

// speed is how slow one incarnation of an upstream is: the mean logarithm of the ratio of run times there to
// those expected.
type speed struct {
	incarnation int64
	mean        float64
	runs        int
	// relative is the mean ratio of the run times there to those elsewhere, with most weight on the last ones.
	relative float64
}

func (s *speed) addRelative(ratio float64) { s.relative += relativeWeight * (ratio - s.relative) }

func (s *speed) add(residual float64) {
	s.runs++
	weight := max(1/float64(s.runs+priorSpeedRuns), minSpeedWeight)
	s.mean += weight * (residual - s.mean)
}

// speedOf returns the speed of an incarnation. A later one starts anew.
func (m *Model) speedOf(id cawork.UpstreamID, incarnation int64) *speed {
	s, ok := m.upstreams[id]
	if !ok {
		s = &speed{incarnation: incarnation, relative: 1}
		m.upstreams[id] = s
	}
	if s.incarnation != incarnation {
		*s = speed{incarnation: incarnation, relative: s.relative}
	}
	return s
}

// Slowness returns how many times longer tasks run on an upstream than on one of usual speed.
func (m *Model) Slowness(id cawork.UpstreamID) float64 {
	s, ok := m.upstreams[id]
	switch {
	case !ok:
		return 1
	case m.levels.slow == 0:
		return s.relative
	default:
		return math.Exp(s.mean)
	}
}

// levels are what upstreams are compared with.
type levels struct {
	// slowFrom is the mean logarithm from which on an upstream counts as slow, or infinite.
	slowFrom float64
	// fast and slow are how many times longer than usual tasks run on the faster upstreams, and on those
	// that count as slow, zero if none does.
	fast, slow float64
}

// Update compares the upstreams with one another. Those that are not kept are forgotten.
func (m *Model) Update(keeps func(cawork.UpstreamID) bool) {
	var known []float64
	for id, s := range m.upstreams {
		switch {
		case !keeps(id):
			delete(m.upstreams, id)
		case s.runs >= minSpeedRuns:
			known = append(known, s.mean)
		}
	}
	m.levels = levels{slowFrom: math.Inf(1), fast: 1}
	if len(known) < minKnownUpstreams {
		return
	}
	slices.Sort(known)
	faster := known[:max(int(fasterShare*float64(len(known))), 1)]
	fast := faster[len(faster)/2]
	slowFrom := fast + math.Log(slowFactor)
	notSlow, _ := slices.BinarySearch(known, slowFrom)
	slow := known[notSlow:]
	if float64(notSlow) < minFastShare*float64(len(known)) || float64(len(slow)) < minSlowShare*float64(len(known)) {
		return
	}
	m.levels = levels{slowFrom: slowFrom, fast: math.Exp(fast), slow: math.Exp(slow[len(slow)/2])}
}

// IsSlow reports whether tasks run clearly longer on an upstream than on the faster ones, as of the last
// Update.
func (m *Model) IsSlow(id cawork.UpstreamID) bool {
	s, ok := m.upstreams[id]
	return ok && m.levels.slowFrom != 0 && s.runs >= minSpeedRuns && s.mean >= m.levels.slowFrom
}

// Counts returns how many upstreams count as slow, and how many others are known.
func (m *Model) Counts() (slow, fast int) {
	for id, s := range m.upstreams {
		switch {
		case s.runs < minSpeedRuns:
		case m.IsSlow(id):
			slow++
		default:
			fast++
		}
	}
	return slow, fast
}

// SlowSlowness returns how many times longer than usual tasks run on upstreams that count as slow, zero if none
// does.
func (m *Model) SlowSlowness() float64 { return m.levels.slow }

// FastSlowness returns how many times longer than usual tasks run on the faster upstreams.
func (m *Model) FastSlowness() float64 {
	if m.levels.fast == 0 {
		return 1
	}
	return m.levels.fast
}
