package cafollow

import (
	"errors"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// noOffset stands for an offset that is not known.
const noOffset caplatform.Offset = -1

// State is a reader's view of the sequence: the version in force at one offset
// of the log. It is an immutable value.
//
// The version in force at an offset is a function of all records before it.
// A reader that has the version at one offset and reads every record from
// there on makes the same decisions as all other readers. A reader that misses
// records must not decide: of two changes on the same base it may read only the
// second, and would accept a change that all others rejected. It waits for a
// snapshot as of an offset from which the log still has all records.
//
// Example: the log once held
//
//	100 change A, base 6   accepted, version 7
//	101 change B, base 6   rejected
//	102 snapshot of version 6, as of 100
//	103 snapshot of version 7, as of 102
//
// and has dropped record 100. A new reader must neither accept B because of the
// snapshot at 102, nor skip B and stay on version 6. It starts from the snapshot
// at 103, because the log still has every record from 102 on.
type State struct {
	// current is the version in force at offset current.AsOf.
	current Snapshot
	// gap means that the log no longer has all records from current.AsOf on.
	gap bool
	// scanOffset is the next offset to search for a snapshot while gap is set.
	scanOffset caplatform.Offset
	// earliest and end are the bounds of the log at the last read.
	earliest caplatform.Offset
	end      caplatform.Offset
	// readSinceSnapshot means that the log was read after the snapshot of a peer
	// last replaced current.
	readSinceSnapshot bool
	// snapshotOffset is the highest AsOf of the snapshots read from the log. A
	// reset counts as a snapshot as of its own offset.
	snapshotOffset caplatform.Offset
	// unsupported is the format of the record at ReadFrom if only newer releases
	// can read it. A reader must not skip the record, because the decisions after
	// it may depend on it.
	unsupported caversion.Format
}

// NewState returns the state of a new reader: version 0 is in force before the
// first record.
func NewState() State { return State{current: Snapshot{Hash: DigestOf(nil)}, snapshotOffset: noOffset} }

// Decision is the outcome of a change or reset at its offset in the log.
type Decision struct {
	Offset   caplatform.Offset
	ID       ChangeID
	Accepted bool
	// Version is the version in force after the decision. Winner is the change
	// that created it.
	Version Version
	Winner  ChangeID
}

// Snapshot returns the version in force and the offset at which it is in force.
func (s State) Snapshot() Snapshot { return s.current }

// Version returns the version in force.
func (s State) Version() Version { return s.current.Version }

// Gap reports whether the log has dropped records that the reader has not read
// and needs for its decisions.
func (s State) Gap() bool { return s.gap }

// ReadFrom returns the offset to read from next.
func (s State) ReadFrom() caplatform.Offset {
	if s.gap {
		return s.scanOffset
	}
	return s.current.AsOf
}

// More reports whether the log may have more records to read.
func (s State) More() bool { return !s.readSinceSnapshot || s.ReadFrom() < s.end }

// Later returns the format of the record at which this reader has stopped
// because only newer releases can read it, or zero if there is none. The reader
// continues once a peer gives it a snapshot as of a later offset.
func (s State) Later() caversion.Format { return s.unsupported }

// CaughtUp reports whether the state covered the whole log at the last read.
func (s State) CaughtUp() bool { return s.readSinceSnapshot && !s.gap && s.current.AsOf >= s.end }

// SnapshotLag returns the number of records in the log from the offset of its
// last usable snapshot on. ok is false if the log has no usable snapshot.
func (s State) SnapshotLag() (records int64, ok bool) {
	return int64(s.end - s.snapshotOffset), s.snapshotOffset >= s.earliest
}

// WithPage returns the state after a read and the decisions on the changes in
// it. Records that contradict the state are skipped and reported in the error.
// An error of KindUnavailable means that the log ends before an offset that was
// already read; the state is then unchanged.
func (s State) WithPage(p caplatform.Page) (State, []Decision, error) {
	if p.Next < s.end || (s.readSinceSnapshot && p.Next < s.current.AsOf) {
		return s, nil, cakind.New(cakind.KindUnavailable,
			"the log ends at offset %d, below offset %d that was read before", p.Next, max(s.current.AsOf, s.end))
	}
	if p.Next < s.current.AsOf {
		// The page was read before the snapshot of a peer replaced the state.
		return s, nil, nil
	}
	s.earliest, s.end, s.readSinceSnapshot = max(s.earliest, p.Earliest), p.Next, true
	if s.earliest > s.current.AsOf {
		s = s.withGap(s.earliest)
	}
	return s.withRecords(p.Records)
}

func (s State) withRecords(records []caplatform.Record) (State, []Decision, error) {
	var decisions []Decision
	var errs []error
	s.unsupported = 0
	for _, r := range records {
		// A reader that searches for a snapshot makes no decisions and may skip
		// a record of a newer format.
		if format := decodeRecord(r.Payload).Format; format > caversion.FormatNewest && !s.gap && r.Offset >= s.current.AsOf {
			s.unsupported = format
			break
		}
		wasScanning := s.gap
		next, d, err := s.withRecord(r)
		s = next
		errs = append(errs, err)
		if d != nil {
			decisions = append(decisions, *d)
		}
		if wasScanning && !s.gap && s.current.AsOf <= r.Offset {
			// The snapshot is as of an earlier offset: continue reading there.
			break
		}
	}
	return s, decisions, errors.Join(errs...)
}

func (s State) withRecord(r caplatform.Record) (State, *Decision, error) {
	if s.gap {
		return s.withScannedRecord(r)
	}
	return s.withNextRecord(r)
}

func (s State) withGap(scanOffset caplatform.Offset) State {
	if s.gap {
		scanOffset = max(scanOffset, s.scanOffset)
	}
	s.gap, s.scanOffset = true, scanOffset
	return s
}

// withScannedRecord processes a record after a gap. Only a snapshot or a reset
// establishes a version.
func (s State) withScannedRecord(r caplatform.Record) (State, *Decision, error) {
	if r.Offset < s.scanOffset {
		return s, nil, nil
	}
	s.scanOffset = r.Offset + 1
	content := decodeRecord(r.Payload)
	switch {
	case content.Snapshot != nil:
		s, err := s.withLogSnapshot(*content.Snapshot, r.Offset)
		return s, nil, err
	case content.Reset != nil:
		s, d := s.withReset(*content.Reset, r.Offset)
		return s, &d, nil
	}
	return s, nil, nil
}

// withNextRecord processes a record of a sequence without gaps.
func (s State) withNextRecord(r caplatform.Record) (State, *Decision, error) {
	if r.Offset < s.current.AsOf {
		return s, nil, nil
	}
	if r.Offset > s.current.AsOf {
		return s.withGap(r.Offset).withScannedRecord(r)
	}
	content := decodeRecord(r.Payload)
	s.current.AsOf = r.Offset + 1
	switch {
	case content.Change != nil:
		s, d := s.withChange(*content.Change, r.Offset)
		return s, &d, nil
	case content.Reset != nil:
		s, d := s.withReset(*content.Reset, r.Offset)
		return s, &d, nil
	case content.Snapshot != nil:
		s, err := s.withLogSnapshot(*content.Snapshot, r.Offset)
		return s, nil, err
	}
	return s, nil, nil
}

func (s State) withChange(c Change, o caplatform.Offset) (State, Decision) {
	accepted := c.Base == s.current.Version
	if accepted {
		s.current.Version++
		s.current.ChangeID = c.ID
		s.current.Body = c.Body
		s.current.Hash = DigestOf(c.Body)
	}
	return s, Decision{Offset: o, ID: c.ID, Accepted: accepted, Version: s.current.Version, Winner: s.current.ChangeID}
}

func (s State) withReset(r Reset, o caplatform.Offset) (State, Decision) {
	s.current = Snapshot{Version: Version(o) + 1, AsOf: o + 1, ChangeID: r.ID, Body: r.Body, Hash: DigestOf(r.Body)}
	s.gap = false
	s.snapshotOffset = max(s.snapshotOffset, o)
	return s, Decision{Offset: o, ID: r.ID, Accepted: true, Version: s.current.Version, Winner: r.ID}
}

// withLogSnapshot processes a snapshot record at offset o of the log.
func (s State) withLogSnapshot(n Snapshot, o caplatform.Offset) (State, error) {
	if n.AsOf > o {
		return s, violation("snapshot at offset %d is as of %d, after itself", o, n.AsOf)
	}
	next, _, err := s.WithSnapshot(n)
	if err != nil {
		return s, err
	}
	next.readSinceSnapshot = s.readSinceSnapshot
	next.snapshotOffset = max(s.snapshotOffset, n.AsOf)
	return next, nil
}

// WithSnapshot returns the state after a snapshot from a peer or the log, and
// whether the snapshot was used. It is used only if it is as of a later offset
// than the state, so that the version never decreases. A snapshot that
// contradicts the state is rejected with an error.
func (s State) WithSnapshot(n Snapshot) (State, bool, error) {
	if err := s.checkConsistent(n); err != nil {
		return s, false, err
	}
	if n.AsOf <= s.current.AsOf {
		return s, false, nil
	}
	s.current = n
	s.gap = n.AsOf < s.earliest
	s.readSinceSnapshot = false
	return s, true, nil
}

func (s State) checkConsistent(n Snapshot) error {
	switch {
	case !n.Intact():
		return violation("snapshot of version %d: body does not match its hash", n.Version)
	case n.Version > Version(n.AsOf):
		return violation("snapshot of version %d as of offset %d: more versions than records", n.Version, n.AsOf)
	case n.Version == s.current.Version && n.Hash != s.current.Hash:
		return violation("version %d has the hash %s here and %s in a snapshot", n.Version, s.current.Hash, n.Hash)
	case n.AsOf <= s.current.AsOf && n.Version > s.current.Version:
		return violation("version %d as of offset %d, but version %d as of offset %d", n.Version, n.AsOf, s.current.Version, s.current.AsOf)
	case n.AsOf >= s.current.AsOf && n.Version < s.current.Version:
		return violation("version %d as of offset %d, but version %d as of offset %d", n.Version, n.AsOf, s.current.Version, s.current.AsOf)
	}
	return nil
}
