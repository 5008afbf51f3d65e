package caspec

import (
	"slices"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Upstream is an upstream as it describes itself.
type Upstream struct {
	ID      cawork.UpstreamID
	Address string
	Pool    PoolName
	Zone    cawork.ZoneName
	// Born is the start of this incarnation in Unix milliseconds.
	Born     int64
	Capacity cawork.Resources
	Labels   []string
	Draining bool
}

// HasLabel reports whether the upstream has the label; all have the empty one.
func (u Upstream) HasLabel(label string) bool {
	return label == "" || slices.Contains(u.Labels, label)
}
