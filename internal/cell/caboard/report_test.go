package caboard

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caorder"
	"celeryarch.example/celeryarch/internal/cell/casilence"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/cell/castate"
)

// renewWithoutAnswer sends lease renewals that the upstream of the order does not answer.
func (s *simulation) renewWithoutAnswer(order caorder.StartOrder, duration time.Duration) {
	for start := s.now; s.now.Sub(start) < duration; s.advance(500 * time.Millisecond) {
		if _, ok := s.planner.RenewLease(order.Upstream); ok {
			s.planner.MarkRenewalUnanswered(order.Upstream)
		}
		s.planner.ExpireLeases()
	}
}

// TestTaskWaitsAgainAfterLeaseOfUnlistedUpstream covers an upstream that is no longer listed
// and does not answer: its lease must expire and its task wait again.
func TestTaskWaitsAgainAfterLeaseOfUnlistedUpstream(t *testing.T) {
	s := newSimulation(t, 2, plainQueue())
	s.submit("0000000000000001", "queue", smallStep(1))
	order := s.startAll()[0]
	s.planner.SetUpstreams(nil)
	s.renewWithoutAnswer(order, 12*time.Second)
	task := s.planner.jobs["0000000000000001"].OpenOccurrences[0].Steps[0].Tasks[0]
	if diff := cmp.Diff(castate.TaskWaiting, task.Phase); diff != "" {
		t.Errorf("phase of the task after the lease (-want +got):\n%s", diff)
	}
}

// TestTaskStaysOnUnresponsiveUpstreamForItsLease covers an upstream that does not answer:
// its run may go on until the lease expires, and the task must not run elsewhere before.
func TestTaskStaysOnUnresponsiveUpstreamForItsLease(t *testing.T) {
	s := newSimulation(t, 2, plainQueue())
	s.submit("0000000000000001", "queue", smallStep(1))
	order := s.startAll()[0]
	s.renewWithoutAnswer(order, LeaseDuration-time.Second)
	task := s.planner.jobs["0000000000000001"].OpenOccurrences[0].Steps[0].Tasks[0]
	if diff := cmp.Diff(castate.TaskAssigned, task.Phase); diff != "" {
		t.Errorf("phase of the task within the lease (-want +got):\n%s", diff)
	}
}

func TestPendingCountsJobsWithoutReportedRun(t *testing.T) {
	s := newSimulation(t, 2, plainQueue())
	s.submit("0000000000000001", "queue", smallStep(1))
	s.commit()
	s.planner.Plan()
	orders := s.commit()
	s.planner.ApplyStartOutcome(orders[0], caorder.StartUnknown, 0)
	if diff := cmp.Diff(1, s.planner.UnstartedJobs()["queue"]); diff != "" {
		t.Errorf("pending jobs while the start has no answer (-want +got):\n%s", diff)
	}
	s.report(orders[0].Upstream, []caorder.RunningRun{{Run: orders[0].Run}}, nil)
	if diff := cmp.Diff(0, s.planner.UnstartedJobs()["queue"]); diff != "" {
		t.Errorf("pending jobs once the run is reported (-want +got):\n%s", diff)
	}
}

// TestApprovalIsRequestedForUselessJobs covers a job that is so late that its result has
// lost its value: it still runs, so its approval must be requested.
func TestApprovalIsRequestedForUselessJobs(t *testing.T) {
	s := newSimulation(t, 2, approvedQueue())
	s.submit("0000000000000001", "queue", smallStep(1))
	s.advance(time.Hour)
	for _, u := range []string{"up-00", "up-01"} {
		s.report(upstreamID(u), nil, nil)
	}
	if diff := cmp.Diff(1, len(s.planner.Plan().ApprovalRequests)); diff != "" {
		t.Errorf("approval requests for a useless job (-want +got):\n%s", diff)
	}
}

func TestApprovalRequestsAreBounded(t *testing.T) {
	s := newSimulation(t, 48, approvedQueue())
	s.planner.SetRequestLimits(RequestLimits{Total: 16, Long: 5})
	for i := range 300 {
		s.planner.open(submission(i, smallStep(1)), false)
	}
	if diff := cmp.Diff(16, len(s.planner.Plan().ApprovalRequests)); diff != "" {
		t.Errorf("approval requests after 300 jobs were opened at once (-want +got):\n%s", diff)
	}
}

func TestUnansweredStartIsStoppedBeforeTheTaskRunsAgain(t *testing.T) {
	s := newSimulation(t, 2, plainQueue())
	s.submit("0000000000000001", "queue", smallStep(1))
	s.planner.Plan()
	order := s.commit()[0]
	s.planner.ApplyStartOutcome(order, caorder.StartUnknown, 0)
	s.report(order.Upstream, nil, nil)
	if got := s.startAll(); len(got) != 0 {
		t.Fatalf("started %v though the first order may still take effect", got)
	}
	for _, stop := range s.stops {
		s.planner.ApplyStopOutcome(stop, true)
	}
	s.report(order.Upstream, nil, nil)
	want := order.Run
	want.Number++
	if diff := cmp.Diff(want, s.startAll()[0].Run); diff != "" {
		t.Errorf("run after the stop was acknowledged (-want +got):\n%s", diff)
	}
}

func TestJobFailsAfterItsAttempts(t *testing.T) {
	s := newSimulation(t, 2, plainQueue())
	s.submit("0000000000000001", "queue", smallStep(1))
	for range 3 {
		orders := s.startAll()
		if len(orders) != 1 {
			t.Fatalf("%d starts, want one", len(orders))
		}
		s.report(orders[0].Upstream, nil, []caorder.EndedRun{{Run: orders[0].Run, Ending: caorder.EndingFailed}})
	}
	s.commit()
	phase, known := s.planner.Phase("0000000000000001")
	if diff := cmp.Diff([]any{castate.PhaseFailed, true}, []any{phase, known}); diff != "" {
		t.Errorf("phase after three failures (-want +got):\n%s", diff)
	}
}

func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	s := newSimulation(t, 2, plainQueue())
	gang := caspec.Step{Tasks: 4, CPU: 7000, Memory: 1 << 30, Estimate: time.Second, Gang: true}
	s.submit("0000000000000001", "queue", smallStep(8))
	s.startAll()
	s.submit("0000000000000002", "queue", gang)
	if got := s.startAll(); len(got) != 0 {
		t.Fatalf("%d members started without room for the whole gang", len(got))
	}
}

func TestCompletionIsVisibleOnceStored(t *testing.T) {
	s := newSimulation(t, 2, plainQueue())
	s.submit("0000000000000001", "queue", smallStep(1))
	order := s.startAll()[0]
	s.report(order.Upstream, nil, []caorder.EndedRun{{Run: order.Run, Ending: caorder.EndingDone}})
	before, _ := s.planner.Phase("0000000000000001")
	s.commit()
	after, _ := s.planner.Phase("0000000000000001")
	if diff := cmp.Diff([]castate.Phase{castate.PhaseRunning, castate.PhaseCompleted}, []castate.Phase{before, after}); diff != "" {
		t.Errorf("phase before and after the record is stored (-want +got):\n%s", diff)
	}
}

// newLeader returns a simulation of a new leader that has restored the jobs of this one.
func (s *simulation) newLeader() *simulation { return s.newLeaderAfter(nil) }

// newLeaderAfter is like newLeader, where this leader has declared upstreams as silent.
func (s *simulation) newLeaderAfter(silent []casilence.Upstream) *simulation {
	return s.newLeaderOf(Batch{Silent: silent})
}

// newLeaderOf is like newLeader, where the batch is the last one of this leader.
func (s *simulation) newLeaderOf(last Batch) *simulation {
	s.t.Helper()
	next := &simulation{t: s.t, now: s.now, endNumbers: s.endNumbers}
	next.planner = New(zerolog.Nop(), 2, s.moment(), s.now.Add(10*time.Second))
	next.planner.InheritSilence(last.Silent)
	next.planner.InheritLongLeases(last.LongLeases)
	next.planner.SetPolicy(s.planner.policy)
	var list []caspec.Upstream
	for _, u := range s.planner.upstreams {
		list = append(list, u.info)
	}
	next.planner.SetUpstreams(list)
	for _, j := range s.planner.jobs {
		b, err := j.Encode()
		if err != nil {
			s.t.Fatal(err)
		}
		state, err := castate.DecodeJob(b)
		if err != nil {
			s.t.Fatal(err)
		}
		next.planner.Restore(state)
	}
	return next
}

func TestNewLeaderStopsRunsOfCanceledJobs(t *testing.T) {
	s := newSimulation(t, 2, plainQueue())
	s.submit("0000000000000001", "queue", smallStep(2))
	s.startAll()
	s.planner.Cancel("0000000000000001")
	s.commit()
	next := s.newLeader()
	if diff := cmp.Diff(2, len(next.planner.Plan().Stops)); diff != "" {
		t.Errorf("stop orders of a new leader for a canceled job (-want +got):\n%s", diff)
	}
}

func TestNewLeaderRestartsTaskThatItsUpstreamDoesNotList(t *testing.T) {
	s := newSimulation(t, 1, plainQueue())
	s.submit("0000000000000001", "queue", smallStep(1))
	s.planner.Plan()
	lost := s.commit()[0]
	next := s.newLeader()
	if got := next.startAll(); len(got) != 0 {
		t.Fatalf("started %v before the upstream sent a report", got)
	}
	next.report(lost.Upstream, nil, nil)
	want := lost.Run
	want.Number++
	if diff := cmp.Diff(want, next.startAll()[0].Run); diff != "" {
		t.Errorf("run after the upstream sent a report (-want +got):\n%s", diff)
	}
}

func TestNewLeaderKeepsReportedRuns(t *testing.T) {
	s := newSimulation(t, 1, plainQueue())
	s.submit("0000000000000001", "queue", smallStep(1))
	order := s.startAll()[0]
	next := s.newLeader()
	next.report(order.Upstream, []caorder.RunningRun{{Run: order.Run}}, nil)
	if got := next.startAll(); len(got) != 0 {
		t.Fatalf("started %v though its run continues", got)
	}
	next.report(order.Upstream, nil, []caorder.EndedRun{{Run: order.Run, Ending: caorder.EndingDone}})
	next.commit()
	phase, _ := next.planner.Phase("0000000000000001")
	if diff := cmp.Diff(castate.PhaseCompleted, phase); diff != "" {
		t.Errorf("phase after the end (-want +got):\n%s", diff)
	}
}

// TestReportsOutOfOrder covers a report that waits at an upstream while a run begins there,
// and a report that was requested later but made before the run began, and arrives last.
// The latter does not prove that the run has ended.
func TestReportsOutOfOrder(t *testing.T) {
	s := newSimulation(t, 1, plainQueue())
	firstRequestAt := s.now
	s.advance(100 * time.Millisecond)
	secondRequestAt := s.now
	s.submit("job", "queue", caspec.Step{Tasks: 1, CPU: 1000, Memory: cawork.GiB, Estimate: 30 * time.Second})
	s.planner.Plan()
	start := s.commit()[0]
	s.advance(100 * time.Millisecond)
	s.planner.ApplyReport(caorder.Report{
		Upstream: "up-00", Born: 1, SentAt: firstRequestAt, ReceivedAt: s.now, ClockMS: s.now.UnixMilli(),
		Running: []caorder.RunningRun{{Run: start.Run}},
	})
	s.advance(10 * time.Millisecond)
	s.planner.ApplyReport(caorder.Report{Upstream: "up-00", Born: 1, SentAt: secondRequestAt, ReceivedAt: s.now, ClockMS: s.now.UnixMilli()})
	if again := s.startAll(); len(again) != 0 {
		t.Errorf("the task is started again while it runs: %v", again)
	}
}

// TestEndStoredAfterUpstreamRestart covers an upstream that restarts while one of its ends
// is being stored. The number of that end must not be sent to the later incarnation, which
// would discard its own ends up to it.
func TestEndStoredAfterUpstreamRestart(t *testing.T) {
	s := newSimulation(t, 1, plainQueue())
	s.submit("job", "queue", caspec.Step{Tasks: 1, CPU: 1000, Memory: cawork.GiB, Estimate: time.Second})
	run := s.startAll()[0].Run
	s.report("up-00", nil, []caorder.EndedRun{{Run: run, Ending: caorder.EndingDone}})
	batch, err := s.planner.NextBatch()
	if err != nil {
		t.Fatal(err)
	}
	s.restartUpstream("up-00", 2)
	s.planner.MarkStored(batch)
	lease, _ := s.planner.RenewLease("up-00")
	if diff := cmp.Diff(int64(0), lease.StoredEnd); diff != "" {
		t.Errorf("number of the last stored end of the later incarnation (-want +got):\n%s", diff)
	}
}
