package caboard

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// An operator drains an availability zone before work on it. From then on no run starts
// there: the upstreams of the zone count as unavailable, so that admission, the gang
// partition, reservations and approval requests follow the room that is left. Runs that
// were assigned but not sent are dropped and placed again. What runs there goes on, with
// its leases renewed.

// drainedRetryAfter is the delay after which callers retry a job that needs the room of
// drained zones.
const drainedRetryAfter = 2 * time.Second

// DrainView is what a leader knows of the drained zones.
type DrainView struct {
	caspec.ZoneDrains
	// ValidUntil is when the view becomes too old to start anything by it. Zero means never.
	ValidUntil time.Time
}

// isExpired reports whether the view is too old.
func (v DrainView) isExpired(now time.Time) bool {
	return !v.ValidUntil.IsZero() && now.After(v.ValidUntil)
}

// SetDrains applies a newer view of the drained zones.
func (b *Planner) SetDrains(v DrainView) { b.drains = v }

// isDrained reports whether the zone of an upstream is drained.
func (b *Planner) isDrained(u *upstream) bool {
	return len(b.drains.Zones) > 0 && b.drains.Contains(u.info.Zone)
}

// mayStartOn reports whether runs may start on an upstream, as far as drained zones are
// concerned.
func (b *Planner) mayStartOn(u *upstream) bool {
	return !b.isDrained(u) && !b.isViewExpired()
}

// checkDrainedRoom refuses a step that needs the room of drained zones for the given
// number of tasks at once.
func (b *Planner) checkDrainedRoom(pool caspec.PoolName, s caspec.Step, atOnce int) error {
	if len(b.drains.Zones) == 0 {
		return nil
	}
	fitting := b.fittingTasksInPool(pool, s, atOnce, b.drains.ZoneDrains)
	if fitting >= atOnce {
		return nil
	}
	return cakind.New(cakind.KindOverloaded, "a step needs room for %d tasks at once, the pool %s has room for %d while zones are drained",
		atOnce, pool, fitting).WithRetryAfter(drainedRetryAfter)
}

// DrainedRuns returns how many runs may still be present in each drained zone.
func (b *Planner) DrainedRuns() map[cawork.ZoneName]int {
	if len(b.drains.Zones) == 0 {
		return nil
	}
	runs := make(map[cawork.ZoneName]int, len(b.drains.Zones))
	for _, zone := range b.drains.Zones {
		runs[zone] = 0
	}
	for _, u := range b.sortedUpstreams {
		if b.isDrained(u) {
			runs[u.info.Zone] += len(u.runs)
		}
	}
	return runs
}

// logDrains logs the drained zones whose last run has ended.
func (b *Planner) logDrains() {
	runs := b.DrainedRuns()
	for zone, n := range runs {
		if was, known := b.drainedRuns[zone]; n == 0 && (!known || was > 0) {
			caevent.Info(b.log, caevent.ZoneEmpty).Str("zone", string(zone)).Int64("position", b.drains.Position).Send()
		}
	}
	b.drainedRuns = runs
}
