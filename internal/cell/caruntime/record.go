package caruntime

import (
	"cmp"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

const (
	// maxRecordedUpstreams bounds the upstreams of a record.
	maxRecordedUpstreams = 5000
	// maxRecordedSlowness bounds a level of slowness in a record.
	maxRecordedSlowness = 100
)

// record is what a leader stores of the model for its successor.
type record struct {
	// Fast and Slow are the levels of slowness of the upstreams.
	Fast float64 `cbor:"1,keyasint"`
	Slow float64 `cbor:"2,keyasint"`
	// FastUpstreams and SlowUpstreams are the upstreams at each level.
	FastUpstreams []upstreamRecord `cbor:"3,keyasint,omitempty"`
	SlowUpstreams []upstreamRecord `cbor:"4,keyasint,omitempty"`
}

// upstreamRecord identifies an incarnation of an upstream.
type upstreamRecord struct {
	_           struct{} `cbor:",toarray"`
	ID          cawork.UpstreamID
	Incarnation int64
}

// Record returns what a later leader should know of the speeds of upstreams, nil while none is slow.
func (m *Model) Record() ([]byte, error) {
	if m.levels.slow == 0 {
		return nil, nil
	}
	r := record{Fast: m.levels.fast, Slow: m.levels.slow}
	for id, s := range m.upstreams {
		if s.runs < minSpeedRuns {
			continue
		}
		list := &r.FastUpstreams
		if m.IsSlow(id) {
			list = &r.SlowUpstreams
		}
		*list = append(*list, upstreamRecord{ID: id, Incarnation: s.incarnation})
	}
	for _, list := range [][]upstreamRecord{r.FastUpstreams, r.SlowUpstreams} {
		slices.SortFunc(list, func(x, y upstreamRecord) int { return cmp.Compare(x.ID, y.ID) })
	}
	b, err := cbor.Marshal(r)
	if err != nil {
		return nil, cakind.Wrap(cakind.KindInternal, err, "encode the speeds of %d upstreams", len(m.upstreams))
	}
	return b, nil
}

// Inherit takes over the record of an earlier leader. Its upstreams count as known by as few runs as are needed, so
// that what is no longer true is soon corrected.
func (m *Model) Inherit(b []byte) error {
	var r record
	if err := cbor.Unmarshal(b, &r); err != nil {
		return cakind.Wrap(cakind.KindInvalid, err, "decode the speeds of upstreams from %d bytes", len(b))
	}
	if !isLevel(r.Fast) || !isLevel(r.Slow) || len(r.FastUpstreams)+len(r.SlowUpstreams) > maxRecordedUpstreams {
		return cakind.New(cakind.KindInvalid, "levels of slowness %g and %g of %d upstreams", r.Fast, r.Slow, len(r.FastUpstreams)+len(r.SlowUpstreams))
	}
	m.inheritLevel(r.Fast, r.FastUpstreams)
	m.inheritLevel(r.Slow, r.SlowUpstreams)
	return nil
}

func isLevel(slowness float64) bool {
	return slowness >= 1.0/maxRecordedSlowness && slowness <= maxRecordedSlowness
}

func (m *Model) inheritLevel(slowness float64, list []upstreamRecord) {
	for _, u := range list {
		if _, known := m.upstreams[u.ID]; !known {
			m.upstreams[u.ID] = &speed{incarnation: u.Incarnation, mean: math.Log(slowness), runs: minSpeedRuns, relative: 1}
		}
	}
}
