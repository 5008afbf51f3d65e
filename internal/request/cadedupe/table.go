package cadedupe

import (
	"container/list"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Bounds limits what a table holds.
type Bounds struct {
	// Retention is how long a settled record is kept.
	Retention time.Duration
	// MaxOpen is how long a record may stay unsettled.
	MaxOpen time.Duration
	// MaxRecords bounds the records. A full table refuses new keys, because
	// an early eviction would break the stated retention.
	MaxRecords int
	// MaxBytes bounds the stored answers together. Beyond it the oldest
	// bodies are dropped; their outcomes stay.
	MaxBytes int
}

// DefaultBounds returns bounds that fit an entry of 32 MB.
func DefaultBounds() Bounds {
	return Bounds{
		Retention:  10 * time.Minute,
		MaxOpen:    15 * time.Minute,
		MaxRecords: 16384,
		MaxBytes:   4 << 20,
	}
}

// held is a record in a table.
type held struct {
	record  Record
	expires time.Time
	// pending is set while this entry waits for its backup to accept a claim.
	pending bool
	// stored is the place among the records whose body is stored.
	stored  *list.Element
	changed chan struct{}
}

// Table is the pure part of a keeper: the records that one entry holds. The
// caller serialises the calls.
type Table struct {
	bounds  Bounds
	records map[Key]*held
	bodies  *list.List
	bytes   int
}

// NewTable returns an empty table.
func NewTable(b Bounds) *Table {
	return &Table{bounds: b, records: map[Key]*held{}, bodies: list.New()}
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// Get returns the record of a key.
func (t *Table) Get(now time.Time, k Key) (Record, bool) {
	h, ok := t.records[k]
	if !ok {
		return Record{}, false
	}
	return t.outgoing(now, h), true
}

// Claim stores the record of a new claim, unless another one holds the key. It
// returns the record that is held afterwards; the claim succeeded, pending the
// backup, when it is the own one.
func (t *Table) Claim(now time.Time, r Record) (Record, error) {
	h, ok := t.records[r.Key]
	if ok && !h.record.claimable() {
		return t.outgoing(now, h), nil
	}
	if !ok && len(t.records) >= t.bounds.MaxRecords {
		return Record{}, cakind.New(cakind.KindOverloaded, "too many idempotency keys")
	}
	if ok && h.record.Digest == r.Digest {
		r.Generation = h.record.Generation + 1
	} else if ok {
		return t.outgoing(now, h), nil
	}
	h = t.put(now, r, t.bounds.MaxOpen)
	h.pending = true
	return t.outgoing(now, h), nil
}

// Confirm ends the pending state of a claim after the backup has accepted it.
// It reports false when the claim no longer holds the key.
func (t *Table) Confirm(k Key, c ClaimID) bool {
	h, ok := t.records[k]
	if !ok || h.record.Claim != c {
		return false
	}
	h.pending = false
	return true
}

// Withdraw removes a claim that the backup did not accept.
func (t *Table) Withdraw(k Key, c ClaimID) {
	h, ok := t.records[k]
	if ok && h.record.Claim == c && h.pending {
		t.remove(h)
	}
}

// Merge takes a record of another holder in and returns the one that is held
// afterwards. A claim that was accepted here is only replaced by a later
// generation; between two claims that both still wait for their backups the
// lower one wins, the same at both entries.
func (t *Table) Merge(now time.Time, r Record) Record {
	h, ok := t.records[r.Key]
	if !ok || t.replaces(r, h) {
		h = t.put(now, r, r.Remaining)
	}
	return t.outgoing(now, h)
}

func (t *Table) replaces(r Record, h *held) bool {
	if r.Claim == h.record.Claim || r.Generation != h.record.Generation {
		return r.newerThan(h.record)
	}
	return h.pending && r.Claim < h.record.Claim
}

// Adopt replaces a pending claim by the record that the backup holds.
func (t *Table) Adopt(now time.Time, r Record) {
	h, ok := t.records[r.Key]
	if ok && h.record.Claim != r.Claim && !h.pending {
		return
	}
	t.put(now, r, r.Remaining)
}

// Update replaces the record of a claim that is still open, and returns the
// record that is held afterwards.
func (t *Table) Update(now time.Time, k Key, c ClaimID, change func(Record) Record) (Record, error) {
	h, ok := t.records[k]
	if !ok || h.record.Claim != c || h.record.Settled() {
		return Record{}, cakind.New(cakind.KindFenced, "the claim of the idempotency key has ended")
	}
	r := change(h.record)
	keep := t.bounds.MaxOpen
	if r.Settled() {
		keep = t.bounds.Retention
	}
	return t.outgoing(now, t.put(now, r, keep)), nil
}

// Changed returns a channel that is closed at the next change of the record.
func (t *Table) Changed(k Key) <-chan struct{} {
	if h, ok := t.records[k]; ok {
		return h.changed
	}
	closed := make(chan struct{})
	close(closed)
	return closed
}

// Expire settles or forgets the records whose time is over.
func (t *Table) Expire(now time.Time) {
	for _, h := range t.records {
		if now.Before(h.expires) {
			continue
		}
		if h.record.Settled() {
			t.remove(h)
			continue
		}
		t.put(now, h.record.WithOutcome(cawork.OutcomeUnknown, StoredAnswer{}), t.bounds.Retention)
	}
}

// Forget removes the record of a key, which other entries hold.
func (t *Table) Forget(k Key) {
	if h, ok := t.records[k]; ok {
		t.remove(h)
	}
}

// Select returns the records that the filter accepts.
func (t *Table) Select(now time.Time, filter func(Record) bool) []Record {
	var all []Record
	for _, h := range t.records {
		if filter(h.record) {
			all = append(all, t.outgoing(now, h))
		}
	}
	return all
}

func (t *Table) put(now time.Time, r Record, keep time.Duration) *held {
	if old, ok := t.records[r.Key]; ok {
		t.remove(old)
	}
	h := &held{record: r, expires: now.Add(keep), changed: make(chan struct{})}
	t.records[r.Key] = h
	if len(r.Answer.Body) > 0 {
		h.stored = t.bodies.PushBack(h)
		t.bytes += len(r.Answer.Body)
	}
	for t.bytes > t.bounds.MaxBytes {
		t.dropBody(t.bodies.Front().Value.(*held))
	}
	return h
}

func (t *Table) dropBody(h *held) {
	t.bytes -= len(h.record.Answer.Body)
	t.bodies.Remove(h.stored)
	h.stored = nil
	h.record = h.record.WithoutBody()
}

func (t *Table) remove(h *held) {
	if h.stored != nil {
		t.dropBody(h)
	}
	delete(t.records, h.record.Key)
	close(h.changed)
}

func (t *Table) outgoing(now time.Time, h *held) Record {
	r := h.record
	r.Remaining = h.expires.Sub(now)
	return r
}
