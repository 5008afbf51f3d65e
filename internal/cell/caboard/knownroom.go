package caboard

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// The capacity of an upstream may shrink and grow again, and an upstream that left may come
// back. A job is therefore refused as one that never fits only if it would not fit on the
// upstreams of the last minute either, each with the largest capacity that it had.

const (
	// roomRetention is how long the room of an upstream that left is remembered: a restart
	// takes seconds, and other work on a VM up to a minute.
	roomRetention = time.Minute
	// roomRetryAfter is the delay after which callers retry a job that finds too little room
	// for now.
	roomRetryAfter = time.Second
)

// knownRooms are the rooms of the upstreams that are listed or left recently.
type knownRooms map[cawork.UpstreamID]knownRoom

// knownRoom is the room that an upstream can have.
type knownRoom struct {
	// info is its description with the largest capacity that it had.
	info     caspec.Upstream
	listedAt time.Time
}

// add records a list of upstreams, and drops those that left long ago.
func (k knownRooms) add(list []caspec.Upstream, now time.Time) {
	for _, info := range list {
		info.Capacity = info.Capacity.Most(k[info.ID].info.Capacity)
		k[info.ID] = knownRoom{info: info, listedAt: now}
	}
	for id, room := range k {
		if now.Sub(room.listedAt) > roomRetention {
			delete(k, id)
		}
	}
}

// mayFit reports whether so many tasks of a step may fit at once later on. They may while
// nothing is known of the pool.
func (k knownRooms) mayFit(pool caspec.PoolName, s caspec.Step, atOnce int) bool {
	known := false
	fitting := 0
	for _, room := range k {
		if room.info.Pool != pool {
			continue
		}
		known = true
		if room.info.HasLabel(s.Label) {
			fitting += fittingTasks(room.info.Capacity, s)
		}
	}
	return !known || fitting >= atOnce
}

// checkRoom refuses a step for which the pool lacks room, even when it is empty.
func (b *Planner) checkRoom(pool caspec.PoolName, number int, s caspec.Step, atOnce int) error {
	fitting := b.fittingTasksInPool(pool, s, atOnce, caspec.ZoneDrains{})
	switch {
	case fitting >= atOnce:
		return nil
	case b.knownRooms.mayFit(pool, s, atOnce):
		return cakind.New(cakind.KindOverloaded, "step %d needs room for %d tasks at once, the pool %s has room for %d for now",
			number, atOnce, pool, fitting).WithRetryAfter(roomRetryAfter)
	default:
		return cakind.New(cakind.KindNeverFits, "step %d needs room for %d tasks at once, the pool %s has room for %d", number, atOnce, pool, fitting)
	}
}
