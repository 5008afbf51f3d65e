// Package caeject detects upstreams whose failure rate is far above that of their
// peers, and ejects them for a limited time (outlier ejection).
//
// Example: of 50 upstreams whose tasks fail at 2%, one that failed 6 of 8 tasks
// of at least 3 jobs is ejected. A job that fails wherever it runs counts against
// two upstreams only, so it contributes to the ejection of at most these two.
package caeject

import (
	"math"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

const (
	// decayTime is the time in which the weight of an observation decays to 1/e.
	decayTime = 5 * time.Minute
	// minFailures is the weight of failures below which no upstream is ejected.
	minFailures = 4.5
	// minFailedJobs is the number of distinct jobs that must have failed on an
	// upstream before it is ejected.
	minFailedJobs = 3
	// minFailureRate is the failure rate below which no upstream is ejected.
	minFailureRate = 0.5
	// minPeerRatio is the ratio to the failure rate of the peers below which no
	// upstream is ejected.
	minPeerRatio = 4
	// maxBlamedUpstreams bounds the upstreams against which failures of one job
	// count.
	maxBlamedUpstreams = 2

	initialEjection = 30 * time.Second
	maxEjection     = 10 * time.Minute
)

// Event is the end of an attempt of a task, or of a call to an upstream if Job is
// empty.
type Event struct {
	Upstream cawork.UpstreamID
	Job      cawork.JobID
	// FailedElsewhere counts the other upstreams on which the job has failed.
	FailedElsewhere int
	Failed          bool
}

// Transition is the transition of an upstream to a new state.
type Transition struct {
	Upstream cawork.UpstreamID
	State    State
}

// State is the health state of an upstream.
type State int

// The states.
const (
	// StateHealthy upstreams take work.
	StateHealthy State = iota
	// StateEjected upstreams take no work until the ejection expires.
	StateEjected
	// StateProbing follows an expired ejection. The next event that counts decides
	// whether the upstream is trusted or ejected again.
	StateProbing
)

type stats struct {
	ended, failed float64
	updated       time.Time
	failedJobs    []cawork.JobID
	state         State
	ejectedUntil  time.Time
	nextEjection  time.Duration
}

// Monitor tracks the failure rates and states of upstreams.
type Monitor struct {
	byUpstream map[cawork.UpstreamID]*stats
	fleet      stats
	unhealthy  []cawork.UpstreamID
	changes    []Transition
}

// NewMonitor returns a monitor without observations, for which all upstreams are
// trusted.
func NewMonitor() *Monitor { return &Monitor{byUpstream: map[cawork.UpstreamID]*stats{}} }

// Remove removes the observations and the state of an upstream.
func (m *Monitor) Remove(id cawork.UpstreamID) {
	delete(m.byUpstream, id)
	m.unhealthy = slices.DeleteFunc(m.unhealthy, func(o cawork.UpstreamID) bool { return o == id })
}

// Observe adds an event. It ejects no further upstream while limit or more are
// ejected or on trial.
func (m *Monitor) Observe(e Event, limit int, now time.Time) {
	s := m.statsOf(e.Upstream)
	if e.Failed && e.FailedElsewhere >= maxBlamedUpstreams {
		return
	}
	if e.Failed && e.Job != "" && slices.Contains(s.failedJobs, e.Job) {
		return
	}
	for _, counts := range []*stats{s, &m.fleet} {
		counts.decay(now)
		counts.ended++
		if e.Failed {
			counts.failed++
		}
	}
	if e.Failed {
		s.addFailedJob(e.Job)
	}
	switch {
	case s.state == StateProbing && e.Failed:
		m.eject(e.Upstream, s, now)
	case s.state == StateProbing:
		m.restore(e.Upstream, s)
	case s.state == StateHealthy && e.Failed && len(m.unhealthy) < limit && m.isOutlier(s):
		m.eject(e.Upstream, s, now)
	}
}

func (m *Monitor) statsOf(id cawork.UpstreamID) *stats {
	s, ok := m.byUpstream[id]
	if !ok {
		s = &stats{nextEjection: initialEjection}
		m.byUpstream[id] = s
	}
	return s
}

func (s *stats) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(s.updated)) / float64(decayTime))
	if s.updated.IsZero() {
		factor = 0
	}
	s.ended, s.failed, s.updated = s.ended*factor, s.failed*factor, now
	if s.failed < 0.5 {
		s.failedJobs = nil
	}
}

// addFailedJob adds a job that failed on the upstream. Each failed call to the
// upstream counts as one job.
func (s *stats) addFailedJob(job cawork.JobID) {
	s.failedJobs = append(s.failedJobs, job)
	if len(s.failedJobs) > 2*minFailedJobs {
		s.failedJobs = slices.Delete(s.failedJobs, 0, 1)
	}
}

func (m *Monitor) isOutlier(s *stats) bool {
	if s.failed < minFailures || len(s.failedJobs) < minFailedJobs || s.failed < minFailureRate*s.ended {
		return false
	}
	peersEnded, peersFailed := m.fleet.ended-s.ended, m.fleet.failed-s.failed
	if peersEnded < 1 {
		return false
	}
	return s.failed/s.ended >= min(0.95, minPeerRatio*peersFailed/peersEnded)
}

func (m *Monitor) eject(id cawork.UpstreamID, s *stats, now time.Time) {
	if !slices.Contains(m.unhealthy, id) {
		m.unhealthy = append(m.unhealthy, id)
	}
	s.state, s.ejectedUntil = StateEjected, now.Add(s.nextEjection)
	s.nextEjection = min(2*s.nextEjection, maxEjection)
	m.changes = append(m.changes, Transition{id, StateEjected})
}

func (m *Monitor) restore(id cawork.UpstreamID, s *stats) {
	m.unhealthy = slices.DeleteFunc(m.unhealthy, func(o cawork.UpstreamID) bool { return o == id })
	s.state, s.ended, s.failed, s.failedJobs = StateHealthy, 0, 0, nil
	m.changes = append(m.changes, Transition{id, StateHealthy})
}

// Transitions puts upstreams whose ejection has expired on trial, and returns the
// state changes since the last call.
func (m *Monitor) Transitions(now time.Time) []Transition {
	for _, id := range m.unhealthy {
		if s := m.byUpstream[id]; s.state == StateEjected && !now.Before(s.ejectedUntil) {
			s.state = StateProbing
			m.changes = append(m.changes, Transition{id, StateProbing})
		}
	}
	changes := m.changes
	m.changes = nil
	return changes
}

// IsProbing reports whether the upstream is on trial.
func (m *Monitor) IsProbing(id cawork.UpstreamID) bool {
	s, ok := m.byUpstream[id]
	return ok && s.state == StateProbing
}

// UnhealthyCount returns the number of upstreams that are ejected or on trial.
func (m *Monitor) UnhealthyCount() int { return len(m.unhealthy) }
