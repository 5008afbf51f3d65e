package caleader

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cakind"
)

// boundedLog is a log that refuses appends with values longer than a bound.
type boundedLog struct {
	Log
	bound    int
	appends  int
	appended []LogEntry
	// refusesAll is how many of the next appends are refused whatever they hold.
	refusesAll int
}

func (l *boundedLog) Append(_ context.Context, at int64, entries []LogEntry) (int64, error) {
	l.appends++
	if l.refusesAll > 0 {
		l.refusesAll--
		return 0, cakind.New(cakind.KindUnstorable, "refused")
	}
	for _, e := range entries {
		if e.Key != claimKey && len(e.Value) > l.bound {
			return 0, cakind.New(cakind.KindUnstorable, "entry %s of %d bytes", e.Key, len(e.Value))
		}
	}
	if at != int64(len(l.appended)) {
		return 0, cakind.New(cakind.KindConflict, "the log ends at %d", len(l.appended))
	}
	l.appended = append(l.appended, entries...)
	return int64(len(l.appended)), nil
}

func keysOf(entries []LogEntry) (keys []string) {
	for _, e := range entries {
		if e.Key != claimKey {
			keys = append(keys, e.Key)
		}
	}
	return keys
}

// TestRefusedEntriesDoNotHoldBackTheirBatch guards against one record that the store refuses and that
// keeps all others of its batch from being stored, for as long as the leader leads.
func TestRefusedEntriesDoNotHoldBackTheirBatch(t *testing.T) {
	const bound, entries = 10, 20
	for name, c := range map[string]struct {
		large      []int
		known      int
		refusesAll int
	}{
		"none":                      {},
		"first":                     {large: []int{0}},
		"last":                      {large: []int{entries - 1}},
		"several":                   {large: []int{3, 4, 11}},
		"known bound":               {large: []int{3, 4, 11}, known: 1 + len("job/00") + bound},
		"store that refuses all":    {refusesAll: 200},
		"one, and the store, too":   {large: []int{7}, refusesAll: 200},
		"all entries":               {large: []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19}},
		"known bound, all of these": {large: []int{0, 1}, known: 1 + len("job/00") + bound},
	} {
		t.Run(name, func(t *testing.T) {
			batch := make([]LogEntry, entries)
			for i := range batch {
				batch[i] = LogEntry{Key: fmt.Sprintf("job/%02d", i), Value: []byte("small")}
			}
			var wantRefused []string
			for _, i := range c.large {
				batch[i].Value = []byte(strings.Repeat("x", bound+1))
				wantRefused = append(wantRefused, batch[i].Key)
			}
			var wantStored []string
			for _, e := range batch {
				if len(e.Value) <= bound {
					wantStored = append(wantStored, e.Key)
				}
			}
			log := &boundedLog{bound: bound, refusesAll: c.refusesAll}
			w := newWriter(log, Claim{}, 0, func(context.Context, time.Duration) error { return nil })
			w.recordBytes = c.known
			refused, err := w.append(t.Context(), batch)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff([][]string{wantRefused, wantStored}, [][]string{keysOf(refused), keysOf(log.appended)}); diff != "" {
				t.Errorf("refused and stored entries (-want +got):\n%s", diff)
			}
			if c.known > 0 {
				if diff := cmp.Diff(1, log.appends); diff != "" {
					t.Errorf("appends (-want +got):\n%s", diff)
				}
			}
		})
	}
}
