package calog

import (
	"context"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// Election proposes View, with its encoded form Body, as the successor of view
// Base of a shard. The first proposal in the log takes effect, unless the shard
// already has a view after Base. The image of the shard then holds the proposed
// view.
type Election struct {
	ID    EntryID
	Shard cawork.ShardID
	Base  int64
	View  int64
	Body  []byte
}

// AppendElection appends the proposal. The caller must read the log to find out whether
// it took effect, even if AppendElection returns an error, because the answer to the
// append may have been lost.
func AppendElection(ctx context.Context, l caplatform.Log, topic string, e Election) error {
	entry := Entry{ID: e.ID, Type: EntryElected, Shard: e.Shard, View: e.View, Index: e.Base, Body: e.Body}
	var encoder Encoder
	payload, err := encoder.Encode([]Entry{entry})
	if err != nil {
		return err
	}
	_, err = l.Append(ctx, topic, [][]byte{payload})
	return err
}

// Lead is the leadership of a shard according to the log.
type Lead struct {
	// View is the highest view number in the log.
	View int64
	// ViewBody is the body of the last entry of type EntryView or EntryElected
	// that took effect.
	ViewBody []byte
	// Elected reports that ViewBody comes from an election and that the new
	// leader has not yet written its view. FormerBody is the body that the
	// election replaced.
	Elected    bool
	FormerBody []byte
}

// update processes the next entry of the shard.
func (l *Lead) update(e Entry) {
	switch {
	case e.Type == EntryElected:
		l.updateElected(e)
		return
	case e.Type == EntryView && e.View >= l.View:
		l.ViewBody, l.FormerBody, l.Elected = e.Body, nil, false
	}
	l.View = max(l.View, e.View)
}

// updateElected applies a proposal, unless its base view has been succeeded.
func (l *Lead) updateElected(e Entry) {
	if e.Index < l.View {
		return
	}
	if !l.Elected {
		l.FormerBody = l.ViewBody
	}
	l.View, l.ViewBody, l.Elected = e.View, e.Body, true
}
