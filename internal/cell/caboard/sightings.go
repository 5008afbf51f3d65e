package caboard

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// A claim does not say how old it is, so that its reader takes the remaining leases of silent
// upstreams to last from then on. Leaders that follow one another before their first own append copy
// what they have read, and each would begin the wait anew. Therefore an entry remembers when it
// first read of a declaration.

// SilenceSightings holds by when the leases of upstreams have expired that the claims read by an
// entry declare as silent. It is not safe for concurrent use.
type SilenceSightings struct {
	seen map[cawork.UpstreamID]silenceSighting
}

// silenceSighting is a declaration together with when the lease has expired at the latest.
type silenceSighting struct {
	declaration, incarnation int64
	expires                  time.Time
}

// Observe applies the silent upstreams of a claim that was read at the time. Those of earlier claims
// that it does not declare are forgotten.
func (s *SilenceSightings) Observe(list []SilentUpstream, readAt time.Time) {
	seen := make(map[cawork.UpstreamID]silenceSighting, len(list))
	for _, u := range list {
		sighting := silenceSighting{declaration: u.Declaration, incarnation: u.Incarnation, expires: readAt.Add(u.LeaseRemaining)}
		if before := s.seen[u.Upstream]; before.isSame(u) && before.expires.Before(sighting.expires) {
			sighting.expires = before.expires
		}
		seen[u.Upstream] = sighting
	}
	s.seen = seen
}

// isSame reports whether the sighting is of the declaration of the upstream.
func (s silenceSighting) isSame(u SilentUpstream) bool {
	return u.Declaration != 0 && s.declaration == u.Declaration && s.incarnation == u.Incarnation
}

// Remaining returns the silent upstreams of the claim that was observed last, with the times that their
// leases can last from now on.
func (s *SilenceSightings) Remaining(list []SilentUpstream, now time.Time) []SilentUpstream {
	remaining := make([]SilentUpstream, 0, len(list))
	for _, u := range list {
		if sighting, ok := s.seen[u.Upstream]; ok {
			u.LeaseRemaining = max(min(u.LeaseRemaining, sighting.expires.Sub(now)), 0)
		}
		remaining = append(remaining, u)
	}
	return remaining
}
