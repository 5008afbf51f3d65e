package cafollow

import (
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// confirmation holds when the version in force was last confirmed by the log
// and by a peer in each zone.
type confirmation struct {
	ownZone cawork.ZoneName
	logAt   time.Time
	zoneAt  map[cawork.ZoneName]time.Time
}

func newConfirmation(ownZone cawork.ZoneName) confirmation {
	return confirmation{ownZone: ownZone, zoneAt: map[cawork.ZoneName]time.Time{}}
}

func (c *confirmation) confirmByLog(at time.Time) {
	if at.After(c.logAt) {
		c.logAt = at
	}
}

func (c *confirmation) confirmByPeer(zone cawork.ZoneName, at time.Time) { c.zoneAt[zone] = at }

// latest returns the later of the confirmation by the log and the one by a
// majority of the zones. The own zone always counts as confirmed now.
//
// Example: zones are a (own), b, confirmed 2 s ago, and c, confirmed 9 s ago. A
// majority is two zones, so the version was confirmed 2 s ago.
func (c *confirmation) latest(zones []cawork.ZoneName, now time.Time) time.Time {
	if len(zones) == 0 {
		return c.logAt
	}
	times := make([]time.Time, 0, len(zones))
	for _, z := range zones {
		at := c.zoneAt[z]
		if z == c.ownZone {
			at = now
		}
		times = append(times, at)
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	majority := len(zones)/2 + 1
	byPeers := times[majority-1]
	if byPeers.After(c.logAt) {
		return byPeers
	}
	return c.logAt
}
