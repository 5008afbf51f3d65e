package calog

import "celeryarch.example/celeryarch/internal/base/cawork"

// Image is the content of one shard according to the log: a snapshot of its
// state and the records after it.
type Image struct {
	Shard cawork.ShardID
	Lead
	// Base is the index of the last record that State includes.
	Base    int64
	State   []byte
	Records [][]byte
	Retired bool
	// Later reports that the log has an entry of the shard whose type only newer
	// releases support, so that the image may be wrong.
	Later bool
}

// Last returns the index of the last record in the image.
func (i *Image) Last() int64 { return i.Base + int64(len(i.Records)) }

// Replay replays the entries of the log, in order, into images of the shards. The
// second copy of an entry that was written twice has no effect, because records
// and snapshots are matched by index and views by number.
type Replay struct {
	images  map[cawork.ShardID]*Image
	fences  map[cawork.ShardID]*writerFence
	decoder batchDecoder
}

// NewReplay returns a Replay without images.
func NewReplay() *Replay {
	return &Replay{images: map[cawork.ShardID]*Image{}, fences: map[cawork.ShardID]*writerFence{}}
}

// add adds an image and the writer fence from which its replay continues.
func (r *Replay) add(i *Image, fence writerFence) {
	r.images[i.Shard], r.fences[i.Shard] = i, &fence
}

// Apply replays the next payload. For a payload that this package did not write
// it returns an error of KindInvalid.
func (r *Replay) Apply(payload []byte) error { return r.decoder.decode(payload, r.apply) }

func (r *Replay) apply(e Entry) {
	i, ok := r.images[e.Shard]
	if !ok {
		i = &Image{Shard: e.Shard}
		r.add(i, writerFence{})
	}
	i.update(e)
	fence := r.fences[e.Shard]
	accepted := fence.accept(e)
	switch e.Type {
	case EntryRecord:
		if accepted && e.Index == i.Last()+1 {
			i.Records = append(i.Records, e.Body)
		}
	case EntryView, EntryElected:
	case EntrySnapshot:
		if accepted {
			i.rebase(e, fence.takeInitial())
		}
	case EntryRetired:
		i.Retired = true
	default:
		i.Later = true
	}
}

// rebase makes a snapshot the base of the image and drops the records that it
// includes. It ignores a snapshot that is not newer than the base, unless the
// image has no state yet. The initial snapshot of a new leader always replaces
// the state and all records.
func (i *Image) rebase(e Entry, initial bool) {
	if initial {
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

// Image returns the image of a shard, and false if there is none.
func (r *Replay) Image(s cawork.ShardID) (Image, bool) {
	i, ok := r.images[s]
	if !ok {
		return Image{}, false
	}
	return *i, true
}
