package caboard

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/cell/castate"
)

// renewInVain sends renewals to an upstream that does not answer.
func (s *simulation) renewInVain(order StartOrder, during time.Duration) {
	for begin := s.now; s.now.Sub(begin) < during; s.advance(500 * time.Millisecond) {
		if _, ok := s.board.Lease(order.Upstream); ok {
			s.board.Unanswered(order.Upstream)
		}
		s.board.Lapse()
	}
}

func TestTaskOfUpstreamThatIsGoneWaitsAgain(t *testing.T) {
	s := newSimulation(t, 2, plainQueue())
	s.submit("0000000000000001", "queue", smallStep(1))
	order := s.startAll()[0]
	s.board.SetUpstreams(nil)
	s.renewInVain(order, 12*time.Second)
	task := s.board.jobs["0000000000000001"].Open[0].Steps[0].Tasks[0]
	if diff := cmp.Diff(castate.TaskWaiting, task.Phase); diff != "" {
		t.Errorf("phase of the task after the lease (-want +got):\n%s", diff)
	}
}

func TestTaskStaysOnSilentUpstreamForItsLease(t *testing.T) {
	s := newSimulation(t, 2, plainQueue())
	s.submit("0000000000000001", "queue", smallStep(1))
	order := s.startAll()[0]
	s.renewInVain(order, LeaseLength-time.Second)
	task := s.board.jobs["0000000000000001"].Open[0].Steps[0].Tasks[0]
	if diff := cmp.Diff(castate.TaskAssigned, task.Phase); diff != "" {
		t.Errorf("phase of the task within the lease (-want +got):\n%s", diff)
	}
}

func TestPendingCountsJobsThatNoUpstreamShowed(t *testing.T) {
	s := newSimulation(t, 2, plainQueue())
	s.submit("0000000000000001", "queue", smallStep(1))
	s.commit()
	s.board.Plan()
	orders := s.commit()
	s.board.Started(orders[0], StartUnknown, 0)
	if diff := cmp.Diff(1, s.board.Pending("queue")); diff != "" {
		t.Errorf("pending while the start has no answer (-want +got):\n%s", diff)
	}
	s.report(orders[0].Upstream, []RunningRow{{Run: orders[0].Run}}, nil)
	if diff := cmp.Diff(0, s.board.Pending("queue")); diff != "" {
		t.Errorf("pending once the run is shown (-want +got):\n%s", diff)
	}
}

func TestLateJobsAreAskedAbout(t *testing.T) {
	s := newSimulation(t, 2, approvedQueue())
	s.submit("0000000000000001", "queue", smallStep(1))
	s.advance(time.Hour)
	for _, u := range []string{"up-00", "up-01"} {
		s.report(upstreamID(u), nil, nil)
	}
	if diff := cmp.Diff(1, len(s.board.Plan().Asks)); diff != "" {
		t.Errorf("questions about a job that is late beyond use (-want +got):\n%s", diff)
	}
}

func TestQuestionsAreBounded(t *testing.T) {
	s := newSimulation(t, 48, approvedQueue())
	s.board.SetAskSlots(AskSlots{All: 16, Long: 5})
	for i := range 300 {
		s.board.open(submission(i, smallStep(1)), false)
	}
	if diff := cmp.Diff(16, len(s.board.Plan().Asks)); diff != "" {
		t.Errorf("open questions after 300 jobs came at once (-want +got):\n%s", diff)
	}
}

func TestUnansweredStartIsStoppedBeforeTheTaskRunsAgain(t *testing.T) {
	s := newSimulation(t, 2, plainQueue())
	s.submit("0000000000000001", "queue", smallStep(1))
	s.board.Plan()
	order := s.commit()[0]
	s.board.Started(order, StartUnknown, 0)
	s.report(order.Upstream, nil, nil)
	if got := s.startAll(); len(got) != 0 {
		t.Fatalf("started %v although the first order may still take effect", got)
	}
	for _, stop := range s.stops {
		s.board.Stopped(stop, true)
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
		s.report(orders[0].Upstream, nil, []EndedRow{{Run: orders[0].Run, Ending: EndingFailed}})
	}
	s.commit()
	phase, known := s.board.Phase("0000000000000001")
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
		t.Fatalf("%d members started while the room is not there", len(got))
	}
}

func TestCompletionIsShownOnceStored(t *testing.T) {
	s := newSimulation(t, 2, plainQueue())
	s.submit("0000000000000001", "queue", smallStep(1))
	order := s.startAll()[0]
	s.report(order.Upstream, nil, []EndedRow{{Run: order.Run, Ending: EndingDone}})
	before, _ := s.board.Phase("0000000000000001")
	s.commit()
	after, _ := s.board.Phase("0000000000000001")
	if diff := cmp.Diff([]castate.Phase{castate.PhaseRunning, castate.PhaseCompleted}, []castate.Phase{before, after}); diff != "" {
		t.Errorf("phase before and after the record is stored (-want +got):\n%s", diff)
	}
}

// restored returns a board of a new leader with the records of the simulation.
func (s *simulation) restored() *simulation {
	s.t.Helper()
	next := &simulation{t: s.t, now: s.now, endNumbers: s.endNumbers}
	next.board = New(zerolog.Nop(), 2, s.moment(), s.now.Add(10*time.Second))
	next.board.SetPolicy(s.board.policy)
	var list []caspec.Upstream
	for _, u := range s.board.upstreams {
		list = append(list, u.info)
	}
	next.board.SetUpstreams(list)
	for _, j := range s.board.jobs {
		b, err := j.Encode()
		if err != nil {
			s.t.Fatal(err)
		}
		state, err := castate.DecodeJob(b)
		if err != nil {
			s.t.Fatal(err)
		}
		next.board.Restore(state)
	}
	return next
}

func TestNewLeaderStopsRunsOfCanceledJobs(t *testing.T) {
	s := newSimulation(t, 2, plainQueue())
	s.submit("0000000000000001", "queue", smallStep(2))
	s.startAll()
	s.board.Cancel("0000000000000001")
	s.commit()
	next := s.restored()
	if diff := cmp.Diff(2, len(next.board.Plan().Stops)); diff != "" {
		t.Errorf("stops of a new leader for a canceled job (-want +got):\n%s", diff)
	}
}

func TestNewLeaderRunsAgainWhatAnUpstreamDoesNotKnow(t *testing.T) {
	s := newSimulation(t, 1, plainQueue())
	s.submit("0000000000000001", "queue", smallStep(1))
	s.board.Plan()
	lost := s.commit()[0]
	next := s.restored()
	if got := next.startAll(); len(got) != 0 {
		t.Fatalf("started %v before the upstream was heard", got)
	}
	next.report(lost.Upstream, nil, nil)
	want := lost.Run
	want.Number++
	if diff := cmp.Diff(want, next.startAll()[0].Run); diff != "" {
		t.Errorf("run after the upstream was heard (-want +got):\n%s", diff)
	}
}

func TestNewLeaderKeepsWhatRuns(t *testing.T) {
	s := newSimulation(t, 1, plainQueue())
	s.submit("0000000000000001", "queue", smallStep(1))
	order := s.startAll()[0]
	next := s.restored()
	next.report(order.Upstream, []RunningRow{{Run: order.Run}}, nil)
	if got := next.startAll(); len(got) != 0 {
		t.Fatalf("started %v although its run goes on", got)
	}
	next.report(order.Upstream, nil, []EndedRow{{Run: order.Run, Ending: EndingDone}})
	next.commit()
	phase, _ := next.board.Phase("0000000000000001")
	if diff := cmp.Diff(castate.PhaseCompleted, phase); diff != "" {
		t.Errorf("phase after the end (-want +got):\n%s", diff)
	}
}

// TestUnansweredStartIsStoppedInTheNextLifeOfItsUpstream replays an order that
// has no answer while its upstream starts anew under the same id: it may still
// come about there.
func TestUnansweredStartIsStoppedInTheNextLifeOfItsUpstream(t *testing.T) {
	s := newSimulation(t, 1, plainQueue())
	s.submit("0000000000000001", "queue", smallStep(1))
	s.board.Plan()
	order := s.commit()[0]
	s.board.Started(order, StartUnknown, 0)
	reborn := Report{Upstream: order.Upstream, Born: 2, SentAt: s.now, ReceivedAt: s.now, ClockMS: 5}
	s.board.Observe(reborn)
	if got := s.startAll(); len(got) != 0 {
		t.Fatalf("started %v while the order may still come about", got)
	}
	if len(s.stops) != 1 {
		t.Fatalf("%d stops, want one", len(s.stops))
	}
	s.board.Stopped(s.stops[0], true)
	s.advance(10 * time.Millisecond)
	reborn.SentAt, reborn.ReceivedAt = s.now, s.now
	s.board.Observe(reborn)
	if got := s.startAll(); len(got) != 1 {
		t.Errorf("%d starts after the stop was acknowledged, want one", len(got))
	}
}

func TestRunsOfAnUpstreamThatVanishedWaitAgainAtOnce(t *testing.T) {
	s := newSimulation(t, 2, plainQueue())
	s.submit("0000000000000001", "queue", smallStep(1))
	order := s.startAll()[0]
	s.board.Vanished(order.Upstream)
	task := s.board.jobs["0000000000000001"].Open[0].Steps[0].Tasks[0]
	if diff := cmp.Diff(castate.TaskWaiting, task.Phase); diff != "" {
		t.Errorf("phase of the task (-want +got):\n%s", diff)
	}
}

// relist lists an upstream as started anew.
func (s *simulation) relist(id cawork.UpstreamID, born int64) {
	var list []caspec.Upstream
	for _, u := range s.board.upstreams {
		info := u.info
		if info.ID == id {
			info.Born = born
		}
		list = append(list, info)
	}
	s.board.SetUpstreams(list)
}

// TestStartTakenByALaterIncarnation starts a task at an upstream that started
// anew before the order reached it, which its list and its reports tell later.
func TestStartTakenByALaterIncarnation(t *testing.T) {
	for name, runs := range map[string]bool{"runs there": true, "lost with the earlier one": false} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, 1, plainQueue())
			s.submit("job", "queue", caspec.Step{Tasks: 1, CPU: 1000, Memory: cawork.GiB, Estimate: time.Second})
			orders := s.startAll()
			s.advance(100 * time.Millisecond)
			s.relist("up-00", 2)
			if again := s.startAll(); len(again) != 0 {
				t.Fatalf("the task is started again before the upstream told: %v", again)
			}
			s.advance(100 * time.Millisecond)
			report := Report{Upstream: "up-00", Born: 2, SentAt: s.now, ReceivedAt: s.now, ClockMS: 100}
			if runs {
				report.Running = []RunningRow{{Run: orders[0].Run}}
			}
			s.board.Observe(report)
			want := 1
			if runs {
				want = 0
			}
			if again := s.startAll(); len(again) != want {
				t.Errorf("%d starts after the report of the later incarnation, want %d", len(again), want)
			}
		})
	}
}

// TestEndsOfALaterIncarnationAreNotForgotten renews the lease of an upstream
// that did not answer the last time: its ends may be numbered anew, and are
// forgotten there up to the number in the call.
func TestEndsOfALaterIncarnationAreNotForgotten(t *testing.T) {
	s := newSimulation(t, 1, plainQueue())
	s.submit("job", "queue", caspec.Step{Tasks: 1, CPU: 1000, Memory: cawork.GiB, Estimate: time.Second})
	run := s.startAll()[0].Run
	s.report("up-00", nil, []EndedRow{{Run: run, Ending: EndingDone}})
	s.commit()
	before, _ := s.board.Lease("up-00")
	s.board.Unanswered("up-00")
	after, _ := s.board.Lease("up-00")
	if diff := cmp.Diff([]int64{1, 0}, []int64{before.StoredEnd, after.StoredEnd}); diff != "" {
		t.Errorf("numbers of the last stored end before and after a renewal without an answer (-want +got):\n%s", diff)
	}
}

// TestGivenUpStartIsStoppedInALaterIncarnation gives a start without an answer
// up, after its stop was acknowledged and a report lacked it, and runs the task
// elsewhere. The upstream starts anew then: it knows nothing of the stop, and
// the order may still reach it.
func TestGivenUpStartIsStoppedInALaterIncarnation(t *testing.T) {
	s := newSimulation(t, 2, plainQueue())
	s.submit("job", "queue", caspec.Step{Tasks: 1, CPU: 1000, Memory: cawork.GiB, Estimate: 30 * time.Second})
	s.board.Plan()
	first := s.commit()[0]
	s.board.Started(first, StartUnknown, 0)
	for _, o := range s.board.Plan().Stops {
		s.board.Stopped(o, true)
	}
	s.report(first.Upstream, nil, nil)
	s.board.upstreams[first.Upstream].pausedUntil = s.now.Add(time.Minute)
	if again := s.startAll(); len(again) != 1 || again[0].Upstream == first.Upstream {
		t.Fatalf("starts after the first one was given up: %v, want one elsewhere", again)
	}
	s.advance(2 * time.Second)
	s.relist(first.Upstream, 2)
	var stopped []RunID
	for _, o := range s.board.Plan().Stops {
		stopped = append(stopped, o.Run)
	}
	if diff := cmp.Diff([]RunID{first.Run}, stopped); diff != "" {
		t.Errorf("stops at the later incarnation (-want +got):\n%s", diff)
	}
}

// TestReportsThatOvertakeEachOther has a report wait at an upstream while a run
// begins there, and one that was asked for and made before that arrive last.
// The second one proves nothing about the run.
func TestReportsThatOvertakeEachOther(t *testing.T) {
	s := newSimulation(t, 1, plainQueue())
	asked := s.now
	s.advance(100 * time.Millisecond)
	askedLater := s.now
	s.submit("job", "queue", caspec.Step{Tasks: 1, CPU: 1000, Memory: cawork.GiB, Estimate: 30 * time.Second})
	s.board.Plan()
	start := s.commit()[0]
	s.advance(100 * time.Millisecond)
	s.board.Observe(Report{
		Upstream: "up-00", Born: 1, SentAt: asked, ReceivedAt: s.now, ClockMS: s.now.UnixMilli(),
		Running: []RunningRow{{Run: start.Run}},
	})
	s.advance(10 * time.Millisecond)
	s.board.Observe(Report{Upstream: "up-00", Born: 1, SentAt: askedLater, ReceivedAt: s.now, ClockMS: s.now.UnixMilli()})
	if again := s.startAll(); len(again) != 0 {
		t.Errorf("the task is started again while it runs: %v", again)
	}
}

// TestEndStoredAfterItsUpstreamStartedAnew stores an end while the store is slow,
// and its upstream starts anew meanwhile: the number of the end says nothing
// about the ends of the later incarnation, which would forget them.
func TestEndStoredAfterItsUpstreamStartedAnew(t *testing.T) {
	s := newSimulation(t, 1, plainQueue())
	s.submit("job", "queue", caspec.Step{Tasks: 1, CPU: 1000, Memory: cawork.GiB, Estimate: time.Second})
	run := s.startAll()[0].Run
	s.report("up-00", nil, []EndedRow{{Run: run, Ending: EndingDone}})
	batch, err := s.board.NextBatch()
	if err != nil {
		t.Fatal(err)
	}
	s.relist("up-00", 2)
	s.board.Committed(batch)
	lease, _ := s.board.Lease("up-00")
	if diff := cmp.Diff(int64(0), lease.StoredEnd); diff != "" {
		t.Errorf("number of the last stored end of the later incarnation (-want +got):\n%s", diff)
	}
}
