// Package caprocessor adapts GOMAXPROCS to the load: a process uses one
// processor while it is nearly idle, and all that it may use under load.
//
// With several processors the Go scheduler searches all of them for runnable
// goroutines after each wake-up. An idle entry wakes up a few hundred times a
// second, and the search costs more processor time than the work that it finds.
package caprocessor

import "time"

const (
	// busyThreshold is the load, as a fraction of one processor, from which the
	// process uses all processors.
	busyThreshold = 0.5
	// idleThreshold is the load, as a fraction of one processor, below which the
	// process counts as idle.
	idleThreshold = 0.25
	// idleTimeout is how long the process must be idle before it is reduced to
	// one processor.
	idleTimeout = 5 * time.Second
)

// Governor chooses the number of processors from the processor time that the
// process has used. The caller passes in the time. It is not safe for concurrent
// use.
type Governor struct {
	maxProcs    int
	procs       int
	lastSample  time.Time
	lastCPUTime time.Duration
	// idleSince is the time of the last sample at or above idleThreshold.
	idleSince time.Time
}

// NewGovernor returns a governor that starts with one processor and chooses at
// most maxProcs. The cpuTime is that of the process since its start.
func NewGovernor(maxProcs int, now time.Time, cpuTime time.Duration) *Governor {
	return &Governor{maxProcs: max(maxProcs, 1), procs: 1, lastSample: now, lastCPUTime: cpuTime, idleSince: now}
}

// Choose returns the number of processors to use from now on. The cpuTime is the
// processor time that the process has used since its start.
func (g *Governor) Choose(now time.Time, cpuTime time.Duration) int {
	elapsed := now.Sub(g.lastSample)
	if elapsed <= 0 {
		return g.procs
	}
	load := float64(cpuTime-g.lastCPUTime) / float64(elapsed)
	g.lastSample, g.lastCPUTime = now, cpuTime
	if load >= idleThreshold {
		g.idleSince = now
	}
	switch {
	case load >= busyThreshold:
		g.procs = g.maxProcs
	case now.Sub(g.idleSince) >= idleTimeout:
		g.procs = 1
	}
	return g.procs
}
