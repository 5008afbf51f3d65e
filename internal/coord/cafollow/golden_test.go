package cafollow

import (
	"math/rand/v2"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cagolden"
	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

const goldenFolder = "testdata/format_1"

var goldenBody = []byte("a body")

func goldenRecords() map[string]record {
	return map[string]record{
		"change":   {Change: &Change{ID: "c1", Base: 6, Body: goldenBody}},
		"snapshot": {Snapshot: &Snapshot{Version: 7, AsOf: 101, ChangeID: "c1", Body: goldenBody, Hash: DigestOf(goldenBody)}},
		"reset":    {Reset: &Reset{ID: "c2", Body: goldenBody}},
	}
}

func TestRecordEncodingIsStable(t *testing.T) {
	codec := cagolden.Codec{
		Encode: func(value any) ([]byte, error) { return value.(record).encode(), nil },
		Decode: func(data []byte) (any, error) { return decodeRecord(data), nil },
	}
	for name, r := range goldenRecords() {
		if err := cagolden.Verify(filepath.Join(goldenFolder, name), r, codec); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func pageOf(payloads ...[]byte) caplatform.Page {
	page := caplatform.Page{Next: caplatform.Offset(len(payloads))}
	for i, p := range payloads {
		page.Records = append(page.Records, caplatform.Record{Offset: caplatform.Offset(i), Payload: p})
	}
	return page
}

// TestRecordOfANewerFormatStopsTheReader requires that a reader makes no
// decisions after a record of a newer format, and that it continues with the
// snapshot of a peer that could read the record.
func TestRecordOfANewerFormatStopsTheReader(t *testing.T) {
	page := pageOf(change("a", 0).encode(), cagolden.EncodeNewerFormat("format", int(caversion.FormatNewest)+1), change("b", 1).encode())
	s, decisions, err := NewState().WithPage(page)
	if err != nil {
		t.Fatal(err)
	}
	type readerStatus struct {
		Version   Version
		Decisions int
		From      caplatform.Offset
		Later     caversion.Format
		CaughtUp  bool
	}
	got := readerStatus{s.Version(), len(decisions), s.ReadFrom(), s.Later(), s.CaughtUp()}
	if diff := cmp.Diff(readerStatus{Version: 1, Decisions: 1, From: 1, Later: caversion.FormatNewest + 1}, got); diff != "" {
		t.Errorf("reader mismatch (-want +got):\n%s", diff)
	}
	peer := Snapshot{Version: 2, AsOf: 2, ChangeID: "later", Body: goldenBody, Hash: DigestOf(goldenBody)}
	s, used, err := s.WithSnapshot(peer)
	if err != nil || !used {
		t.Fatalf("snapshot of a peer: used %v, %v", used, err)
	}
	s, _, err = s.WithPage(page)
	if err != nil {
		t.Fatal(err)
	}
	got = readerStatus{s.Version(), 0, s.ReadFrom(), s.Later(), s.CaughtUp()}
	if diff := cmp.Diff(readerStatus{Version: 2, From: 3, CaughtUp: true}, got); diff != "" {
		t.Errorf("reader after the snapshot mismatch (-want +got):\n%s", diff)
	}
}

// mutations is the number of mutated copies of each record.
const mutations = 2000

func TestMutatedRecordsDoNotPanic(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	s := NewState()
	for name := range goldenRecords() {
		data, _, err := cagolden.Read(filepath.Join(goldenFolder, name))
		if err != nil {
			t.Fatal(err)
		}
		for range mutations {
			r := caplatform.Record{Offset: s.ReadFrom(), Payload: cagolden.Mutate(rng, data)}
			s, _, _ = s.WithPage(caplatform.Page{Records: []caplatform.Record{r}, Next: r.Offset + 1})
		}
	}
}
