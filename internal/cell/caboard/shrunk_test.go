package caboard

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
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
	s.planner.ApplyReport(Report{Upstream: info.ID, Born: 2, SentAt: s.now, ReceivedAt: s.now, ClockMS: 1})
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
	s.report(id, []RunningRun{{Run: RunID{Job: "unknown", Number: 1}}}, nil)
	s.setCapacity(16)
	s.submit("job", "queue", caspec.Step{Tasks: 1, CPU: cawork.Cores(8), Estimate: time.Second})
	if diff := cmp.Diff(0, len(s.startAll())); diff != "" {
		t.Errorf("starts beside a run of unknown size (-want +got):\n%s", diff)
	}
}
