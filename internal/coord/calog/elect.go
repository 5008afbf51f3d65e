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
	var encoder Encoder
	payload, err := encoder.Encode([]Entry{entry})
	if err != nil {
		return err
	}
	_, err = l.Append(ctx, topic, [][]byte{payload})
	return err
}

// Lead is what the log tells of who leads a shard.
type Lead struct {
	// View is the highest view number that was seen.
	View int64
	// ViewBody is the body of the last entry of type EntryView or EntryElected.
	ViewBody []byte
	// Elected reports that ViewBody is of an election that nothing of the new
	// lead has followed yet. FormerBody is the body that it replaced.
	Elected    bool
	FormerBody []byte
}

// follow takes the next entry of the shard.
func (l *Lead) follow(e Entry) {
	switch {
	case e.Type == EntryElected:
		l.elect(e)
		return
	case e.Type == EntryView && e.View >= l.View:
		l.ViewBody, l.FormerBody, l.Elected = e.Body, nil, false
	}
	l.View = max(l.View, e.View)
}

// elect takes the first proposal for the successor of a view.
func (l *Lead) elect(e Entry) {
	if e.Index < l.View {
		return
	}
	if !l.Elected {
		l.FormerBody = l.ViewBody
	}
	l.View, l.ViewBody, l.Elected = e.View, e.Body, true
}
