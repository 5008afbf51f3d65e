// Package calog writes the records of shards to the platform's log in batches
// and reads them back. The log is an asynchronous copy, from which a shard is
// restored if its primary and its backup are both lost.
package calog

import "celeryarch.example/celeryarch/internal/base/cawork"

//go:generate go tool enumer -type=EntryType -trimprefix=Entry -transform=snake -text -output=entrytype_names.go

// EntryType is the type of an entry's content.
type EntryType int

// The types of entries.
const (
	// EntryRecord holds one record of a shard.
	EntryRecord EntryType = iota
	// EntrySnapshot holds the state of a shard after the record at Index.
	EntrySnapshot
	// EntryView holds the view that is in force for the shard.
	EntryView
	// EntryRetired marks the shard as empty and without a leader.
	EntryRetired
	// EntryElected holds a proposed successor of the view with number Index. It
	// has no effect if that view already has a successor.
	EntryElected
)

// EntryID identifies an entry. A writer increments Sequence by one for each
// entry.
type EntryID struct {
	Writer   string
	Sequence int64
}

// Entry is one entry of a shard in the log. Index is the index of a record, and
// of the last record in a snapshot. For an election it is the view to succeed.
type Entry struct {
	ID    EntryID
	Type  EntryType
	Shard cawork.ShardID
	View  int64
	Index int64
	Body  []byte
}
