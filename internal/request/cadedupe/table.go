package cadedupe

import (
	"container/list"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Bounds limits the contents of a table.
type Bounds struct {
	// Retention is how long a settled record is kept.
	Retention time.Duration
	// UnsettledTimeout is how long a record may stay unsettled. After it the outcome is
	// unknown.
	UnsettledTimeout time.Duration
	// MaxRecords bounds the number of records. A full table refuses new keys,
	// because evicting a record early would break the stated retention.
	MaxRecords int
	// MaxBodyBytes bounds the total size of the stored bodies. Beyond it the oldest
	// bodies are dropped; their outcomes stay.
	MaxBodyBytes int
}

// DefaultBounds returns bounds for an entry with 32 MB of memory.
func DefaultBounds() Bounds {
	return Bounds{
		Retention:        10 * time.Minute,
		UnsettledTimeout: 15 * time.Minute,
		MaxRecords:       16384,
		MaxBodyBytes:     4 << 20,
	}
}

// tableRow is a record with its state at this entry.
type tableRow struct {
	record  Record
	expires time.Time
	// unconfirmed is set until the backup has accepted the claim.
	unconfirmed bool
	// bodyElement is the element of Table.bodies, nil without a stored body.
	bodyElement *list.Element
	changed     chan struct{}
}

// Table holds the records that one entry stores. It does no I/O and reads no
// clock. The caller serialises the calls.
type Table struct {
	bounds    Bounds
	rows      map[Key]*tableRow
	bodies    *list.List
	bodyBytes int
}

// NewTable returns an empty table.
func NewTable(b Bounds) *Table {
	return &Table{bounds: b, rows: map[Key]*tableRow{}, bodies: list.New()}
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.rows) }

// Get returns the record of a key.
func (t *Table) Get(now time.Time, k Key) (Record, bool) {
	row, ok := t.rows[k]
	if !ok {
		return Record{}, false
	}
	return t.snapshot(now, row), true
}

// Claim stores the record of a new claim, unless another claim holds the key. It
// returns the record that is stored afterwards. When this is the record of the
// new claim, the claim is stored but unconfirmed until the backup accepts it.
func (t *Table) Claim(now time.Time, r Record) (Record, error) {
	row, ok := t.rows[r.Key]
	if ok && !row.record.claimable() {
		return t.snapshot(now, row), nil
	}
	if !ok && len(t.rows) >= t.bounds.MaxRecords {
		return Record{}, cakind.New(cakind.KindOverloaded, "too many idempotency keys")
	}
	if ok && row.record.Digest == r.Digest {
		r.Generation = row.record.Generation + 1
	} else if ok {
		return t.snapshot(now, row), nil
	}
	row = t.put(now, r, t.bounds.UnsettledTimeout)
	row.unconfirmed = true
	return t.snapshot(now, row), nil
}

// Confirm marks a claim as accepted by the backup. It reports false when the
// claim no longer holds the key.
func (t *Table) Confirm(k Key, c ClaimID) bool {
	row, ok := t.rows[k]
	if !ok || row.record.Claim != c {
		return false
	}
	row.unconfirmed = false
	return true
}

// Withdraw removes an unconfirmed claim.
func (t *Table) Withdraw(k Key, c ClaimID) {
	row, ok := t.rows[k]
	if ok && row.record.Claim == c && row.unconfirmed {
		t.remove(row)
	}
}

// Merge applies a record of another replica and returns the one that is stored
// afterwards. A confirmed claim is replaced only by one of a later generation.
// Of two unconfirmed claims the one with the lower ID wins, so that both
// replicas choose the same one.
func (t *Table) Merge(now time.Time, r Record) Record {
	row, ok := t.rows[r.Key]
	if !ok || t.replaces(r, row) {
		row = t.put(now, r, r.Remaining)
	}
	return t.snapshot(now, row)
}

func (t *Table) replaces(r Record, row *tableRow) bool {
	if r.Claim == row.record.Claim || r.Generation != row.record.Generation {
		return r.newerThan(row.record)
	}
	return row.unconfirmed && r.Claim < row.record.Claim
}

// Adopt replaces an unconfirmed claim by the record that the backup stores.
func (t *Table) Adopt(now time.Time, r Record) {
	row, ok := t.rows[r.Key]
	if ok && row.record.Claim != r.Claim && !row.unconfirmed {
		return
	}
	t.put(now, r, r.Remaining)
}

// Update applies a change to the record of an unsettled claim and returns the
// changed record. It fails with KindFenced when the claim has ended.
func (t *Table) Update(now time.Time, k Key, c ClaimID, change func(Record) Record) (Record, error) {
	row, ok := t.rows[k]
	if !ok || row.record.Claim != c || row.record.Settled() {
		return Record{}, cakind.New(cakind.KindFenced, "the claim of the idempotency key has ended")
	}
	r := change(row.record)
	lifetime := t.bounds.UnsettledTimeout
	if r.Settled() {
		lifetime = t.bounds.Retention
	}
	return t.snapshot(now, t.put(now, r, lifetime)), nil
}

// Changed returns a channel that is closed at the next change of the record.
func (t *Table) Changed(k Key) <-chan struct{} {
	if row, ok := t.rows[k]; ok {
		return row.changed
	}
	closed := make(chan struct{})
	close(closed)
	return closed
}

// Expire removes settled records at the end of their retention, and settles
// expired unsettled ones as unknown.
func (t *Table) Expire(now time.Time) {
	for _, row := range t.rows {
		if now.Before(row.expires) {
			continue
		}
		if row.record.Settled() {
			t.remove(row)
			continue
		}
		t.put(now, row.record.WithOutcome(cawork.OutcomeUnknown, StoredAnswer{}), t.bounds.Retention)
	}
}

// Delete removes the record of a key of which this entry is no longer a replica.
func (t *Table) Delete(k Key) {
	if row, ok := t.rows[k]; ok {
		t.remove(row)
	}
}

// Select returns the records that the filter accepts.
func (t *Table) Select(now time.Time, filter func(Record) bool) []Record {
	var selected []Record
	for _, row := range t.rows {
		if filter(row.record) {
			selected = append(selected, t.snapshot(now, row))
		}
	}
	return selected
}

func (t *Table) put(now time.Time, r Record, lifetime time.Duration) *tableRow {
	if old, ok := t.rows[r.Key]; ok {
		t.remove(old)
	}
	row := &tableRow{record: r, expires: now.Add(lifetime), changed: make(chan struct{})}
	t.rows[r.Key] = row
	if len(r.Answer.Body) > 0 {
		row.bodyElement = t.bodies.PushBack(row)
		t.bodyBytes += len(r.Answer.Body)
	}
	for t.bodyBytes > t.bounds.MaxBodyBytes {
		t.dropBody(t.bodies.Front().Value.(*tableRow))
	}
	return row
}

func (t *Table) dropBody(row *tableRow) {
	t.bodyBytes -= len(row.record.Answer.Body)
	t.bodies.Remove(row.bodyElement)
	row.bodyElement = nil
	row.record = row.record.WithoutBody()
}

func (t *Table) remove(row *tableRow) {
	if row.bodyElement != nil {
		t.dropBody(row)
	}
	delete(t.rows, row.record.Key)
	close(row.changed)
}

func (t *Table) snapshot(now time.Time, row *tableRow) Record {
	r := row.record
	r.Remaining = row.expires.Sub(now)
	return r
}
