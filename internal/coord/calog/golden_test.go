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

func TestPayloadEncodingIsStable(t *testing.T) {
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

// TestPayloadOfANewerFormatIsNotSkipped requires that reading a log stops with
// an error at a payload of a newer format, but skips a payload that this package
// did not write.
func TestPayloadOfANewerFormatIsNotSkipped(t *testing.T) {
	known, err := new(Encoder).Encode(sampleEntries()[:1])
	if err != nil {
		t.Fatal(err)
	}
	log := &memoryLog{payloads: [][]byte{known, []byte("of others"), known}, maxAnswer: maxPageSize}
	if _, err := ScanAllShards(t.Context(), log, "t"); err != nil {
		t.Errorf("with a foreign payload: %v", err)
	}
	log.payloads = append(log.payloads, cagolden.EncodeNewerFormat("Format", int(caversion.FormatNewest)+1))
	_, err = ScanAllShards(t.Context(), log, "t")
	if _, later := caversion.AsUnsupportedFormat(err); !later {
		t.Errorf("with a payload of a newer format: %v", err)
	}
}

// TestEntryOfAnUnknownTypeMarksItsShard requires that an entry of a type that
// only newer releases support marks its own shard alone. The other shards of the
// log remain readable.
func TestEntryOfAnUnknownTypeMarksItsShard(t *testing.T) {
	unknown := Entry{Type: EntryElected + 1, Shard: "later", Index: 1}
	payload, err := new(Encoder).Encode([]Entry{{Type: EntrySnapshot, Shard: "known", Index: 1}, unknown})
	if err != nil {
		t.Fatal(err)
	}
	log := &memoryLog{payloads: [][]byte{payload}, maxAnswer: maxPageSize}
	summaries, err := ScanAllShards(t.Context(), log, "t")
	if err != nil {
		t.Fatal(err)
	}
	replay, err := ReadShards(t.Context(), log, "t", summaries)
	if err != nil {
		t.Fatal(err)
	}
	got := map[cawork.ShardID][2]bool{}
	for _, summary := range summaries {
		image, _ := replay.Image(summary.Shard)
		got[summary.Shard] = [2]bool{summary.Later, image.Later}
	}
	if diff := cmp.Diff(map[cawork.ShardID][2]bool{"known": {}, "later": {true, true}}, got); diff != "" {
		t.Errorf("marks mismatch (-want +got):\n%s", diff)
	}
}

// mutations is the number of mutated copies of each payload.
const mutations = 2000

func TestMutatedPayloadsDoNotPanic(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, name := range []string{"payload", "payload_of_one"} {
		data, _, err := cagolden.Read(filepath.Join(goldenFolder, name))
		if err != nil {
			t.Fatal(err)
		}
		for range mutations {
			_ = NewReplay().Apply(cagolden.Mutate(rng, data))
		}
		replay := NewReplay()
		for range mutations {
			_ = replay.Apply(cagolden.Mutate(rng, data))
		}
	}
}
