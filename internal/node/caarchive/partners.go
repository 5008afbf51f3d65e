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

// LoggedShards implements caquota.Archive: the shards of the log, and which of
// them are retired.
func (p *Part) LoggedShards(ctx context.Context) (kept, retired []cawork.ShardID, err error) {
	traces, err := calog.SurveyAll(ctx, p.Log, topic)
	for _, t := range traces {
		if t.Retired {
			retired = append(retired, t.Shard)
			continue
		}
		kept = append(kept, t.Shard)
	}
	return kept, retired, err
}

// RetiredDealings implements caquota.Archive: what the retired shards of the log
// had to do with a shard.
func (p *Part) RetiredDealings(ctx context.Context, with cawork.ShardID) ([]caescrow.Dealings, error) {
	traces, err := calog.SurveyRetired(ctx, p.Log, topic)
	if err != nil {
		return nil, err
	}
	fold, err := calog.ReadShards(ctx, p.Log, topic, traces)
	if err != nil {
		return nil, err
	}
	var dealings []caescrow.Dealings
	for _, t := range traces {
		image, _ := fold.Image(t.Shard)
		state, err := folded(image)
		if err != nil {
			return nil, err
		}
		dealings = append(dealings, state.Account().DealingsWith(with))
	}
	return dealings, nil
}

// folded returns the state of an image.
func folded(image calog.Image) (*cajob.State, error) {
	state := cajob.NewState(image.Shard, cajob.DefaultRetention())
	if image.State != nil {
		if err := state.Restore(image.State); err != nil {
			return nil, err
		}
	}
	for _, r := range image.Records {
		// A record that the shard refused is refused here alike.
		if _, later := caversion.Later(state.Apply(r)); later {
			return nil, cakind.New(cakind.KindInvalid, "shard %s has a record of a later format", image.Shard)
		}
	}
	return state, nil
}
