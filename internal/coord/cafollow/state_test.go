package cafollow

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// memoryLog is a log without faults. It keeps all records, and serves those from
// earliest on.
type memoryLog struct {
	records  []record
	earliest caplatform.Offset
}

func (m *memoryLog) next() caplatform.Offset { return caplatform.Offset(len(m.records)) }

func (m *memoryLog) add(r record) { m.records = append(m.records, r) }

func (m *memoryLog) page(from caplatform.Offset, size int) caplatform.Page {
	p := caplatform.Page{Earliest: m.earliest, Next: m.next()}
	for o := max(from, m.earliest); o < m.next() && len(p.Records) < size; o++ {
		p.Records = append(p.Records, caplatform.Record{Offset: o, Payload: m.records[o].encode()})
	}
	return p
}

// reference returns the version and body in force at each offset, as decided by
// a process that has read every record.
func (m *memoryLog) reference() []Snapshot {
	current := Snapshot{Hash: DigestOf(nil)}
	history := []Snapshot{current}
	for i, r := range m.records {
		switch {
		case r.Change != nil && r.Change.Base == current.Version:
			current = Snapshot{Version: current.Version + 1, ChangeID: r.Change.ID, Body: r.Change.Body, Hash: DigestOf(r.Change.Body)}
		case r.Reset != nil:
			current = Snapshot{Version: Version(i + 1), ChangeID: r.Reset.ID, Body: r.Reset.Body, Hash: DigestOf(r.Reset.Body)}
		}
		current.AsOf = caplatform.Offset(i + 1)
		history = append(history, current)
	}
	return history
}

func change(id string, base Version) record {
	return record{Change: &Change{ID: ChangeID(id), Base: base, Body: []byte("body of " + id)}}
}

func snapshotRecord(s Snapshot) record { return record{Snapshot: &s} }

// readAll reads until the state has no more to read.
func readAll(t interface {
	Helper()
	Fatal(...any)
}, s State, m *memoryLog, size int,
) (State, []Decision) {
	t.Helper()
	var all []Decision
	for range 10 * (len(m.records) + 1) {
		before := s.ReadFrom()
		next, decisions, err := s.WithPage(m.page(before, size))
		if err != nil {
			t.Fatal(err)
		}
		s = next
		all = append(all, decisions...)
		if !s.More() || s.ReadFrom() == before {
			break
		}
	}
	return s, all
}

func TestRacingChangesHaveOneWinner(t *testing.T) {
	m := &memoryLog{}
	m.add(change("a", 0))
	m.add(change("b", 1))
	m.add(change("c", 1))
	m.add(change("b", 1)) // a retry after a lost answer
	m.add(change("d", 7)) // its base is higher than every version
	s, decisions := readAll(t, NewState(), m, 2)
	want := []Decision{
		{Offset: 0, ID: "a", Accepted: true, Version: 1, Winner: "a"},
		{Offset: 1, ID: "b", Accepted: true, Version: 2, Winner: "b"},
		{Offset: 2, ID: "c", Accepted: false, Version: 2, Winner: "b"},
		{Offset: 3, ID: "b", Accepted: false, Version: 2, Winner: "b"},
		{Offset: 4, ID: "d", Accepted: false, Version: 2, Winner: "b"},
	}
	if diff := cmp.Diff(want, decisions); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff("body of b", string(s.Snapshot().Body)); diff != "" {
		t.Error(diff)
	}
}

// truncatedRace is the example of State, with offsets from 0: version 1 was
// decided at offset 1, by a record that the log has dropped.
func truncatedRace() *memoryLog {
	m := &memoryLog{}
	m.add(change("first", 0))
	m.add(change("winner", 1))
	m.add(change("loser", 1))
	m.add(snapshotRecord(m.reference()[1])) // version 1, as of 1
	m.earliest = 2
	return m
}

// TestNewReaderDoesNotDecideATruncatedRace guards against accepting the loser of
// a race whose winner the log has already dropped.
func TestNewReaderDoesNotDecideATruncatedRace(t *testing.T) {
	m := truncatedRace()
	s, decisions := readAll(t, NewState(), m, 10)
	if diff := cmp.Diff([]Decision(nil), decisions); diff != "" {
		t.Error("decided: ", diff)
	}
	if diff := cmp.Diff([]any{Version(1), true, false}, []any{s.Version(), s.Gap(), s.CaughtUp()}); diff != "" {
		t.Error(diff)
	}
	// A snapshot as of an offset from which the log has all records closes the gap.
	m.add(snapshotRecord(m.reference()[3]))
	m.add(change("late", 2))
	s, _ = readAll(t, s, m, 10)
	if diff := cmp.Diff(m.reference()[6], s.Snapshot()); diff != "" {
		t.Error(diff)
	}
}

func TestReaderThatFellBehindTheLogStopsDeciding(t *testing.T) {
	m := &memoryLog{}
	m.add(change("a", 0))
	s, _ := readAll(t, NewState(), m, 10)
	m.add(change("winner", 1))
	m.add(change("loser", 1))
	m.earliest = 2
	s, _ = readAll(t, s, m, 10)
	if diff := cmp.Diff([]any{Version(1), true}, []any{s.Version(), s.Gap()}); diff != "" {
		t.Error(diff)
	}
	s, used, err := s.WithSnapshot(m.reference()[2])
	if err != nil || !used {
		t.Fatalf("snapshot of a peer: used %v, %v", used, err)
	}
	s, _ = readAll(t, s, m, 10)
	if diff := cmp.Diff([]any{Version(2), "body of winner", true}, []any{s.Version(), string(s.Snapshot().Body), s.CaughtUp()}); diff != "" {
		t.Error(diff)
	}
}

func TestResetNeedsNoEarlierVersion(t *testing.T) {
	m := truncatedRace()
	m.records = m.records[:3]
	m.add(record{Reset: &Reset{ID: "r", Body: []byte("new")}})
	m.add(change("after", 4))
	all, _ := readAll(t, NewState(), &memoryLog{records: m.records}, 10)
	fresh, _ := readAll(t, NewState(), m, 10)
	if diff := cmp.Diff(all.Snapshot(), fresh.Snapshot()); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(Version(5), fresh.Version()); diff != "" {
		t.Error(diff)
	}
}

func TestInconsistentSnapshotsAreRejected(t *testing.T) {
	m := &memoryLog{}
	m.add(change("a", 0))
	m.add(change("b", 1))
	s, _ := readAll(t, NewState(), m, 10)
	other := []byte("other")
	tests := []struct {
		name     string
		snapshot Snapshot
	}{
		{"wrong hash of the body", Snapshot{Version: 2, AsOf: 5, Body: other}},
		{"different body of the same version", Snapshot{Version: 2, AsOf: 5, Body: other, Hash: DigestOf(other)}},
		{"more versions than records", Snapshot{Version: 9, AsOf: 5, Body: other, Hash: DigestOf(other)}},
		{"lower version at a later offset", Snapshot{Version: 1, AsOf: 5, Body: other, Hash: DigestOf(other)}},
		{"higher version at an earlier offset", Snapshot{Version: 2, AsOf: 2, Body: other, Hash: DigestOf(other)}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			next, used, err := s.WithSnapshot(test.snapshot)
			if diff := cmp.Diff(cakind.KindInternal, cakind.Of(err)); err == nil || diff != "" {
				t.Errorf("error %v %s", err, diff)
			}
			if used || next.Version() != s.Version() {
				t.Errorf("used %v, version %d", used, next.Version())
			}
		})
	}
}

func TestLogWithALowerEndIsUnavailable(t *testing.T) {
	m := &memoryLog{}
	m.add(change("a", 0))
	s, _ := readAll(t, NewState(), m, 10)
	_, _, err := s.WithPage(caplatform.Page{})
	if diff := cmp.Diff(cakind.KindUnavailable, cakind.Of(err)); diff != "" {
		t.Error(diff)
	}
}

// readerMachine is a log with readers for a state machine test: rapid draws the
// operations on them.
type readerMachine struct {
	log     memoryLog
	readers []State
	// delayedPages holds, by reader, a page that was read but not yet applied.
	delayedPages map[int]caplatform.Page
	lastID       int
}

func (m *readerMachine) newID() string {
	m.lastID++
	return fmt.Sprintf("c%d", m.lastID)
}

func (m *readerMachine) pick(t *rapid.T, name string) int {
	return rapid.IntRange(0, len(m.readers)-1).Draw(t, name)
}

func (m *readerMachine) appendChange(t *rapid.T) {
	base := m.log.reference()[m.log.next()].Version + Version(rapid.IntRange(-1, 1).Draw(t, "distance"))
	m.log.add(change(m.newID(), base))
}

func (m *readerMachine) appendCopy(t *rapid.T) {
	if len(m.log.records) > 0 {
		m.log.add(m.log.records[rapid.IntRange(0, len(m.log.records)-1).Draw(t, "copied")])
	}
}

func (m *readerMachine) appendReset(t *rapid.T) {
	if rapid.IntRange(0, 4).Draw(t, "seldom") == 0 {
		m.log.add(record{Reset: &Reset{ID: ChangeID(m.newID()), Body: []byte(m.newID())}})
	}
}

func (m *readerMachine) appendSnapshot(t *rapid.T) {
	m.log.add(snapshotRecord(m.readers[m.pick(t, "writer")].Snapshot()))
}

func (m *readerMachine) truncate(t *rapid.T) {
	m.log.earliest = caplatform.Offset(rapid.IntRange(int(m.log.earliest), int(m.log.next())).Draw(t, "earliest"))
}

func (m *readerMachine) join(*rapid.T) {
	if len(m.readers) < 6 {
		m.readers = append(m.readers, NewState())
	}
}

func (m *readerMachine) read(t *rapid.T) {
	i := m.pick(t, "reader")
	page, ok := m.delayedPages[i]
	if !ok {
		page = m.log.page(m.readers[i].ReadFrom(), rapid.IntRange(1, 4).Draw(t, "size"))
		if rapid.Bool().Draw(t, "late") {
			m.delayedPages[i] = page
			return
		}
	}
	delete(m.delayedPages, i)
	next, _, err := m.readers[i].WithPage(page)
	if err != nil && cakind.Of(err) != cakind.KindUnavailable {
		t.Fatal(err)
	}
	m.replace(t, i, next)
}

func (m *readerMachine) fetch(t *rapid.T) {
	i, from := m.pick(t, "reader"), m.pick(t, "peer")
	next, _, err := m.readers[i].WithSnapshot(m.readers[from].Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	m.replace(t, i, next)
}

func (m *readerMachine) replace(t *rapid.T, i int, next State) {
	if next.Version() < m.readers[i].Version() {
		t.Fatalf("reader %d returned from version %d to %d", i, m.readers[i].Version(), next.Version())
	}
	m.readers[i] = next
}

// check compares every reader with the reference history at the same offset.
func (m *readerMachine) check(t *rapid.T) {
	history := m.log.reference()
	for i, r := range m.readers {
		if diff := cmp.Diff(history[r.Snapshot().AsOf], r.Snapshot()); diff != "" {
			t.Fatalf("reader %d: %s", i, diff)
		}
	}
}

// checkConvergence lets every reader read the log and fetch the snapshot of the
// most advanced reader. If any reader has then caught up, all must hold the
// reference version.
func (m *readerMachine) checkConvergence(t *rapid.T) {
	for range 3 {
		best := 0
		for i := range m.readers {
			m.readers[i], _ = readAll(t, m.readers[i], &m.log, 3)
			if m.readers[i].Snapshot().AsOf > m.readers[best].Snapshot().AsOf {
				best = i
			}
		}
		for i := range m.readers {
			next, _, err := m.readers[i].WithSnapshot(m.readers[best].Snapshot())
			if err != nil {
				t.Fatal(err)
			}
			m.replace(t, i, next)
		}
	}
	final := m.log.reference()[m.log.next()]
	for i, r := range m.readers {
		if m.anyCaughtUp() {
			if diff := cmp.Diff(final, r.Snapshot()); diff != "" {
				t.Fatalf("reader %d did not converge: %s", i, diff)
			}
		}
	}
}

func (m *readerMachine) anyCaughtUp() bool {
	for _, r := range m.readers {
		if r.CaughtUp() {
			return true
		}
	}
	return false
}

func TestReadersAgreeWithTheReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &readerMachine{readers: make([]State, 0, 6), delayedPages: map[int]caplatform.Page{}}
		m.join(t)
		t.Repeat(map[string]func(*rapid.T){
			"change":   m.appendChange,
			"copy":     m.appendCopy,
			"reset":    m.appendReset,
			"snapshot": m.appendSnapshot,
			"truncate": m.truncate,
			"join":     m.join,
			"read":     m.read,
			"fetch":    m.fetch,
			"":         m.check,
		})
		m.checkConvergence(t)
	})
}

// TestPageReadBeforeAPeerSnapshotIsNotAppliedTwice covers a read that returns
// only after the snapshot of a peer, which includes the same records.
func TestPageReadBeforeAPeerSnapshotIsNotAppliedTwice(t *testing.T) {
	m := &memoryLog{}
	m.add(change("a", 0))
	s, _ := readAll(t, NewState(), m, 10)
	m.add(change("b", 1))
	delayed := m.page(1, 10)
	m.add(change("c", 2))
	s, _, err := s.WithSnapshot(m.reference()[3])
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(false, s.CaughtUp()); diff != "" {
		t.Error("caught up by a snapshot of a peer alone: ", diff)
	}
	s, decisions, err := s.WithPage(delayed)
	if err != nil || len(decisions) > 0 {
		t.Errorf("decisions %v, %v", decisions, err)
	}
	if diff := cmp.Diff(m.reference()[3], s.Snapshot()); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(false, s.CaughtUp()); diff != "" {
		t.Error("caught up by a page older than the state: ", diff)
	}
	// An overlapping page is applied from the offset of the state on.
	m.add(change("d", 3))
	s, decisions, err = s.WithPage(m.page(1, 10))
	if err != nil {
		t.Fatal(err)
	}
	want := []Decision{{Offset: 3, ID: "d", Accepted: true, Version: 4, Winner: "d"}}
	if diff := cmp.Diff(want, decisions); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(true, s.CaughtUp()); diff != "" {
		t.Error(diff)
	}
}

func TestExpiredLogLeavesAGapThatAPeerOfTheSameVersionCloses(t *testing.T) {
	m := &memoryLog{}
	m.add(change("a", 0))
	s, _ := readAll(t, NewState(), m, 10)
	m.add(change("refused", 0))
	m.earliest = 2
	s, _ = readAll(t, s, m, 10)
	if diff := cmp.Diff([]any{true, false}, []any{s.Gap(), s.CaughtUp()}); diff != "" {
		t.Error(diff)
	}
	s, used, err := s.WithSnapshot(m.reference()[2])
	if err != nil || !used {
		t.Errorf("used %v, %v", used, err)
	}
	s, _ = readAll(t, s, m, 10)
	if diff := cmp.Diff([]any{Version(1), true}, []any{s.Version(), s.CaughtUp()}); diff != "" {
		t.Error(diff)
	}
}

func TestReaderStartsFromASnapshotAndReplays(t *testing.T) {
	m := &memoryLog{}
	m.add(change("a", 0))
	m.add(change("b", 1))
	m.add(snapshotRecord(m.reference()[1])) // as of 1: b comes after it
	m.earliest = 1
	s, _ := readAll(t, NewState(), m, 10)
	if diff := cmp.Diff(m.reference()[3], s.Snapshot()); diff != "" {
		t.Error(diff)
	}
}
