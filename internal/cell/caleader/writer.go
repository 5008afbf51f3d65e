package caleader

import (
	"bytes"
	"context"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
)

const (
	// appendTimeout bounds one call that appends to the log.
	appendTimeout = 900 * time.Millisecond
	// appendRetry is the wait before an append is repeated.
	appendRetry = 60 * time.Millisecond
	// batchBytes bounds the bytes of one append.
	batchBytes = 1 << 20
)

// writer appends batches to the log of a cell, in order, each exactly once.
type writer struct {
	log   Log
	claim Claim
	end   int64
	// pause waits between repetitions.
	pause Pause
	// tried is told of each try, with its error. It may be nil.
	tried func(err error)
}

// append adds the entries behind a record of the claim. It repeats the call
// until the outcome is known. KindFenced means that another claim stands.
func (w *writer) append(ctx context.Context, entries []Entry) error {
	for {
		part, rest := splitEntries(entries)
		if err := w.appendPart(ctx, part); err != nil {
			return err
		}
		w.claim.Batch++
		if len(rest) == 0 {
			return nil
		}
		entries = rest
	}
}

// splitEntries cuts the entries so that the first part fits into one append.
func splitEntries(entries []Entry) (part, rest []Entry) {
	size := 0
	for i, e := range entries {
		size += len(e.Key) + len(e.Value)
		if size > batchBytes && i > 0 {
			return entries[:i], entries[i:]
		}
	}
	return entries, nil
}

func (w *writer) appendPart(ctx context.Context, entries []Entry) error {
	stamp, err := w.claim.entry()
	if err != nil {
		return err
	}
	all := append([]Entry{stamp}, entries...)
	for {
		end, err := w.try(ctx, all)
		if err == nil {
			w.end = end
			return nil
		}
		if ctx.Err() != nil {
			return cakind.Wrap(cakind.KindUnknown, err, "append at %d", w.end)
		}
		if cakind.Of(err) == cakind.KindConflict {
			return w.resolve(ctx, stamp)
		}
		if err := w.pause(ctx, appendRetry); err != nil {
			return cakind.Wrap(cakind.KindUnknown, err, "append at %d", w.end)
		}
	}
}

func (w *writer) try(ctx context.Context, all []Entry) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	end, err := w.log.Append(ctx, w.end, all)
	if w.tried != nil {
		w.tried(err)
	}
	return end, err
}

// resolve finds out whether an earlier try of the same append took effect: if
// so, its claim is the newest one and the log ends with the batch.
func (w *writer) resolve(ctx context.Context, stamp Entry) error {
	for {
		newest, end, err := w.newestClaim(ctx)
		switch {
		case err == nil && bytes.Equal(newest.Value, stamp.Value):
			w.end = end
			return nil
		case err == nil:
			return cakind.New(cakind.KindFenced, "another claim stands behind offset %d of the log", w.end)
		case ctx.Err() != nil:
			return cakind.Wrap(cakind.KindUnknown, ctx.Err(), "append at %d", w.end)
		}
		if err := w.pause(ctx, appendRetry); err != nil {
			return cakind.Wrap(cakind.KindUnknown, err, "append at %d", w.end)
		}
	}
}

func (w *writer) newestClaim(ctx context.Context) (Entry, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	return newestClaim(ctx, w.log)
}

// newestClaim returns the record of the claim that stands and the end of the
// log. The entry is zero when nobody ever claimed the cell.
func newestClaim(ctx context.Context, log Log) (Entry, int64, error) {
	page, err := log.Newest(ctx, beforeLayoutKey)
	if err != nil {
		return Entry{}, 0, err
	}
	for _, e := range page.Entries {
		if e.Key == claimKey {
			return e, page.End, nil
		}
	}
	return Entry{}, page.End, nil
}
