package calog

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestLateAppendOfAFormerWriterIsNotTaken rebuilds a shard whose former writer
// has an append under way, which the log takes before or after what the new lead
// writes under the same indices.
func TestLateAppendOfAFormerWriterIsNotTaken(t *testing.T) {
	former := []Entry{entry("a", EntryView, 1, 0, "view 1"), entry("a", EntrySnapshot, 1, 4, "state 4"), entry("a", EntryRecord, 1, 5, "a5")}
	late := []Entry{entry("a", EntryRecord, 1, 6, "a6"), entry("a", EntryRecord, 1, 7, "a7"), entry("a", EntryView, 1, 0, "view 1"), entry("a", EntrySnapshot, 1, 8, "a8")}
	begin := []Entry{entry("b", EntryView, 2, 0, "view 2"), entry("b", EntrySnapshot, 2, 6, "b6")}
	rest := []Entry{entry("b", EntryRecord, 2, 7, "b7"), entry("b", EntryRecord, 2, 8, "b8")}
	tests := []struct {
		name    string
		batches [][]Entry
	}{
		{"before the new lead", [][]Entry{former, late, begin, rest}},
		{"after its first append", [][]Entry{former, begin, late, rest}},
		{"after its records", [][]Entry{former, begin, rest, late}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			log := &memoryLog{maxAnswer: 100}
			var encoder Encoder
			for _, b := range tc.batches {
				payload, err := encoder.Encode(b)
				if err != nil {
					t.Fatalf("Encode: %v", err)
				}
				log.payloads = append(log.payloads, payload)
			}
			traces, err := Survey(t.Context(), log, "topic")
			if err != nil {
				t.Fatalf("Survey: %v", err)
			}
			fold, err := ReadShards(t.Context(), log, "topic", traces)
			if err != nil {
				t.Fatalf("ReadShards: %v", err)
			}
			image, _ := fold.Image("s")
			got := []string{string(image.ViewBody), string(image.State)}
			for _, r := range image.Records {
				got = append(got, string(r))
			}
			if diff := cmp.Diff([]string{"view 2", "b6", "b7", "b8"}, got); diff != "" {
				t.Errorf("view, state and records mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

func entry(writer string, kind EntryType, view, index int64, body string) Entry {
	return Entry{ID: EntryID{Writer: writer}, Type: kind, Shard: "s", View: view, Index: index, Body: []byte(body)}
}
