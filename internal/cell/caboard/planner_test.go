package caboard

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caorder"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// simulation drives a planner step by step in virtual time.
type simulation struct {
	t          testing.TB
	planner    *Planner
	now        time.Time
	endNumbers map[cawork.UpstreamID]int64
	// stops are the stop orders of all plans so far.
	stops []caorder.StopOrder
	// heldRecords counts the records that were held back.
	heldRecords int
}

func newSimulation(t testing.TB, upstreams int, queues ...caspec.Queue) *simulation {
	t.Helper()
	now := time.Unix(1_000_000, 0)
	s := &simulation{t: t, now: now, endNumbers: make(map[cawork.UpstreamID]int64)}
	s.planner = New(zerolog.Nop(), 1, s.moment(), now.Add(10*time.Second))
	s.planner.SetRequestLimits(RequestLimits{Total: 100, Long: 100})
	s.planner.SetPolicy(caspec.Policy{
		Version: 1, Queues: queues, Pools: []caspec.Pool{{Name: "pool"}},
		Teams: []caspec.Team{{Name: "north", Weight: 1000}},
	}.WithIndex())
	var list []caspec.Upstream
	for i := range upstreams {
		list = append(list, caspec.Upstream{
			ID: cawork.UpstreamID(fmt.Sprintf("up-%02d", i)), Address: "address", Pool: "pool", Incarnation: 1,
			Capacity: cawork.Resources{CPU: cawork.Cores(16), Memory: 32 * cawork.GiB},
			Labels:   []string{"a", fmt.Sprintf("rack-%d", i/6)},
		})
	}
	s.planner.SetUpstreams(list)
	for _, u := range list {
		s.report(u.ID, nil, nil)
	}
	return s
}

func (s *simulation) moment() ClockReading {
	return ClockReading{Monotonic: s.now, WallMS: s.now.UnixMilli()}
}

func (s *simulation) advance(d time.Duration) {
	s.now = s.now.Add(d)
	s.planner.SetNow(s.moment())
}

// report applies a report of an upstream that is requested and answered now.
func (s *simulation) report(id cawork.UpstreamID, running []caorder.RunningRun, ended []caorder.EndedRun) {
	s.advance(time.Millisecond)
	for i := range ended {
		s.endNumbers[id]++
		ended[i].Number = s.endNumbers[id]
	}
	s.planner.ApplyReport(caorder.Report{
		Upstream: id, Born: 1, SentAt: s.now, ReceivedAt: s.now, ClockMS: s.now.UnixMilli(), Running: running, Ended: ended,
	})
}

func (s *simulation) submit(id string, queue caspec.QueueName, steps ...caspec.Step) {
	s.t.Helper()
	_, err := s.planner.Submit(caspec.Submission{ID: cawork.JobID(id), Queue: queue, Team: "north", Steps: steps})
	if err != nil {
		s.t.Fatalf("submit %s: %v", id, err)
	}
}

// commit stores all changes and returns the start orders to send.
func (s *simulation) commit() []caorder.StartOrder {
	s.t.Helper()
	batch, err := s.planner.NextBatch()
	if err != nil {
		s.t.Fatal(err)
	}
	return s.planner.MarkStored(batch)
}

// startAll plans, commits and reports all starts as accepted.
func (s *simulation) startAll() []caorder.StartOrder {
	s.t.Helper()
	s.stops = append(s.stops, s.planner.Plan().Stops...)
	orders := s.commit()
	for _, o := range orders {
		s.planner.ApplyStartOutcome(o, caorder.StartAccepted, s.now.UnixMilli())
	}
	return orders
}

func plainQueue() caspec.Queue {
	return caspec.Queue{Name: "queue", Pool: "pool", MaxAttempts: 3, Stretch: 2, TargetLatency: time.Second}
}

func approvedQueue() caspec.Queue {
	q := plainQueue()
	q.Approval = &caspec.Approval{FixedCost: 10 * time.Millisecond, CostPerUpstream: time.Millisecond, Validity: 2500 * time.Millisecond}
	return q
}

func smallStep(tasks int) caspec.Step {
	return caspec.Step{Tasks: tasks, CPU: 1400, Memory: 2 * cawork.GiB, Estimate: 640 * time.Millisecond}
}

// BenchmarkPlanBacklog measures a plan while more than a thousand jobs wait for a full cell.
func BenchmarkPlanBacklog(b *testing.B) {
	s := newSimulation(b, 48, approvedQueue())
	for i := range 1500 {
		s.planner.open(submission(i, smallStep(3)), false)
	}
	for range 5 {
		for _, request := range s.planner.Plan().ApprovalRequests {
			var approved []caorder.Approval
			for _, id := range request.Upstreams {
				approved = append(approved, caorder.Approval{Upstream: id, Ticket: "t"})
			}
			s.advance(200 * time.Millisecond)
			s.planner.ApplyAdvice(request, approved, true)
		}
	}
	b.ResetTimer()
	for range b.N {
		s.planner.Plan()
	}
}

func upstreamID(name string) cawork.UpstreamID { return cawork.UpstreamID(name) }

func submission(i int, steps ...caspec.Step) caspec.Submission {
	return caspec.Submission{ID: cawork.JobID(fmt.Sprintf("%016x", i)), Queue: "queue", Team: "north", Steps: steps}
}

// TestOnTimeJobsStartFirst covers a backlog that is older than the slack of its jobs: a
// new job must start before the jobs that are late in any case, which then start in their
// order.
func TestOnTimeJobsStartFirst(t *testing.T) {
	s := newSimulation(t, 1, plainQueue())
	fullStep := caspec.Step{Tasks: 1, CPU: 16000, Memory: cawork.GiB, Estimate: 4 * time.Second}
	s.planner.open(submission(0, fullStep), false)
	s.startAll()
	for i := range 3 {
		s.planner.open(submission(1+i, fullStep), false)
	}
	s.advance(6500 * time.Millisecond)
	s.planner.open(submission(9, fullStep), false)
	var order []cawork.JobID
	for range 4 {
		for id, u := range s.planner.upstreams {
			for run := range u.runs {
				s.report(id, nil, []caorder.EndedRun{{Run: run, Ending: caorder.EndingDone}})
			}
		}
		for _, o := range s.startAll() {
			order = append(order, o.Run.Job)
		}
	}
	want := []cawork.JobID{submission(9).ID, submission(1).ID, submission(2).ID, submission(3).ID}
	if diff := cmp.Diff(want, order); diff != "" {
		t.Errorf("order of the starts (-want +got):\n%s", diff)
	}
}
