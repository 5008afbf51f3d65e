package caspec

import (
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Upstream is the description that an upstream reports of itself.
type Upstream struct {
	ID      cawork.UpstreamID
	Address string
	Pool    PoolName
	Zone    cawork.ZoneName
	// Incarnation is the start time of this incarnation in Unix milliseconds.
	Incarnation int64
	// Sequence numbers the descriptions of an incarnation. Zero means that it is not known.
	Sequence int64
	Capacity cawork.Resources
	Labels   []string
	Draining bool
	// DrainRemaining is the shortest time for which a draining upstream stays, as of the
	// description.
	DrainRemaining time.Duration
}

// IsSupersededBy reports whether the description is older than another one of the same
// incarnation.
func (u Upstream) IsSupersededBy(newer Upstream) bool {
	return u.Incarnation != 0 && u.Incarnation == newer.Incarnation && u.Sequence != 0 && u.Sequence < newer.Sequence
}

// HasLabel reports whether the upstream has the label. Every upstream has the
// empty label.
func (u Upstream) HasLabel(label string) bool {
	return label == "" || slices.Contains(u.Labels, label)
}
