package caboard

import (
	"fmt"
	"testing"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

func gangStep(tasks int, cpu cawork.MilliCPU) caspec.Step {
	return caspec.Step{Tasks: tasks, CPU: cpu, Memory: cawork.GiB, Estimate: 4 * time.Second, Gang: true}
}

// run plays arrivals of small work for the time, in steps of 50 ms, and ends
// runs when their estimates are over. It returns when each job first started.
func (s *simulation) run(during time.Duration, arrive func(at time.Duration)) map[cawork.JobID]time.Duration {
	s.t.Helper()
	begin := s.now
	type running struct {
		order StartOrder
		ends  time.Time
	}
	var live []running
	started := make(map[cawork.JobID]time.Duration)
	for s.now.Sub(begin) < during {
		s.advance(50 * time.Millisecond)
		arrive(s.now.Sub(begin))
		present := make(map[cawork.UpstreamID][]RunningRow)
		ended := make(map[cawork.UpstreamID][]EndedRow)
		kept := live[:0]
		for _, r := range live {
			if s.now.Before(r.ends) {
				kept = append(kept, r)
				present[r.order.Upstream] = append(present[r.order.Upstream], RunningRow{Run: r.order.Run})
				continue
			}
			ended[r.order.Upstream] = append(ended[r.order.Upstream], EndedRow{Run: r.order.Run, Ending: EndingDone})
		}
		live = kept
		for _, id := range s.board.UpstreamIDs() {
			s.reportAtOnce(id, present[id], ended[id])
		}
		for _, o := range s.startAll() {
			step := s.board.jobs[o.Run.Job].Submission.Steps[o.Run.Step]
			live = append(live, running{order: o, ends: s.now.Add(step.Estimate)})
			if _, ok := started[o.Run.Job]; !ok {
				started[o.Run.Job] = s.now.Sub(begin)
			}
		}
	}
	return started
}

// reportAtOnce is report without time passing.
func (s *simulation) reportAtOnce(id cawork.UpstreamID, running []RunningRow, ended []EndedRow) {
	s.now = s.now.Add(-time.Millisecond)
	s.report(id, running, ended)
}

// TestGangStartsBesideSteadySmallWork replays a full cell that small work keeps
// full, where a gang would wait for ever if the small work took all room.
func TestGangStartsBesideSteadySmallWork(t *testing.T) {
	s := newSimulation(t, 12, plainQueue())
	small := caspec.Step{Tasks: 4, CPU: 1000, Memory: cawork.GiB, Estimate: 2 * time.Second}
	n := 0
	started := s.run(15*time.Second, func(at time.Duration) {
		for range 2 {
			n++
			s.board.open(submission(n, small), false)
		}
		if at >= 4*time.Second && at < 4*time.Second+50*time.Millisecond {
			s.board.open(caspec.Submission{ID: "gang", Queue: "queue", Team: "north", Steps: []caspec.Step{gangStep(10, 4500)}}, false)
		}
	})
	at, ok := started["gang"]
	if !ok || at > 9*time.Second {
		t.Errorf("gang that came at 4 s started at %v (started %v), want by 9 s", at, ok)
	}
}

// TestGangsLateBeyondUseStillRun replays the end of an overload: what was
// accepted runs once there is room, however late it is.
func TestGangsLateBeyondUseStillRun(t *testing.T) {
	s := newSimulation(t, 12, plainQueue())
	for i := range 20 {
		s.board.open(submission(i, gangStep(10, 4500)), false)
	}
	s.advance(time.Hour)
	started := s.run(45*time.Second, func(time.Duration) {})
	for i := range 20 {
		if _, ok := started[cawork.JobID(fmt.Sprintf("%016x", i))]; !ok {
			t.Errorf("gang %d did not start within 45 s in a free cell", i)
		}
	}
}

// TestTicketsOfAGangAreValidTogether replays an advisor whose answers hold for
// hardly longer than the questions about a wide gang take.
func TestTicketsOfAGangAreValidTogether(t *testing.T) {
	q := approvedQueue()
	q.Approval = &caspec.Approval{Decision: 350 * time.Millisecond, PerUpstream: 5 * time.Millisecond, Validity: 2500 * time.Millisecond}
	s := newSimulation(t, 40, q)
	s.board.SetAskSlots(AskSlots{All: 4, Long: 1})
	s.board.open(caspec.Submission{ID: "gang", Queue: "queue", Team: "north", Steps: []caspec.Step{gangStep(70, 7000)}}, false)
	for begin := s.now; s.now.Sub(begin) < 20*time.Second; {
		for _, ask := range s.board.Plan().Asks {
			s.advance(ask.Cost)
			var approved []Approval
			for _, id := range ask.Upstreams {
				approved = append(approved, Approval{Upstream: id, Ticket: "ticket"})
			}
			s.board.Advised(ask, approved, true)
		}
		s.advance(50 * time.Millisecond)
		for _, id := range s.board.UpstreamIDs() {
			s.reportAtOnce(id, nil, nil)
		}
		if len(s.startAll()) > 0 {
			return
		}
	}
	t.Error("the gang did not start within 20 s in a free cell")
}

// BenchmarkPlanGangBacklog plans while many gangs wait for a full cell, as after
// the store was away for some seconds.
func BenchmarkPlanGangBacklog(b *testing.B) {
	q := approvedQueue()
	s := newSimulation(b, 350, q)
	var all []Approval
	for _, id := range s.board.UpstreamIDs() {
		all = append(all, Approval{Upstream: id, Ticket: "ticket"})
	}
	for i := range 350 {
		s.board.open(submission(i, caspec.Step{Tasks: 8, CPU: 1900, Memory: cawork.GiB, Estimate: 4 * time.Second}), false)
	}
	for range 8 {
		for _, ask := range s.board.Plan().Asks {
			s.board.Advised(ask, all, true)
		}
		for _, o := range s.commit() {
			s.board.Started(o, StartAccepted, s.now.UnixMilli())
		}
	}
	for i := range 200 {
		s.board.open(submission(1000+i, gangStep(60, 4500)), false)
	}
	for range 6 {
		s.advance(200 * time.Millisecond)
		for _, ask := range s.board.Plan().Asks {
			s.board.Advised(ask, all[:40], true)
		}
	}
	b.ResetTimer()
	for range b.N {
		s.advance(10 * time.Millisecond)
		s.board.Plan()
	}
}
