// Package caeject finds upstreams that fail what they start, by their rate of
// failures against that of their peers.
//
// Example: of 50 upstreams whose tasks fail at 2%, one that failed 6 of 8 tasks
// of at least 3 jobs is ejected. A job that fails wherever it runs counts at two
// upstreams only, so that it can never eject more than it blames there.
package caeject

import (
	"math"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

const (
	// fadeTime is the time in which an observation loses all but 1/e of its
	// weight.
	fadeTime = 5 * time.Minute
	// minFailures is the weight of failures below which nothing is ejected.
	minFailures = 4.5
	// minJobs is the number of distinct jobs that must have failed.
	minJobs = 3
	// minRate is the rate of failures below which nothing is ejected.
	minRate = 0.5
	// peerFactor is how many times the rate of the peers must be passed.
	peerFactor = 4
	// blameBound is at how many upstreams the failures of one job count.
	blameBound = 2

	firstEjection = 30 * time.Second
	maxEjection   = 10 * time.Minute
)

// Event is the end of an attempt, or of a call to an upstream when the job is
// empty.
type Event struct {
	Upstream cawork.UpstreamID
	Job      cawork.JobID
	// FailedElsewhere counts the other upstreams at which the job has failed.
	FailedElsewhere int
	Failed          bool
}

// Change tells that an upstream is ejected, put on trial or restored.
type Change struct {
	Upstream cawork.UpstreamID
	State    State
}

// State is the state of an upstream.
type State int

// The states.
const (
	StateTrusted State = iota
	StateEjected
	StateTrial
)

type record struct {
	ended, failed float64
	at            time.Time
	jobs          []cawork.JobID
	state         State
	until         time.Time
	period        time.Duration
}

// Monitor holds what was observed.
type Monitor struct {
	records map[cawork.UpstreamID]*record
	fleet   record
	out     []cawork.UpstreamID
	changes []Change
}

// NewMonitor returns a monitor that trusts all upstreams.
func NewMonitor() *Monitor { return &Monitor{records: map[cawork.UpstreamID]*record{}} }

// Forget drops what is known of an upstream.
func (m *Monitor) Forget(id cawork.UpstreamID) {
	delete(m.records, id)
	m.out = slices.DeleteFunc(m.out, func(o cawork.UpstreamID) bool { return o == id })
}

// Observe adds an event. At most limit upstreams are ejected at a time.
func (m *Monitor) Observe(e Event, limit int, now time.Time) {
	r := m.record(e.Upstream)
	if e.Failed && e.FailedElsewhere >= blameBound {
		return
	}
	if e.Failed && e.Job != "" && slices.Contains(r.jobs, e.Job) {
		return
	}
	for _, c := range []*record{r, &m.fleet} {
		c.fade(now)
		c.ended++
		if e.Failed {
			c.failed++
		}
	}
	if e.Failed {
		r.blame(e.Job)
	}
	switch {
	case r.state == StateTrial && e.Failed:
		m.eject(e.Upstream, r, now)
	case r.state == StateTrial:
		m.restore(e.Upstream, r)
	case r.state == StateTrusted && e.Failed && len(m.out) < limit && m.sick(r):
		m.eject(e.Upstream, r, now)
	}
}

func (m *Monitor) record(id cawork.UpstreamID) *record {
	r, ok := m.records[id]
	if !ok {
		r = &record{period: firstEjection}
		m.records[id] = r
	}
	return r
}

func (r *record) fade(now time.Time) {
	f := math.Exp(-float64(now.Sub(r.at)) / float64(fadeTime))
	if r.at.IsZero() {
		f = 0
	}
	r.ended, r.failed, r.at = r.ended*f, r.failed*f, now
	if r.failed < 0.5 {
		r.jobs = nil
	}
}

// blame notes the job. Calls to the upstream count as a job each.
func (r *record) blame(job cawork.JobID) {
	r.jobs = append(r.jobs, job)
	if len(r.jobs) > 2*minJobs {
		r.jobs = slices.Delete(r.jobs, 0, 1)
	}
}

func (m *Monitor) sick(r *record) bool {
	if r.failed < minFailures || len(r.jobs) < minJobs || r.failed < minRate*r.ended {
		return false
	}
	ended, failed := m.fleet.ended-r.ended, m.fleet.failed-r.failed
	if ended < 1 {
		return false
	}
	return r.failed/r.ended >= min(0.95, peerFactor*failed/ended)
}

func (m *Monitor) eject(id cawork.UpstreamID, r *record, now time.Time) {
	if !slices.Contains(m.out, id) {
		m.out = append(m.out, id)
	}
	r.state, r.until = StateEjected, now.Add(r.period)
	r.period = min(2*r.period, maxEjection)
	m.changes = append(m.changes, Change{id, StateEjected})
}

func (m *Monitor) restore(id cawork.UpstreamID, r *record) {
	m.out = slices.DeleteFunc(m.out, func(o cawork.UpstreamID) bool { return o == id })
	r.state, r.ended, r.failed, r.jobs = StateTrusted, 0, 0, nil
	m.changes = append(m.changes, Change{id, StateTrusted})
}

// Changes returns what changed since the last call.
func (m *Monitor) Changes(now time.Time) []Change {
	for _, id := range m.out {
		if r := m.records[id]; r.state == StateEjected && !now.Before(r.until) {
			r.state = StateTrial
			m.changes = append(m.changes, Change{id, StateTrial})
		}
	}
	out := m.changes
	m.changes = nil
	return out
}

// OnTrial reports whether the upstream is on trial.
func (m *Monitor) OnTrial(id cawork.UpstreamID) bool {
	r, ok := m.records[id]
	return ok && r.state == StateTrial
}

// Ejected returns the number of upstreams that are not trusted.
func (m *Monitor) Ejected() int { return len(m.out) }
