package caarchive

import (
	"maps"
	"slices"
	"sync"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// anyShard stands for all shards in the log. It is used when a payload of a later
// format cannot be decoded to find out which shards it concerns.
const anyShard cawork.ShardID = "*"

var errUnreadableEntry = &caversion.UnsupportedFormatError{What: "log entry", Format: caversion.FormatNewest + 1, Reads: caversion.FormatNewest}

// unreadableShards holds the shards that only entries of a later version can
// rebuild.
type unreadableShards struct {
	mu     sync.Mutex
	shards map[cawork.ShardID]struct{}
	// warned holds the shards for which a warning was logged.
	warned map[cawork.ShardID]struct{}
}

func (l *unreadableShards) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.shards)
}

// add adds a shard and reports whether it is new, also across resets.
func (l *unreadableShards) add(s cawork.ShardID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shards == nil {
		l.shards, l.warned = make(map[cawork.ShardID]struct{}), make(map[cawork.ShardID]struct{})
	}
	l.shards[s] = struct{}{}
	_, known := l.warned[s]
	l.warned[s] = struct{}{}
	return !known
}

// drop removes the shards that another entry has taken over.
func (l *unreadableShards) drop(isTaken func(cawork.ShardID) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.shards, func(s cawork.ShardID, _ struct{}) bool { return isTaken(s) })
}

func (l *unreadableShards) all() []cawork.ShardID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.shards))
}

// recordUnreadable records that a shard could not be rebuilt because of data in a
// later format. An empty id stands for all shards. It ignores other errors.
func (p *Archiver) recordUnreadable(s cawork.ShardID, err error) {
	later, ok := caversion.AsUnsupportedFormat(err)
	if !ok {
		return
	}
	if s == "" {
		s = anyShard
	}
	if p.unreadable.add(s) {
		caevent.Warn(p.Logger, caevent.RecordLater).Str("topic", topic).Str("shard", string(s)).
			Int("format", int(later.Format)).Err(err).Send()
	}
}

// UnreadableShards returns the shards without a leader that this entry cannot
// rebuild because of data in a later format. "*" means that it may be any shard.
func (p *Archiver) UnreadableShards() []cawork.ShardID {
	p.unreadable.drop(p.isLed)
	return p.unreadable.all()
}

func (p *Archiver) isLed(s cawork.ShardID) bool {
	_, led := p.Directory.Leader(s)
	return led
}
