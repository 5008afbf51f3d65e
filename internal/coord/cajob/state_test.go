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

// TestMain sets a fixed seed for the property tests unless one is given.
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
	if err := applyEncoded(s, r); err != nil {
		t.Fatal(err)
	}
}

func applyEncoded(s *State, r Record) error {
	if r.At.IsZero() {
		r.At = start
	}
	b, err := r.Encode()
	if err != nil {
		return err
	}
	return s.Apply(b)
}

func jobAccepted(id cawork.JobID, spec cawork.JobSpec) Record {
	job := cawork.Job{ID: id, Team: team, Spec: spec, Accepted: start}
	return Record{Type: RecordJobAccepted, JobAccepted: &JobAccepted{Job: job, Key: "key-" + string(id)}}
}

func attemptsIntended(job cawork.JobID, attempts ...string) Record {
	r := &AttemptsIntended{}
	for i, a := range attempts {
		r.Attempts = append(r.Attempts, Intent{
			Attempt: cawork.AttemptID(a), Task: cawork.TaskRef{Job: job, Index: i}, Upstream: "u", Charge: taskSize,
		})
	}
	return Record{Type: RecordAttemptsIntended, AttemptsIntended: r}
}

func attemptSettled(a cawork.AttemptID, s cawork.TaskState, observed bool) Record {
	return Record{Type: RecordAttemptSettled, AttemptSettled: &AttemptSettled{Attempt: a, State: s, Observed: observed}}
}

func jobEnded(j cawork.JobID, o cawork.Outcome) Record {
	return Record{Type: RecordJobEnded, JobEnded: &JobEnded{Job: j, Outcome: o}}
}

func refusalKinds(s *State, records ...Record) []cakind.Kind {
	var out []cakind.Kind
	for _, r := range records {
		if err := applyEncoded(s, r); err != nil {
			out = append(out, cakind.Of(err))
		}
	}
	return out
}

func TestRefusedRecords(t *testing.T) {
	s := newState(t, 3)
	mustApply(t, s, jobAccepted("once", cawork.JobSpec{Tasks: 1, MaxAttempts: 5}))
	mustApply(t, s, jobAccepted("again", cawork.JobSpec{Tasks: 1, MaxAttempts: 2, Idempotent: true}))
	mustApply(t, s, jobAccepted("gang", cawork.JobSpec{Kind: cawork.WorkKindGang, Tasks: 2, Idempotent: true}))
	got := refusalKinds(
		s,
		attemptsIntended("once", "a1"),
		attemptsIntended("once", "a2"),
		attemptSettled("a1", cawork.TaskStateFenced, true),
		attemptsIntended("once", "a3"),
		attemptSettled("a3", cawork.TaskStateLapsed, false),
		attemptsIntended("once", "a4"),
		jobEnded("once", cawork.OutcomeNotRun),
		jobEnded("once", cawork.OutcomeFailed),
		jobEnded("once", cawork.OutcomeUnknown),
		attemptsIntended("again", "b1"),
		jobEnded("again", cawork.OutcomeFailed),
		attemptSettled("b1", cawork.TaskStateFailed, true),
		attemptSettled("b1", cawork.TaskStateDone, true),
		attemptsIntended("again", "b2"),
		attemptsIntended("gang", "g1"),
		attemptsIntended("gang", "g1", "g2"),
		attemptsIntended("gang", "g3", "g4"),
	)
	want := []cakind.Kind{
		cakind.KindConflict, // a2: a1 is open
		cakind.KindConflict, // a4: a3 may have run
		cakind.KindConflict, // not run, but a3 may have run
		cakind.KindConflict, // failed, but a3 was not seen to run
		cakind.KindConflict, // b1 is open
		cakind.KindNotFound, // b1 is settled
		cakind.KindConflict, // only one task of the gang
		cakind.KindConflict, // the gang has open attempts
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("refusals (-want +got):\n%s", diff)
	}
	if err := s.Verify(); err != nil {
		t.Error(err)
	}
}

func TestGangIsChargedAtomically(t *testing.T) {
	s := newState(t, 2)
	mustApply(t, s, jobAccepted("gang", cawork.JobSpec{Kind: cawork.WorkKindGang, Tasks: 3}))
	got := refusalKinds(s, attemptsIntended("gang", "g1", "g2", "g3"))
	if diff := cmp.Diff([]cakind.Kind{cakind.KindLimitReached}, got); diff != "" {
		t.Errorf("refusals (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(cawork.Resources{}, s.Account().Charged(team)); diff != "" {
		t.Errorf("charges (-want +got):\n%s", diff)
	}
}

func TestDuplicateKeyIsRefused(t *testing.T) {
	s := newState(t, 1)
	mustApply(t, s, jobAccepted("j1", cawork.JobSpec{Tasks: 1}))
	second := jobAccepted("j2", cawork.JobSpec{Tasks: 1})
	second.JobAccepted.Key = "key-j1"
	if diff := cmp.Diff([]cakind.Kind{cakind.KindConflict}, refusalKinds(s, second)); diff != "" {
		t.Errorf("refusals (-want +got):\n%s", diff)
	}
	known, _ := s.JobByKey(team, "key-j1")
	if diff := cmp.Diff(cawork.JobID("j1"), known.Job.ID); diff != "" {
		t.Errorf("job of the key (-want +got):\n%s", diff)
	}
}

// TestLateHandoverIsRefusedAfterPruning guards against a job that runs twice: a
// duplicate of its handover arrives after the receiver pruned the ended job.
func TestLateHandoverIsRefusedAfterPruning(t *testing.T) {
	sender, receiver := newState(t, 1), NewState("receiver", Retention{MaxAge: time.Second, MaxCount: 10})
	mustApply(t, sender, jobAccepted("j", cawork.JobSpec{Tasks: 1}))
	mustApply(t, sender, Record{Type: RecordHandedOver, HandedOver: &HandedOver{Job: "j", To: "receiver"}})
	handover := sender.Handovers()[0].Accepted
	mustApply(t, receiver, Record{Type: RecordJobAccepted, JobAccepted: &handover})
	mustApply(t, receiver, jobEnded("j", cawork.OutcomeNotRun))
	late := Record{Type: RecordJobAccepted, JobAccepted: &handover, At: start.Add(time.Hour)}
	if diff := cmp.Diff([]cakind.Kind{cakind.KindConflict}, refusalKinds(receiver, late)); diff != "" {
		t.Errorf("refusals (-want +got):\n%s", diff)
	}
	_, known := receiver.Job("j")
	if known {
		t.Error("the ended job is not pruned after its retention")
	}
	mustApply(t, sender, Record{Type: RecordHandoverAcked, HandoverAcked: &HandoverAcked{Job: "j"}})
	if diff := cmp.Diff([]Handover(nil), sender.Handovers()); diff != "" {
		t.Errorf("handovers (-want +got):\n%s", diff)
	}
}

// TestResolveAttemptsAfterTakeover covers every way to resolve an attempt. An
// attempt that the new primary itself intended is not settled if it is absent,
// since its start may still be on its way.
func TestResolveAttemptsAfterTakeover(t *testing.T) {
	s := newState(t, 7)
	mustApply(t, s, jobAccepted("j", cawork.JobSpec{Tasks: 7}))
	r := attemptsIntended("j", "runs", "ended", "absent", "lapsed", "waits", "unknown", "own")
	for i, u := range []cawork.UpstreamID{"u1", "u1", "u1", "u2", "u3", "u4", "u1"} {
		r.AttemptsIntended.Attempts[i].Upstream = u
	}
	r.AttemptsIntended.Attempts[6].View = 3
	mustApply(t, s, r)
	if diff := cmp.Diff([]cawork.UpstreamID{"u1", "u2", "u3", "u4"}, s.UpstreamsToFence()); diff != "" {
		t.Errorf("fences needed (-want +got):\n%s", diff)
	}
	recovery := s.ResolveAttempts(
		start,
		[]FenceAnswer{{Upstream: "u1", View: 3, Tasks: []caplatform.TaskStatus{
			{Attempt: "runs", State: cawork.TaskStateRunning},
			{Attempt: "ended", State: cawork.TaskStateDone},
			{Attempt: "orphan", State: cawork.TaskStateRunning},
		}}},
		[]UnfencedUpstream{{Upstream: "u2", LapsedAt: start}, {Upstream: "u3", LapsedAt: start.Add(1)}, {Upstream: "u4"}},
	)
	type fate struct {
		Attempt cawork.AttemptID
		Fate    Fate
		State   cawork.TaskState
	}
	var got []fate
	for _, r := range recovery.Resolutions {
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
	if diff := cmp.Diff([]Orphan{{Upstream: "u1", Attempt: "orphan"}}, recovery.Orphans); diff != "" {
		t.Errorf("orphans (-want +got):\n%s", diff)
	}
}

// drawRecord draws a record, valid or not, about one of three jobs.
func drawRecord(t *rapid.T, serial int) Record {
	job := cawork.JobID(rapid.SampledFrom([]string{"j1", "j2", "j3"}).Draw(t, "job"))
	attempt := cawork.AttemptID(strconv.Itoa(rapid.IntRange(max(0, serial-4), serial).Draw(t, "attempt")))
	switch rapid.IntRange(0, 6).Draw(t, "type") {
	case 0:
		return jobAccepted(job, cawork.JobSpec{
			Kind: cawork.WorkKind(rapid.IntRange(1, 3).Draw(t, "kind")), Tasks: rapid.IntRange(1, 2).Draw(t, "tasks"),
			Idempotent: rapid.Bool().Draw(t, "idempotent"), MaxAttempts: rapid.IntRange(0, 2).Draw(t, "limit"),
		})
	case 1, 2:
		return attemptsIntended(job, strconv.Itoa(serial), "x"+strconv.Itoa(serial))
	case 3, 4:
		return attemptSettled(attempt, cawork.TaskState(rapid.IntRange(0, 7).Draw(t, "state")), rapid.Bool().Draw(t, "observed"))
	case 5:
		return Record{Type: RecordJobCanceled, JobCanceled: &JobCanceled{Job: job}}
	default:
		return jobEnded(job, cawork.Outcome(rapid.IntRange(0, 5).Draw(t, "outcome")))
	}
}

// TestReplicasAgree applies random records to two replicas, one of which is
// sometimes restored from a snapshot. It checks that they refuse the same
// records and have the same state after each one.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, two := NewState("s", DefaultRetention()), NewState("s", DefaultRetention())
		mint := caescrow.MintShare{Team: team, Version: 1, Amount: taskSize.Times(3)}
		_ = applyEncoded(one, Record{Type: RecordMintSet, MintSet: &mint})
		_ = applyEncoded(two, Record{Type: RecordMintSet, MintSet: &mint})
		for i := range rapid.IntRange(1, 60).Draw(t, "records") {
			r := drawRecord(t, i)
			if a, b := applyEncoded(one, r), applyEncoded(two, r); cakind.Of(a) != cakind.Of(b) || (a == nil) != (b == nil) {
				t.Fatalf("replicas disagree on record: %v, %v", a, b)
			}
			if err := one.Verify(); err != nil {
				t.Fatal(err)
			}
			snap, err := one.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			if rapid.Bool().Draw(t, "restore") {
				if err := two.Restore(snap); err != nil {
					t.Fatal(err)
				}
			}
			otherSnap, _ := two.Snapshot()
			if diff := cmp.Diff(string(snap), string(otherSnap)); diff != "" {
				t.Fatalf("snapshots differ:\n%s", diff)
			}
		}
	})
}
