package caleader

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// unlistedGrace is how long after an outage of the registry a missing upstream
// still counts as listed: its registration may have expired because it could not
// be renewed during the outage. Keeping it is safe, since only upstreams that
// answer get work.
const unlistedGrace = 2200 * time.Millisecond

// listRetention adds upstreams that are missing after an outage of the registry
// to the lists read from it.
type listRetention struct {
	last map[cawork.UpstreamID]caspec.Upstream
	// recoveredAt is when the registry could be read again, zero before the first
	// outage.
	recoveredAt time.Time
}

// noteRead records a successful read. afterFailure tells whether the read before
// it failed.
func (r *listRetention) noteRead(now time.Time, afterFailure bool) {
	if afterFailure {
		r.recoveredAt = now
	}
}

// complete returns the list and, during the grace period, the upstreams of the
// previous list that are missing from it.
func (r *listRetention) complete(now time.Time, list []caspec.Upstream) []caspec.Upstream {
	listed := make(map[cawork.UpstreamID]caspec.Upstream, len(list))
	for _, u := range list {
		listed[u.ID] = u
	}
	if !r.recoveredAt.IsZero() && now.Sub(r.recoveredAt) < unlistedGrace {
		for id, u := range r.last {
			if _, ok := listed[id]; !ok {
				listed[id] = u
				list = append(list, u)
			}
		}
	}
	r.last = listed
	return list
}
