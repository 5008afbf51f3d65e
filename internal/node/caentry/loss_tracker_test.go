package caentry

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

const (
	// logWriteBound is the guaranteed time until an accepted job is in the log.
	logWriteBound = 250 * time.Millisecond
	// logCatchUpTime is the time after a log outage in which entries write
	// their buffered records.
	logCatchUpTime = 5 * time.Second
)

// lossTracker determines which accepted jobs may be lost. A job survives the
// loss of one entry, and of two entries once it is in the log.
type lossTracker struct {
	// lastOutage is the last time at which an entry could not reach the log.
	lastOutage map[string]time.Time
	// ledSince is the time since which an entry leads a shard.
	ledSince map[leadership]time.Time
	// highestView is the highest view number of a shard.
	highestView map[cawork.ShardID]int64
	// loggedUntil is the acceptance time up to which the jobs of a shard are in
	// the log.
	loggedUntil map[cawork.ShardID]time.Time
	// copyLosses holds, by shard, the losses of all its copies in entries.
	copyLosses map[cawork.ShardID][]copyLoss
}

// copyLoss is the loss of all copies of a shard in entries. Jobs accepted up to
// loggedUntil were in the log.
type copyLoss struct{ loggedUntil, at time.Time }

type leadership struct {
	entry string
	shard cawork.ShardID
}

func newLossTracker() lossTracker {
	return lossTracker{
		lastOutage: make(map[string]time.Time), ledSince: make(map[leadership]time.Time), highestView: make(map[cawork.ShardID]int64),
		loggedUntil: make(map[cawork.ShardID]time.Time), copyLosses: make(map[cawork.ShardID][]copyLoss),
	}
}

// trackCopies updates which entries lead which shards and up to when their jobs
// are in the log.
func (w *world) trackCopies() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	ledSince := make(map[leadership]time.Time)
	for id, e := range w.entries {
		if w.network.isPaused(id) || w.network.isCut(id, endpointLog) || w.network.isCut(endpointLog, id) || w.isLogFailing.Load() {
			w.losses.lastOutage[id] = now
		}
		for _, s := range e.entry.shardStatuses() {
			w.losses.highestView[s.Shard] = max(w.losses.highestView[s.Shard], s.View)
			if !s.Leads {
				continue
			}
			l := leadership{entry: id, shard: s.Shard}
			ledSince[l] = now
			if since, ok := w.losses.ledSince[l]; ok {
				ledSince[l] = since
			}
			logReachable := w.losses.lastOutage[id].IsZero() || now.Sub(w.losses.lastOutage[id]) >= logCatchUpTime
			if logReachable && s.View == w.losses.highestView[s.Shard] && now.Sub(ledSince[l]) > logWriteBound {
				w.losses.loggedUntil[s.Shard] = now.Add(-logWriteBound)
			}
		}
	}
	w.losses.ledSince = ledSince
}

// recordLosses records the shards that have no copy left once the entry has
// stopped.
func (w *world) recordLosses(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	hasCopy := make(map[cawork.ShardID]bool)
	for _, s := range w.entries[id].entry.shardStatuses() {
		hasCopy[s.Shard] = false
	}
	for other, e := range w.entries {
		if other == id {
			continue
		}
		for _, s := range e.entry.shardStatuses() {
			if _, ok := hasCopy[s.Shard]; ok && s.View >= w.losses.highestView[s.Shard] {
				hasCopy[s.Shard] = true
			}
		}
	}
	for shard, survives := range hasCopy {
		if !survives {
			w.losses.copyLosses[shard] = append(w.losses.copyLosses[shard], copyLoss{loggedUntil: w.losses.loggedUntil[shard], at: time.Now()})
		}
	}
}

// isLossAllowed reports whether the durability guarantee allows the loss of an
// accepted job.
func (w *world) isLossAllowed(s submission) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.losses.copyLosses[shardOf(s.id)], func(l copyLoss) bool {
		return s.acceptedAt.After(l.loggedUntil) && !s.acceptedAt.After(l.at)
	})
}

// describeLosses returns the copy losses of the shard of a job as text.
func (w *world) describeLosses(id cawork.JobID) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var lines []string
	for _, l := range w.losses.copyLosses[shardOf(id)] {
		lines = append(lines, fmt.Sprintf("all copies lost at %v, jobs accepted up to %v are in the log", l.at.Format(time.TimeOnly), l.loggedUntil.Format(time.StampMilli)))
	}
	return strings.Join(lines, "; ")
}

func shardOf(id cawork.JobID) cawork.ShardID {
	shard, _, _ := strings.Cut(string(id), ".")
	return cawork.ShardID(shard)
}
