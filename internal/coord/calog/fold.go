package calog

import (
	"context"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// Image is what the log tells of one shard: a state and the records after it.
type Image struct {
	Shard cawork.ShardID
	// View is the highest view number that was seen.
	View int64
	// ViewBody is the body of the last entry of type EntryView.
	ViewBody []byte
	// Elected reports that ViewBody is of an election that nothing of the new
	// lead has followed yet. FormerBody is the body that it replaced.
	Elected    bool
	FormerBody []byte
	// Base is the index of the last record that State includes.
	Base    int64
	State   []byte
	Records [][]byte
	Retired bool
}

// Last returns the index of the last record of the image.
func (i *Image) Last() int64 { return i.Base + int64(len(i.Records)) }

// Fold collects the images of shards from the entries of the log, read in
// order. Copies of an entry that was written twice are skipped.
type Fold struct {
	images map[cawork.ShardID]*Image
	seen   map[string]int64
}

// NewFold returns an empty fold.
func NewFold() *Fold {
	return &Fold{images: map[cawork.ShardID]*Image{}, seen: map[string]int64{}}
}

// Apply takes the next payload. Payloads that are not entries are an error of
// KindInvalid and change nothing.
func (f *Fold) Apply(payload []byte) error {
	e, err := decodeEntry(payload)
	if err != nil {
		return err
	}
	if e.ID.Sequence <= f.seen[e.ID.Writer] {
		return nil
	}
	f.seen[e.ID.Writer] = e.ID.Sequence
	f.apply(e)
	return nil
}

func (f *Fold) apply(e Entry) {
	i, ok := f.images[e.Shard]
	if !ok {
		i = &Image{Shard: e.Shard}
		f.images[e.Shard] = i
	}
	if e.Type == EntryElected {
		i.elect(e)
		return
	}
	i.View = max(i.View, e.View)
	switch e.Type {
	case EntryRecord:
		if e.Index == i.Last()+1 {
			i.Records = append(i.Records, e.Body)
		}
	case EntryView:
		if e.View >= i.View {
			i.ViewBody, i.FormerBody, i.Elected = e.Body, nil, false
		}
	case EntrySnapshot:
		i.rebase(e)
	case EntryRetired:
		i.Retired = true
	case EntryElected:
	}
}

// elect takes the first proposal for the successor of a view.
func (i *Image) elect(e Entry) {
	if e.Index < i.View {
		return
	}
	if !i.Elected {
		i.FormerBody = i.ViewBody
	}
	i.View, i.ViewBody, i.Elected = e.View, e.Body, true
}

// rebase takes a snapshot unless the image is already ahead of it.
func (i *Image) rebase(e Entry) {
	if e.Index < i.Base || i.State != nil && e.Index == i.Base {
		return
	}
	if e.Index < i.Last() {
		i.Records = i.Records[e.Index-i.Base:]
	} else {
		i.Records = nil
	}
	i.Base = e.Index
	i.State = e.Body
}

// Image returns what is known of a shard.
func (f *Fold) Image(s cawork.ShardID) (Image, bool) {
	i, ok := f.images[s]
	if !ok {
		return Image{}, false
	}
	return *i, true
}

// ReadAll folds all that the log still keeps of a topic, up to its end.
// Payloads that are not entries are skipped.
func ReadAll(ctx context.Context, l caplatform.Log, topic string) (*Fold, error) {
	f := NewFold()
	var from caplatform.Offset
	for {
		page, err := l.Read(ctx, topic, from, readPage)
		if err != nil {
			return nil, err
		}
		for _, r := range page.Records {
			_ = f.Apply(r.Payload)
			from = r.Offset + 1
		}
		if len(page.Records) == 0 || from >= page.Next {
			return f, nil
		}
	}
}
