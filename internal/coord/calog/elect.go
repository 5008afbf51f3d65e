package calog

import (
	"context"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// Election proposes the view that follows the view Base of a shard. The first
// proposal in the log for a view that nothing has followed yet takes effect;
// the image of the shard then names it.
type Election struct {
	ID    EntryID
	Shard cawork.ShardID
	Base  int64
	View  int64
	Body  []byte
}

// Elect appends the proposal. Whether it took effect is for a read of the log to
// tell, also when the answer is lost.
func Elect(ctx context.Context, l caplatform.Log, topic string, e Election) error {
	entry := Entry{ID: e.ID, Type: EntryElected, Shard: e.Shard, View: e.View, Index: e.Base, Body: e.Body}
	payload, err := entry.encode()
	if err != nil {
		return err
	}
	_, err = l.Append(ctx, topic, [][]byte{payload})
	return err
}
