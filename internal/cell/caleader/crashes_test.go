package caleader

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/cacrash"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/cell/castate"
)

// recordLog is a log whose newest records fit on pages of one record.
type recordLog struct {
	entries []LogEntry
	// failures is how many reads fail first.
	failures int
}

func (l *recordLog) Append(context.Context, int64, []LogEntry) (int64, error) {
	return 0, cakind.New(cakind.KindUnavailable, "no appends")
}

func (l *recordLog) Read(context.Context, int64, time.Duration) ([]LogEntry, int64, error) {
	return nil, 0, cakind.New(cakind.KindUnavailable, "no reads")
}

func (l *recordLog) Newest(_ context.Context, after string) (Page, error) {
	if l.failures > 0 {
		l.failures--
		return Page{}, cakind.New(cakind.KindUnavailable, "the store is unavailable")
	}
	for i, e := range l.entries {
		if e.Key <= after {
			continue
		}
		page := Page{Entries: []LogEntry{e}, End: int64(len(l.entries))}
		if i+1 < len(l.entries) {
			page.Next = e.Key
		}
		return page, nil
	}
	return Page{End: int64(len(l.entries))}, nil
}

func testJob(t *testing.T, id cawork.JobID) []byte {
	t.Helper()
	value, err := castate.NewJob(caspec.Submission{ID: id, Queue: "queue", Team: "north", Steps: []caspec.Step{{Tasks: 1, CPU: 1000, Memory: 1 << 30, Estimate: time.Second}}}, 1000).Encode()
	if err != nil {
		t.Fatal(err)
	}
	return value
}

func testCrashes(t *testing.T) []byte {
	t.Helper()
	h := cacrash.New()
	h.Add(cacrash.Task{}, cacrash.Crash{Upstream: "up-1", Incarnation: 7, Confirmed: true, Blamed: true})
	value, err := h.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// TestUnreadableCrashesCostOnlyThemselves loads a log with unreadable records of crashes. All jobs
// and the other crashes must be loaded.
func TestUnreadableCrashesCostOnlyThemselves(t *testing.T) {
	log := &recordLog{failures: 1, entries: []LogEntry{
		{Key: crashPrefix + "a", Value: testCrashes(t)},
		{Key: crashPrefix + "b", Value: []byte("not a record")},
		{Key: crashPrefix + "c"},
		{Key: jobPrefix + "a", Value: testJob(t, "a")},
		{Key: jobPrefix + "b", Value: testJob(t, "b")},
		{Key: jobPrefix + "c", Value: []byte("not a record")},
		{Key: layoutKey},
		{Key: claimKey},
	}}
	state, err := loadState(context.Background(), log, func(context.Context, time.Duration) error { return nil }, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	type counts struct{ Jobs, Crashes, UnreadableJobs, UnreadableCrashes int }
	got := counts{len(state.jobs), len(state.crashes), state.unreadableJobs, state.unreadableCrashes}
	if diff := cmp.Diff(counts{Jobs: 2, Crashes: 1, UnreadableJobs: 1, UnreadableCrashes: 1}, got); diff != "" {
		t.Errorf("loaded records (-want +got):\n%s", diff)
	}
	want := []cacrash.Crash{{Upstream: "up-1", Incarnation: 7, Confirmed: true, Blamed: true}}
	if diff := cmp.Diff(want, state.crashes["a"].Crashes(cacrash.Task{})); diff != "" {
		t.Errorf("crashes under the task of job a (-want +got):\n%s", diff)
	}
}

// TestCrashesAreStoredBeforeTheirJob guards against a start that is stored without the crash that
// precedes it: an append may be split, and a leader may be lost between its parts. Keys of crashes
// must sort before those of the claim, which are read alone.
func TestCrashesAreStoredBeforeTheirJob(t *testing.T) {
	if crashPrefix >= beforeLayoutKey {
		t.Errorf("keys of crashes begin with %q, which is read with the claim", crashPrefix)
	}
	clock := &manualClock{now: time.Unix(1000, 0)}
	l := loadedLeader(clock)
	state, err := castate.DecodeJob(testJob(t, "a"))
	if err != nil {
		t.Fatal(err)
	}
	o := state.OpenNext()
	o.Steps[0].Tasks[0] = castate.Task{Phase: castate.TaskAssigned, Run: 1, Upstream: "up-1", Born: 1}
	l.planner.Restore(state)
	l.planner.SetUpstreams([]caspec.Upstream{{ID: "up-1", Address: "a", Incarnation: 2}})
	_, entries, _, err := l.takeBatch()
	if err != nil {
		t.Fatal(err)
	}
	var keys []string
	for _, e := range entries {
		keys = append(keys, e.Key)
	}
	if diff := cmp.Diff([]string{"crash/a", "job/a"}, keys); diff != "" {
		t.Errorf("keys of the append (-want +got):\n%s", diff)
	}
}
