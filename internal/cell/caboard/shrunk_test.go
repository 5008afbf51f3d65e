package caboard

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caorder"
	"celeryarch.example/celeryarch/internal/cell/caroom"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// setCapacity lists all upstreams again, each with the given number of cores.
func (s *simulation) setCapacity(cores int64) {
	var list []caspec.Upstream
	for _, u := range s.planner.sortedUpstreams {
		info := u.info
		info.Capacity.CPU = cawork.Cores(cores)
		list = append(list, info)
	}
	s.planner.SetUpstreams(list)
}

// usedCPU returns what is charged to all upstreams.
func (s *simulation) usedCPU() cawork.MilliCPU {
	used := cawork.MilliCPU(0)
	for _, u := range s.planner.sortedUpstreams {
		used += u.used.CPU
	}
	return used
}

// TestStartsBeyondShrunkCapacityAreNotSent guards against start orders for room that an
// upstream lost while the assignments were being stored.
func TestStartsBeyondShrunkCapacityAreNotSent(t *testing.T) {
	step := caspec.Step{Tasks: 4, CPU: cawork.Cores(4), Estimate: time.Second}
	gang := step
	gang.Gang = true
	tests := map[string]struct {
		step      caspec.Step
		cores     int64
		sent      int
		upstreams int
	}{
		"same room":               {step, 16, 4, 1},
		"half of the room":        {step, 8, 2, 1},
		"no room":                 {step, 0, 0, 1},
		"gang in half of it":      {gang, 8, 0, 1},
		"gang over two upstreams": {gang, 8, 4, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, test.upstreams, plainQueue())
			s.submit("job", "queue", test.step)
			s.planner.Plan()
			s.setCapacity(test.cores)
			if test.upstreams > 1 {
				// The gang was assigned to one upstream. The next plan spreads it.
				s.commit()
				s.planner.Plan()
			}
			sent := s.commit()
			if diff := cmp.Diff(test.sent, len(sent)); diff != "" {
				t.Errorf("start orders (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(cawork.MilliCPU(4000*test.sent), s.usedCPU()); diff != "" {
				t.Errorf("charged CPU (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(4-test.sent, s.planner.steps[0].waitingTasks); diff != "" {
				t.Errorf("waiting tasks (-want +got):\n%s", diff)
			}
		})
	}
}

// TestEarlierStartKeepsItsRoom checks that assignments of a later batch, which are not sent
// yet, take no room from those of an earlier one.
func TestEarlierStartKeepsItsRoom(t *testing.T) {
	s := newSimulation(t, 1, plainQueue())
	s.submit("job-a", "queue", caspec.Step{Tasks: 1, CPU: cawork.Cores(4), Estimate: time.Second})
	s.planner.Plan()
	earlier, err := s.planner.NextBatch()
	if err != nil {
		t.Fatal(err)
	}
	s.submit("job-b", "queue", caspec.Step{Tasks: 1, CPU: cawork.Cores(8), Estimate: time.Second})
	s.planner.Plan()
	s.setCapacity(8)
	if diff := cmp.Diff(1, len(s.planner.MarkStored(earlier))); diff != "" {
		t.Errorf("starts of the earlier batch (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(0, len(s.commit())); diff != "" {
		t.Errorf("starts of the later batch (-want +got):\n%s", diff)
	}
}

// TestLaterIncarnationWaitsForItsCapacity guards against starts at an incarnation that its
// reports have shown, by the capacity that the list still has of the earlier one.
func TestLaterIncarnationWaitsForItsCapacity(t *testing.T) {
	s := newSimulation(t, 1, plainQueue())
	info := s.planner.sortedUpstreams[0].info
	s.advance(time.Millisecond)
	s.planner.ApplyReport(caorder.Report{Upstream: info.ID, Born: 2, SentAt: s.now, ReceivedAt: s.now, ClockMS: 1})
	s.submit("job", "queue", caspec.Step{Tasks: 4, CPU: cawork.Cores(4), Estimate: time.Second})
	if diff := cmp.Diff(0, len(s.startAll())); diff != "" {
		t.Errorf("starts before the capacity of the incarnation is known (-want +got):\n%s", diff)
	}
	s.planner.SetUpstreams([]caspec.Upstream{info})
	if diff := cmp.Diff(0, len(s.startAll())); diff != "" {
		t.Errorf("starts after the earlier incarnation was listed again (-want +got):\n%s", diff)
	}
	info.Incarnation, info.Capacity.CPU = 2, cawork.Cores(4)
	s.planner.SetUpstreams([]caspec.Upstream{info})
	if diff := cmp.Diff(1, len(s.startAll())); diff != "" {
		t.Errorf("starts once the incarnation is listed (-want +got):\n%s", diff)
	}
}

// TestGangAvoidsOvercommittedUpstream guards against members of a gang on an upstream whose
// runs exceed its shrunk capacity in a dimension that the gang does not use.
func TestGangAvoidsOvercommittedUpstream(t *testing.T) {
	s := newSimulation(t, 1, plainQueue())
	withAccelerators := func(n int64) {
		info := s.planner.sortedUpstreams[0].info
		info.Capacity.Accelerators = n
		s.planner.SetUpstreams([]caspec.Upstream{info})
	}
	withAccelerators(1)
	s.submit("accelerated", "queue", caspec.Step{Tasks: 1, CPU: 1000, Accelerators: 1, Estimate: time.Minute})
	s.startAll()
	withAccelerators(0)
	s.submit("gang", "queue", caspec.Step{Tasks: 2, CPU: 1000, Gang: true, Estimate: time.Second})
	if diff := cmp.Diff(0, len(s.startAll())); diff != "" {
		t.Errorf("starts at an upstream over its capacity (-want +got):\n%s", diff)
	}
	withAccelerators(1)
	if diff := cmp.Diff(2, len(s.startAll())); diff != "" {
		t.Errorf("starts once the capacity has grown again (-want +got):\n%s", diff)
	}
}

// TestUnknownRunTakesAllThatUpstreamEverHad guards against starts beside an unknown run whose
// size was taken from a shrunk capacity, once that has grown again.
func TestUnknownRunTakesAllThatUpstreamEverHad(t *testing.T) {
	s := newSimulation(t, 1, plainQueue())
	id := s.planner.sortedUpstreams[0].info.ID
	s.setCapacity(4)
	s.report(id, []caorder.RunningRun{{Run: caorder.RunID{Job: "unknown", Number: 1}}}, nil)
	s.setCapacity(16)
	s.submit("job", "queue", caspec.Step{Tasks: 1, CPU: cawork.Cores(8), Estimate: time.Second})
	if diff := cmp.Diff(0, len(s.startAll())); diff != "" {
		t.Errorf("starts beside a run of unknown size (-want +got):\n%s", diff)
	}
}

// TestRefusalForLackOfRoomIsTrue guards against the refusal of a job as one that never fits
// while the upstreams are only shrunk or gone for now. Such a caller is told when to retry.
func TestRefusalForLackOfRoomIsTrue(t *testing.T) {
	fitsWhole := caspec.Step{Tasks: 1, CPU: cawork.Cores(12), Estimate: time.Second}
	gang := caspec.Step{Tasks: 6, CPU: cawork.Cores(4), Gang: true, Estimate: time.Second}
	neverFits := caspec.Step{Tasks: 1, CPU: cawork.Cores(17), Estimate: time.Second}
	shrink := func(s *simulation) { s.setCapacity(8) }
	gone := func(s *simulation) { s.planner.SetUpstreams(nil) }
	longGone := func(s *simulation) {
		gone(s)
		s.advance(caroom.Retention + time.Second)
		s.planner.SetUpstreams(nil)
	}
	tests := map[string]struct {
		change func(*simulation)
		step   caspec.Step
		want   cakind.Kind
	}{
		"task for shrunk upstreams":      {shrink, fitsWhole, cakind.KindOverloaded},
		"gang for shrunk upstreams":      {shrink, gang, cakind.KindOverloaded},
		"task for upstreams that left":   {gone, fitsWhole, cakind.KindOverloaded},
		"task for a pool long without":   {longGone, neverFits, cakind.KindOverloaded},
		"task larger than any upstream":  {shrink, neverFits, cakind.KindNeverFits},
		"task larger than any that left": {gone, neverFits, cakind.KindNeverFits},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, 2, plainQueue())
			test.change(s)
			_, err := s.planner.Submit(caspec.Submission{ID: "job", Queue: "queue", Team: "north", Steps: []caspec.Step{test.step}})
			if diff := cmp.Diff(test.want, cakind.Of(err)); diff != "" {
				t.Errorf("answer %v (-want +got):\n%s", err, diff)
			}
			if retry := cakind.RetryAfterOf(err); (retry > 0) != (test.want == cakind.KindOverloaded) {
				t.Errorf("retry delay %s of answer %v", retry, err)
			}
		})
	}
}

// TestRefusalOfColdPoolTellsWhenToRetry guards against the refusal of a job as one that never
// fits by a leader that has not seen an upstream of the pool yet.
func TestRefusalOfColdPoolTellsWhenToRetry(t *testing.T) {
	s := newSimulation(t, 0, plainQueue())
	_, err := s.planner.Submit(submission(1, smallStep(1)))
	if diff := cmp.Diff(cakind.KindOverloaded, cakind.Of(err)); diff != "" {
		t.Errorf("answer %v (-want +got):\n%s", err, diff)
	}
}

// TestShrunkPoolCountsWaitFromFirstRefusal checks that a job that was refused while upstreams
// were shrunk is as old as its first submission once it is accepted.
func TestShrunkPoolCountsWaitFromFirstRefusal(t *testing.T) {
	s := newSimulation(t, 1, plainQueue())
	job := submission(1, caspec.Step{Tasks: 1, CPU: cawork.Cores(12), Estimate: time.Second})
	s.setCapacity(8)
	if _, err := s.planner.Submit(job); err == nil {
		t.Fatal("the job was accepted by a shrunk pool")
	}
	s.advance(1500 * time.Millisecond)
	s.setCapacity(16)
	if _, err := s.planner.Submit(job); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(1500*time.Millisecond, s.planner.age(s.planner.jobs[job.ID])); diff != "" {
		t.Errorf("age of the accepted job (-want +got):\n%s", diff)
	}
}

// TestReservationLeavesShrunkUpstreams checks that the room reserved for a gang moves when the
// reserved upstreams have become too small for its tasks.
func TestReservationLeavesShrunkUpstreams(t *testing.T) {
	s := newSimulation(t, 12, plainQueue())
	s.submit("busy", "queue", caspec.Step{Tasks: 12, CPU: cawork.Cores(10), Estimate: 3 * time.Second, MaxPerUpstream: 1})
	s.startAll()
	s.submit("gang", "queue", gangStep(2, cawork.Cores(10)))
	s.startAll()
	reserved := s.reservedUpstreams()
	if len(reserved) != 2 {
		t.Fatalf("%d upstreams are reserved for the gang, want 2", len(reserved))
	}
	var list []caspec.Upstream
	for _, u := range s.planner.sortedUpstreams {
		info := u.info
		if u.reservedBy != nil {
			info.Capacity.CPU = cawork.Cores(8)
		}
		list = append(list, info)
	}
	s.planner.SetUpstreams(list)
	s.advance(reservationRetryInterval)
	s.startAll()
	moved := s.reservedUpstreams()
	if len(moved) != 2 {
		t.Errorf("%d upstreams are reserved after the others shrank, want 2", len(moved))
	}
	for id := range moved {
		if reserved[id] {
			t.Errorf("%s is still reserved, though it has shrunk", id)
		}
	}
}

func (s *simulation) reservedUpstreams() map[cawork.UpstreamID]bool {
	reserved := make(map[cawork.UpstreamID]bool)
	for _, u := range s.planner.sortedUpstreams {
		if u.reservedBy != nil {
			reserved[u.info.ID] = true
		}
	}
	return reserved
}

// TestChangedCapacityIsLogged checks that an operator can see when an upstream shrinks.
func TestChangedCapacityIsLogged(t *testing.T) {
	s := newSimulation(t, 1, plainQueue())
	var log bytes.Buffer
	s.planner.log = zerolog.New(&log)
	s.setCapacity(16)
	s.setCapacity(8)
	if diff := cmp.Diff(1, strings.Count(log.String(), `"capacity":"8.000 cores`)); diff != "" {
		t.Errorf("events of the smaller capacity (-want +got):\n%s\n%s", diff, log.String())
	}
	if diff := cmp.Diff(0, strings.Count(log.String(), `"capacity":"16.000 cores`)); diff != "" {
		t.Errorf("events of the same capacity (-want +got):\n%s", diff)
	}
}
