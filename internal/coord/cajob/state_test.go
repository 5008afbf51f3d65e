package cajob

import (
	"flag"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/caescrow"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

const team cawork.TeamName = "t"

var (
	start    = time.Unix(1_000_000, 0).UTC()
	taskSize = cawork.Resources{CPU: cawork.Cores(1)}
)

// TestMain fixes the seed of the property tests unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20240601")
	}
	os.Exit(m.Run())
}

func newState(t *testing.T, cores int64) *State {
	t.Helper()
	s := NewState("s", DefaultRetention())
	mint := caescrow.MintShare{Team: team, Version: 1, Amount: cawork.Resources{CPU: cawork.Cores(cores)}}
	mustApply(t, s, Record{Type: RecordMintSet, MintSet: &mint})
	return s
}

func mustApply(t *testing.T, s *State, r Record) {
	t.Helper()
	if err := apply(s, r); err != nil {
		t.Fatal(err)
	}
}

func apply(s *State, r Record) error {
	if r.At.IsZero() {
		r.At = start
	}
	b, err := r.Encode()
	if err != nil {
		return err
	}
	return s.Apply(b)
}

func accepted(id cawork.JobID, spec cawork.JobSpec) Record {
	job := cawork.Job{ID: id, Team: team, Spec: spec, Accepted: start}
	return Record{Type: RecordJobAccepted, JobAccepted: &JobAccepted{Job: job, Key: "key-" + string(id)}}
}

func intended(job cawork.JobID, attempts ...string) Record {
	r := &AttemptsIntended{}
	for i, a := range attempts {
		r.Attempts = append(r.Attempts, Intent{
			Attempt: cawork.AttemptID(a), Task: cawork.TaskRef{Job: job, Index: i}, Upstream: "u", Charge: taskSize,
		})
	}
	return Record{Type: RecordAttemptsIntended, AttemptsIntended: r}
}

func settledAs(a cawork.AttemptID, s cawork.TaskState, observed bool) Record {
	return Record{Type: RecordAttemptSettled, AttemptSettled: &AttemptSettled{Attempt: a, State: s, Observed: observed}}
}

func endedAs(j cawork.JobID, o cawork.Outcome) Record {
	return Record{Type: RecordJobEnded, JobEnded: &JobEnded{Job: j, Outcome: o}}
}

func kinds(s *State, records ...Record) []cakind.Kind {
	var out []cakind.Kind
	for _, r := range records {
		if err := apply(s, r); err != nil {
			out = append(out, cakind.Of(err))
		}
	}
	return out
}

func TestRulesOfAttempts(t *testing.T) {
	s := newState(t, 3)
	mustApply(t, s, accepted("once", cawork.JobSpec{Tasks: 1, MaxAttempts: 5}))
	mustApply(t, s, accepted("again", cawork.JobSpec{Tasks: 1, MaxAttempts: 2, Idempotent: true}))
	mustApply(t, s, accepted("gang", cawork.JobSpec{Kind: cawork.WorkKindGang, Tasks: 2, Idempotent: true}))
	got := kinds(
		s,
		intended("once", "a1"),
		intended("once", "a2"),
		settledAs("a1", cawork.TaskStateFenced, true),
		intended("once", "a3"),
		settledAs("a3", cawork.TaskStateLapsed, false),
		intended("once", "a4"),
		endedAs("once", cawork.OutcomeNotRun),
		endedAs("once", cawork.OutcomeFailed),
		endedAs("once", cawork.OutcomeUnknown),
		intended("again", "b1"),
		endedAs("again", cawork.OutcomeFailed),
		settledAs("b1", cawork.TaskStateFailed, true),
		settledAs("b1", cawork.TaskStateDone, true),
		intended("again", "b2"),
		intended("gang", "g1"),
		intended("gang", "g1", "g2"),
		intended("gang", "g3", "g4"),
	)
	want := []cakind.Kind{
		cakind.KindConflict, // a2: a1 is open
		cakind.KindConflict, // a4: a3 may have run
		cakind.KindConflict, // not run would be untrue
		cakind.KindConflict, // failed would be untrue
		cakind.KindConflict, // b1 is open
		cakind.KindNotFound, // b1 is settled
		cakind.KindConflict, // half a gang
		cakind.KindConflict, // the gang runs
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("refusals (-want +got):\n%s", diff)
	}
	if err := s.Verify(); err != nil {
		t.Error(err)
	}
}

func TestGangIsChargedWholeOrNotAtAll(t *testing.T) {
	s := newState(t, 2)
	mustApply(t, s, accepted("gang", cawork.JobSpec{Kind: cawork.WorkKindGang, Tasks: 3}))
	got := kinds(s, intended("gang", "g1", "g2", "g3"))
	if diff := cmp.Diff([]cakind.Kind{cakind.KindLimitReached}, got); diff != "" {
		t.Errorf("refusals (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(cawork.Resources{}, s.Account().Charged(team)); diff != "" {
		t.Errorf("charges (-want +got):\n%s", diff)
	}
}

func TestKeyNamesOneJob(t *testing.T) {
	s := newState(t, 1)
	mustApply(t, s, accepted("j1", cawork.JobSpec{Tasks: 1}))
	second := accepted("j2", cawork.JobSpec{Tasks: 1})
	second.JobAccepted.Key = "key-j1"
	if diff := cmp.Diff([]cakind.Kind{cakind.KindConflict}, kinds(s, second)); diff != "" {
		t.Errorf("refusals (-want +got):\n%s", diff)
	}
	known, _ := s.JobOfKey(team, "key-j1")
	if diff := cmp.Diff(cawork.JobID("j1"), known.Job.ID); diff != "" {
		t.Errorf("job of the key (-want +got):\n%s", diff)
	}
}

// TestLateHandoverIsRefusedAfterTheJobWasForgotten covers a copy of a handover
// that arrives when the receiver no longer keeps the ended job.
func TestLateHandoverIsRefusedAfterTheJobWasForgotten(t *testing.T) {
	giver, taker := newState(t, 1), NewState("taker", Retention{Age: time.Second, Count: 10})
	mustApply(t, giver, accepted("j", cawork.JobSpec{Tasks: 1}))
	mustApply(t, giver, Record{Type: RecordHandedOver, HandedOver: &HandedOver{Job: "j", To: "taker"}})
	over := giver.Handovers()[0].Accepted
	mustApply(t, taker, Record{Type: RecordJobAccepted, JobAccepted: &over})
	mustApply(t, taker, endedAs("j", cawork.OutcomeNotRun))
	late := Record{Type: RecordJobAccepted, JobAccepted: &over, At: start.Add(time.Hour)}
	if diff := cmp.Diff([]cakind.Kind{cakind.KindConflict}, kinds(taker, late)); diff != "" {
		t.Errorf("refusals (-want +got):\n%s", diff)
	}
	_, known := taker.Job("j")
	if known {
		t.Error("the ended job is still kept after its retention")
	}
	mustApply(t, giver, Record{Type: RecordHandoverAcked, HandoverAcked: &HandoverAcked{Job: "j"}})
	if diff := cmp.Diff([]Handover(nil), giver.Handovers()); diff != "" {
		t.Errorf("handovers (-want +got):\n%s", diff)
	}
}

// TestSettleAfterTakeover covers each fate. An attempt that the new primary
// itself intended is not settled by its absence, as its start may be late.
func TestSettleAfterTakeover(t *testing.T) {
	s := newState(t, 7)
	mustApply(t, s, accepted("j", cawork.JobSpec{Tasks: 7}))
	r := intended("j", "runs", "ended", "absent", "lapsed", "waits", "unknown", "own")
	for i, u := range []cawork.UpstreamID{"u1", "u1", "u1", "u2", "u3", "u4", "u1"} {
		r.AttemptsIntended.Attempts[i].Upstream = u
	}
	r.AttemptsIntended.Attempts[6].View = 3
	mustApply(t, s, r)
	if diff := cmp.Diff([]cawork.UpstreamID{"u1", "u2", "u3", "u4"}, s.FencesNeeded()); diff != "" {
		t.Errorf("fences needed (-want +got):\n%s", diff)
	}
	rec := s.Settle(
		start,
		[]FenceAnswer{{Upstream: "u1", View: 3, Tasks: []caplatform.TaskStatus{
			{Attempt: "runs", State: cawork.TaskStateRunning},
			{Attempt: "ended", State: cawork.TaskStateDone},
			{Attempt: "orphan", State: cawork.TaskStateRunning},
		}}},
		[]Unanswered{{Upstream: "u2", LapsedAt: start}, {Upstream: "u3", LapsedAt: start.Add(1)}, {Upstream: "u4"}},
	)
	type fate struct {
		Attempt cawork.AttemptID
		Fate    Fate
		State   cawork.TaskState
	}
	var got []fate
	for _, r := range rec.Resolutions {
		got = append(got, fate{r.Attempt.ID, r.Fate, r.Settled.State})
	}
	want := []fate{
		{"absent", FateSettle, cawork.TaskStateFenced},
		{"ended", FateSettle, cawork.TaskStateDone},
		{"lapsed", FateSettle, cawork.TaskStateLapsed},
		{"own", FateWait, 0},
		{"runs", FateAdopt, 0},
		{"unknown", FateWait, 0},
		{"waits", FateWait, 0},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("fates (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]Orphan{{Upstream: "u1", Attempt: "orphan"}}, rec.Orphans); diff != "" {
		t.Errorf("orphans (-want +got):\n%s", diff)
	}
}

// drawRecord returns any record about a few jobs, also one that breaks rules.
func drawRecord(t *rapid.T, serial int) Record {
	job := cawork.JobID(rapid.SampledFrom([]string{"j1", "j2", "j3"}).Draw(t, "job"))
	attempt := cawork.AttemptID(strconv.Itoa(rapid.IntRange(max(0, serial-4), serial).Draw(t, "attempt")))
	switch rapid.IntRange(0, 6).Draw(t, "type") {
	case 0:
		return accepted(job, cawork.JobSpec{
			Kind: cawork.WorkKind(rapid.IntRange(1, 3).Draw(t, "kind")), Tasks: rapid.IntRange(1, 2).Draw(t, "tasks"),
			Idempotent: rapid.Bool().Draw(t, "idempotent"), MaxAttempts: rapid.IntRange(0, 2).Draw(t, "limit"),
		})
	case 1, 2:
		return intended(job, strconv.Itoa(serial), "x"+strconv.Itoa(serial))
	case 3, 4:
		return settledAs(attempt, cawork.TaskState(rapid.IntRange(0, 7).Draw(t, "state")), rapid.Bool().Draw(t, "observed"))
	case 5:
		return Record{Type: RecordJobCanceled, JobCanceled: &JobCanceled{Job: job}}
	default:
		return endedAs(job, cawork.Outcome(rapid.IntRange(0, 5).Draw(t, "outcome")))
	}
}

// TestReplicasAgree folds random records on two replicas, one of which is
// restored from snapshots, and asserts that they refuse alike and end alike.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, two := NewState("s", DefaultRetention()), NewState("s", DefaultRetention())
		mint := caescrow.MintShare{Team: team, Version: 1, Amount: taskSize.Times(3)}
		_ = apply(one, Record{Type: RecordMintSet, MintSet: &mint})
		_ = apply(two, Record{Type: RecordMintSet, MintSet: &mint})
		for i := range rapid.IntRange(1, 60).Draw(t, "records") {
			r := drawRecord(t, i)
			if a, b := apply(one, r), apply(two, r); cakind.Of(a) != cakind.Of(b) || (a == nil) != (b == nil) {
				t.Fatalf("one replica: %v, other: %v", a, b)
			}
			if err := one.Verify(); err != nil {
				t.Fatal(err)
			}
			image, err := one.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			if rapid.Bool().Draw(t, "restore") {
				if err := two.Restore(image); err != nil {
					t.Fatal(err)
				}
			}
			other, _ := two.Snapshot()
			if diff := cmp.Diff(string(image), string(other)); diff != "" {
				t.Fatalf("snapshots differ:\n%s", diff)
			}
		}
	})
}
