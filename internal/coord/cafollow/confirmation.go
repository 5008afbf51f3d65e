package cafollow

import (
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// confirmation holds when the version in force was last confirmed, by the log
// and by a peer of each zone.
type confirmation struct {
	self  cawork.ZoneName
	log   time.Time
	zones map[cawork.ZoneName]time.Time
}

func newConfirmation(self cawork.ZoneName) confirmation {
	return confirmation{self: self, zones: map[cawork.ZoneName]time.Time{}}
}

func (c *confirmation) byLog(at time.Time) {
	if at.After(c.log) {
		c.log = at
	}
}

func (c *confirmation) byPeer(zone cawork.ZoneName, at time.Time) { c.zones[zone] = at }

// at returns the later of the confirmation by the log and the one by a
// majority of the zones. The own zone confirms at any time.
//
// Example: of zones a (own), b and c, with b heard 2 s ago and c 9 s ago, a
// majority is two, so the version was confirmed 2 s ago.
func (c *confirmation) at(zones []cawork.ZoneName, now time.Time) time.Time {
	if len(zones) == 0 {
		return c.log
	}
	heard := make([]time.Time, 0, len(zones))
	for _, z := range zones {
		at := c.zones[z]
		if z == c.self {
			at = now
		}
		heard = append(heard, at)
	}
	slices.SortFunc(heard, func(a, b time.Time) int { return b.Compare(a) })
	majority := len(zones)/2 + 1
	byPeers := heard[majority-1]
	if byPeers.After(c.log) {
		return byPeers
	}
	return c.log
}
