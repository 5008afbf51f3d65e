package calog

import (
	"cmp"
	"context"
	"slices"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// Trace is what a survey keeps of one shard: who led it, and where to read it.
type Trace struct {
	Shard cawork.ShardID
	Lead
	Retired bool
	// Later is as in Image.
	Later bool
	// From is the offset from which on all that makes up the image stands.
	From caplatform.Offset
	// last is the index of the last record of the image.
	last int64
	// line is that after the last entry, fromLine that before the snapshot at
	// From, with which the image begins.
	line     line
	fromLine line
}

// apply takes the next entry. A snapshot begins the image anew, unless records
// after it have been seen before it:
//
//	record 1, record 2, snapshot at 2, record 3   From is that of the snapshot
//	record 1, record 2, record 3, snapshot at 2   From stays at record 1
func (t *Trace) apply(e Entry, at caplatform.Offset) {
	t.follow(e)
	continues := t.line.follow(e)
	switch e.Type {
	case EntryRecord:
		if continues && e.Index == t.last+1 {
			t.last = e.Index
		}
	case EntryView, EntryElected:
	case EntrySnapshot:
		if continues && (t.line.begins() || e.Index >= t.last) {
			t.From, t.last, t.fromLine = at, e.Index, t.line
			t.fromLine.renewed = true
		}
	case EntryRetired:
		t.Retired = true
	default:
		t.Later = true
	}
}

// Survey reads all that the log still keeps of a topic and returns the traces
// of the shards that are not retired, ordered by shard. Payloads of others are
// skipped. It holds no records and no states.
func Survey(ctx context.Context, l caplatform.Log, topic string) ([]Trace, error) {
	traces, err := SurveyAll(ctx, l, topic)
	return slices.DeleteFunc(traces, func(t Trace) bool { return t.Retired }), err
}

// SurveyRetired returns the traces of the shards that are retired.
func SurveyRetired(ctx context.Context, l caplatform.Log, topic string) ([]Trace, error) {
	traces, err := SurveyAll(ctx, l, topic)
	return slices.DeleteFunc(traces, func(t Trace) bool { return !t.Retired }), err
}

// SurveyAll returns the traces of both in one read of the log.
func SurveyAll(ctx context.Context, l caplatform.Log, topic string) ([]Trace, error) {
	traces := map[cawork.ShardID]*Trace{}
	err := readPages(ctx, l, topic, 0, func(at caplatform.Offset, e Entry) {
		t, ok := traces[e.Shard]
		if !ok {
			t = &Trace{Shard: e.Shard, From: at}
			traces[e.Shard] = t
		}
		t.apply(e, at)
	})
	var kept []Trace
	for _, t := range traces {
		kept = append(kept, *t)
	}
	slices.SortFunc(kept, func(a, b Trace) int { return cmp.Compare(a.Shard, b.Shard) })
	return kept, err
}

// ReadShards returns the images of the shards of the traces.
func ReadShards(ctx context.Context, l caplatform.Log, topic string, traces []Trace) (*Fold, error) {
	f := NewFold()
	if len(traces) == 0 {
		return f, nil
	}
	from := traces[0].From
	begins := make(map[cawork.ShardID]caplatform.Offset)
	for _, t := range traces {
		begins[t.Shard] = t.From
		f.add(&Image{Shard: t.Shard, Lead: t.Lead}, t.fromLine)
		from = min(from, t.From)
	}
	err := readPages(ctx, l, topic, from, func(at caplatform.Offset, e Entry) {
		if first, wanted := begins[e.Shard]; wanted && at >= first {
			f.apply(e)
		}
	})
	return f, err
}
