package casoak

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/castate"
	"celeryarch.example/celeryarch/platform/standin"
)

func TestPlanIsDeterministic(t *testing.T) {
	plan := NewPlan(7, time.Minute, 5, 6)
	if diff := cmp.Diff(plan, NewPlan(7, time.Minute, 5, 6)); diff != "" {
		t.Errorf("plans of one seed (-first +second):\n%s", diff)
	}
	kinds := make(map[FaultKind]bool)
	for seed := range int64(20) {
		for _, f := range NewPlan(seed, time.Minute, 5, 6) {
			kinds[f.Kind] = true
		}
	}
	if diff := cmp.Diff(faultKindCount, len(kinds)); diff != "" {
		t.Errorf("kinds of fault in twenty plans (-want +got):\n%s", diff)
	}
}

// TestAddedFaultsLeaveThePlanOfASeed guards the seeds that found faults: their plans must not
// change when kinds of fault are added.
func TestAddedFaultsLeaveThePlanOfASeed(t *testing.T) {
	plan := NewPlan(104, time.Minute, 5, 6)
	added := []FaultKind{FaultDeadlyJob, FaultCapacity}
	kinds := make(map[FaultKind]int)
	var rest []Fault
	for _, f := range WithAddedFaults(NewPlan(104, time.Minute, 5, 6), 104, time.Minute, 6, added) {
		if f.Kind < FaultDeadlyJob {
			rest = append(rest, f)
			continue
		}
		kinds[f.Kind]++
	}
	if diff := cmp.Diff(plan, rest); diff != "" {
		t.Errorf("other faults of the plan (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(len(added), len(kinds)); diff != "" {
		t.Errorf("added kinds in a minute (-want +got):\n%s", diff)
	}
}

// TestWorkPlanHasAllKinds guards against runs with a workload that lack a kind of fault, and
// against plans of them that change the faults of NewPlan.
func TestWorkPlanHasAllKinds(t *testing.T) {
	if diff := cmp.Diff(NewWorkPlan(7, time.Minute, 9, 48), NewWorkPlan(7, time.Minute, 9, 48)); diff != "" {
		t.Errorf("plans of one seed (-first +second):\n%s", diff)
	}
	added := make(map[FaultKind]int)
	for seed := range int64(40) {
		counts := make(map[FaultKind]int)
		for _, f := range NewWorkPlan(seed, 20*time.Second, 9, 48) {
			counts[f.Kind]++
		}
		for _, f := range NewPlan(seed, 20*time.Second, 9, 48) {
			counts[f.Kind]--
		}
		for kind, n := range counts {
			added[kind] += n
		}
	}
	for kind, n := range added {
		if wanted := slices.Contains(workFaults, kind); wanted && n < 10 || !wanted && n != 0 {
			t.Errorf("%d faults %v are added to 40 plans", n, kind)
		}
	}
	if len(added) < len(workFaults) {
		t.Errorf("kinds in 40 plans are %v, want %v among them", added, workFaults)
	}
}

// TestPowerLossComesAtAnyTime guards against losses of power that do not wait for an acknowledgement, and
// against runs with a workload that have none of them.
func TestPowerLossComesAtAnyTime(t *testing.T) {
	c := &cell{timer: catimer.NewService(), fleet: standin.NewFleet(1, cawork.Resources{}, cawork.Resources{}, upstreamName), acknowledged: newAcknowledgements()}
	f := Fault{Kind: FaultPowerLossAfterCancel, Way: 1, For: time.Hour}
	isDown := make(chan struct{})
	go func() {
		defer close(isDown)
		if err := c.applyStopFault(t.Context(), faultEvent{fault: f, begins: true}, nil); err != nil {
			t.Error(err)
		}
	}()
	notify(c.acknowledged.submitted)
	select {
	case <-isDown:
		t.Error("the power is lost after the acknowledgement of a submission")
	case <-time.After(100 * time.Millisecond):
	}
	if diff := cmp.Diff(1, len(c.fleet.View().Free)); diff != "" {
		t.Errorf("upstreams before the acknowledgement (-want +got):\n%s", diff)
	}
	notify(c.acknowledged.canceled)
	<-isDown
	if diff := cmp.Diff(0, len(c.fleet.View().Free)); diff != "" {
		t.Errorf("upstreams after the acknowledgement (-want +got):\n%s", diff)
	}
	kinds := make(map[FaultKind]bool)
	for seed := range int64(20) {
		for _, kind := range DrawAddedWork(seed) {
			kinds[kind] = true
		}
	}
	if diff := cmp.Diff(len(stopFaults)+2, len(kinds)); diff != "" {
		t.Errorf("kinds of fault added to runs with a workload (-want +got):\n%s%v", diff, kinds)
	}
}

// TestPlannedWorkHasAllSteps guards against plans of planned work with another kind of fault, and
// against plans that lack a signal to a node that stops or has just started.
func TestPlannedWorkHasAllSteps(t *testing.T) {
	const nodes = 9
	if diff := cmp.Diff(NewPlannedPlan(7, time.Minute, nodes), NewPlannedPlan(7, time.Minute, nodes)); diff != "" {
		t.Errorf("plans of one seed (-first +second):\n%s", diff)
	}
	found := make(map[string]bool)
	for _, f := range NewPlannedPlan(7, 2*time.Minute, nodes) {
		found[f.Kind.String()] = true
		for _, stop := range NewPlannedPlan(7, 2*time.Minute, nodes) {
			if stop.Kind != FaultStop || f.Kind == FaultConfigure || stop.Target != f.Target || stop == f {
				continue
			}
			after := f.At - stop.At
			if after > 0 && after < minStopDuration {
				found[f.Kind.String()+" during a stop"] = true
			}
			if after -= stop.For; after > 0 && after < signalAfterStart {
				found[f.Kind.String()+" after a start"] = true
			}
		}
	}
	want := map[string]bool{
		"configure": true, "hangup": true, "hangup during a stop": true, "hangup after a start": true,
		"stop": true, "stop during a stop": true, "stop after a start": true,
	}
	if diff := cmp.Diff(want, found); diff != "" {
		t.Errorf("steps of two minutes (-want +got):\n%s", diff)
	}
}

// TestUnansweredCallOfDrainIsMissed guards against a drain after which a node counts calls without an
// answer, and which the soak does not report.
func TestUnansweredCallOfDrainIsMissed(t *testing.T) {
	log, err := os.Create(filepath.Join(t.TempDir(), "node.log"))
	if err != nil {
		t.Fatal(err)
	}
	for unanswered := range 2 {
		fmt.Fprintf(log, "{\"event\":%d,\"unanswered\":%d}\ninit os @1 ms\n", caevent.CallersDrained, unanswered)
	}
	l := newOutcomeLog()
	(&cell{isPlanned: true}).checkDrains(&node{name: "node", logFile: log}, l)
	if diff := cmp.Diff(1, len(l.violationList())); diff != "" {
		t.Errorf("violations (-want +got):\n%s%v", diff, l.violationList())
	}
}

func TestOutcomeMismatchOfDeadlyJobs(t *testing.T) {
	for name, c := range map[string]struct {
		outcome    outcome
		phase      castate.Phase
		known      bool
		crashes    int
		consistent bool
	}{
		"accepted and failed after two crashes": {outcomeAccepted, castate.PhaseFailed, true, 2, true},
		"accepted and failed after one crash":   {outcomeAccepted, castate.PhaseFailed, true, 1, false},
		"accepted and still running":            {outcomeAccepted, castate.PhaseRunning, true, 5, false},
		"accepted and lost":                     {outcomeAccepted, castate.PhaseQueued, false, 2, false},
		"accepted and completed":                {outcomeAccepted, castate.PhaseCompleted, true, 2, false},
		"refused and failed":                    {outcomeRejected, castate.PhaseFailed, true, 2, false},
		"without an answer, not known":          {outcomeUnknown, castate.PhaseQueued, false, 0, true},
		"without an answer, failed too early":   {outcomeUnknown, castate.PhaseFailed, true, 1, false},
	} {
		if got := c.outcome.deadlyMismatch(c.phase, c.known, c.crashes) == ""; got != c.consistent {
			t.Errorf("%s: consistent is %v, want %v", name, got, c.consistent)
		}
	}
}

// TestJobWithoutDeadlyTaskIsGivenUp checks that crashes excuse nothing but a failed job.
func TestJobWithoutDeadlyTaskIsGivenUp(t *testing.T) {
	for phase, consistent := range map[castate.Phase]bool{
		castate.PhaseFailed: true, castate.PhaseCompleted: true, castate.PhaseRunning: false, castate.PhaseQueued: false,
	} {
		if got := outcomeAccepted.mismatch(phase, true, minCrashes) == ""; got != consistent {
			t.Errorf("accepted and %v after %d crashes: consistent is %v, want %v", phase, minCrashes, got, consistent)
		}
	}
	if outcomeRejected.mismatch(castate.PhaseFailed, true, minCrashes) == "" {
		t.Error("a refused job that failed is consistent")
	}
}

// TestRunsByHandLackDeadlyJobs guards against runs that never crash an upstream by a task.
func TestRunsByHandLackDeadlyJobs(t *testing.T) {
	const seeds = 200
	plans := make(map[FaultKind]int)
	works := make(map[string]bool)
	for seed := range int64(seeds) {
		for _, kind := range DrawAdded(seed) {
			plans[kind]++
		}
		for _, f := range WithAddedFaults(nil, seed, 20*time.Second, 8, []FaultKind{FaultDeadlyWork}) {
			s := faultSubmission(f)
			works[fmt.Sprintf("%d steps, gang %v, long-running %v, timed %v", len(s.Steps), s.Steps[0].Gang, s.Steps[0].LongRunning, s.Schedule.IsTimed())] = true
		}
	}
	for _, kind := range append([]FaultKind{FaultCapacity, FaultDeadlyWork, FaultSeries, FaultOddEntry, FaultQueues, FaultTeams}, stopFaults...) {
		if plans[kind] < seeds/2 {
			t.Errorf("%d of %d plans have %v, want half at least", plans[kind], seeds, kind)
		}
	}
	if diff := cmp.Diff(5, len(works)); diff != "" {
		t.Errorf("kinds of deadly work (-want +got):\n%s", diff)
	}
}

func TestEveryFaultEnds(t *testing.T) {
	open := make(map[Fault]int)
	last := time.Duration(0)
	for _, s := range faultEvents(NewPlan(3, time.Minute, 5, 6)) {
		if s.at < last {
			t.Errorf("step at %v after one at %v", s.at, last)
		}
		last = s.at
		if s.begins {
			open[s.fault]++
			continue
		}
		if open[s.fault]--; open[s.fault] == 0 {
			delete(open, s.fault)
		}
	}
	if diff := cmp.Diff(map[Fault]int{}, open); diff != "" {
		t.Errorf("faults that do not end (-want +got):\n%s", diff)
	}
}

func TestOutcomeMismatch(t *testing.T) {
	for name, c := range map[string]struct {
		outcome    outcome
		phase      castate.Phase
		known      bool
		consistent bool
	}{
		"accepted and completed":       {outcomeAccepted, castate.PhaseCompleted, true, true},
		"accepted and still running":   {outcomeAccepted, castate.PhaseRunning, true, false},
		"accepted and lost":            {outcomeAccepted, castate.PhaseQueued, false, false},
		"refused and not known":        {outcomeRejected, castate.PhaseQueued, false, true},
		"refused and completed":        {outcomeRejected, castate.PhaseCompleted, true, false},
		"canceled after it completed":  {outcomeCanceled, castate.PhaseCompleted, true, true},
		"canceled and still running":   {outcomeCanceled, castate.PhaseRunning, true, false},
		"without an answer, not known": {outcomeUnknown, castate.PhaseQueued, false, true},
		"without an answer, completed": {outcomeUnknown, castate.PhaseCompleted, true, true},
		"given up after one crash":     {outcomeAccepted, castate.PhaseFailed, true, false},
	} {
		if got := c.outcome.mismatch(c.phase, c.known, minCrashes-1) == ""; got != c.consistent {
			t.Errorf("%s: consistent is %v, want %v", name, got, c.consistent)
		}
	}
}

// TestNodesStartBuildsInTurn guards against a soak of two builds in which one of them never leads.
func TestNodesStartBuildsInTurn(t *testing.T) {
	now, before := []string{"now"}, []string{"before", "flag"}
	mixed := Options{Command: now, Previous: before}
	want := [][][]string{{now}, {now, before}, {before, now}}
	got := [][][]string{Options{Command: now}.programsOf(1), mixed.programsOf(0), mixed.programsOf(1)}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("programs (-want +got):\n%s", diff)
	}
}
