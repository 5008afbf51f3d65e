package caleader

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// lapsedGrace is how long after an outage of the list an upstream that is missing
// counts as listed: its entry lapsed while nobody could renew it. Only upstreams
// that answer get work.
const lapsedGrace = 2200 * time.Millisecond

// lapsedList completes lists of upstreams after an outage of the list.
type lapsedList struct {
	last map[cawork.UpstreamID]caspec.Upstream
	// backAt is when the list could be read again, zero before the first outage.
	backAt time.Time
}

// read notes a reading of the list that succeeded, and whether those before failed.
func (l *lapsedList) read(now time.Time, failed bool) {
	if failed {
		l.backAt = now
	}
}

// complete returns the list with the upstreams whose entries may have lapsed.
func (l *lapsedList) complete(now time.Time, list []caspec.Upstream) []caspec.Upstream {
	listed := make(map[cawork.UpstreamID]caspec.Upstream, len(list))
	for _, u := range list {
		listed[u.ID] = u
	}
	if !l.backAt.IsZero() && now.Sub(l.backAt) < lapsedGrace {
		for id, u := range l.last {
			if _, ok := listed[id]; !ok {
				listed[id] = u
				list = append(list, u)
			}
		}
	}
	l.last = listed
	return list
}
