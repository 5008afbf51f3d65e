// Package calog writes the records of shards to the platform's log in batches
// and reads them back. Nothing waits for it: the log is the last copy, for
// when primary and backup of a shard are both lost.
package calog

import "celeryarch.example/celeryarch/internal/base/cawork"

//go:generate go tool enumer -type=EntryType -trimprefix=Entry -transform=snake -text -output=entrytype_names.go

// EntryType tells what an entry holds.
type EntryType int

// The types of entries.
const (
	// EntryRecord holds one record of a shard.
	EntryRecord EntryType = iota
	// EntrySnapshot holds the state of a shard after the record of the index.
	EntrySnapshot
	// EntryView holds the view that the shard settled on.
	EntryView
	// EntryRetired notes that the shard is empty and led by nobody.
	EntryRetired
	// EntryElected holds the view that follows the view of the index, unless
	// another one has followed before.
	EntryElected
)

// EntryID identifies an entry. Sequences of a writer grow by one.
type EntryID struct {
	Writer   string
	Sequence int64
}

// Entry is one entry of a shard in the log.
type Entry struct {
	ID    EntryID
	Type  EntryType
	Shard cawork.ShardID
	View  int64
	Index int64
	Body  []byte
}
