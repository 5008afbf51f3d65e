// Package carecord follows a log that keeps the newest record of each key.
package carecord

import (
	"context"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/cell/caleader"
)

// Log is the part of a caleader.Log that a Follower reads.
type Log interface {
	// Read fails with KindNotFound if the records from the offset on are deleted.
	Read(ctx context.Context, from int64, wait time.Duration) (entries []caleader.LogEntry, end int64, err error)
	Newest(ctx context.Context, after string) (caleader.Page, error)
}

// Follower reads a log incrementally: first a snapshot with the newest record of
// each key, then the records appended since.
type Follower struct {
	log     Log
	next    int64
	started bool
}

// NewFollower returns a follower that has read nothing.
func NewFollower(log Log) *Follower { return &Follower{log: log} }

// Position returns the offset up to which the follower has read the log.
func (f *Follower) Position() int64 { return f.next }

// Poll returns the records up to the end of the log, and whether they are a
// snapshot of all keys rather than changes. It waits for a change up to the given
// time. The changes after a snapshot may be older than its records, and one read
// may return only some of them; Poll reads all of them, since some alone would
// restore outdated values.
func (f *Follower) Poll(ctx context.Context, wait time.Duration) (entries []caleader.LogEntry, snapshot bool, err error) {
	if !f.started {
		entries, end, err := f.readSnapshot(ctx)
		if err != nil {
			return nil, false, err
		}
		f.next = end
		f.started = true
		return entries, true, nil
	}
	entries, next, err := f.readToEnd(ctx, wait)
	if cakind.Of(err) == cakind.KindNotFound {
		f.started = false
		return f.Poll(ctx, wait)
	}
	if err != nil {
		return nil, false, err
	}
	f.next = next
	return entries, false, nil
}

// readToEnd returns the records from the next offset to the end of the log, and
// the offset after them.
func (f *Follower) readToEnd(ctx context.Context, wait time.Duration) (entries []caleader.LogEntry, next int64, err error) {
	for next = f.next; ; wait = 0 {
		batch, end, err := f.log.Read(ctx, next, wait)
		if err != nil {
			return nil, 0, err
		}
		entries = append(entries, batch...)
		next += int64(len(batch))
		if next >= end || len(batch) == 0 {
			return entries, next, nil
		}
	}
}

// readSnapshot returns the newest records of all keys, and the end of the log at
// the first page. Records from that offset on must be read as well: those appended
// while the later pages were read may be missing.
func (f *Follower) readSnapshot(ctx context.Context) ([]caleader.LogEntry, int64, error) {
	var entries []caleader.LogEntry
	end := int64(-1)
	after := ""
	for {
		page, err := f.log.Newest(ctx, after)
		if err != nil {
			return nil, 0, err
		}
		if end < 0 {
			end = page.End
		}
		entries = append(entries, page.Entries...)
		if page.Next == "" {
			return entries, end, nil
		}
		after = page.Next
	}
}
