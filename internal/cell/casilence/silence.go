// Package casilence holds what a leader declares about upstreams that do not answer it, and for how long such a declaration
// counts for those who read it.
package casilence

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Upstream is an upstream with runs that does not answer.
type Upstream struct {
	Upstream    cawork.UpstreamID `cbor:"1,keyasint"`
	Incarnation int64             `cbor:"2,keyasint,omitempty"`
	// LeaseRemaining is the longest time until the leases of its runs have expired.
	LeaseRemaining time.Duration `cbor:"3,keyasint,omitempty"`
	// Draining is set if it drained before. It may have left the list since.
	Draining bool `cbor:"5,keyasint,omitempty"`
	// Declaration identifies the appends without a break that declare the upstream, of one leader
	// or several. Its lease is not extended meanwhile. Zero means unknown.
	Declaration int64 `cbor:"4,keyasint,omitempty"`
}

// A claim does not say how old it is, so that its reader takes the remaining leases of silent
// upstreams to last from then on. Leaders that follow one another before their first own append copy
// what they have read, and each would begin the wait anew. Therefore an entry remembers when it
// first read of a declaration.

// Sightings holds by when the leases of upstreams have expired that the claims read by an
// entry declare as silent. It is not safe for concurrent use.
type Sightings struct {
	seen map[cawork.UpstreamID]sighting
}

// sighting is a declaration together with when the lease has expired at the latest.
type sighting struct {
	declaration, incarnation int64
	expires                  time.Time
}

// Observe applies the silent upstreams of a claim that was read at the time. Those of earlier claims
// that it does not declare are forgotten.
func (s *Sightings) Observe(list []Upstream, readAt time.Time) {
	seen := make(map[cawork.UpstreamID]sighting, len(list))
	for _, u := range list {
		now := sighting{declaration: u.Declaration, incarnation: u.Incarnation, expires: readAt.Add(u.LeaseRemaining)}
		if before := s.seen[u.Upstream]; before.isSame(u) && before.expires.Before(now.expires) {
			now.expires = before.expires
		}
		seen[u.Upstream] = now
	}
	s.seen = seen
}

// isSame reports whether the sighting is of the declaration of the upstream.
func (s sighting) isSame(u Upstream) bool {
	return u.Declaration != 0 && s.declaration == u.Declaration && s.incarnation == u.Incarnation
}

// Remaining returns the silent upstreams of the claim that was observed last, with the times that their
// leases can last from now on.
func (s *Sightings) Remaining(list []Upstream, now time.Time) []Upstream {
	remaining := make([]Upstream, 0, len(list))
	for _, u := range list {
		if read, ok := s.seen[u.Upstream]; ok {
			u.LeaseRemaining = max(min(u.LeaseRemaining, read.expires.Sub(now)), 0)
		}
		remaining = append(remaining, u)
	}
	return remaining
}
