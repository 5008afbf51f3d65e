package calog

import (
	"cmp"
	"context"
	"slices"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// ShardSummary is a summary of one shard's entries in the log: who leads the shard and
// from which offset to read its image.
type ShardSummary struct {
	Shard cawork.ShardID
	Lead
	Retired bool
	// Later has the same meaning as Image.Later.
	Later bool
	// From is the offset of the first entry that is needed to read the image.
	From caplatform.Offset
	// lastIndex is the index of the last record in the image.
	lastIndex int64
	// fence is the writer fence after the last entry, and fenceAtFrom the one
	// before the snapshot at From.
	fence       writerFence
	fenceAtFrom writerFence
}

// apply processes the next entry. The image starts from the last snapshot,
// unless a record that the snapshot does not include precedes it in the log:
//
//	record 1, record 2, snapshot at 2, record 3   From is the offset of the snapshot
//	record 1, record 2, record 3, snapshot at 2   From stays at record 1
func (s *ShardSummary) apply(e Entry, at caplatform.Offset) {
	s.update(e)
	accepted := s.fence.accept(e)
	switch e.Type {
	case EntryRecord:
		if accepted && e.Index == s.lastIndex+1 {
			s.lastIndex = e.Index
		}
	case EntryView, EntryElected:
	case EntrySnapshot:
		if accepted && (s.fence.takeInitial() || e.Index >= s.lastIndex) {
			s.From, s.lastIndex, s.fenceAtFrom = at, e.Index, s.fence
			s.fenceAtFrom.awaitsSnapshot = true
		}
	case EntryRetired:
		s.Retired = true
	default:
		s.Later = true
	}
}

// ScanShards reads the whole log of a topic and returns summaries of the shards that
// are not retired, sorted by shard. It skips payloads that this package did not
// write, and keeps no records or states in memory.
func ScanShards(ctx context.Context, l caplatform.Log, topic string) ([]ShardSummary, error) {
	summaries, err := ScanAllShards(ctx, l, topic)
	return slices.DeleteFunc(summaries, func(s ShardSummary) bool { return s.Retired }), err
}

// ScanRetiredShards is like ScanShards but returns summaries of the retired shards.
func ScanRetiredShards(ctx context.Context, l caplatform.Log, topic string) ([]ShardSummary, error) {
	summaries, err := ScanAllShards(ctx, l, topic)
	return slices.DeleteFunc(summaries, func(s ShardSummary) bool { return !s.Retired }), err
}

// ScanAllShards is like ScanShards but returns summaries of all shards, whether
// retired or not.
func ScanAllShards(ctx context.Context, l caplatform.Log, topic string) ([]ShardSummary, error) {
	summaries := map[cawork.ShardID]*ShardSummary{}
	err := readPages(ctx, l, topic, 0, func(at caplatform.Offset, e Entry) {
		s, ok := summaries[e.Shard]
		if !ok {
			s = &ShardSummary{Shard: e.Shard, From: at}
			summaries[e.Shard] = s
		}
		s.apply(e, at)
	})
	var out []ShardSummary
	for _, s := range summaries {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b ShardSummary) int { return cmp.Compare(a.Shard, b.Shard) })
	return out, err
}

// ReadShards reads the images of the shards in the summaries.
func ReadShards(ctx context.Context, l caplatform.Log, topic string, summaries []ShardSummary) (*Replay, error) {
	r := NewReplay()
	if len(summaries) == 0 {
		return r, nil
	}
	from := summaries[0].From
	starts := make(map[cawork.ShardID]caplatform.Offset)
	for _, s := range summaries {
		starts[s.Shard] = s.From
		r.add(&Image{Shard: s.Shard, Lead: s.Lead}, s.fenceAtFrom)
		from = min(from, s.From)
	}
	err := readPages(ctx, l, topic, from, func(at caplatform.Offset, e Entry) {
		if start, wanted := starts[e.Shard]; wanted && at >= start {
			r.apply(e)
		}
	})
	return r, err
}
