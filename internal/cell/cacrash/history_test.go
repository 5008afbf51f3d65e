package cacrash

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// crash returns the crash of an incarnation, changed by the functions.
func crash(incarnation int64, changes ...func(*Crash)) Crash {
	c := Crash{Upstream: "up", Incarnation: incarnation, Confirmed: true, Blamed: true}
	for _, change := range changes {
		change(&c)
	}
	return c
}

func innocent(c *Crash)    { c.Blamed = false }
func sole(c *Crash)        { c.Sole = true }
func shared(c *Crash)      { c.Shared = true }
func unresolved(c *Crash)  { c.Unresolved = true }
func unconfirmed(c *Crash) { c.Confirmed = false }
func probation(c *Crash)   { c.Confirmed, c.Probation = false, true }

// verdict is what follows from the crashes under a task.
type verdict struct{ MayStart, OnProbation, GivenUp bool }

func TestVerdicts(t *testing.T) {
	tests := []struct {
		name    string
		crashes []Crash
		want    verdict
	}{
		{"no crash", nil, verdict{MayStart: true}},
		{"a bystander", []Crash{crash(1, innocent)}, verdict{MayStart: true}},
		{"a suspect", []Crash{crash(1)}, verdict{MayStart: true, OnProbation: true}},
		{"the only suspect", []Crash{crash(1, sole)}, verdict{MayStart: true, OnProbation: true}},
		{"a bystander twice", []Crash{crash(1, innocent), crash(2, innocent)}, verdict{MayStart: true, OnProbation: true}},
		{"a suspect twice, beside others", []Crash{crash(1), crash(2)}, verdict{MayStart: true, OnProbation: true}},
		{"a suspect twice, once the only one", []Crash{crash(1), crash(2, sole)}, verdict{MayStart: true, OnProbation: true}},
		{"a suspect three times, once the only one", []Crash{crash(1), crash(2), crash(3, sole)}, verdict{OnProbation: true, GivenUp: true}},
		{"the third crash is not resolved", []Crash{crash(1), crash(2), crash(3, sole, unresolved)}, verdict{OnProbation: true}},
		{"three crashes beside others", []Crash{crash(1), crash(2), crash(3)}, verdict{MayStart: true, OnProbation: true}},
		{"four crashes", []Crash{crash(1), crash(2), crash(3), crash(4)}, verdict{OnProbation: true, GivenUp: true}},
		{"one start may not have begun", []Crash{crash(1, sole, unconfirmed), crash(2, sole)}, verdict{MayStart: true, OnProbation: true}},
		{"three starts on probation were not confirmed", []Crash{crash(1, probation), crash(2, probation), crash(3, probation, sole)}, verdict{OnProbation: true, GivenUp: true}},
		{"two crashes, three more starts may not have begun", []Crash{
			crash(1, unconfirmed), crash(2, unconfirmed), crash(3, unconfirmed), crash(4), crash(5),
		}, verdict{OnProbation: true, GivenUp: true}},
		{"one crash, four more starts may not have begun", []Crash{
			crash(1, unconfirmed), crash(2, unconfirmed), crash(3, unconfirmed), crash(4, unconfirmed), crash(5),
		}, verdict{MayStart: true, OnProbation: true}},
		{"three crashes with a common cause", []Crash{crash(1, shared), crash(2, shared, sole), crash(3, shared)}, verdict{MayStart: true, OnProbation: true}},
		{"four crashes with a common cause", []Crash{crash(1, shared), crash(2, shared), crash(3, shared), crash(4, shared)}, verdict{OnProbation: true, GivenUp: true}},
	}
	for _, test := range tests {
		h := New()
		for _, c := range test.crashes {
			h.Add(Task{}, c)
		}
		got := verdict{MayStart: h.MayStart(Task{}, false), OnProbation: h.IsOnProbation(Task{}), GivenUp: h.IsGivenUp(Task{}, false)}
		if diff := cmp.Diff(test.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", test.name, diff)
		}
	}
}

// TestIncarnationCountsOnce guards against counting a crash again that two leaders or two runs of the
// task report.
func TestIncarnationCountsOnce(t *testing.T) {
	h := New()
	h.Add(Task{Index: 1}, crash(1, unresolved, innocent, unconfirmed))
	if !h.Add(Task{Index: 1}, crash(1)) {
		t.Error("a crash that is resolved does not change the unresolved one")
	}
	if h.Add(Task{Index: 1}, crash(1, unresolved)) {
		t.Error("the same crash changes the history again")
	}
	if diff := cmp.Diff([]Crash{crash(1)}, h.Crashes(Task{Index: 1})); diff != "" {
		t.Errorf("crashes (-want +got):\n%s", diff)
	}
	if h.Crashes(Task{}) != nil {
		t.Error("another task has the crash")
	}
}

func TestProbationOutlastsEarlierRuns(t *testing.T) {
	survived := func(d time.Duration) func(*Crash) { return func(c *Crash) { c.Survived = d } }
	tests := []struct {
		name         string
		crashes      []Crash
		endsByItself bool
		want         time.Duration
	}{
		{"no crash", nil, true, provenAfter},
		{"soon after the start", []Crash{crash(1)}, true, provenAfter},
		{"later", []Crash{crash(1, survived(4*time.Second))}, true, 9 * time.Second},
		{"long after the start", []Crash{crash(1, survived(time.Hour))}, true, MaxProbation},
		{"twice", []Crash{crash(1), crash(2)}, true, MaxProbation},
		{"twice, does not end by itself", []Crash{crash(1), crash(2)}, false, provenAfter},
	}
	for _, test := range tests {
		h := New()
		for _, c := range test.crashes {
			h.Add(Task{}, c)
		}
		if diff := cmp.Diff(test.want, h.ProbationTime(Task{}, test.endsByItself)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", test.name, diff)
		}
	}
}

// TestRecordKeepsHistory stores a history and reads it again, also from a record of a later build
// with more fields.
func TestRecordKeepsHistory(t *testing.T) {
	h := New()
	h.Add(Task{Occurrence: 2, Step: 1, Index: 3}, crash(1, sole, shared))
	h.Add(Task{Occurrence: 2, Step: 1, Index: 3}, crash(2, unresolved, probation))
	h.Add(Task{}, crash(3))
	value, err := h.Encode()
	if err != nil {
		t.Fatal(err)
	}
	var fields map[int]any
	if err := cbor.Unmarshal(value, &fields); err != nil {
		t.Fatal(err)
	}
	fields[99] = "later"
	later, err := cbor.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	for name, record := range map[string][]byte{"own record": value, "record of a later build": later} {
		got, err := Decode(record)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(h.Tasks(), got.Tasks()); diff != "" {
			t.Errorf("tasks of %s (-want +got):\n%s", name, diff)
		}
		if diff := cmp.Diff(h, got, cmp.AllowUnexported(History{})); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
	if empty, err := New().Encode(); err != nil || empty != nil {
		t.Errorf("record of an empty history: %v, error %v", empty, err)
	}
}

// FuzzDecode checks that any record decodes to a history that can be stored again, or to an error.
func FuzzDecode(f *testing.F) {
	h := New()
	h.Add(Task{Step: 1}, crash(1, sole))
	value, err := h.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(value)
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, value []byte) {
		decoded, err := Decode(value)
		if err != nil {
			return
		}
		if _, err := decoded.Encode(); err != nil {
			t.Error(err)
		}
	})
}

// TestCopiedRunCountsOnceItsUpstreamCrashed covers a run that is still present while its task is started
// elsewhere as well: it counts once its incarnation has ended, and not while it answers.
func TestCopiedRunCountsOnceItsUpstreamCrashed(t *testing.T) {
	isPresent := true
	present := func(Task) bool { return isPresent }
	h := New()
	h.Add(Task{}, crash(1, unresolved, func(c *Crash) { c.Present = true }))
	mayCopy := []bool{h.MayCopy(Task{})}
	h.ApplyAnswer("up", 1, present)
	mayCopy = append(mayCopy, h.MayCopy(Task{}))
	h.Resolve("up", 2)
	mayCopy = append(mayCopy, h.MayCopy(Task{}))
	if diff := cmp.Diff([]bool{false, true, false}, mayCopy); diff != "" {
		t.Errorf("copies permitted while the upstream is silent, after it answered and after it crashed (-want +got):\n%s", diff)
	}
	h.Add(Task{}, crash(3, func(c *Crash) { c.Present = true }))
	isPresent = false
	h.ApplyAnswer("up", 3, present)
	if diff := cmp.Diff([]Crash{crash(1)}, h.Crashes(Task{})); diff != "" {
		t.Errorf("crashes after the second run ended (-want +got):\n%s", diff)
	}
}

// TestTasksFollowChanges guards against a list of tasks that is out of date after a change.
func TestTasksFollowChanges(t *testing.T) {
	h, first, second, third := New(), Task{}, Task{Occurrence: 1}, Task{Occurrence: 2}
	check := func(change string, want ...Task) {
		t.Helper()
		if diff := cmp.Diff(want, h.Tasks(), cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("%s (-want +got):\n%s", change, diff)
		}
	}
	check("none added")
	h.Add(second, crash(2, unresolved))
	check("second added", second)
	h.Add(first, crash(1))
	h.Add(third, crash(1))
	check("all added", first, second, third)
	h.ApplyAnswer("up", 2, func(Task) bool { return false })
	check("crash of second withdrawn", first, third)
	h.KeepOccurrences(func(occurrence int) bool { return occurrence > 0 })
	check("first occurrence dropped", third)
	h.Clear(third)
	check("third cleared")
}

// TestGangIsStartedThreeTimesOver guards against a gang that crashes the upstreams of all its members and
// is given up only once a member has crashed three. No sooner may a gang be given up that others,
// or a common cause, may have hit.
func TestGangIsStartedThreeTimesOver(t *testing.T) {
	apart := func(changes ...func(*Crash)) []func(*Crash) { return append([]func(*Crash){probation}, changes...) }
	tests := []struct {
		name string
		// second holds what crashed under each member when it was started again.
		second [][]func(*Crash)
		want   verdict
	}{
		{"three upstreams crash again", [][]func(*Crash){apart(sole), apart(sole), apart()}, verdict{OnProbation: true, GivenUp: true}},
		{"one of them is not resolved", [][]func(*Crash){apart(sole), apart(sole), apart(unresolved)}, verdict{OnProbation: true}},
		{"two crash again", [][]func(*Crash){apart(sole), apart(sole)}, verdict{MayStart: true, OnProbation: true}},
		{"others are suspects at most of them", [][]func(*Crash){apart(sole), apart(), apart()}, verdict{MayStart: true, OnProbation: true}},
		{"a common cause", [][]func(*Crash){apart(sole, shared), apart(sole, shared), apart(sole, shared)}, verdict{MayStart: true, OnProbation: true}},
		{"bystanders", [][]func(*Crash){apart(sole, innocent), apart(sole, innocent), apart(sole, innocent)}, verdict{MayStart: true, OnProbation: true}},
		{"not started apart from others", [][]func(*Crash){{sole}, {sole}, {sole}}, verdict{MayStart: true, OnProbation: true}},
	}
	for _, test := range tests {
		h := New()
		for i, changes := range test.second {
			h.Add(Task{Index: i}, crash(int64(2*i)))
			h.Add(Task{Index: i}, crash(int64(2*i+1), changes...))
		}
		got := verdict{MayStart: h.MayStart(Task{}, true), OnProbation: h.IsOnProbation(Task{}), GivenUp: h.IsGivenUp(Task{}, true)}
		if diff := cmp.Diff(test.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", test.name, diff)
		}
		if h.IsGivenUp(Task{}, false) {
			t.Errorf("%s: a task that is no member of a gang is given up after two crashes", test.name)
		}
	}
}

// TestMemberWithOneCrashIsNotGivenUp covers members that were started apart once, on several upstreams,
// which crashed. Users permit to give up a task after two crashes.
func TestMemberWithOneCrashIsNotGivenUp(t *testing.T) {
	h := New()
	for i := range 4 {
		h.Add(Task{Index: i}, crash(int64(i), probation, sole))
	}
	if h.IsGivenUp(Task{}, true) || !h.MayStart(Task{}, true) {
		t.Error("a gang is given up after a single start")
	}
	h.Add(Task{Step: 1}, crash(10))
	h.Add(Task{Step: 1}, crash(11, probation, sole))
	if h.IsGivenUp(Task{Step: 1}, true) {
		t.Error("a gang is given up for crashes under another step")
	}
}

// TestExcusedCrashIsNoReasonForProbation guards against probation of what ran when most upstreams crashed at
// once, and against a task that is excused again and again.
func TestExcusedCrashIsNoReasonForProbation(t *testing.T) {
	h := New()
	for incarnation := range int64(maxAllCrashes) {
		h.Add(Task{}, crash(incarnation+1, shared))
		excused := h.Excuse("up", incarnation+1)
		if diff := cmp.Diff(incarnation < maxExcused, excused); diff != "" {
			t.Errorf("excused from crash %d (-want +got):\n%s", incarnation+1, diff)
		}
		if diff := cmp.Diff(incarnation >= maxExcused, h.IsOnProbation(Task{})); diff != "" {
			t.Errorf("on probation after crash %d (-want +got):\n%s", incarnation+1, diff)
		}
	}
	if diff := cmp.Diff(true, h.IsGivenUp(Task{}, false)); diff != "" {
		t.Errorf("given up after as many crashes as others must not suffer (-want +got):\n%s", diff)
	}
	if h.Excuse("other", 1) {
		t.Error("a crash of another upstream is excused")
	}
}
