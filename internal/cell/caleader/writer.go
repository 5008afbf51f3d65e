package caleader

import (
	"bytes"
	"context"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/calatency"
)

const (
	// A call of the log is repeated if it is not answered within minAppendTimeout, or longer if the
	// last answers took long, up to maxAppendTimeout. Its answer counts for appendLifetime.
	minAppendTimeout = 900 * time.Millisecond
	maxAppendTimeout = 2 * time.Second
	appendLifetime   = 5 * time.Second
	// appendRetry is the delay before an append is retried.
	appendRetry = 60 * time.Millisecond
	// maxAppendBytes bounds the keys and values of one append.
	maxAppendBytes = 1 << 20
)

// errAppendOverdue is the error of an append that is not answered yet.
var errAppendOverdue = cakind.New(cakind.KindUnknown, "the store has not answered an append yet")

// writer appends records to the log of a shard, in order and each exactly once.
type writer struct {
	log   Log
	claim Claim
	end   int64
	// latency is that of the calls of the log.
	latency *calatency.Peak
	// pause waits between attempts.
	pause Pause
	// onAttempt is called with the error of each attempt, and with errAppendOverdue when one is
	// overdue.
	onAttempt func(err error)
	// recordBytes is how large an entry may be, with one byte for the length of its key. Zero means no
	// bound.
	recordBytes int
}

// newWriter returns a writer that appends records of the claim after the offset end.
func newWriter(log Log, c Claim, end int64, pause Pause) writer {
	latency := calatency.NewPeak(calatency.Bounds{Min: minAppendTimeout, Max: maxAppendTimeout})
	latency.Observe(c.AppendTook)
	return writer{log: log, claim: c, end: end, pause: pause, latency: latency, onAttempt: func(error) {}}
}

// append appends the entries, in chunks if they are large, each after a record of
// the claim. It retries until the outcome is known. It returns the entries that the store
// refuses, however often it gets them: only these are not appended. KindFenced means that
// another leader has claimed the shard.
func (w *writer) append(ctx context.Context, entries []LogEntry) (refused []LogEntry, err error) {
	entries, refused = w.sortOutTooLarge(entries)
	for {
		chunk, rest := splitEntries(entries)
		parts, err := w.appendStorable(ctx, chunk)
		if err != nil {
			return nil, err
		}
		refused = append(refused, parts...)
		if len(rest) == 0 {
			return refused, nil
		}
		entries = rest
	}
}

// sortOutTooLarge separates the entries that are larger than the bound from the others.
func (w *writer) sortOutTooLarge(entries []LogEntry) (storable, refused []LogEntry) {
	for _, e := range entries {
		if w.recordBytes > 0 && 1+len(e.Key)+len(e.Value) > w.recordBytes {
			refused = append(refused, e)
			continue
		}
		storable = append(storable, e)
	}
	return storable, refused
}

// appendStorable appends one chunk. If the store refuses it, appendStorable halves it to find the entries
// that are to blame, and returns these. Each attempt has a claim of its own, so that a late one is
// never taken for another.
func (w *writer) appendStorable(ctx context.Context, chunk []LogEntry) (refused []LogEntry, err error) {
	err = w.appendChunk(ctx, chunk)
	if err == nil || cakind.Of(err) == cakind.KindUnstorable {
		w.claim.Seq++
	}
	switch {
	case cakind.Of(err) != cakind.KindUnstorable || err == nil:
		return nil, err
	case len(chunk) == 1:
		return w.appendSuspect(ctx, chunk)
	}
	for _, half := range [][]LogEntry{chunk[:len(chunk)/2], chunk[len(chunk)/2:]} {
		parts, err := w.appendStorable(ctx, half)
		if err != nil {
			return nil, err
		}
		refused = append(refused, parts...)
	}
	return refused, nil
}

// appendSuspect appends a refused entry again after the claim alone was appended. The entry is to blame
// if it is refused then too: the store takes other records.
func (w *writer) appendSuspect(ctx context.Context, chunk []LogEntry) (refused []LogEntry, err error) {
	for _, entries := range [][]LogEntry{nil, chunk} {
		err = w.appendChunk(ctx, entries)
		if err != nil && cakind.Of(err) != cakind.KindUnstorable {
			return nil, err
		}
		w.claim.Seq++
	}
	if err != nil {
		return chunk, nil
	}
	return nil, nil
}

// splitEntries returns the first entries, as many as fit into one append, and the
// rest.
func splitEntries(entries []LogEntry) (chunk, rest []LogEntry) {
	size := 0
	for i, e := range entries {
		size += len(e.Key) + len(e.Value)
		if size > maxAppendBytes && i > 0 {
			return entries[:i], entries[i:]
		}
	}
	return entries, nil
}

// appendChunk appends entries after a record of the claim. KindUnstorable means that the store refuses the
// entries and that none of them is appended. It does not give up on the claim alone.
func (w *writer) appendChunk(ctx context.Context, entries []LogEntry) error {
	claimEntry, err := w.claim.logEntry()
	if err != nil {
		return err
	}
	all := append([]LogEntry{claimEntry}, entries...)
	for {
		end, err := w.attempt(ctx, all)
		if err == nil {
			w.end = end
			return nil
		}
		if ctx.Err() != nil {
			return cakind.Wrap(cakind.KindUnknown, err, "append at %d", w.end)
		}
		if cakind.Of(err) == cakind.KindConflict {
			return w.resolveConflict(ctx, claimEntry)
		}
		if cakind.Of(err) == cakind.KindUnstorable && len(entries) > 0 {
			return err
		}
		if err := w.pause(ctx, appendRetry); err != nil {
			return cakind.Wrap(cakind.KindUnknown, err, "append at %d", w.end)
		}
	}
}

func (w *writer) attempt(ctx context.Context, all []LogEntry) (int64, error) {
	at := w.end
	onOverdue := func() { w.onAttempt(errAppendOverdue) }
	end, err := calatency.Hedge(ctx, w.latency, appendLifetime, onOverdue, func(ctx context.Context) (int64, error) {
		return w.log.Append(ctx, at, all)
	})
	w.onAttempt(err)
	return end, err
}

// resolveConflict determines whether an earlier attempt of the same append
// succeeded: if so, its claim is the newest one and the log ends with its chunk.
func (w *writer) resolveConflict(ctx context.Context, claimEntry LogEntry) error {
	for {
		newest, end, err := w.newestClaim(ctx)
		switch {
		case err == nil && bytes.Equal(newest.Value, claimEntry.Value):
			w.end = end
			return nil
		case err == nil:
			return cakind.New(cakind.KindFenced, "another leader has claimed the log after offset %d", w.end)
		case ctx.Err() != nil:
			return cakind.Wrap(cakind.KindUnknown, ctx.Err(), "append at %d", w.end)
		}
		if err := w.pause(ctx, appendRetry); err != nil {
			return cakind.Wrap(cakind.KindUnknown, err, "append at %d", w.end)
		}
	}
}

func (w *writer) newestClaim(ctx context.Context) (newest LogEntry, end int64, err error) {
	page, err := calatency.Hedge(ctx, w.latency, appendLifetime, func() {}, func(ctx context.Context) (Page, error) {
		return w.log.Newest(ctx, beforeLayoutKey)
	})
	if err != nil {
		return LogEntry{}, 0, err
	}
	for _, e := range page.Entries {
		if e.Key == claimKey {
			return e, page.End, nil
		}
	}
	return LogEntry{}, page.End, nil
}
