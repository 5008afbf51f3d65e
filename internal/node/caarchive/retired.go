package caarchive

import (
	"context"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/caescrow"
	"celeryarch.example/celeryarch/internal/coord/cajob"
	"celeryarch.example/celeryarch/internal/coord/calog"
)

// LoggedShards implements caquota.ShardLog. It returns the retired shards in the
// log separately from the others.
func (p *Archiver) LoggedShards(ctx context.Context) (kept, retired []cawork.ShardID, err error) {
	traces, err := calog.ScanAllShards(ctx, p.Log, topic)
	for _, t := range traces {
		if t.Retired {
			retired = append(retired, t.Shard)
			continue
		}
		kept = append(kept, t.Shard)
	}
	return kept, retired, err
}

// RetiredTransferCounters implements caquota.ShardLog. It returns the counters of
// the transfers between a shard and each retired shard in the log.
func (p *Archiver) RetiredTransferCounters(ctx context.Context, with cawork.ShardID) ([]caescrow.TransferCounters, error) {
	traces, err := calog.ScanRetiredShards(ctx, p.Log, topic)
	if err != nil {
		return nil, err
	}
	fold, err := calog.ReadShards(ctx, p.Log, topic, traces)
	if err != nil {
		return nil, err
	}
	var dealings []caescrow.TransferCounters
	for _, t := range traces {
		image, _ := fold.Image(t.Shard)
		state, err := restoreState(image)
		if err != nil {
			return nil, err
		}
		dealings = append(dealings, state.Account().TransferCountersWith(with))
	}
	return dealings, nil
}

// restoreState returns the state of an image.
func restoreState(image calog.Image) (*cajob.State, error) {
	state := cajob.NewState(image.Shard, cajob.DefaultRetention())
	if image.State != nil {
		if err := state.Restore(image.State); err != nil {
			return nil, err
		}
	}
	for _, r := range image.Records {
		// The shard itself rejected the same records, so other errors are ignored.
		if _, later := caversion.AsUnsupportedFormat(state.Apply(r)); later {
			return nil, cakind.New(cakind.KindInvalid, "shard %s has a record of a later format", image.Shard)
		}
	}
	return state, nil
}
