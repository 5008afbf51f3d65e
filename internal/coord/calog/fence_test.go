package calog

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestLateAppendOfAFormerWriterIsIgnored covers an append that a former writer
// still has in flight when a new leader takes over the shard. The log may store
// it before or after entries of the new leader with the same indices.
func TestLateAppendOfAFormerWriterIsIgnored(t *testing.T) {
	former := []Entry{entry("a", EntryView, 1, 0, "view 1"), entry("a", EntrySnapshot, 1, 4, "state 4"), entry("a", EntryRecord, 1, 5, "a5")}
	late := []Entry{entry("a", EntryRecord, 1, 6, "a6"), entry("a", EntryRecord, 1, 7, "a7"), entry("a", EntryView, 1, 0, "view 1"), entry("a", EntrySnapshot, 1, 8, "a8")}
	takeover := []Entry{entry("b", EntryView, 2, 0, "view 2"), entry("b", EntrySnapshot, 2, 6, "b6")}
	records := []Entry{entry("b", EntryRecord, 2, 7, "b7"), entry("b", EntryRecord, 2, 8, "b8")}
	tests := []struct {
		name    string
		batches [][]Entry
	}{
		{"before the new leader", [][]Entry{former, late, takeover, records}},
		{"after the first append of the new leader", [][]Entry{former, takeover, late, records}},
		{"after the records of the new leader", [][]Entry{former, takeover, records, late}},
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
			summaries, err := ScanShards(t.Context(), log, "topic")
			if err != nil {
				t.Fatalf("ScanShards: %v", err)
			}
			replay, err := ReadShards(t.Context(), log, "topic", summaries)
			if err != nil {
				t.Fatalf("ReadShards: %v", err)
			}
			image, _ := replay.Image("s")
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
