package caspec

import (
	"slices"
	"time"
	"unicode"
	"unicode/utf8"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

const (
	// maxUpstreamIDBytes bounds the ID of an upstream, which headers and messages carry.
	maxUpstreamIDBytes = 255
	// maxSequenceLead is how many descriptions of an incarnation a late one may lie behind.
	maxSequenceLead = 100
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

// Check returns an error of KindInvalid for a description that no upstream can have. It names no
// upstream to use.
func (u Upstream) Check() error {
	if !isCarriableID(string(u.ID)) {
		return cakind.New(cakind.KindInvalid, "invalid upstream ID %q", u.ID)
	}
	if !u.Capacity.IsCapacity() {
		return cakind.New(cakind.KindInvalid, "no VM has capacity %s", u.Capacity)
	}
	if u.Incarnation < 0 || u.Incarnation > maxTimeMS {
		return cakind.New(cakind.KindInvalid, "start time %d ms is not between 0 and %d", u.Incarnation, int64(maxTimeMS))
	}
	return nil
}

// isCarriableID reports whether headers and messages between entries can carry the ID.
func isCarriableID(id string) bool {
	if id == "" || len(id) > maxUpstreamIDBytes || !utf8.ValidString(id) {
		return false
	}
	for _, r := range id {
		if !unicode.IsGraphic(r) || unicode.IsSpace(r) {
			return false
		}
	}
	return true
}

// IsSupersededBy reports whether the description is older than another one of the same
// incarnation. One that lies far behind is not late: the number of the other one is wrong.
func (u Upstream) IsSupersededBy(newer Upstream) bool {
	if u.Incarnation == 0 || u.Incarnation != newer.Incarnation || u.Sequence <= 0 || u.Sequence >= newer.Sequence {
		return false
	}
	return newer.Sequence-u.Sequence <= maxSequenceLead
}

// HasLabel reports whether the upstream has the label. Every upstream has the
// empty label.
func (u Upstream) HasLabel(label string) bool {
	return label == "" || slices.Contains(u.Labels, label)
}
