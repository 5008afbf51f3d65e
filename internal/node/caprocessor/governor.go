// Package caprocessor lets a process run on one processor while it does little,
// and on all that it may use under load.
//
// A process of Go that uses several processors looks for work on all of them
// after each wake-up. An entry without load wakes up a few hundred times a
// second, and this search costs more than what it finds.
package caprocessor

import "time"

const (
	// busyShare is the part of one processor, above which the process gets all.
	busyShare = 0.5
	// idleShare is the part of one processor, below which it counts as idle.
	idleShare = 0.25
	// idleAfter is how long the process is idle before it is left with one
	// processor.
	idleAfter = 5 * time.Second
)

// Governor chooses the number of processors from the processor time that the
// process has spent. It has no clock and is not safe for concurrent use.
type Governor struct {
	most  int
	chose int
	at    time.Time
	spent time.Duration
	// idleSince is when the process was last seen busy.
	idleSince time.Time
}

// NewGovernor returns a governor that begins with one processor and uses at
// most so many.
func NewGovernor(most int, now time.Time, spent time.Duration) *Governor {
	return &Governor{most: max(most, 1), chose: 1, at: now, spent: spent, idleSince: now}
}

// Choose returns the number of processors to use from now on. Spent is the
// processor time of the process since its start.
func (g *Governor) Choose(now time.Time, spent time.Duration) int {
	elapsed := now.Sub(g.at)
	if elapsed <= 0 {
		return g.chose
	}
	share := float64(spent-g.spent) / float64(elapsed)
	g.at, g.spent = now, spent
	if share >= idleShare {
		g.idleSince = now
	}
	switch {
	case share >= busyShare:
		g.chose = g.most
	case now.Sub(g.idleSince) >= idleAfter:
		g.chose = 1
	}
	return g.chose
}
