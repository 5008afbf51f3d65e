package caboard

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/cell/castate"
)

// copyStep is a step whose tasks may run in several places.
func copyStep(tasks int) caspec.Step {
	s := smallStep(tasks)
	s.AllowDuplicates = true
	return s
}

// startedAt starts one job of one task and returns its run.
func (s *simulation) startedAt(step caspec.Step) StartOrder {
	s.t.Helper()
	s.submit("job", "queue", step)
	orders := s.startAll()
	if len(orders) != step.Tasks {
		s.t.Fatalf("%d runs started, want %d", len(orders), step.Tasks)
	}
	return orders[0]
}

// TestSilentUpstreamIsCopiedWhereDuplicatesArePermitted replays an upstream that goes
// silent with a run: where the step permits it a copy ends the job while the lease of the
// first run is not over; where it does not, nothing is started elsewhere before.
func TestSilentUpstreamIsCopiedWhereDuplicatesArePermitted(t *testing.T) {
	for _, permitted := range []bool{true, false} {
		s := newSimulation(t, 3, plainQueue())
		step := smallStep(1)
		step.AllowDuplicates = permitted
		first := s.startedAt(step)
		s.advance(400 * time.Millisecond)
		s.board.suspect(s.board.upstreams[first.Upstream], s.now)
		s.advance(20 * time.Millisecond)
		orders := s.startAll()
		if diff := cmp.Diff(permitted, len(orders) == 1); diff != "" {
			t.Fatalf("duplicates permitted %v, started elsewhere (-want +got):\n%s", permitted, diff)
		}
		if !permitted {
			continue
		}
		copied := orders[0]
		if copied.Upstream == first.Upstream || copied.Run.Number <= first.Run.Number {
			t.Errorf("the copy is run %d at %s, the first was %d at %s", copied.Run.Number, copied.Upstream, first.Run.Number, first.Upstream)
		}
		s.reportEnd(copied.Upstream, copied.Run, EndingDone)
		if phase := s.board.jobs["job"].Phase; phase != castate.PhaseCompleted {
			t.Errorf("the job is %v after its copy ended", phase)
		}
		s.startAll()
		var stopped []RunID
		for _, stop := range s.stops {
			stopped = append(stopped, stop.Run)
		}
		if diff := cmp.Diff([]RunID{first.Run}, stopped); diff != "" {
			t.Errorf("stopped (-want +got):\n%s", diff)
		}
		if used := s.board.upstreams[first.Upstream].used; used != step.Size() {
			t.Errorf("%v is charged at the silent upstream, want the run that may be there", used)
		}
	}
}

// TestFirstCopyToEndCounts tells that a run which was copied still ends its task, and is
// known for it to the next leader.
func TestFirstCopyToEndCounts(t *testing.T) {
	for _, successor := range []bool{false, true} {
		s := newSimulation(t, 3, plainQueue())
		first := s.startedAt(copyStep(2))
		s.advance(4 * time.Second)
		for _, id := range s.board.UpstreamIDs() {
			s.reportAtOnce(id, s.runningRows(id), nil)
		}
		orders := s.startAll()
		if len(orders) != 2 {
			t.Fatalf("%d copies of two runs that take six times as long as expected, want 2", len(orders))
		}
		if successor {
			delete(s.board.upstreams[first.Upstream].runs, first.Run)
		}
		s.reportEnd(first.Upstream, first.Run, EndingDone)
		if phase := s.board.jobs["job"].Open[0].Steps[0].Tasks[0].Phase; phase != castate.TaskDone {
			t.Errorf("successor %v: the task is %v after its first run ended", successor, phase)
		}
		for range 3 {
			s.advance(time.Second)
			for _, o := range s.startAll() {
				if o.Run.Index == first.Run.Index {
					t.Errorf("successor %v: started again after its end: %v", successor, o)
				}
			}
		}
	}
}

// TestFailuresOfCopiesAreAttempts tells that no more runs of a task fail than are allowed.
func TestFailuresOfCopiesAreAttempts(t *testing.T) {
	s := newSimulation(t, 6, plainQueue())
	s.startedAt(copyStep(1))
	starts := 1
	for s.board.jobs["job"].Phase != castate.PhaseFailed && starts < 20 {
		s.advance(4 * time.Second)
		for _, id := range s.board.UpstreamIDs() {
			s.reportAtOnce(id, s.runningRows(id), nil)
		}
		starts += len(s.startAll())
		for _, u := range s.board.sortedUpstreams {
			for _, r := range sortedRuns(u) {
				s.reportEnd(u.info.ID, r.id, EndingFailed)
			}
		}
	}
	if starts > plainQueue().MaxAttempts+1 {
		t.Errorf("%d runs of a task that may fail %d times", starts, plainQueue().MaxAttempts)
	}
	if diff := cmp.Diff(castate.PhaseFailed, s.board.jobs["job"].Phase); diff != "" {
		t.Errorf("phase (-want +got):\n%s", diff)
	}
}

// TestFailureIsCountedOnceOverLeaders replays a change of the leader right after an end: the
// upstream, which does not know yet that it is stored, lists it to the successor again.
// So it goes for the failure of a copy that the first leader did not hear of.
func TestFailureIsCountedOnceOverLeaders(t *testing.T) {
	s := newSimulation(t, 3, plainQueue())
	first := s.startedAt(copyStep(1))
	s.reportEnd(first.Upstream, first.Run, EndingFailed)
	s.commit()
	if got := s.board.jobs["job"].Open[0].Steps[0].Tasks[0].Failures; got != 1 {
		t.Fatalf("%d failures are counted, want 1", got)
	}
	value, err := s.board.jobs["job"].Encode()
	if err != nil {
		t.Fatal(err)
	}
	state, err := castate.DecodeJob(value)
	if err != nil {
		t.Fatal(err)
	}
	next := newSimulation(t, 3, plainQueue())
	next.board.Restore(state)
	for range 2 {
		next.reportEnd(first.Upstream, first.Run, EndingFailed)
	}
	failures := func() int { return next.board.jobs["job"].Open[0].Steps[0].Tasks[0].Failures }
	if diff := cmp.Diff(1, failures()); diff != "" {
		t.Errorf("failures after the end was listed again (-want +got):\n%s", diff)
	}
	orders := next.startAll()
	copied := first.Run
	copied.Number = orders[0].Run.Number
	next.board.jobs["job"].Open[0].Steps[0].Tasks[0].Run++
	next.reportEnd("up-02", copied, EndingFailed)
	if diff := cmp.Diff(2, failures()); diff != "" {
		t.Errorf("failures after another run failed (-want +got):\n%s", diff)
	}
}

// TestSuccessorCopiesRunsOfSilentUpstreams replays a change of the leader while an upstream
// is behind a cut: the successor, which that upstream never answered, starts copies where
// the step permits them.
func TestSuccessorCopiesRunsOfSilentUpstreams(t *testing.T) {
	s := newSimulation(t, 3, plainQueue())
	first := s.startedAt(copyStep(1))
	record := s.board.jobs["job"].Job
	next := newSimulation(t, 0, plainQueue())
	next.now = s.now
	next.board.SetNow(next.moment())
	var list []caspec.Upstream
	for _, u := range s.board.sortedUpstreams {
		list = append(list, u.info)
	}
	next.board.SetUpstreams(list)
	next.board.Restore(record)
	for _, u := range list {
		if u.ID == first.Upstream {
			next.board.Unanswered(u.ID)
			continue
		}
		next.report(u.ID, nil, nil)
	}
	next.advance(20 * time.Millisecond)
	orders := next.startAll()
	if len(orders) != 1 || orders[0].Upstream == first.Upstream {
		t.Errorf("started %v, want one copy away from %s", orders, first.Upstream)
	}
}
