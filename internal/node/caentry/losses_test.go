package caentry

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

const (
	// writeBound is the promised time until the log has an accepted job.
	writeBound = 250 * time.Millisecond
	// catchUp is the time after an outage of the log in which entries write
	// what they have kept back.
	catchUp = 5 * time.Second
)

// losses tells which jobs may be lost by the promise: a job survives one loss
// of an entry, and two if the log had it.
type losses struct {
	// outage is the last time at which the log was out of reach of an entry.
	outage map[string]time.Time
	// led holds since when an entry leads a shard.
	led map[lead]time.Time
	// view is the highest view of a shard.
	view map[cawork.ShardID]int64
	// written is the time up to which the log has the jobs of a shard.
	written map[cawork.ShardID]time.Time
	// lost holds the times at which shards were left without a copy in an entry.
	lost map[cawork.ShardID][]loss
}

// loss is the loss of all copies of a shard in entries. The log had what the
// shard accepted up to written.
type loss struct{ written, at time.Time }

type lead struct {
	entry string
	shard cawork.ShardID
}

func newLosses() losses {
	return losses{
		outage: make(map[string]time.Time), led: make(map[lead]time.Time), view: make(map[cawork.ShardID]int64),
		written: make(map[cawork.ShardID]time.Time), lost: make(map[cawork.ShardID][]loss),
	}
}

// watchCopies follows which entries hold which shards, and what the log has.
func (w *world) watchCopies() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	led := make(map[lead]time.Time)
	for id, e := range w.entries {
		if w.network.isHeld(id) || w.network.isCut(id, placeLog) || w.network.isCut(placeLog, id) || w.logFails.Load() {
			w.losses.outage[id] = now
		}
		for _, s := range e.entry.shardStatuses() {
			w.losses.view[s.Shard] = max(w.losses.view[s.Shard], s.View)
			if !s.Leads {
				continue
			}
			l := lead{entry: id, shard: s.Shard}
			led[l] = now
			if since, ok := w.losses.led[l]; ok {
				led[l] = since
			}
			reached := w.losses.outage[id].IsZero() || now.Sub(w.losses.outage[id]) >= catchUp
			if reached && s.View == w.losses.view[s.Shard] && now.Sub(led[l]) > writeBound {
				w.losses.written[s.Shard] = now.Add(-writeBound)
			}
		}
	}
	w.losses.led = led
}

// noteLosses notes the shards that have no copy left once an entry has ended.
func (w *world) noteLosses(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	held := make(map[cawork.ShardID]bool)
	for _, s := range w.entries[id].entry.shardStatuses() {
		held[s.Shard] = false
	}
	for other, e := range w.entries {
		if other == id {
			continue
		}
		for _, s := range e.entry.shardStatuses() {
			if _, ok := held[s.Shard]; ok && s.View >= w.losses.view[s.Shard] {
				held[s.Shard] = true
			}
		}
	}
	for shard, copied := range held {
		if !copied {
			w.losses.lost[shard] = append(w.losses.lost[shard], loss{written: w.losses.written[shard], at: time.Now()})
		}
	}
}

// mayBeLost reports whether the promise lets an accepted job be lost.
func (w *world) mayBeLost(s submission) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.losses.lost[shardOf(s.id)], func(l loss) bool {
		return s.at.After(l.written) && !s.at.After(l.at)
	})
}

// lossOf tells what is known of the copies of the shard of a job.
func (w *world) lossOf(id cawork.JobID) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var text []string
	for _, l := range w.losses.lost[shardOf(id)] {
		text = append(text, fmt.Sprintf("lost at %v, in the log up to %v", l.at.Format(time.TimeOnly), l.written.Format(time.StampMilli)))
	}
	return strings.Join(text, "; ")
}

func shardOf(id cawork.JobID) cawork.ShardID {
	shard, _, _ := strings.Cut(string(id), ".")
	return cawork.ShardID(shard)
}
