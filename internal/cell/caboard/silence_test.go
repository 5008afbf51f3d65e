package caboard

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/cell/caorder"
	"celeryarch.example/celeryarch/internal/cell/casilence"
	"celeryarch.example/celeryarch/internal/cell/castate"
)

// newSilentUpstream returns a cell of two upstreams, the first of which runs a task and has left a
// renewal unanswered.
func newSilentUpstream(t *testing.T) *simulation {
	t.Helper()
	s := newSimulation(t, 2, plainQueue())
	s.submit("0000000000000001", "queue", smallStep(1))
	start := s.startAll()[0]
	if start.Upstream != "up-00" {
		t.Fatalf("the task runs at %s, want up-00", start.Upstream)
	}
	s.report("up-00", []caorder.RunningRun{{Run: start.Run}}, nil)
	s.advance(time.Second)
	s.planner.MarkRenewalUnanswered("up-00")
	return s
}

// silentBatch takes the next batch, and returns it and the upstreams that it declares as silent.
func (s *simulation) silentBatch() (Batch, []casilence.Upstream) {
	s.t.Helper()
	batch, err := s.planner.NextBatch()
	if err != nil {
		s.t.Fatal(err)
	}
	return batch, batch.Silent
}

// extendsLease reports whether the next renewal of the first upstream extends its lease.
func (s *simulation) extendsLease() bool {
	lease, ok := s.planner.RenewLease("up-00")
	return ok && lease.EndMS > 0
}

// TestLeaseIsNotExtendedWhileDeclaredSilent covers an upstream that answers again after the log has
// declared that its lease runs out. A successor may rely on that until a later append is stored.
func TestLeaseIsNotExtendedWhileDeclaredSilent(t *testing.T) {
	s := newSilentUpstream(t)
	declared, silent := s.silentBatch()
	if diff := cmp.Diff(1, len(silent)); diff != "" {
		t.Fatalf("upstreams declared as silent (-want +got):\n%s", diff)
	}
	u := s.planner.upstreams["up-00"]
	if diff := cmp.Diff(u.leaseExpires.Sub(s.now), silent[0].LeaseRemaining); diff != "" {
		t.Errorf("remaining time of the lease (-want +got):\n%s", diff)
	}
	var running []caorder.RunningRun
	for id := range u.runs {
		running = append(running, caorder.RunningRun{Run: id})
	}
	s.report("up-00", running, nil)
	extended := []bool{s.extendsLease()}
	s.planner.MarkStored(declared)
	extended = append(extended, s.extendsLease())
	revoked, _ := s.silentBatch()
	extended = append(extended, s.extendsLease())
	s.planner.MarkStored(revoked)
	extended = append(extended, s.extendsLease())
	if diff := cmp.Diff([]bool{false, false, false, true}, extended); diff != "" {
		t.Errorf("lease extended while the declaration is stored, was stored, is revoked, was revoked (-want +got):\n%s", diff)
	}
}

// TestNothingStartsAtUpstreamDeclaredSilent covers starts, which extend leases too: one that was
// decided before the declaration, and a later one.
func TestNothingStartsAtUpstreamDeclaredSilent(t *testing.T) {
	s := newSilentUpstream(t)
	s.report("up-00", nil, nil)
	s.submit("0000000000000002", "queue", smallStep(1))
	s.planner.Plan()
	for _, j := range s.planner.jobs["0000000000000002"].steps {
		if diff := cmp.Diff(castate.TaskAssigned, j.state().Tasks[0].Phase); diff != "" {
			t.Fatalf("task before the declaration (-want +got):\n%s", diff)
		}
	}
	s.planner.MarkRenewalUnanswered("up-00")
	batch, _ := s.silentBatch()
	for _, o := range s.planner.MarkStored(batch) {
		if o.Upstream == "up-00" {
			t.Errorf("a start is sent to an upstream that is declared as silent")
		}
	}
}

// TestSuccessorWaitsForDeclaredLeaseOnly covers a run that is lost with its upstream, with a new
// leader that finds the declaration of the one before, or one of another incarnation.
func TestSuccessorWaitsForDeclaredLeaseOnly(t *testing.T) {
	const remaining = 3 * time.Second
	waits := map[string]time.Duration{}
	for name, incarnation := range map[string]int64{"same incarnation": 1, "other incarnation": 2} {
		s := newSilentUpstream(t)
		next := s.newLeaderAfter([]casilence.Upstream{{Upstream: "up-00", Incarnation: incarnation, LeaseRemaining: remaining}})
		lostAt := next.now
		for len(next.planner.upstreams["up-00"].runs) > 0 {
			next.advance(100 * time.Millisecond)
			next.planner.ExpireLeases()
		}
		waits[name] = next.now.Sub(lostAt).Round(time.Second)
	}
	want := map[string]time.Duration{"same incarnation": remaining, "other incarnation": 10 * time.Second}
	if diff := cmp.Diff(want, waits); diff != "" {
		t.Errorf("wait for the lease of a silent upstream (-want +got):\n%s", diff)
	}
}

// TestSilenceIsDeclaredOn covers a leader that is replaced before the upstream answers it: its
// successor must not begin the wait anew.
func TestSilenceIsDeclaredOn(t *testing.T) {
	s := newSilentUpstream(t)
	declared := []casilence.Upstream{{Upstream: "up-00", Incarnation: 1, LeaseRemaining: 3 * time.Second, Declaration: 5}}
	next := s.newLeaderAfter(declared)
	next.advance(100 * time.Millisecond)
	_, silent := next.silentBatch()
	want := []casilence.Upstream{{Upstream: "up-00", Incarnation: 1, LeaseRemaining: 2900 * time.Millisecond, Declaration: 5}}
	if diff := cmp.Diff(want, silent); diff != "" {
		t.Errorf("upstreams declared as silent by the successor (-want +got):\n%s", diff)
	}
}

// TestRenewalOfUpstreamDeclaredSilentForgetsNoEnds covers an upstream that ended a run, was declared as
// silent and restarts. Its later incarnation numbers its ends from 1 again, so that a renewal that
// acknowledges the ends of the earlier one makes it forget ends that nobody has seen.
func TestRenewalOfUpstreamDeclaredSilentForgetsNoEnds(t *testing.T) {
	s := newSimulation(t, 2, plainQueue())
	s.submit("0000000000000001", "queue", smallStep(2), smallStep(2))
	for len(s.planner.upstreams["up-00"].runs) < 2 {
		if len(s.startAll()) == 0 {
			t.Fatal("up-00 runs fewer than two tasks")
		}
	}
	var running []caorder.RunningRun
	for _, r := range s.planner.upstreams["up-00"].sortedRuns() {
		running = append(running, caorder.RunningRun{Run: r.id})
	}
	s.report("up-00", running[1:], []caorder.EndedRun{{Run: running[0].Run, Ending: caorder.EndingDone}})
	s.commit()
	acknowledged := func() int64 {
		lease, ok := s.planner.RenewLease("up-00")
		if !ok {
			t.Fatal("the lease of up-00 is not renewed")
		}
		return lease.StoredEnd
	}
	got := []int64{acknowledged()}
	s.planner.MarkRenewalUnanswered("up-00")
	got = append(got, acknowledged())
	declared, silent := s.silentBatch()
	if diff := cmp.Diff(1, len(silent)); diff != "" {
		t.Fatalf("upstreams declared as silent (-want +got):\n%s", diff)
	}
	got = append(got, acknowledged())
	s.planner.MarkStored(declared)
	got = append(got, acknowledged())
	if diff := cmp.Diff([]int64{1, 0, 0, 0}, got); diff != "" {
		t.Errorf("ends acknowledged while the upstream answers, does not, is being declared as silent, was declared (-want +got):\n%s", diff)
	}
}

// TestInheritedRunOfVanishedUpstreamWaitsForItsLease covers an upstream whose VM is back under another
// id while the leader changes, so that the address of the upstream proves that it no longer exists.
func TestInheritedRunOfVanishedUpstreamWaitsForItsLease(t *testing.T) {
	s := newSimulation(t, 2, plainQueue())
	s.submit("0000000000000001", "queue", longRunningStep(1))
	start := s.startAll()[0]
	s.report(start.Upstream, []caorder.RunningRun{{Run: start.Run}}, nil)
	s.advance(30 * time.Second)
	s.report(start.Upstream, []caorder.RunningRun{{Run: start.Run}}, nil)
	next := s.newLeader()
	lostAt := next.now
	next.planner.MarkRenewalUnanswered(start.Upstream)
	next.planner.MarkIncarnationGone(start.Upstream, 1)
	for task := &next.planner.jobs["0000000000000001"].OpenOccurrences[0].Steps[0].Tasks[0]; task.Phase != castate.TaskWaiting; {
		next.advance(100 * time.Millisecond)
		next.planner.ExpireLeases()
		if next.now.Sub(lostAt) > restartBound {
			t.Fatalf("the task is not given up for %v, though its upstream no longer exists", restartBound)
		}
	}
}

// TestLeaseOfEarlierLeaderOutlastsProof covers a leader that is proved to have ended: its successor
// still waits for the leases of the leaders before that one, and of upstreams that have answered.
func TestLeaseOfEarlierLeaderOutlastsProof(t *testing.T) {
	waits := map[string]time.Duration{}
	for name, inherited := range map[string]time.Duration{"none inherited": 0, "inherited": 9 * time.Second, "answered": 0} {
		next := newSilentUpstream(t).newLeader()
		u, tookOverAt := next.planner.upstreams["up-00"], next.now
		next.advance(time.Second)
		if name == "answered" {
			next.planner.markAnswered(u, next.now)
		}
		next.planner.MarkPreviousLeaderGone(7*time.Second, inherited)
		waits[name] = u.leaseExpires.Sub(tookOverAt)
	}
	want := map[string]time.Duration{"none inherited": 8 * time.Second, "inherited": 9 * time.Second, "answered": 10 * time.Second}
	if diff := cmp.Diff(want, waits); diff != "" {
		t.Errorf("wait for the lease of a silent upstream (-want +got):\n%s", diff)
	}
}
