package caboard

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/cacrash"
	"celeryarch.example/celeryarch/internal/cell/caorder"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// TestRoomIsReservedAtUpstreamOnProbation covers a long-running task that fails while an upstream
// with room for it is kept for a job on probation, all the while since both are. Its reservation
// stayed there, and its tickets expired one after the other.
func TestRoomIsReservedAtUpstreamOnProbation(t *testing.T) {
	s := newSimulation(t, 2, longRunningQueue(), smallQueue())
	all := func(cawork.UpstreamID) bool { return true }
	s.submit("service", "service", longRunningStep(1))
	s.tick(20*time.Millisecond, all)
	service := s.tick(20*time.Millisecond, all)[0]
	s.planner.upstreams[service.Upstream].pausedUntil = s.now.Add(time.Second)
	s.submit("suspect", busyPoolSmallID, caspec.Step{Tasks: 1, CPU: 4000, Memory: cawork.GiB, Estimate: time.Hour})
	suspect := s.startAll()[0]
	s.putOnProbation("suspect")
	s.putOnProbation("service")
	for range 150 {
		s.tick(20*time.Millisecond, all)
	}
	if s.planner.upstreams[suspect.Upstream].probationOf == nil || suspect.Upstream == service.Upstream {
		t.Fatalf("upstream %s is not kept for the job on probation, or runs the long-running task", suspect.Upstream)
	}
	s.report(service.Upstream, nil, []caorder.EndedRun{{Run: service.Run, Ending: caorder.EndingFailed}})
	took, ok := s.startedWithin("service", 10*time.Second, all)
	if !ok || took > restartBound {
		t.Errorf("restart took %v (started %v), want at most %v", took, ok, restartBound)
	}
	for id := range s.planner.upstreams[suspect.Upstream].runs {
		if diff := cmp.Diff(cawork.JobID("suspect"), id.Job); diff != "" {
			t.Errorf("job at the upstream on probation (-want +got):\n%s", diff)
		}
	}
}

// putOnProbation gives the first task of a job a history with which it stays on probation.
func (s *simulation) putOnProbation(id cawork.JobID) {
	j := s.planner.jobs[id]
	j.crashes = cacrash.New()
	for incarnation := range int64(2) {
		j.crashes.Add(cacrash.Task{}, cacrash.Crash{Upstream: "gone", Incarnation: incarnation + 1, Blamed: true, Confirmed: true})
	}
	s.planner.addSuspect(j)
}

// TestRunOnProbationKeepsRestartsAway covers a long-running task that fails while the only upstream with
// room for it has a run on probation of another job, which may last for 20 s.
func TestRunOnProbationKeepsRestartsAway(t *testing.T) {
	s := newSimulation(t, 2, longRunningQueue(), smallQueue())
	all := func(cawork.UpstreamID) bool { return true }
	s.submit("service", "service", longRunningStep(1))
	s.tick(20*time.Millisecond, all)
	service := s.tick(20*time.Millisecond, all)[0]
	s.planner.upstreams[service.Upstream].pausedUntil = s.now.Add(time.Minute)
	s.submit("suspect", busyPoolSmallID, caspec.Step{Tasks: 1, CPU: 4000, Memory: cawork.GiB, Estimate: time.Hour})
	suspect := s.startAll()[0]
	s.putOnProbation("suspect")
	s.tick(20*time.Millisecond, all)
	if s.planner.upstreams[suspect.Upstream].probationOf == nil || suspect.Upstream == service.Upstream {
		t.Fatalf("upstream %s is not kept for the job on probation, or runs the long-running task", suspect.Upstream)
	}
	s.report(service.Upstream, nil, []caorder.EndedRun{{Run: service.Run, Ending: caorder.EndingFailed}})
	took, ok := s.startedWithin("service", 10*time.Second, all)
	if !ok || took > restartBound || took < exclusiveProbation-time.Second {
		t.Errorf("restart took %v (started %v), want at most %v and not at once", took, ok, restartBound)
	}
}

// crashesUnder gives a task of a job a history of crashes that its upstreams have survived for so long.
func (s *simulation) crashesUnder(id cawork.JobID, index int, unresolved bool, survived ...time.Duration) {
	j := s.planner.jobs[id]
	if j.crashes == nil {
		j.crashes = cacrash.New()
	}
	for i, d := range survived {
		j.crashes.Add(cacrash.Task{Index: index}, cacrash.Crash{
			Upstream: "gone", Incarnation: int64(100*index + i + 1), Blamed: true, Sole: i == 0, Confirmed: true, Unresolved: unresolved, Survived: d,
		})
	}
	s.planner.addSuspect(j)
}

// failTask lets the run of a task of the job fail, and returns its upstream.
func (s *simulation) failTask(id cawork.JobID, index int) cawork.UpstreamID {
	s.t.Helper()
	step := s.planner.jobs[id].steps[0]
	r, ok := s.planner.runOf(step, index)
	if !ok {
		s.t.Fatalf("task %d of job %s has no run", index, id)
	}
	s.report(r.upstream.info.ID, nil, []caorder.EndedRun{{Run: r.id, Ending: caorder.EndingFailed}})
	return r.upstream.info.ID
}

// checkRestart checks that a task of the job is started again within the bound.
func (s *simulation) checkRestart(id cawork.JobID, index int) {
	s.t.Helper()
	all := func(cawork.UpstreamID) bool { return true }
	for began := s.now; s.now.Sub(began) <= restartWithRoomBound; {
		s.tick(20*time.Millisecond, all)
		if _, ok := s.planner.runOf(s.planner.jobs[id].steps[0], index); ok {
			return
		}
	}
	s.t.Errorf("task %d of job %s waits for longer than %v beside free upstreams", index, id, restartWithRoomBound)
}

// newServiceOfTwo returns a pool with a long-running job of two tasks, one for each upstream.
func newServiceOfTwo(t *testing.T, upstreams int) *simulation {
	t.Helper()
	s := newSimulation(t, upstreams, plainQueue())
	s.submit("service", "queue", longRunningStep(2))
	if diff := cmp.Diff(2, len(s.tick(20*time.Millisecond, func(cawork.UpstreamID) bool { return true }))); diff != "" {
		t.Fatalf("started tasks (-want +got):\n%s", diff)
	}
	return s
}

// pass lets time pass in which all upstreams answer.
func (s *simulation) pass(d time.Duration) {
	for began := s.now; s.now.Sub(began) < d; {
		s.tick(20*time.Millisecond, func(cawork.UpstreamID) bool { return true })
	}
}

// TestSuspectWaitsForLongProbationOfItsJob covers a suspect of an early crash whose job has another task on
// probation for 20 s, at the one upstream that both should share, of which each may hold one task.
func TestSuspectWaitsForLongProbationOfItsJob(t *testing.T) {
	s := newServiceOfTwo(t, 4)
	s.crashesUnder("service", 0, false, 10*time.Second, 13*time.Second)
	s.failTask("service", 0)
	s.checkRestart("service", 0)
	s.pass(3 * time.Second)
	s.crashesUnder("service", 1, false, 80*time.Millisecond)
	s.failTask("service", 1)
	s.checkRestart("service", 1)
}

// TestRestartWaitsForTaskThatMayNotStart covers a task whose job has another one that may not start while it
// is not known whether its last upstreams have crashed.
func TestRestartWaitsForTaskThatMayNotStart(t *testing.T) {
	s := newServiceOfTwo(t, 4)
	s.pass(3 * time.Second)
	s.crashesUnder("service", 1, true, 60*time.Millisecond, 7*time.Second, 8*time.Second)
	s.failTask("service", 1)
	s.pass(time.Second)
	s.failTask("service", 0)
	s.checkRestart("service", 0)
}

// TestSuspectWaitsForProbationOfOtherJob covers a suspect of an early crash for which there is no room but at
// an upstream with a run of another job that is on probation for 20 s.
func TestSuspectWaitsForProbationOfOtherJob(t *testing.T) {
	s := newServiceOfTwo(t, 3)
	for _, u := range s.planner.sortedUpstreams {
		if len(u.runs) > 0 {
			u.pausedUntil = s.now.Add(time.Second)
		}
	}
	s.submit("suspect", "queue", caspec.Step{Tasks: 1, CPU: 4000, Memory: cawork.GiB, Estimate: time.Hour})
	other := s.startOf("suspect", time.Second)
	s.putOnProbation("suspect")
	s.pass(3 * time.Second)
	s.crashesUnder("service", 1, false, 80*time.Millisecond)
	failedAt := s.failTask("service", 1)
	s.planner.upstreams[failedAt].pausedUntil = s.now.Add(time.Minute)
	if s.planner.upstreams[other.Upstream].probationOf == nil {
		t.Fatalf("upstream %s is not kept for the job on probation", other.Upstream)
	}
	s.checkRestart("service", 1)
}

// TestProbationOutlastsWithdrawnCrashes covers a job on probation whose only crash turns out to be
// none, since the upstream answers again, and is stored as such before the next plan.
func TestProbationOutlastsWithdrawnCrashes(t *testing.T) {
	s := newSimulation(t, 2, plainQueue())
	s.submit("job", "queue", smallStep(1))
	j := s.planner.jobs["job"]
	j.crashes = cacrash.New()
	j.crashes.Add(cacrash.Task{}, cacrash.Crash{Upstream: "up-01", Incarnation: 1, Blamed: true, Unresolved: true})
	s.planner.addSuspect(j)
	s.planner.crashes.openSince["up-01"] = s.now
	s.planner.updateProbation()
	if diff := cmp.Diff(true, j.onProbation); diff != "" {
		t.Fatalf("job on probation (-want +got):\n%s", diff)
	}
	s.report("up-01", nil, nil)
	s.commit()
	s.planner.Plan()
	if diff := cmp.Diff(false, j.onProbation); diff != "" {
		t.Errorf("job on probation without a crash (-want +got):\n%s", diff)
	}
}

// TestLongRunningJobIsRestartedOneTaskAtATime covers a loss of power that takes the leader and all
// upstreams of a long-running job, which are back at once. No task had harmed any of them, and the
// next leader has room for all.
func TestLongRunningJobIsRestartedOneTaskAtATime(t *testing.T) {
	const tasks = 8
	cell := newStoredCell(t)
	for i := len(cell.upstreams); i < 2*tasks; i++ {
		info := cell.upstreams[0]
		info.ID = cawork.UpstreamID(fmt.Sprintf("up-%d", i))
		cell.upstreams = append(cell.upstreams, info)
	}
	first := cell.lead(false)
	first.planner.open(caspec.Submission{ID: "job", Queue: "queue", Team: "north", Steps: []caspec.Step{longRunningStep(tasks)}}, false)
	orders := first.start()
	if diff := cmp.Diff(tasks, len(orders)); diff != "" {
		t.Fatalf("first starts (-want +got):\n%s", diff)
	}
	for range 30 {
		first.advance(time.Second)
		for _, o := range orders {
			first.planner.RenewLease(o.Upstream)
		}
		if again := first.start(); len(again) > 0 {
			t.Fatalf("%d tasks are started again while they run", len(again))
		}
	}
	for _, o := range orders {
		cell.restart(o)
	}
	next := cell.lead(false)
	lostAt := next.now
	for started := 0; started < tasks; next.advance(20 * time.Millisecond) {
		started += len(next.start())
		if next.now.Sub(lostAt) > restartBound {
			t.Fatalf("%d of %d tasks run %v after they were lost, want all", started, tasks, restartBound)
		}
	}
}

// TestInheritedRunsGoOnProbationAtOnce covers a loss of power that takes the leader and all upstreams of
// a cell with many long-running jobs of one task each. Each of the jobs is on probation, which keeps
// all others from the upstream of its task.
func TestInheritedRunsGoOnProbationAtOnce(t *testing.T) {
	const jobs = 48
	cell := newStoredCell(t)
	first := cell.lead(false)
	for i := range jobs {
		first.planner.open(caspec.Submission{
			ID: cawork.JobID(fmt.Sprintf("job-%02d", i)), Queue: "queue", Team: "north",
			Steps: []caspec.Step{{Tasks: 1, CPU: 1000, Memory: cawork.GiB, Estimate: time.Second, LongRunning: true}},
		}, false)
	}
	if diff := cmp.Diff(jobs, len(first.start())); diff != "" {
		t.Fatalf("first starts (-want +got):\n%s", diff)
	}
	for i := range cell.upstreams {
		cell.upstreams[i].Incarnation++
	}
	next := cell.lead(false)
	lostAt := next.now
	for started := 0; started < jobs; next.advance(20 * time.Millisecond) {
		started += len(next.start())
		if next.now.Sub(lostAt) > restartBound {
			t.Fatalf("%d of %d tasks run %v after they were lost, want all", started, jobs, restartBound)
		}
	}
}

// TestLongRunningTaskWaitsForProbationOfAnother covers a long-running task that fails while another
// one of its job, under which two upstreams have crashed after 15 s each, is on probation for 20 s.
func TestLongRunningTaskWaitsForProbationOfAnother(t *testing.T) {
	l := newStoredCell(t).lead(false)
	l.planner.open(caspec.Submission{ID: "job", Queue: "queue", Team: "north", Steps: []caspec.Step{longRunningStep(2)}}, false)
	orders := l.start()
	if diff := cmp.Diff(2, len(orders)); diff != "" {
		t.Fatalf("first starts (-want +got):\n%s", diff)
	}
	unlucky, other := orders[0], orders[1]
	for range 2 {
		l.runBoth(unlucky, other, 15*time.Second)
		l.crash(unlucky)
		unlucky = l.startOne()
	}
	l.runBoth(unlucky, other, 2*time.Second)
	l.planner.ApplyReport(caorder.Report{
		Upstream: other.Upstream, Born: 1, SentAt: l.now, ReceivedAt: l.now, ClockMS: 1,
		Ended: []caorder.EndedRun{{Number: 1, Run: other.Run, Ending: caorder.EndingFailed}},
	})
	for failedAt := l.now; len(l.start()) == 0; {
		l.advance(20 * time.Millisecond)
		l.planner.RenewLease(unlucky.Upstream)
		if l.now.Sub(failedAt) > restartBound {
			t.Fatalf("the other task waits for longer than %v", restartBound)
		}
	}
}

// runBoth lets two runs go on.
func (l *storedLeader) runBoth(x, y caorder.StartOrder, duration time.Duration) {
	for range int(duration.Seconds()) {
		l.planner.RenewLease(y.Upstream)
		l.run(x, time.Second)
	}
}

// loseUpstream applies proof that an upstream no longer exists.
func (s *simulation) loseUpstream(id cawork.UpstreamID) {
	s.unlist(id)
	s.planner.MarkIncarnationGone(id, 1)
}

// startOf lets time pass until a task of the job starts and returns its start.
func (s *simulation) startOf(job cawork.JobID, limit time.Duration) caorder.StartOrder {
	s.t.Helper()
	for begin := s.now; s.now.Sub(begin) < limit; {
		for _, o := range s.tick(20*time.Millisecond, func(cawork.UpstreamID) bool { return true }) {
			if o.Run.Job == job {
				return o
			}
		}
	}
	s.t.Fatalf("no task of job %s starts within %v", job, limit)
	return caorder.StartOrder{}
}

// TestLongProbationHoldsBackOtherLongRunningTasks covers a task that stays on probation for 20 s: it had
// lived long with one upstream that was lost, and shortly with another. The other tasks of its job are held
// back only until an upstream has survived the first seconds with it.
func TestLongProbationHoldsBackOtherLongRunningTasks(t *testing.T) {
	for name, test := range map[string]struct {
		survived, minWait, maxWait time.Duration
	}{
		"the upstream has just started the task":   {100 * time.Millisecond, 500 * time.Millisecond, restartWithRoomBound},
		"the upstream has survived the early time": {2 * time.Second, 0, 200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, 6, plainQueue())
			all := func(cawork.UpstreamID) bool { return true }
			s.submit("service", "queue", longRunningStep(2))
			runs := s.tick(20*time.Millisecond, all)
			if diff := cmp.Diff(2, len(runs)); diff != "" {
				t.Fatalf("started tasks (-want +got):\n%s", diff)
			}
			pass := func(d time.Duration) {
				for begin := s.now; s.now.Sub(begin) < d; {
					s.tick(20*time.Millisecond, all)
				}
			}
			pass(15 * time.Second)
			s.loseUpstream(runs[0].Upstream)
			second := s.startOf("service", restartWithRoomBound)
			pass(60 * time.Millisecond)
			s.loseUpstream(second.Upstream)
			s.startOf("service", restartWithRoomBound)
			pass(test.survived)
			s.report(runs[1].Upstream, nil, []caorder.EndedRun{{Run: runs[1].Run, Ending: caorder.EndingFailed}})
			took, ok := s.startedWithin("service", cacrash.MaxProbation, all)
			if !ok || took < test.minWait || took > test.maxWait {
				t.Errorf("restart of the other task took %v (started %v), want from %v to %v", took, ok, test.minWait, test.maxWait)
			}
		})
	}
}

// TestDeadlyJobAtAllUpstreamsIsNotExcused covers a new leader that finds all upstreams restarted, each with a
// task of one job: the job may have crashed them. What ran at a few of them is excused.
func TestDeadlyJobAtAllUpstreamsIsNotExcused(t *testing.T) {
	cell := newStoredCell(t)
	first := cell.lead(false)
	wide, small := smallStep(len(cell.upstreams)), smallStep(1)
	wide.MaxPerUpstream = 1
	first.planner.open(caspec.Submission{ID: "wide", Queue: "queue", Team: "north", Steps: []caspec.Step{wide}}, false)
	first.planner.open(caspec.Submission{ID: "small", Queue: "queue", Team: "north", Steps: []caspec.Step{small}}, false)
	if diff := cmp.Diff(len(cell.upstreams)+1, len(first.start())); diff != "" {
		t.Fatalf("first starts (-want +got):\n%s", diff)
	}
	for i := range cell.upstreams {
		cell.upstreams[i].Incarnation++
	}
	next := cell.lead(false)
	next.report()
	next.planner.shareCrashes()
	next.planner.updateProbation()
	got := map[cawork.JobID]bool{"wide": next.planner.jobs["wide"].onProbation, "small": next.planner.jobs["small"].onProbation}
	if diff := cmp.Diff(map[cawork.JobID]bool{"wide": true, "small": false}, got); diff != "" {
		t.Errorf("jobs on probation (-want +got):\n%s", diff)
	}
}

// TestLossesFarApartHaveNoCommonCause covers a new leader that finds upstreams restarted at different times:
// no common cause shows, so that what ran there is on probation.
func TestLossesFarApartHaveNoCommonCause(t *testing.T) {
	cell := newStoredCell(t)
	first := cell.lead(false)
	for i := range cell.upstreams {
		step := smallStep(1)
		step.CPU = roomCapacity.CPU
		first.planner.open(caspec.Submission{ID: cawork.JobID(fmt.Sprintf("job-%d", i)), Queue: "queue", Team: "north", Steps: []caspec.Step{step}}, false)
	}
	if diff := cmp.Diff(len(cell.upstreams), len(first.start())); diff != "" {
		t.Fatalf("first starts (-want +got):\n%s", diff)
	}
	for i := range cell.upstreams {
		cell.upstreams[i].Incarnation += int64(i+1) * 2 * cacrash.CommonRestartWindow.Milliseconds()
	}
	next := cell.lead(false)
	next.planner.updateProbation()
	for id, j := range next.planner.jobs {
		if !j.onProbation {
			t.Errorf("job %s is not on probation", id)
		}
	}
}
