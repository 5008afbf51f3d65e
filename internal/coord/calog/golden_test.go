package calog

import (
	"math/rand/v2"
	"path/filepath"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cagolden"
	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

const goldenFolder = "testdata/format_1"

// sampleEntries returns an entry of each type.
func sampleEntries() []Entry {
	var entries []Entry
	for i, typ := range EntryTypeValues() {
		entries = append(entries, Entry{
			ID: EntryID{Writer: "e1-life", Sequence: int64(i) + 1}, Type: typ, Shard: "e1-life",
			View: 3, Index: int64(i), Body: []byte{1, 2, byte(i)},
		})
	}
	return entries
}

func decodeEntries(data []byte) (any, error) {
	var decoder batchDecoder
	var entries []Entry
	err := decoder.decode(data, func(e Entry) { entries = append(entries, e) })
	return entries, err
}

func TestPayloadsKeepTheirForm(t *testing.T) {
	batch := cagolden.Codec{Decode: decodeEntries, Encode: func(value any) ([]byte, error) {
		return new(Encoder).Encode(value.([]Entry))
	}}
	// Version 0.1.0 wrote each entry as a payload of its own.
	single := cagolden.Codec{Decode: decodeEntries, Encode: func(value any) ([]byte, error) {
		return cbor.Marshal(value.([]Entry)[0])
	}}
	if err := cagolden.Verify(filepath.Join(goldenFolder, "payload"), sampleEntries(), batch); err != nil {
		t.Error(err)
	}
	if err := cagolden.Verify(filepath.Join(goldenFolder, "payload_of_one"), sampleEntries()[:1], single); err != nil {
		t.Error(err)
	}
}

// TestLaterPayloadIsNotSkipped requires that the reading of a log stops at a
// payload of a later format, while a payload of others is skipped.
func TestLaterPayloadIsNotSkipped(t *testing.T) {
	known, err := new(Encoder).Encode(sampleEntries()[:1])
	if err != nil {
		t.Fatal(err)
	}
	log := &memoryLog{payloads: [][]byte{known, []byte("of others"), known}, maxAnswer: maxPage}
	if _, err := SurveyAll(t.Context(), log, "t"); err != nil {
		t.Errorf("with a payload of others: %v", err)
	}
	log.payloads = append(log.payloads, cagolden.Later("Format", int(caversion.FormatNewest)+1))
	_, err = SurveyAll(t.Context(), log, "t")
	if _, later := caversion.Later(err); !later {
		t.Errorf("with a payload of a later format: %v", err)
	}
}

// TestEntryOfALaterTypeMarksItsShard requires that the other shards of the log
// can still be read.
func TestEntryOfALaterTypeMarksItsShard(t *testing.T) {
	later := Entry{Type: EntryElected + 1, Shard: "later", Index: 1}
	payload, err := new(Encoder).Encode([]Entry{{Type: EntrySnapshot, Shard: "known", Index: 1}, later})
	if err != nil {
		t.Fatal(err)
	}
	log := &memoryLog{payloads: [][]byte{payload}, maxAnswer: maxPage}
	traces, err := SurveyAll(t.Context(), log, "t")
	if err != nil {
		t.Fatal(err)
	}
	fold, err := ReadShards(t.Context(), log, "t", traces)
	if err != nil {
		t.Fatal(err)
	}
	got := map[cawork.ShardID][2]bool{}
	for _, trace := range traces {
		image, _ := fold.Image(trace.Shard)
		got[trace.Shard] = [2]bool{trace.Later, image.Later}
	}
	if diff := cmp.Diff(map[cawork.ShardID][2]bool{"known": {}, "later": {true, true}}, got); diff != "" {
		t.Errorf("marks mismatch (-want +got):\n%s", diff)
	}
}

// mutations is the number of changed copies of each payload.
const mutations = 2000

func TestPayloadsOfAnotherVersionDoNotPanic(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, name := range []string{"payload", "payload_of_one"} {
		data, _, err := cagolden.Read(filepath.Join(goldenFolder, name))
		if err != nil {
			t.Fatal(err)
		}
		for range mutations {
			_ = NewFold().Apply(cagolden.Mutate(rng, data))
		}
		fold := NewFold()
		for range mutations {
			_ = fold.Apply(cagolden.Mutate(rng, data))
		}
	}
}
