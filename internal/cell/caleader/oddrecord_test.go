package caleader

import (
	"bytes"
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/calayout"
)

// oddRecords are values that no build of this program has stored.
func oddRecords() map[string][]byte {
	nested := func(head []byte, levels int) []byte { return append(bytes.Repeat(head, levels), 0) }
	return map[string][]byte{
		"text":                               []byte(`{"leader":1}`),
		"arrays, 10,000 deep":                nested([]byte{0x81}, 10_000),
		"arrays, 1,000,000 deep":             nested([]byte{0x81}, 1_000_000),
		"maps, 1,000,000 deep":               nested([]byte{0xa1, 0x01}, 1_000_000),
		"tags, 1,000,000 deep":               nested([]byte{0xc2}, 1_000_000),
		"open arrays, 1,000,000 deep":        bytes.Repeat([]byte{0x9f}, 1_000_000),
		"array of 2^32 elements":             {0x9a, 0xff, 0xff, 0xff, 0xff},
		"map of 2^63 pairs":                  {0xbb, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"bytes of 2^60":                      {0x5b, 0x10, 0, 0, 0, 0, 0, 0, 0},
		"number beyond 64 bits":              {0xa1, 0x03, 0xc2, 0x49, 1, 0, 0, 0, 0, 0, 0, 0, 0},
		"number beyond the type":             {0xa1, 0x03, 0x1b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"infinity":                           {0xa1, 0x03, 0xf9, 0x7c, 0x00},
		"text that is no UTF-8":              {0xa1, 0x02, 0x62, 0xff, 0xfe},
		"layout with a shard out of range":   encoded(calayout.Layout{Shards: 1, Weights: []float64{1}, Teams: map[cawork.TeamName][]int{"north": {7}}}),
		"layout with a negative shard":       encoded(calayout.Layout{Shards: 1, Weights: []float64{1}, Teams: map[cawork.TeamName][]int{"north": {-1}}}),
		"layout with a team without a shard": encoded(calayout.Layout{Shards: 1, Weights: []float64{1}, Teams: map[cawork.TeamName][]int{"north": {}}}),
	}
}

// pageLog is a log with the records of a page.
type pageLog struct {
	Log
	entries []LogEntry
}

func (l pageLog) Newest(context.Context, string) (Page, error) {
	return Page{Entries: l.entries, End: int64(len(l.entries))}, nil
}

// TestOddRecordsAreSkippedAtBoundedCost guards against a record in the log of a shard that ends
// the entries that load it, keeps them from electing a leader, or takes memory by its depth or by
// the lengths that it claims.
func TestOddRecordsAreSkippedAtBoundedCost(t *testing.T) {
	const maxAllocated = 1 << 20
	sound := testJob(t, "2")
	claim := Claim{VM: "vm", Address: "address", Token: 9}
	for name, value := range oddRecords() {
		entries := []LogEntry{
			{Key: jobPrefix + "1", Value: value},
			{Key: jobPrefix + "2", Value: sound},
			{Key: crashPrefix + "1", Value: value},
			{Key: layoutKey, Value: value},
			{Key: "another", Value: value},
			{Key: "", Value: value},
		}
		soundClaim := LogEntry{Key: claimKey, Value: encoded(claim)}
		pause := func(context.Context, time.Duration) error { return nil }
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		state, err := loadState(t.Context(), pageLog{entries: entries}, pause, func(error) {})
		if err != nil {
			t.Fatal(err)
		}
		leadership, err := ReadLeadershipState(t.Context(), pageLog{entries: append(entries, soundClaim)})
		if err != nil {
			t.Fatal(err)
		}
		odd, err := ReadLeadershipState(t.Context(), pageLog{entries: append(entries, LogEntry{Key: claimKey, Value: value})})
		if err != nil {
			t.Fatal(err)
		}
		runtime.ReadMemStats(&after)
		if diff := cmp.Diff([]any{1, claim, calayout.Layout{}}, []any{len(state.jobs), leadership.Claim, leadership.Layout}); diff != "" {
			t.Errorf("%s: jobs, claim and layout (-want +got):\n%s", name, diff)
		}
		if diff := cmp.Diff(int64(len(entries)+1), odd.End); diff != "" {
			t.Errorf("%s: end of the log with an odd claim (-want +got):\n%s", name, diff)
		}
		if allocated := after.TotalAlloc - before.TotalAlloc; allocated > maxAllocated {
			t.Errorf("%s: %d bytes of memory for records of %d bytes, want %d at most", name, allocated, len(value), maxAllocated)
		}
	}
}

func encoded(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
