package cafollow

import (
	"errors"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// none is the offset of something that was not seen.
const none caplatform.Offset = -1

// State is what a reader knows of the sequence: the version in force at one
// offset of the log. It is an immutable value.
//
// The version in force at an offset is a function of all records before it.
// A reader that knows it for one offset and reads every record from there on
// decides each change as all others do. A reader that misses records must not
// decide: of two changes on the same base it may see only the second, and
// would accept the one that all others refused. It waits for a snapshot of a
// place from which the log is whole.
//
// Example: the log once held
//
//	100 change A, base 6   accepted, version 7
//	101 change B, base 6   refused
//	102 snapshot of version 6, as of 100
//	103 snapshot of version 7, as of 102
//
// and has dropped record 100. A new reader must neither accept B on the word
// of the snapshot at 102, nor skip it and stay on version 6. It takes the
// snapshot at 103, since every record from 102 on is there.
type State struct {
	// at is the version in force at offset at.AsOf.
	at Snapshot
	// gap means that the log no longer has all records from at.AsOf on.
	gap bool
	// scan is the next offset to search for a snapshot while gap is set.
	scan caplatform.Offset
	// earliest and end are the bounds of the log at the last read.
	earliest caplatform.Offset
	end      caplatform.Offset
	// fresh means that a read took place since at was last replaced from
	// outside the log.
	fresh bool
	// anchor is the highest AsOf of the snapshots that were seen in the log.
	anchor caplatform.Offset
	// later is the format of the record at ReadFrom when only later programs
	// read it. A reader must not pass it: it may decide what follows.
	later caversion.Format
}

// NewState returns the state of a reader that knows nothing: version 0 is in
// force before the first record.
func NewState() State { return State{at: Snapshot{Hash: DigestOf(nil)}, anchor: none} }

// Decision tells how a change or reset was decided at its place in the log.
type Decision struct {
	Offset   caplatform.Offset
	ID       ChangeID
	Accepted bool
	// Version is the version in force after the decision, Winner the change
	// that made it.
	Version Version
	Winner  ChangeID
}

// Snapshot returns the version in force and the offset that it is known for.
func (s State) Snapshot() Snapshot { return s.at }

// Version returns the version in force.
func (s State) Version() Version { return s.at.Version }

// Gap reports whether records that are needed to decide are gone.
func (s State) Gap() bool { return s.gap }

// ReadFrom returns the offset to read from next.
func (s State) ReadFrom() caplatform.Offset {
	if s.gap {
		return s.scan
	}
	return s.at.AsOf
}

// More reports whether the log had more records at the last read.
func (s State) More() bool { return !s.fresh || s.ReadFrom() < s.end }

// Later returns the format of the record that stops this reader, zero when none
// does. A snapshot as of a later offset, from a peer, lets it go on.
func (s State) Later() caversion.Format { return s.later }

// CaughtUp reports whether the state covered the whole log at the last read.
func (s State) CaughtUp() bool { return s.fresh && !s.gap && s.at.AsOf >= s.end }

// SnapshotLag returns how many records the log holds after the place of its
// last usable snapshot, and false when it has none.
func (s State) SnapshotLag() (records int64, ok bool) {
	return int64(s.end - s.anchor), s.anchor >= s.earliest
}

// WithPage returns the state after a read. An error reports records that
// contradict the order; they are skipped.
func (s State) WithPage(p caplatform.Page) (State, []Decision, error) {
	if p.Next < s.end || (s.fresh && p.Next < s.at.AsOf) {
		return s, nil, cakind.New(cakind.KindUnavailable,
			"the log ends at offset %d, below offset %d that was read before", p.Next, max(s.at.AsOf, s.end))
	}
	if p.Next < s.at.AsOf {
		// The page was read before a peer gave the state.
		return s, nil, nil
	}
	s.earliest, s.end, s.fresh = max(s.earliest, p.Earliest), p.Next, true
	if s.earliest > s.at.AsOf {
		s = s.withGap(s.earliest)
	}
	return s.withRecords(p.Records)
}

func (s State) withRecords(records []caplatform.Record) (State, []Decision, error) {
	var decisions []Decision
	var problems []error
	s.later = 0
	for _, r := range records {
		// A reader that looks for a snapshot decides nothing and may pass it.
		if format := decodeRecord(r.Payload).Format; format > caversion.FormatNewest && !s.gap && r.Offset >= s.at.AsOf {
			s.later = format
			break
		}
		scanning := s.gap
		next, d, err := s.withRecord(r)
		s = next
		problems = append(problems, err)
		if d != nil {
			decisions = append(decisions, *d)
		}
		if scanning && !s.gap && s.at.AsOf <= r.Offset {
			// The snapshot is as of an earlier offset: read on from there.
			break
		}
	}
	return s, decisions, errors.Join(problems...)
}

func (s State) withRecord(r caplatform.Record) (State, *Decision, error) {
	if s.gap {
		return s.scanned(r)
	}
	return s.applied(r)
}

func (s State) withGap(scan caplatform.Offset) State {
	if s.gap {
		scan = max(scan, s.scan)
	}
	s.gap, s.scan = true, scan
	return s
}

// scanned takes a record while earlier ones are missing. Only a snapshot or a
// reset tells a version.
func (s State) scanned(r caplatform.Record) (State, *Decision, error) {
	if r.Offset < s.scan {
		return s, nil, nil
	}
	s.scan = r.Offset + 1
	content := decodeRecord(r.Payload)
	switch {
	case content.Snapshot != nil:
		s, err := s.anchored(*content.Snapshot, r.Offset)
		return s, nil, err
	case content.Reset != nil:
		s, d := s.reset(*content.Reset, r.Offset)
		return s, &d, nil
	}
	return s, nil, nil
}

// applied takes the next record of an unbroken sequence.
func (s State) applied(r caplatform.Record) (State, *Decision, error) {
	if r.Offset < s.at.AsOf {
		return s, nil, nil
	}
	if r.Offset > s.at.AsOf {
		return s.withGap(r.Offset).scanned(r)
	}
	content := decodeRecord(r.Payload)
	s.at.AsOf = r.Offset + 1
	switch {
	case content.Change != nil:
		s, d := s.decided(*content.Change, r.Offset)
		return s, &d, nil
	case content.Reset != nil:
		s, d := s.reset(*content.Reset, r.Offset)
		return s, &d, nil
	case content.Snapshot != nil:
		s, err := s.anchored(*content.Snapshot, r.Offset)
		return s, nil, err
	}
	return s, nil, nil
}

func (s State) decided(c Change, o caplatform.Offset) (State, Decision) {
	accepted := c.Base == s.at.Version
	if accepted {
		s.at.Version++
		s.at.ChangeID = c.ID
		s.at.Body = c.Body
		s.at.Hash = DigestOf(c.Body)
	}
	return s, Decision{Offset: o, ID: c.ID, Accepted: accepted, Version: s.at.Version, Winner: s.at.ChangeID}
}

func (s State) reset(r Reset, o caplatform.Offset) (State, Decision) {
	s.at = Snapshot{Version: Version(o) + 1, AsOf: o + 1, ChangeID: r.ID, Body: r.Body, Hash: DigestOf(r.Body)}
	s.gap = false
	s.anchor = max(s.anchor, o)
	return s, Decision{Offset: o, ID: r.ID, Accepted: true, Version: s.at.Version, Winner: r.ID}
}

// anchored takes a snapshot record at its place in the log.
func (s State) anchored(n Snapshot, o caplatform.Offset) (State, error) {
	if n.AsOf > o {
		return s, violation("snapshot at offset %d is as of %d, after itself", o, n.AsOf)
	}
	next, _, err := s.WithSnapshot(n)
	if err != nil {
		return s, err
	}
	next.fresh = s.fresh
	next.anchor = max(s.anchor, n.AsOf)
	return next, nil
}

// WithSnapshot returns the state after a snapshot that a peer or the log
// gave, and whether it was used. It is used when it is as of a later offset
// than the state, so that a version never goes back. A snapshot that
// contradicts the state is refused with an error.
func (s State) WithSnapshot(n Snapshot) (State, bool, error) {
	if err := s.contradiction(n); err != nil {
		return s, false, err
	}
	if n.AsOf <= s.at.AsOf {
		return s, false, nil
	}
	s.at = n
	s.gap = n.AsOf < s.earliest
	s.fresh = false
	return s, true, nil
}

func (s State) contradiction(n Snapshot) error {
	switch {
	case !n.Intact():
		return violation("snapshot of version %d has another hash than it states", n.Version)
	case n.Version > Version(n.AsOf):
		return violation("snapshot of version %d as of offset %d: more versions than records", n.Version, n.AsOf)
	case n.Version == s.at.Version && n.Hash != s.at.Hash:
		return violation("version %d has the hash %s here and %s in a snapshot", n.Version, s.at.Hash, n.Hash)
	case n.AsOf <= s.at.AsOf && n.Version > s.at.Version:
		return violation("version %d as of offset %d, but version %d as of offset %d", n.Version, n.AsOf, s.at.Version, s.at.AsOf)
	case n.AsOf >= s.at.AsOf && n.Version < s.at.Version:
		return violation("version %d as of offset %d, but version %d as of offset %d", n.Version, n.AsOf, s.at.Version, s.at.AsOf)
	}
	return nil
}
