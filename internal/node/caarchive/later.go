package caarchive

import (
	"maps"
	"slices"
	"sync"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// wholeLog stands for all shards that the log may tell of, when a payload of a
// later format hides which these are.
const wholeLog cawork.ShardID = "*"

var errLaterEntry = &caversion.LaterError{What: "log entry", Format: caversion.FormatNewest + 1, Reads: caversion.FormatNewest}

// laterShards holds the shards that are left to entries which can read them.
type laterShards struct {
	mu     sync.Mutex
	shards map[cawork.ShardID]struct{}
	// logged holds the shards that were told in the log of this entry.
	logged map[cawork.ShardID]struct{}
}

func (l *laterShards) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.shards)
}

// add reports whether the shard was never added before.
func (l *laterShards) add(s cawork.ShardID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shards == nil {
		l.shards, l.logged = make(map[cawork.ShardID]struct{}), make(map[cawork.ShardID]struct{})
	}
	l.shards[s] = struct{}{}
	_, known := l.logged[s]
	l.logged[s] = struct{}{}
	return !known
}

// drop forgets the shards that another entry has taken.
func (l *laterShards) drop(taken func(cawork.ShardID) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.shards, func(s cawork.ShardID, _ struct{}) bool { return taken(s) })
}

func (l *laterShards) all() []cawork.ShardID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.shards))
}

// noteLater notes a shard, empty for all, that was not taken because the error
// is of a format that only later programs read. Other errors are not noted.
func (p *Part) noteLater(s cawork.ShardID, err error) {
	later, ok := caversion.Later(err)
	if !ok {
		return
	}
	if s == "" {
		s = wholeLog
	}
	if p.later.add(s) {
		caevent.Warn(p.Logger, caevent.RecordLater).Str("topic", topic).Str("shard", string(s)).
			Int("format", int(later.Format)).Err(err).Send()
	}
}

// Unreadable returns the shards that this entry would rebuild and cannot read,
// "*" when that may be any. Those that another entry has taken are left out.
func (p *Part) Unreadable() []cawork.ShardID {
	p.later.drop(p.isLed)
	return p.later.all()
}

func (p *Part) isLed(s cawork.ShardID) bool {
	_, led := p.Directory.Leader(s)
	return led
}
