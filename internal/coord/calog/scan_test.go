package calog

import (
	"context"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// memoryLog holds payloads and counts those it returned. It loses answers with
// more than maxAnswer payloads.
type memoryLog struct {
	payloads     [][]byte
	maxAnswer    int
	payloadsRead int
}

func (l *memoryLog) Append(context.Context, string, [][]byte) (caplatform.Offset, error) {
	return 0, cakind.New(cakind.KindInternal, "not used")
}

func (l *memoryLog) Read(_ context.Context, _ string, from caplatform.Offset, limit int) (caplatform.Page, error) {
	page := caplatform.Page{Next: caplatform.Offset(len(l.payloads))}
	for at := int(from); at < min(len(l.payloads), int(from)+limit); at++ {
		page.Records = append(page.Records, caplatform.Record{Offset: caplatform.Offset(at), Payload: l.payloads[at]})
	}
	if len(page.Records) > l.maxAnswer {
		return caplatform.Page{}, cakind.New(cakind.KindUnknown, "answer is too large")
	}
	l.payloadsRead += len(page.Records)
	return page, nil
}

// drawHistory draws the entries that consecutive writers append for one shard:
// views, elections, records, copies of earlier entries, snapshots, some of which
// lag behind the records, and occasional gaps in the indices.
func drawHistory(t *rapid.T, shard cawork.ShardID) [][]Entry {
	var batches [][]Entry
	var index, sequence, view int64
	add := func(e Entry) {
		sequence++
		e.ID, e.Shard, e.View = EntryID{fmt.Sprintf("%s/%d", shard, view), sequence}, shard, view
		batches = append(batches, []Entry{e})
	}
	for range rapid.IntRange(0, 40).Draw(t, "steps") {
		switch rapid.IntRange(0, 10).Draw(t, "step") {
		case 10:
			base := max(0, view-rapid.Int64Range(0, 1).Draw(t, "stale"))
			body := fmt.Appendf(nil, "elected %d, %d", base, sequence)
			batches = append(batches, []Entry{{Type: EntryElected, Shard: shard, Index: base, View: base + 2, Body: body}})
			view += rapid.Int64Range(0, 2).Draw(t, "led")
		case 0:
			view++
			sequence = 0
			add(Entry{Type: EntryView, Body: fmt.Appendf(nil, "view %d", view)})
		case 1, 2:
			lag := min(index, rapid.Int64Range(0, 2).Draw(t, "late"))
			add(Entry{Type: EntrySnapshot, Index: index - lag, Body: fmt.Appendf(nil, "state %d", index-lag)})
		case 3:
			index += 2
		case 4:
			if len(batches) > 0 {
				batches = append(batches, batches[rapid.IntRange(0, len(batches)-1).Draw(t, "copy")])
			}
		default:
			index++
			add(Entry{Type: EntryRecord, Index: index, Body: fmt.Appendf(nil, "record %d", index)})
		}
	}
	return batches
}

// TestReadShardsEqualsFullReplay compares the images that are read from the
// offsets in the summaries with those of a replay of the whole log.
func TestReadShardsEqualsFullReplay(t *testing.T) {
	var encoder Encoder
	rapid.Check(t, func(t *rapid.T) {
		l := &memoryLog{maxAnswer: rapid.IntRange(1, 8).Draw(t, "answer")}
		remaining := [][][]Entry{drawHistory(t, "a"), drawHistory(t, "b"), drawHistory(t, "c")}
		for {
			pick := rapid.IntRange(0, len(remaining)-1).Draw(t, "shard")
			if len(remaining[pick]) == 0 {
				break
			}
			body, err := encoder.Encode(remaining[pick][0])
			if err != nil {
				t.Fatal(err)
			}
			l.payloads = append(l.payloads, body, []byte("of another program"))
			remaining[pick] = remaining[pick][1:]
		}
		all := NewReplay()
		for _, p := range l.payloads {
			_ = all.Apply(p)
		}
		summaries, err := ScanShards(context.Background(), l, "shards")
		if err != nil {
			t.Fatalf("ScanShards: %v", err)
		}
		got, err := ReadShards(context.Background(), l, "shards", summaries)
		if err != nil {
			t.Fatalf("ReadShards: %v", err)
		}
		if diff := cmp.Diff(all.Images(), got.Images(), cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("images (-want +got):\n%s", diff)
		}
	})
}

// TestFirstProposalForAViewWins covers concurrent proposals for the same view, a
// proposal with an outdated base view, and the view of the elected leader.
func TestFirstProposalForAViewWins(t *testing.T) {
	l := &memoryLog{maxAnswer: maxPageSize}
	var encoder Encoder
	var got []Lead
	for _, e := range []Entry{
		{Type: EntryView, View: 3, Body: []byte("v3")},
		{Type: EntryElected, Index: 2, View: 102, Body: []byte("stale")},
		{Type: EntryElected, Index: 3, View: 103, Body: []byte("first")},
		{Type: EntryElected, Index: 3, View: 103, Body: []byte("second")},
		{Type: EntryView, View: 4, Body: []byte("late")},
		{Type: EntryView, View: 103, Body: []byte("leads")},
	} {
		e.Shard = "s"
		body, err := encoder.Encode([]Entry{e})
		if err != nil {
			t.Fatal(err)
		}
		l.payloads = append(l.payloads, body)
		summaries, err := ScanShards(context.Background(), l, "shards")
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, summaries[0].Lead)
	}
	elected := Lead{View: 103, ViewBody: []byte("first"), Elected: true, FormerBody: []byte("v3")}
	v3 := Lead{View: 3, ViewBody: []byte("v3")}
	want := []Lead{v3, v3, elected, elected, elected, {View: 103, ViewBody: []byte("leads")}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("leads after each entry (-want +got):\n%s", diff)
	}
}

func TestReadShardsStartsAtTheSnapshot(t *testing.T) {
	var encoder Encoder
	l := &memoryLog{maxAnswer: maxPageSize}
	for i := range int64(1000) {
		e := Entry{ID: EntryID{"w", i + 1}, Shard: "s", Index: i + 1, Body: []byte("r")}
		if i == 900 {
			e.Type, e.Body = EntrySnapshot, []byte("state")
		}
		body, err := encoder.Encode([]Entry{e})
		if err != nil {
			t.Fatal(err)
		}
		l.payloads = append(l.payloads, body)
	}
	summaries, err := ScanShards(context.Background(), l, "shards")
	if err != nil {
		t.Fatalf("ScanShards: %v", err)
	}
	l.payloadsRead = 0
	replay, err := ReadShards(context.Background(), l, "shards", summaries)
	if err != nil {
		t.Fatalf("ReadShards: %v", err)
	}
	if diff := cmp.Diff(100, l.payloadsRead); diff != "" {
		t.Errorf("payloads read again (-want +got):\n%s", diff)
	}
	image, _ := replay.Image("s")
	if diff := cmp.Diff(int64(1000), image.Last()); diff != "" {
		t.Errorf("last record (-want +got):\n%s", diff)
	}
}
