package cafollow

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// memory is a log without faults that keeps everything, and what is left of it.
type memory struct {
	records  []record
	earliest caplatform.Offset
}

func (m *memory) next() caplatform.Offset { return caplatform.Offset(len(m.records)) }

func (m *memory) add(r record) { m.records = append(m.records, r) }

func (m *memory) page(from caplatform.Offset, size int) caplatform.Page {
	p := caplatform.Page{Earliest: m.earliest, Next: m.next()}
	for o := max(from, m.earliest); o < m.next() && len(p.Records) < size; o++ {
		p.Records = append(p.Records, caplatform.Record{Offset: o, Payload: m.records[o].encode()})
	}
	return p
}

// naive is one process that has read every record: the version and body in
// force at each offset.
func (m *memory) naive() []Snapshot {
	now := Snapshot{Hash: DigestOf(nil)}
	history := []Snapshot{now}
	for i, r := range m.records {
		switch {
		case r.Change != nil && r.Change.Base == now.Version:
			now = Snapshot{Version: now.Version + 1, ChangeID: r.Change.ID, Body: r.Change.Body, Hash: DigestOf(r.Change.Body)}
		case r.Reset != nil:
			now = Snapshot{Version: Version(i + 1), ChangeID: r.Reset.ID, Body: r.Reset.Body, Hash: DigestOf(r.Reset.Body)}
		}
		now.AsOf = caplatform.Offset(i + 1)
		history = append(history, now)
	}
	return history
}

func change(id string, base Version) record {
	return record{Change: &Change{ID: ChangeID(id), Base: base, Body: []byte("body of " + id)}}
}

func snapshotRecord(s Snapshot) record { return record{Snapshot: &s} }

// readAll reads until the state has nothing more to read.
func readAll(t interface {
	Helper()
	Fatal(...any)
}, s State, m *memory, size int,
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
	m := &memory{}
	m.add(change("a", 0))
	m.add(change("b", 1))
	m.add(change("c", 1))
	m.add(change("b", 1)) // the retry of a lost answer
	m.add(change("d", 7)) // ahead of every version
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
func truncatedRace() *memory {
	m := &memory{}
	m.add(change("first", 0))
	m.add(change("winner", 1))
	m.add(change("loser", 1))
	m.add(snapshotRecord(m.naive()[1])) // version 1, as of 1
	m.earliest = 2
	return m
}

func TestFreshReaderDoesNotDecideARaceItSawHalf(t *testing.T) {
	m := truncatedRace()
	s, decisions := readAll(t, NewState(), m, 10)
	if diff := cmp.Diff([]Decision(nil), decisions); diff != "" {
		t.Error("decided: ", diff)
	}
	if diff := cmp.Diff([]any{Version(1), true, false}, []any{s.Version(), s.Gap(), s.CaughtUp()}); diff != "" {
		t.Error(diff)
	}
	// A snapshot of a place from which the log is whole heals the gap.
	m.add(snapshotRecord(m.naive()[3]))
	m.add(change("late", 2))
	s, _ = readAll(t, s, m, 10)
	if diff := cmp.Diff(m.naive()[6], s.Snapshot()); diff != "" {
		t.Error(diff)
	}
}

func TestReaderThatFellBehindTheLogStopsDeciding(t *testing.T) {
	m := &memory{}
	m.add(change("a", 0))
	s, _ := readAll(t, NewState(), m, 10)
	m.add(change("winner", 1))
	m.add(change("loser", 1))
	m.earliest = 2
	s, _ = readAll(t, s, m, 10)
	if diff := cmp.Diff([]any{Version(1), true}, []any{s.Version(), s.Gap()}); diff != "" {
		t.Error(diff)
	}
	s, used, err := s.WithSnapshot(m.naive()[2])
	if err != nil || !used {
		t.Fatalf("snapshot of a peer: used %v, %v", used, err)
	}
	s, _ = readAll(t, s, m, 10)
	if diff := cmp.Diff([]any{Version(2), "body of winner", true}, []any{s.Version(), string(s.Snapshot().Body), s.CaughtUp()}); diff != "" {
		t.Error(diff)
	}
}

func TestResetIsAgreedWithoutAnyEarlierVersion(t *testing.T) {
	m := truncatedRace()
	m.records = m.records[:3]
	m.add(record{Reset: &Reset{ID: "r", Body: []byte("new")}})
	m.add(change("after", 4))
	all, _ := readAll(t, NewState(), &memory{records: m.records}, 10)
	fresh, _ := readAll(t, NewState(), m, 10)
	if diff := cmp.Diff(all.Snapshot(), fresh.Snapshot()); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(Version(5), fresh.Version()); diff != "" {
		t.Error(diff)
	}
}

func TestContradictionsAreRefused(t *testing.T) {
	m := &memory{}
	m.add(change("a", 0))
	m.add(change("b", 1))
	s, _ := readAll(t, NewState(), m, 10)
	other := []byte("other")
	tests := []struct {
		name     string
		snapshot Snapshot
	}{
		{"broken body", Snapshot{Version: 2, AsOf: 5, Body: other}},
		{"other body of the same version", Snapshot{Version: 2, AsOf: 5, Body: other, Hash: DigestOf(other)}},
		{"more versions than records", Snapshot{Version: 9, AsOf: 5, Body: other, Hash: DigestOf(other)}},
		{"lower version at a later place", Snapshot{Version: 1, AsOf: 5, Body: other, Hash: DigestOf(other)}},
		{"higher version at an earlier place", Snapshot{Version: 2, AsOf: 2, Body: other, Hash: DigestOf(other)}},
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

func TestLogThatGoesBackIsUnavailable(t *testing.T) {
	m := &memory{}
	m.add(change("a", 0))
	s, _ := readAll(t, NewState(), m, 10)
	_, _, err := s.WithPage(caplatform.Page{})
	if diff := cmp.Diff(cakind.KindUnavailable, cakind.Of(err)); diff != "" {
		t.Error(diff)
	}
}

// world is a log with readers, all operations of which rapid picks.
type world struct {
	log     memory
	readers []State
	// late holds a page for each reader that was read but not taken yet.
	late  map[int]caplatform.Page
	names int
}

func (w *world) newID() string {
	w.names++
	return fmt.Sprintf("c%d", w.names)
}

func (w *world) pick(t *rapid.T, name string) int {
	return rapid.IntRange(0, len(w.readers)-1).Draw(t, name)
}

func (w *world) appendChange(t *rapid.T) {
	base := w.log.naive()[w.log.next()].Version + Version(rapid.IntRange(-1, 1).Draw(t, "distance"))
	w.log.add(change(w.newID(), base))
}

func (w *world) appendCopy(t *rapid.T) {
	if len(w.log.records) > 0 {
		w.log.add(w.log.records[rapid.IntRange(0, len(w.log.records)-1).Draw(t, "copied")])
	}
}

func (w *world) appendReset(t *rapid.T) {
	if rapid.IntRange(0, 4).Draw(t, "seldom") == 0 {
		w.log.add(record{Reset: &Reset{ID: ChangeID(w.newID()), Body: []byte(w.newID())}})
	}
}

func (w *world) appendSnapshot(t *rapid.T) {
	w.log.add(snapshotRecord(w.readers[w.pick(t, "writer")].Snapshot()))
}

func (w *world) truncate(t *rapid.T) {
	w.log.earliest = caplatform.Offset(rapid.IntRange(int(w.log.earliest), int(w.log.next())).Draw(t, "earliest"))
}

func (w *world) join(*rapid.T) {
	if len(w.readers) < 6 {
		w.readers = append(w.readers, NewState())
	}
}

func (w *world) read(t *rapid.T) {
	i := w.pick(t, "reader")
	page, ok := w.late[i]
	if !ok {
		page = w.log.page(w.readers[i].ReadFrom(), rapid.IntRange(1, 4).Draw(t, "size"))
		if rapid.Bool().Draw(t, "late") {
			w.late[i] = page
			return
		}
	}
	delete(w.late, i)
	next, _, err := w.readers[i].WithPage(page)
	if err != nil && cakind.Of(err) != cakind.KindUnavailable {
		t.Fatal(err)
	}
	w.take(t, i, next)
}

func (w *world) fetch(t *rapid.T) {
	i, from := w.pick(t, "reader"), w.pick(t, "peer")
	next, _, err := w.readers[i].WithSnapshot(w.readers[from].Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	w.take(t, i, next)
}

func (w *world) take(t *rapid.T, i int, next State) {
	if next.Version() < w.readers[i].Version() {
		t.Fatalf("reader %d went back from version %d to %d", i, w.readers[i].Version(), next.Version())
	}
	w.readers[i] = next
}

// check compares every reader with the naive process at the same offset.
func (w *world) check(t *rapid.T) {
	history := w.log.naive()
	for i, r := range w.readers {
		if diff := cmp.Diff(history[r.Snapshot().AsOf], r.Snapshot()); diff != "" {
			t.Fatalf("reader %d: %s", i, diff)
		}
	}
}

// settle lets everybody read and exchange, with a snapshot if anybody has one.
func (w *world) settle(t *rapid.T) {
	for range 3 {
		best := 0
		for i := range w.readers {
			w.readers[i], _ = readAll(t, w.readers[i], &w.log, 3)
			if w.readers[i].Snapshot().AsOf > w.readers[best].Snapshot().AsOf {
				best = i
			}
		}
		for i := range w.readers {
			next, _, err := w.readers[i].WithSnapshot(w.readers[best].Snapshot())
			if err != nil {
				t.Fatal(err)
			}
			w.take(t, i, next)
		}
	}
	final := w.log.naive()[w.log.next()]
	for i, r := range w.readers {
		if w.anyCaughtUp() {
			if diff := cmp.Diff(final, r.Snapshot()); diff != "" {
				t.Fatalf("reader %d did not converge: %s", i, diff)
			}
		}
	}
}

func (w *world) anyCaughtUp() bool {
	for _, r := range w.readers {
		if r.CaughtUp() {
			return true
		}
	}
	return false
}

func TestReadersAgreeWithTheNaiveProcess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{readers: make([]State, 0, 6), late: map[int]caplatform.Page{}}
		w.join(t)
		t.Repeat(map[string]func(*rapid.T){
			"change":   w.appendChange,
			"copy":     w.appendCopy,
			"reset":    w.appendReset,
			"snapshot": w.appendSnapshot,
			"truncate": w.truncate,
			"join":     w.join,
			"read":     w.read,
			"fetch":    w.fetch,
			"":         w.check,
		})
		w.settle(t)
	})
}

func TestPageThatCameAfterAPeerIsNotAppliedTwice(t *testing.T) {
	m := &memory{}
	m.add(change("a", 0))
	s, _ := readAll(t, NewState(), m, 10)
	m.add(change("b", 1))
	late := m.page(1, 10)
	m.add(change("c", 2))
	s, _, err := s.WithSnapshot(m.naive()[3])
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(false, s.CaughtUp()); diff != "" {
		t.Error("caught up on the word of a peer: ", diff)
	}
	s, decisions, err := s.WithPage(late)
	if err != nil || len(decisions) > 0 {
		t.Errorf("decisions %v, %v", decisions, err)
	}
	if diff := cmp.Diff(m.naive()[3], s.Snapshot()); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(false, s.CaughtUp()); diff != "" {
		t.Error("caught up by a page older than the state: ", diff)
	}
	// A page that overlaps is applied from the place of the state on.
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
	m := &memory{}
	m.add(change("a", 0))
	s, _ := readAll(t, NewState(), m, 10)
	m.add(change("refused", 0))
	m.earliest = 2
	s, _ = readAll(t, s, m, 10)
	if diff := cmp.Diff([]any{true, false}, []any{s.Gap(), s.CaughtUp()}); diff != "" {
		t.Error(diff)
	}
	s, used, err := s.WithSnapshot(m.naive()[2])
	if err != nil || !used {
		t.Errorf("used %v, %v", used, err)
	}
	s, _ = readAll(t, s, m, 10)
	if diff := cmp.Diff([]any{Version(1), true}, []any{s.Version(), s.CaughtUp()}); diff != "" {
		t.Error(diff)
	}
}

func TestReaderStartsFromASnapshotAndReplays(t *testing.T) {
	m := &memory{}
	m.add(change("a", 0))
	m.add(change("b", 1))
	m.add(snapshotRecord(m.naive()[1])) // as of 1: b comes after it
	m.earliest = 1
	s, _ := readAll(t, NewState(), m, 10)
	if diff := cmp.Diff(m.naive()[3], s.Snapshot()); diff != "" {
		t.Error(diff)
	}
}
