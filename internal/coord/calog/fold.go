package calog

import "celeryarch.example/celeryarch/internal/base/cawork"

// Image is what the log tells of one shard: a state and the records after it.
type Image struct {
	Shard cawork.ShardID
	Lead
	// Base is the index of the last record that State includes.
	Base    int64
	State   []byte
	Records [][]byte
	Retired bool
	// Later reports that the log has an entry of a type that only later programs
	// know, so that the image may be wrong.
	Later bool
}

// Last returns the index of the last record of the image.
func (i *Image) Last() int64 { return i.Base + int64(len(i.Records)) }

// Fold collects the images of shards from the entries of the log, read in
// order. A copy of an entry that was written twice changes nothing, because
// records and snapshots are taken by index and views by number.
type Fold struct {
	images  map[cawork.ShardID]*Image
	lines   map[cawork.ShardID]*line
	decoder batchDecoder
}

// NewFold returns an empty fold.
func NewFold() *Fold {
	return &Fold{images: map[cawork.ShardID]*Image{}, lines: map[cawork.ShardID]*line{}}
}

// add begins an image and the line that it continues.
func (f *Fold) add(i *Image, l line) {
	f.images[i.Shard], f.lines[i.Shard] = i, &l
}

// Apply takes the next payload. A payload of others is an error of KindInvalid
// and changes nothing.
func (f *Fold) Apply(payload []byte) error { return f.decoder.decode(payload, f.apply) }

func (f *Fold) apply(e Entry) {
	i, ok := f.images[e.Shard]
	if !ok {
		i = &Image{Shard: e.Shard}
		f.add(i, line{})
	}
	i.follow(e)
	l := f.lines[e.Shard]
	continues := l.follow(e)
	switch e.Type {
	case EntryRecord:
		if continues && e.Index == i.Last()+1 {
			i.Records = append(i.Records, e.Body)
		}
	case EntryView, EntryElected:
	case EntrySnapshot:
		if continues {
			i.rebase(e, l.begins())
		}
	case EntryRetired:
		i.Retired = true
	default:
		i.Later = true
	}
}

// rebase takes a snapshot unless the image is already ahead of it. That with
// which a new lead begins is taken in any case.
func (i *Image) rebase(e Entry, begins bool) {
	if begins {
		i.Base, i.State, i.Records = e.Index, e.Body, nil
		return
	}
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
