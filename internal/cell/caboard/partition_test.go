package caboard

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caorder"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// gangQueue and patientQueue are queues of one pool: one for wide gangs, and one for
// small tasks with ample slack.
func gangQueue() caspec.Queue {
	return caspec.Queue{Name: "gangs", Pool: "pool", Priority: 1, MaxAttempts: 3, Stretch: 2.2, TargetLatency: time.Second}
}

func patientQueue() caspec.Queue {
	return caspec.Queue{Name: "patient", Pool: "pool", Priority: 2, MaxAttempts: 3, Stretch: 4, TargetLatency: 3 * time.Second}
}

func patientStep(tasks int) caspec.Step {
	return caspec.Step{Tasks: tasks, CPU: 2800, Memory: cawork.GiB, Estimate: 2200 * time.Millisecond}
}

// startGangs starts n wide gangs.
func (s *simulation) startGangs(n int) {
	s.t.Helper()
	for i := range n {
		s.submit(fmt.Sprintf("gang-%02d", i), "gangs", gangStep(16, 4500))
		for range 3 {
			s.advance(20 * time.Millisecond)
			s.startAll()
		}
	}
}

// TestPatientWorkStaysOutOfGangPartition covers a pool where wide gangs are half of the
// work: small tasks with ample slack must leave the gang partition to them, until they
// have waited for long.
func TestPatientWorkStaysOutOfGangPartition(t *testing.T) {
	s := newSimulation(t, 30, gangQueue(), patientQueue())
	s.startGangs(3)
	if share := s.planner.partitionOf("pool").Share(); share < 0.5 {
		t.Fatalf("the gang partition is %.2f of the pool, though gangs are all of the work", share)
	}
	for i := range 40 {
		s.submit(fmt.Sprintf("patient-%02d", i), "patient", patientStep(6))
	}
	patientTasksInPartition := func() int {
		n := 0
		for _, u := range s.planner.upstreams {
			for _, r := range u.runs {
				if u.inPartition && r.step.job.Submission.Queue == "patient" {
					n++
				}
			}
		}
		return n
	}
	s.startAll()
	freeSlots := 0
	for _, u := range s.planner.upstreams {
		if u.inPartition {
			freeSlots += u.free().Holds(s.planner.partitionOf("pool").SlotSize())
		}
	}
	if needed := int(s.planner.partitionOf("pool").MeanTasks()); freeSlots < needed {
		t.Errorf("%d slots are free in the gang partition, for a gang of %d tasks", freeSlots, needed)
	}
	before := patientTasksInPartition()
	// A third of their slack of 9.6 s is left then.
	s.advance(6400 * time.Millisecond)
	for _, id := range s.planner.UpstreamIDs() {
		s.reportWithoutDelay(id, s.runningRuns(id), nil)
	}
	s.startAll()
	if after := patientTasksInPartition(); after <= before {
		t.Errorf("%d patient tasks in the gang partition, %d after a long wait, want more", before, after)
	}
}

// TestGangPartitionIsEmptyWithoutWideGangs covers a pool without wide gangs: no upstreams
// may be set aside for them.
func TestGangPartitionIsEmptyWithoutWideGangs(t *testing.T) {
	s := newSimulation(t, 10, gangQueue(), patientQueue())
	for i := range 12 {
		s.submit(fmt.Sprintf("patient-%02d", i), "patient", patientStep(4))
		s.startAll()
	}
	if diff := cmp.Diff(0.0, s.planner.partitionOf("pool").Share()); diff != "" {
		t.Errorf("share of the gang partition (-want +got):\n%s", diff)
	}
}

// TestNothingIsAssignedWhileStoreIsUnavailable covers an outage of the store: tasks
// assigned during the outage would hold tickets that expire before it ends.
func TestNothingIsAssignedWhileStoreIsUnavailable(t *testing.T) {
	s := newSimulation(t, 2, plainQueue())
	s.submit("0000000000000001", "queue", smallStep(1))
	s.planner.SetStoreUnavailable(true)
	if diff := cmp.Diff(0, len(s.startAll())); diff != "" {
		t.Errorf("starts while the store is unavailable (-want +got):\n%s", diff)
	}
	s.planner.SetStoreUnavailable(false)
	if diff := cmp.Diff(1, len(s.startAll())); diff != "" {
		t.Errorf("starts after the outage (-want +got):\n%s", diff)
	}
}

// TestStartsWithExpiredTicketsAreNotSent covers an append to the store that takes longer
// than tickets are valid: no member of the gang may start, and all must wait again.
func TestStartsWithExpiredTicketsAreNotSent(t *testing.T) {
	s := newSimulation(t, 4, approvedQueue())
	s.submit("0000000000000001", "queue", gangStep(6, 4500))
	for _, request := range s.planner.Plan().ApprovalRequests {
		var approved []caorder.Approval
		for _, id := range request.Upstreams {
			approved = append(approved, caorder.Approval{Upstream: id, Ticket: "ticket"})
		}
		s.planner.ApplyAdvice(request, approved, true)
	}
	s.planner.Plan()
	batch, err := s.planner.NextBatch()
	if err != nil {
		t.Fatal(err)
	}
	s.advance(6 * time.Second)
	if diff := cmp.Diff(0, len(s.planner.MarkStored(batch))); diff != "" {
		t.Errorf("start orders sent (-want +got):\n%s", diff)
	}
	step := s.planner.jobs["0000000000000001"].steps[0]
	if diff := cmp.Diff([2]int{6, 0}, [2]int{step.waitingTasks, step.liveRuns}); diff != "" {
		t.Errorf("waiting tasks and runs (-want +got):\n%s", diff)
	}
	for id, u := range s.planner.upstreams {
		if diff := cmp.Diff(cawork.Resources{}, u.used); diff != "" {
			t.Errorf("used resources of %s (-want +got):\n%s", id, diff)
		}
	}
}

// TestGangRequestsMoreUpstreamsWhenApprovedAreBusy covers an urgent gang whose approved
// upstreams are full, while others that it has not requested yet have room.
func TestGangRequestsMoreUpstreamsWhenApprovedAreBusy(t *testing.T) {
	s := newSimulation(t, 60, approvedQueue())
	s.submit("0000000000000001", "queue", gangStep(3, 6000))
	requests := s.planner.Plan().ApprovalRequests
	if len(requests) != 1 {
		t.Fatalf("%d approval requests, want one", len(requests))
	}
	var approved []caorder.Approval
	for _, id := range requests[0].Upstreams[:8] {
		approved = append(approved, caorder.Approval{Upstream: id, Ticket: "ticket"})
		s.planner.upstreams[id].used = cawork.Resources{CPU: cawork.Cores(14)}
	}
	s.planner.ApplyAdvice(requests[0], approved, true)
	var later []caorder.ApprovalRequest
	for range 10 {
		s.advance(10 * time.Millisecond)
		later = append(later, s.planner.Plan().ApprovalRequests...)
	}
	if len(later) == 0 {
		t.Fatal("no approval request within 100 ms")
	}
	for _, id := range later[0].Upstreams {
		if s.planner.jobs["0000000000000001"].steps[0].approvals.isDecided(s.planner.upstreams[id]) {
			t.Errorf("approval of upstream %s is requested again", id)
		}
	}
}

// TestReservedRoomIsBounded covers many wide gangs in a full pool: most of the pool must
// remain available to work that can use it now.
func TestReservedRoomIsBounded(t *testing.T) {
	s := newSimulation(t, 50, gangQueue(), patientQueue())
	for i := range 60 {
		s.planner.open(caspec.Submission{ID: cawork.JobID(fmt.Sprintf("patient-%02d", i)), Queue: "patient", Team: "north", Steps: []caspec.Step{patientStep(5)}}, false)
	}
	s.startAll()
	for i := range 20 {
		s.planner.open(caspec.Submission{ID: cawork.JobID(fmt.Sprintf("gang-%02d", i)), Queue: "gangs", Team: "north", Steps: []caspec.Step{gangStep(16, 4500)}}, false)
	}
	for range 10 {
		s.advance(200 * time.Millisecond)
		for _, id := range s.planner.UpstreamIDs() {
			s.reportWithoutDelay(id, s.runningRuns(id), nil)
		}
		s.startAll()
		p := s.planner.pools["pool"]
		// The last reservation may exceed an eighth of the pool by the seven upstreams
		// that one gang needs.
		if maxShare := 0.125 + 7.0/50; p.reservedCPU > maxShare*float64(p.capacity) {
			t.Fatalf("%.2f of the pool is reserved", p.reservedCPU/float64(p.capacity))
		}
	}
}

// runningRuns returns the rows of all runs that the planner has at an upstream.
func (s *simulation) runningRuns(id cawork.UpstreamID) []caorder.RunningRun {
	var rows []caorder.RunningRun
	for run := range s.planner.upstreams[id].runs {
		rows = append(rows, caorder.RunningRun{Run: run})
	}
	return rows
}

// TestLateByEstimateRunsAfterOnTimeJobs covers a backlog of jobs that would meet their
// objective only if they ran shorter than estimated. They must not delay jobs that can
// meet it.
func TestLateByEstimateRunsAfterOnTimeJobs(t *testing.T) {
	s := newSimulation(t, 1, plainQueue())
	fullStep := caspec.Step{Tasks: 1, CPU: 16000, Memory: cawork.GiB, Estimate: 4 * time.Second}
	s.planner.open(submission(1, fullStep), false)
	// 3.5 s of the 9 s are left for a run time of 4 s.
	s.advance(5500 * time.Millisecond)
	s.reportWithoutDelay(upstreamID("up-00"), nil, nil)
	s.planner.open(submission(2, fullStep), false)
	orders := s.startAll()
	if len(orders) != 1 || orders[0].Run.Job != submission(2).ID {
		t.Errorf("started %+v, want the job that can meet its objective", orders)
	}
}

// TestPatientWorkAsksOnlyForUpstreamsItMayUse covers patient work that has no room outside of
// the gang partition. Until it may use the partition, it must not ask the advisor, through
// which urgent work asks as well.
func TestPatientWorkAsksOnlyForUpstreamsItMayUse(t *testing.T) {
	patient := patientQueue()
	patient.Approval = &caspec.Approval{FixedCost: 80 * time.Millisecond, CostPerUpstream: time.Millisecond, Validity: 2500 * time.Millisecond}
	s := newSimulation(t, 30, gangQueue(), patient)
	s.startGangs(4)
	s.submit("waiting", "gangs", gangStep(64, 4500))
	s.startAll()
	s.submit("patient", "patient", patientStep(6))
	requests := s.planner.Plan().ApprovalRequests
	for _, id := range requestedUpstreams(requests) {
		if u := s.planner.upstreams[id]; u.inPartition && s.planner.takesGangSlot(s.stepOf("patient"), u) {
			t.Errorf("%s is requested, though it is left to gangs", id)
		}
	}
	s.advance(6400 * time.Millisecond)
	for _, id := range s.planner.UpstreamIDs() {
		s.reportWithoutDelay(id, s.runningRuns(id), nil)
	}
	s.planner.ApplyAdvice(caorder.ApprovalRequest{Job: "patient"}, nil, true)
	if len(requestedUpstreams(s.planner.Plan().ApprovalRequests)) == 0 {
		t.Error("nothing is requested after a long wait")
	}
}

// requestedUpstreams returns the upstreams in all requests.
func requestedUpstreams(requests []caorder.ApprovalRequest) []cawork.UpstreamID {
	var ids []cawork.UpstreamID
	for _, r := range requests {
		ids = append(ids, r.Upstreams...)
	}
	return ids
}

// stepOf returns the first step of a job.
func (s *simulation) stepOf(id cawork.JobID) *step { return s.planner.jobs[id].steps[0] }
