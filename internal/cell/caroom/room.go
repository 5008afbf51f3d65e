// Package caroom determines whether the tasks of a step fit on upstreams.
package caroom

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// Retention is how long the room of an upstream that left is remembered: a restart takes seconds, and other work on a VM
// up to a minute.
const Retention = time.Minute

// TasksIn returns how many tasks of the step fit into the free room of one upstream: none if its runs exceed its
// capacity in any dimension.
func TasksIn(room cawork.Resources, s caspec.Step) int {
	if room.IsNegative() {
		return 0
	}
	n := min(s.Tasks, room.Holds(s.Size()))
	if s.MaxPerUpstream > 0 {
		n = min(n, s.MaxPerUpstream)
	}
	return n
}

// AtOnce returns how many tasks of a step must have room at the same time for any of them to start.
func AtOnce(s caspec.Step) int {
	if s.Gang {
		return s.Tasks
	}
	return 1
}

// Known are the rooms of the upstreams that are listed or left recently. The capacity of an upstream may shrink and
// grow again, and an upstream that left may come back. A job is therefore refused as one that never fits only if it
// would not fit on the upstreams of the last minute either, each with the largest capacity that it had.
type Known map[cawork.UpstreamID]knownRoom

// knownRoom is the room that an upstream can have.
type knownRoom struct {
	// info is its description with the largest capacity that it had.
	info     caspec.Upstream
	listedAt time.Time
}

// Add records a list of upstreams, and drops those that left long ago.
func (k Known) Add(list []caspec.Upstream, now time.Time) {
	for _, info := range list {
		info.Capacity = info.Capacity.Most(k[info.ID].info.Capacity)
		k[info.ID] = knownRoom{info: info, listedAt: now}
	}
	for id, room := range k {
		if now.Sub(room.listedAt) > Retention {
			delete(k, id)
		}
	}
}

// Contains reports whether an upstream is listed or left recently.
func (k Known) Contains(id cawork.UpstreamID) bool {
	_, ok := k[id]
	return ok
}

// MayFit reports whether so many tasks of a step may fit at once later on. They may while nothing is known of the pool.
func (k Known) MayFit(pool caspec.PoolName, s caspec.Step, atOnce int) bool {
	known := false
	fitting := 0
	for _, room := range k {
		if room.info.Pool != pool {
			continue
		}
		known = true
		if room.info.HasLabel(s.Label) {
			fitting += TasksIn(room.info.Capacity, s)
		}
	}
	return !known || fitting >= atOnce
}
