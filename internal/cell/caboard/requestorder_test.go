package caboard

import (
	"testing"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caobjective"
	"celeryarch.example/celeryarch/internal/cell/caorder"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

const (
	// backlogTurn is how long the advisor of a requestBacklog takes for a request.
	backlogTurn = 100 * time.Millisecond
	// backlogTime is how long further jobs come.
	backlogTime = 60 * time.Second
	// backlogFirstJob is the number of the first job that comes.
	backlogFirstJob = 1000
)

// requestBacklog drives a planner whose advisor handles one request at a time, beside a new job in the given
// share of these turns, and returns how long each job waited for its first request since then or since it
// was new.
func (s *simulation) requestBacklog(newJobs float64) map[cawork.JobID]time.Duration {
	s.t.Helper()
	s.planner.SetRequestLimits(RequestLimits{Total: 1, Long: 1})
	began := s.now
	openedAt, waits := make(map[cawork.JobID]time.Time), make(map[cawork.JobID]time.Duration)
	for jobs := 0; s.now.Sub(began) < backlogTime; {
		if float64(jobs) <= newJobs*float64(s.now.Sub(began)/backlogTurn) {
			job := submission(backlogFirstJob+jobs, smallStep(1))
			jobs++
			openedAt[job.ID] = s.now
			s.planner.open(job, false)
		}
		requests := s.planner.Plan().ApprovalRequests
		for _, request := range requests {
			if _, asked := waits[request.Job]; asked {
				continue
			}
			since, isNew := openedAt[request.Job]
			if !isNew {
				since = began
			}
			waits[request.Job] = s.now.Sub(since)
		}
		s.completeRuns()
		s.advance(backlogTurn)
		s.approveAll(requests)
	}
	return waits
}

// completeRuns starts what was assigned and ends it at once.
func (s *simulation) completeRuns() {
	for _, o := range s.commit() {
		s.planner.ApplyStartOutcome(o, caorder.StartAccepted, s.now.UnixMilli())
	}
	for _, u := range s.planner.sortedUpstreams {
		var ended []caorder.EndedRun
		for _, r := range sortedRuns(u) {
			ended = append(ended, caorder.EndedRun{Run: r.id, Ending: caorder.EndingDone})
		}
		s.reportWithoutDelay(u.info.ID, nil, ended)
	}
}

// backlogAges are the ages of the jobs that are late when others begin to come.
var backlogAges = map[string]time.Duration{"late": 2 * time.Second, "useless": time.Minute}

// lateJobs opens jobs and lets them get old.
func (s *simulation) lateJobs(n int, age time.Duration) {
	for i := range n {
		s.planner.open(submission(i, smallStep(1)), false)
	}
	s.advance(age)
	for _, u := range s.planner.sortedUpstreams {
		s.reportWithoutDelay(u.info.ID, nil, nil)
	}
}

// TestLateStepIsNeverAskedAbout guards against an accepted job that is late and waits beside free room for
// as long as further jobs come, since the advisor is asked about all of them before.
func TestLateStepIsNeverAskedAbout(t *testing.T) {
	const (
		late = 20
		// maxWait is how long the advisor takes for the late jobs, five times over.
		maxWait = 5 * late * backlogTurn
	)
	for name, age := range backlogAges {
		s := newSimulation(t, 6, approvedQueue())
		s.lateJobs(late, age)
		waits := s.requestBacklog(1)
		for n := range late {
			if wait, asked := waits[submission(n).ID]; !asked || wait > maxWait {
				t.Errorf("%s: job %d was asked about: %t, after %v, want at most %v", name, n, asked, wait, maxWait)
			}
		}
	}
}

// TestLateStepsDelayThoseInTime guards against late jobs that are asked about at the expense of those that
// could be in time: these come in two of three turns of the advisor.
func TestLateStepsDelayThoseInTime(t *testing.T) {
	const late, newJobs = 300, 2.0 / 3
	slack := caobjective.SlackOf(approvedQueue(), []caspec.Step{smallStep(1)})
	for name, age := range backlogAges {
		s := newSimulation(t, 6, approvedQueue())
		s.lateJobs(late, age)
		waits, asked := s.requestBacklog(newJobs), 0
		for n := range int(newJobs * float64(backlogTime/backlogTurn)) {
			wait, ok := waits[submission(backlogFirstJob+n).ID]
			asked += count(ok)
			if wait > slack/2 {
				t.Errorf("%s: job %d in time was asked about after %v, want at most %v", name, n, wait, slack/2)
			}
		}
		if least := int(newJobs*float64(backlogTime/backlogTurn)) - 10; asked < least {
			t.Errorf("%s: the advisor was asked about %d jobs in time, want at least %d", name, asked, least)
		}
	}
}

func count(matches bool) int {
	if matches {
		return 1
	}
	return 0
}
