package cadecide_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/cadecide"
	"celeryarch.example/celeryarch/internal/core/casched"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

var start = time.Unix(1e9, 0)

// scenario is a scheduler with upstreams of 8 cores and 32 GiB each and teams of
// equal weight, in virtual time.
type scenario struct {
	t   *testing.T
	s   casched.Scheduler
	now time.Time
}

func newScenario(t *testing.T, p casched.Policy, upstreams int) *scenario {
	c := &scenario{t: t, now: start}
	c.s = cadecide.New(p, func(v *casched.Violation) { t.Fatal(v) })
	for i := range upstreams {
		c.s.PutUpstream(casched.Upstream{
			ID: cawork.UpstreamID(fmt.Sprintf("u%d", i)), Rack: cawork.RackName(fmt.Sprintf("r%d", i%2)),
			Capacity: cawork.Resources{CPU: cawork.Cores(8), Memory: 32 * cawork.GiB}, Slots: 8, Connections: 8,
		}, start)
	}
	for _, n := range teamNames {
		c.s.SetAllowance(n, casched.Unlimited(), start)
	}
	return c
}

func size(cpu int64) cawork.Resources {
	return cawork.Resources{CPU: cawork.Cores(cpu), Memory: cawork.GiB}
}

func batchSpec(tasks int, cpu int64) cawork.JobSpec {
	return cawork.JobSpec{
		Kind: cawork.WorkKindBatch, Tasks: tasks, Size: size(cpu), RunTime: 10 * time.Minute, Idempotent: true,
	}
}

func (c *scenario) job(id cawork.JobID, team cawork.TeamName, spec cawork.JobSpec) cawork.Job {
	return cawork.Job{ID: id, Team: team, Spec: spec, Accepted: c.now}
}

func (c *scenario) submit(id cawork.JobID, team cawork.TeamName, spec cawork.JobSpec) {
	c.t.Helper()
	if err := c.s.Submit(c.job(id, team, spec), c.now); err != nil {
		c.t.Fatal(err)
	}
}

// decideAfter advances the time and returns all decisions.
func (c *scenario) decideAfter(d time.Duration) []casched.Decision {
	c.t.Helper()
	c.now = c.now.Add(d)
	var out []casched.Decision
	for {
		got := c.s.Decide(c.now)
		out = append(out, got...)
		if len(got) == 0 {
			break
		}
	}
	if err := c.s.Check(); err != nil {
		c.t.Fatal(err)
	}
	return out
}

func (c *scenario) end(ref cawork.TaskRef, state cawork.TaskState) casched.AttemptResult {
	return c.s.Ended(casched.AttemptEnd{Task: ref, State: state, Elapsed: time.Minute}, c.now)
}

// summary formats each decision as "kind reason job/tasks".
func summary(ds []casched.Decision) []string {
	var out []string
	for _, d := range ds {
		out = append(out, fmt.Sprintf("%v %v %s/%d", d.Kind, d.Reason, d.Job, len(d.Placements)))
	}
	return out
}

func countDecisions(ds []casched.Decision, k casched.DecisionKind, job cawork.JobID) int {
	n := 0
	for _, d := range ds {
		if d.Kind == k && d.Job == job {
			n++
		}
	}
	return n
}

func wantSummary(t *testing.T, got []casched.Decision, want ...string) {
	t.Helper()
	if diff := cmp.Diff(want, summary(got)); diff != "" {
		t.Errorf("decisions mismatch (-want +got):\n%s", diff)
	}
}

func TestLoweredAllowanceEndsTheTaskWithTheLeastLoss(t *testing.T) {
	c := newScenario(t, casched.DefaultPolicy(), 2)
	c.submit("old", "north", batchSpec(1, 4))
	c.decideAfter(0)
	c.now = c.now.Add(time.Minute)
	c.submit("new", "north", batchSpec(2, 4))
	c.decideAfter(0)
	c.s.SetAllowance("north", cawork.Resources{CPU: cawork.Cores(8), Memory: 8 * cawork.GiB}, c.now)
	wantSummary(t, c.decideAfter(time.Second), "checkpoint over_limit new/1")
	wantSummary(t, c.decideAfter(time.Second))
	wantSummary(t, c.decideAfter(20*time.Second), "stop not_saved_in_time new/1")
}

func TestPreemptionStopsAtTheShare(t *testing.T) {
	c := newScenario(t, casched.DefaultPolicy(), 2)
	c.submit("full", "north", batchSpec(8, 2))
	c.decideAfter(0)
	c.submit("late", "south", batchSpec(8, 2))
	wantSummary(t, c.decideAfter(time.Second))
	var victims []cawork.TaskRef
	for range 100 {
		for _, d := range c.decideAfter(10 * time.Second) {
			if d.Kind == casched.DecisionCheckpoint {
				victims = append(victims, d.Placements[0].Task)
				if diff := cmp.Diff(true, c.end(d.Placements[0].Task, cawork.TaskStateCheckpointed).Requeued); diff != "" {
					t.Errorf("checkpointed task mismatch (-want +got):\n%s", diff)
				}
			}
		}
	}
	want := []casched.TeamUse{{Team: "north", Use: size(2).Times(4)}, {Team: "south", Use: size(2).Times(4)}}
	if diff := cmp.Diff(want, c.s.TeamUses()); diff != "" {
		t.Errorf("uses mismatch (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(4, len(victims)); diff != "" {
		t.Errorf("preempted tasks mismatch (-want +got):\n%s", diff)
	}
}

// The share tolerance is a fraction of the share of a team of weight 1. If it
// grew with the weight, the team of weight 4 would not preempt for its missing
// tasks.
func TestShareToleranceDoesNotGrowWithTheWeight(t *testing.T) {
	p := casched.DefaultPolicy().WithTeam("south", casched.TeamPolicy{Weight: 4, Limit: casched.Unlimited()})
	c := newScenario(t, p, 10)
	c.submit("heavy", "south", batchSpec(62, 1))
	c.decideAfter(0)
	c.submit("light", "north", batchSpec(18, 1))
	c.decideAfter(0)
	c.submit("missing", "south", batchSpec(2, 1))
	wantSummary(t, c.decideAfter(time.Minute), "checkpoint share light/1")
}

// The younger task belongs to a team below its share, so the older one is
// preempted although its loss is higher.
func TestPreemptionSparesTeamsBelowTheirShare(t *testing.T) {
	c := newScenario(t, casched.DefaultPolicy(), 2)
	c.submit("old", "north", batchSpec(6, 2))
	c.decideAfter(0)
	c.now = c.now.Add(10 * time.Minute)
	c.submit("new", "east", batchSpec(2, 2))
	c.decideAfter(0)
	c.submit("late", "south", batchSpec(1, 2))
	got := append(c.decideAfter(40*time.Second), c.decideAfter(time.Second)...)
	wantSummary(t, got, "checkpoint share old/1")
}

func TestNonIdempotentTaskIsNotStoppedForAShare(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		c := newScenario(t, casched.DefaultPolicy(), 1)
		spec := batchSpec(4, 2)
		spec.Idempotent = idempotent
		c.submit("full", "north", spec)
		c.decideAfter(0)
		c.submit("late", "south", batchSpec(1, 2))
		stops := 0
		for range 30 {
			stops += countDecisions(c.decideAfter(10*time.Second), casched.DecisionStop, "full")
		}
		if diff := cmp.Diff(idempotent, stops > 0); diff != "" {
			t.Errorf("idempotent %v: stopped mismatch (-want +got):\n%s", idempotent, diff)
		}
	}
}

func TestUrgentJobPreemptsItsOwnTeam(t *testing.T) {
	c := newScenario(t, casched.DefaultPolicy(), 1)
	c.submit("full", "north", batchSpec(4, 2))
	c.decideAfter(0)
	spec := batchSpec(1, 2)
	spec.Urgent = true
	c.submit("urgent", "north", spec)
	got := append(c.decideAfter(0), c.decideAfter(time.Second)...)
	wantSummary(t, got, "checkpoint urgent_preemption full/1")
	c.end(got[0].Placements[0].Task, cawork.TaskStateCheckpointed)
	wantSummary(t, c.decideAfter(time.Second), "place reservation urgent/1")
}

// The class of the urgent job has 500 smaller jobs behind it, which take many
// calls to try. Preemption must not wait for that.
func TestUrgentJobPreemptsBeforeItsWholeClassWasTried(t *testing.T) {
	c := newScenario(t, casched.DefaultPolicy(), 1)
	c.submit("full", "north", batchSpec(1, 8))
	wantSummary(t, c.decideAfter(0), "place lowest_share full/1")
	smaller := batchSpec(1, 2)
	smaller.Size.CPU -= 100
	for i := range 500 {
		c.submit(cawork.JobID(fmt.Sprintf("smaller%d", i)), "north", smaller)
	}
	urgent := batchSpec(1, 2)
	urgent.Urgent = true
	c.submit("urgent", "north", urgent)
	wantSummary(t, c.decideAfter(0), "checkpoint urgent_preemption full/1")
}

func TestReservationPreventsStarvationAndAllowsBackfill(t *testing.T) {
	p := casched.DefaultPolicy()
	c := newScenario(t, p, 2)
	long := batchSpec(1, 4)
	c.submit("a", "north", long)
	c.decideAfter(0)
	gang := cawork.JobSpec{Kind: cawork.WorkKindGang, Tasks: 2, Size: size(8), RunTime: time.Minute, Idempotent: true}
	c.submit("gang", "south", gang)
	wantSummary(t, c.decideAfter(time.Minute), "reserve blocked gang/0")
	short := batchSpec(1, 4)
	short.RunTime = time.Minute
	c.submit("short", "north", short)
	c.submit("long", "north", long)
	wantSummary(t, c.decideAfter(time.Second), "place backfill short/1")
	c.end(cawork.TaskRef{Job: "short"}, cawork.TaskStateDone)
	wantSummary(t, c.decideAfter(time.Minute))
	c.end(cawork.TaskRef{Job: "a"}, cawork.TaskStateDone)
	wantSummary(t, c.decideAfter(time.Second), "place_gang reservation gang/2")
}

// Other teams leave freed capacity to the gang for maxDeferral. As it does not
// suffice for the gang in that time, they use it afterwards.
func TestDeferralForATooLargeGangEnds(t *testing.T) {
	p := casched.DefaultPolicy()
	for _, k := range cawork.WorkKindValues() {
		kp := p.Kind(k)
		kp.ReserveBound = 0
		p = p.WithKind(k, kp)
	}
	c := newScenario(t, p, 10)
	c.submit("small", "north", batchSpec(200, 1))
	running := c.decideAfter(0)
	gang := batchSpec(9, 8)
	gang.Kind = cawork.WorkKindGang
	c.submit("gang", "south", gang)
	end := func(n int) {
		for _, d := range running[:n] {
			c.end(d.Placements[0].Task, cawork.TaskStateDone)
		}
		running = running[n:]
	}
	c.decideAfter(2 * time.Second)
	end(8)
	if got := c.decideAfter(time.Second); len(got) > 0 {
		t.Errorf("capacity was not left to the gang: %v", summary(got))
	}
	if got := countDecisions(c.decideAfter(2*time.Minute), casched.DecisionPlace, "small"); got != 8 {
		t.Errorf("%d tasks started after the deferral, want 8", got)
	}
}

// Batch work is deferred in favor of the blocked gang, a look-up is not.
func TestLookupIsNotDeferred(t *testing.T) {
	c := newScenario(t, casched.DefaultPolicy(), 2)
	c.submit("full", "north", batchSpec(7, 2))
	c.decideAfter(0)
	gang := batchSpec(2, 4)
	gang.Kind = cawork.WorkKindGang
	c.submit("gang", "south", gang)
	c.decideAfter(time.Second)
	c.submit("batch", "north", batchSpec(1, 1))
	wantSummary(t, c.decideAfter(time.Second))
	lookup := batchSpec(1, 1)
	lookup.Kind = cawork.WorkKindLookup
	c.submit("lookup", "north", lookup)
	wantSummary(t, c.decideAfter(time.Second), "place lowest_share lookup/1")
}

func TestGangThatLosesAMemberRestartsTogether(t *testing.T) {
	c := newScenario(t, casched.DefaultPolicy(), 2)
	gang := cawork.JobSpec{Kind: cawork.WorkKindGang, Tasks: 3, Size: size(2), RunTime: time.Minute, Idempotent: true}
	c.submit("gang", "north", gang)
	wantSummary(t, c.decideAfter(0), "place_gang gang_fits gang/3")
	c.end(cawork.TaskRef{Job: "gang"}, cawork.TaskStateFailed)
	wantSummary(t, c.decideAfter(time.Second), "checkpoint gang_member_lost gang/1", "checkpoint gang_member_lost gang/1")
	c.end(cawork.TaskRef{Job: "gang", Index: 1}, cawork.TaskStateCheckpointed)
	wantSummary(t, c.decideAfter(time.Second))
	c.end(cawork.TaskRef{Job: "gang", Index: 2}, cawork.TaskStateDone)
	wantSummary(t, c.decideAfter(time.Second), "place_gang gang_fits gang/2")
}

func TestFullQueueRefusesJobsUntilOneIsCanceled(t *testing.T) {
	p := casched.DefaultPolicy()
	kp := p.Kind(cawork.WorkKindBatch)
	kp.QueueBound, kp.UrgentHeadroom = 3, 1
	c := newScenario(t, p.WithKind(cawork.WorkKindBatch, kp), 1)
	c.submit("big", "north", batchSpec(1, 8))
	c.decideAfter(0)
	c.submit("a", "north", batchSpec(3, 8))
	err := c.s.Submit(c.job("b", "north", batchSpec(1, 8)), c.now)
	if diff := cmp.Diff(cakind.KindOverloaded, cakind.Of(err)); diff != "" {
		t.Errorf("kind mismatch (-want +got):\n%s", diff)
	}
	if cakind.RetryAfterOf(err) <= 0 {
		t.Error("the refusal has no retry-after time")
	}
	urgent := batchSpec(1, 8)
	urgent.Urgent = true
	c.submit("urgent", "north", urgent)
	got, err := c.s.Cancel("a", c.now)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(casched.Cancellation{NotRun: 3, Ended: true}, got); diff != "" {
		t.Errorf("cancellation mismatch (-want +got):\n%s", diff)
	}
	c.submit("b", "north", batchSpec(2, 8))
}

func TestJobWithTooLongExpectedWaitIsRefused(t *testing.T) {
	p := casched.DefaultPolicy()
	kp := p.Kind(cawork.WorkKindBatch)
	kp.Aging, kp.RefuseLate = time.Second, true
	c := newScenario(t, p.WithKind(cawork.WorkKindBatch, kp), 1)
	c.submit("queue", "north", batchSpec(120, 8))
	for i := range 20 {
		c.decideAfter(0)
		c.now = c.now.Add(2 * time.Second)
		c.end(cawork.TaskRef{Job: "queue", Index: i}, cawork.TaskStateDone)
	}
	c.decideAfter(0)
	late := batchSpec(1, 8)
	late.RunTime = time.Second
	late.Deadline = 180 * time.Second
	err := c.s.Submit(c.job("late", "north", late), c.now)
	got := []any{cakind.Of(err), cakind.RetryAfterOf(err)}
	if diff := cmp.Diff([]any{cakind.KindOverloaded, 18 * time.Second}, got); diff != "" {
		t.Errorf("refusal mismatch (-want +got):\n%s", diff)
	}
	c.submit("elsewhere", "east", late)
	smaller := late
	smaller.Size.CPU--
	c.submit("smaller", "north", smaller)
	urgent := late
	urgent.Urgent = true
	c.submit("urgent", "north", urgent)
	late.Deadline = 200 * time.Second
	c.submit("in_time", "north", late)
	kp.WaitBound = time.Minute
	c.s.SetPolicy(p.WithKind(cawork.WorkKindBatch, kp), c.now)
	err = c.s.Submit(c.job("bound", "north", batchSpec(1, 8)), c.now)
	if diff := cmp.Diff(cakind.KindOverloaded, cakind.Of(err)); diff != "" {
		t.Errorf("kind mismatch (-want +got):\n%s", diff)
	}
}

func TestNeverFitsErrorNamesTheLargestSize(t *testing.T) {
	c := newScenario(t, casched.DefaultPolicy(), 1)
	err := c.s.Submit(c.job("huge", "north", batchSpec(1, 9)), c.now)
	if diff := cmp.Diff(cakind.KindNeverFits, cakind.Of(err)); diff != "" {
		t.Fatalf("kind mismatch (-want +got):\n%s", diff)
	}
	if !strings.Contains(err.Error(), size(8).String()[:5]) {
		t.Errorf("error %q does not name the largest size that fits", err)
	}
}

func TestSizesAreCorrectedAndOverrunsAreThrottledThenCheckpointed(t *testing.T) {
	c := newScenario(t, casched.DefaultPolicy(), 1)
	for i := range 30 {
		ref := cawork.TaskRef{Job: cawork.JobID(fmt.Sprintf("learn%d", i))}
		c.submit(ref.Job, "north", batchSpec(1, 8))
		c.decideAfter(time.Second)
		c.s.ReportUsage(ref, cawork.Resources{CPU: cawork.Cores(2), Memory: cawork.GiB}, c.now)
		c.end(ref, cawork.TaskStateDone)
	}
	c.submit("many", "north", batchSpec(4, 8))
	if diff := cmp.Diff(4, countDecisions(c.decideAfter(time.Second), casched.DecisionPlace, "many")); diff != "" {
		t.Errorf("placed tasks mismatch (-want +got):\n%s", diff)
	}
	ref := cawork.TaskRef{Job: "many"}
	c.s.ReportUsage(ref, cawork.Resources{CPU: cawork.Cores(10)}, c.now)
	wantSummary(t, c.decideAfter(time.Second), "throttle over_size many/1")
	c.s.ReportUsage(ref, cawork.Resources{CPU: cawork.Cores(10)}, c.now)
	wantSummary(t, c.decideAfter(time.Second))
	c.now = c.now.Add(time.Minute)
	c.s.ReportUsage(ref, cawork.Resources{CPU: cawork.Cores(10)}, c.now)
	wantSummary(t, c.decideAfter(time.Second), "checkpoint over_size many/1")
}

func TestUpstreamThatFailsEverythingIsEjectedThenProbed(t *testing.T) {
	c := newScenario(t, casched.DefaultPolicy(), 4)
	ejected := 0
	for i := range 60 {
		c.submit(cawork.JobID(fmt.Sprintf("j%d", i)), "north", batchSpec(4, 8))
		for _, d := range c.decideAfter(time.Second) {
			switch d.Kind {
			case casched.DecisionEject:
				ejected++
				if diff := cmp.Diff(cawork.UpstreamID("u0"), d.Upstream); diff != "" {
					t.Errorf("ejected upstream mismatch (-want +got):\n%s", diff)
				}
			case casched.DecisionPlace:
				state := cawork.TaskStateDone
				if d.Placements[0].Upstream == "u0" {
					state = cawork.TaskStateFailed
				}
				c.end(d.Placements[0].Task, state)
			}
		}
	}
	if ejected == 0 {
		t.Fatal("the failing upstream was not ejected")
	}
	if diff := cmp.Diff(size(8).CPU*3, c.s.Capacity().CPU); diff != "" {
		t.Errorf("capacity mismatch (-want +got):\n%s", diff)
	}
}

func TestTakeoverRestoresChargesAndQueues(t *testing.T) {
	c := newScenario(t, casched.DefaultPolicy(), 1)
	ref := cawork.TaskRef{Job: "j", Index: 2}
	c.s.Adopt(caplatform.TaskStatus{Task: ref, Team: "north", Size: size(2), State: cawork.TaskStateRunning}, "u0", c.now)
	if diff := cmp.Diff([]casched.TeamUse(nil), c.s.TeamUses()); diff != "" {
		t.Errorf("uses of a foreign task mismatch (-want +got):\n%s", diff)
	}
	err := c.s.Restore(casched.RestoredJob{Job: c.job("j", "north", batchSpec(4, 2)), Tasks: []casched.RestoredTask{
		{Index: 0, Phase: casched.TaskPhaseEnded, Outcome: cawork.OutcomeDone},
		{Index: 1, Phase: casched.TaskPhaseOpen, Upstream: "elsewhere", Size: size(2), Attempts: 1},
		{Index: 2, Phase: casched.TaskPhaseOpen, Upstream: "u0", Size: size(2), Attempts: 1},
	}}, c.now)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]casched.TeamUse{{Team: "north", Use: size(4).Plus(cawork.Resources{Memory: cawork.GiB})}}, c.s.TeamUses()); diff != "" {
		t.Errorf("uses mismatch (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(cawork.Cores(6), c.s.Free().CPU); diff != "" {
		t.Errorf("free mismatch (-want +got):\n%s", diff)
	}
	wantSummary(t, c.decideAfter(time.Second), "place lowest_share j/1")
	for i := 1; i < 4; i++ {
		out := c.end(cawork.TaskRef{Job: "j", Index: i}, cawork.TaskStateDone)
		if diff := cmp.Diff(i == 3, out.JobEnded); diff != "" {
			t.Errorf("end of task %d mismatch (-want +got):\n%s", i, diff)
		}
	}
}

// Another entry took the upstream over while a task of this entry still runs on
// it. The upstream is still known here, but the reservation is made by the new
// owner, so PlaceReserved must not ask for a local one.
func TestJobIsPlacedOnAnUpstreamWithANewOwner(t *testing.T) {
	c := newScenario(t, casched.DefaultPolicy(), 1)
	c.s.SetAllowance("north", size(8).Times(2), c.now)
	c.submit("left", "north", batchSpec(1, 4))
	wantSummary(t, c.decideAfter(time.Second), "place lowest_share left/1")
	c.s.RemoveUpstream("u0", c.now)
	c.submit("j", "north", batchSpec(1, 4))
	c.decideAfter(time.Second)
	placements := []casched.Placement{{Task: cawork.TaskRef{Job: "j"}, Upstream: "u0", Size: size(4)}}
	if _, err := c.s.PlaceReserved(placements, "", c.now); err != nil {
		t.Errorf("placement on the upstream of the new owner was refused: %v", err)
	}
}

func TestPlaceReservedChecksAllowanceAndExpiry(t *testing.T) {
	c := newScenario(t, casched.DefaultPolicy(), 1)
	c.s.SetAllowance("north", size(4), c.now)
	c.submit("j", "north", batchSpec(2, 4))
	if _, err := c.s.Reserve(casched.ReserveRequest{
		ID: "v", Job: "j", Team: "north", Kind: cawork.WorkKindBatch, Size: size(4), Min: 2, Count: 2,
		Expires: c.now.Add(time.Minute),
	}, c.now); err != nil {
		t.Fatal(err)
	}
	both := []casched.Placement{
		{Task: cawork.TaskRef{Job: "j"}, Upstream: "u0", Size: size(4)},
		{Task: cawork.TaskRef{Job: "j", Index: 1}, Upstream: "u0", Size: size(4)},
	}
	_, err := c.s.PlaceReserved(both, "v", c.now)
	if diff := cmp.Diff(cakind.KindLimitReached, cakind.Of(err)); diff != "" {
		t.Errorf("kind beyond the allowance mismatch (-want +got):\n%s", diff)
	}
	wantSummary(t, c.decideAfter(time.Second))
	c.now = c.now.Add(time.Minute)
	_, err = c.s.PlaceReserved(both[:1], "v", c.now)
	if diff := cmp.Diff(cakind.KindNotFound, cakind.Of(err)); diff != "" {
		t.Errorf("kind after the expiry mismatch (-want +got):\n%s", diff)
	}
	wantSummary(t, c.decideAfter(time.Second), "place lowest_share j/1")
}

func TestDeadlineBeforeStartEndsTheJob(t *testing.T) {
	c := newScenario(t, casched.DefaultPolicy(), 1)
	c.submit("full", "north", batchSpec(1, 8))
	c.decideAfter(0)
	spec := batchSpec(1, 8)
	spec.Deadline = time.Minute
	c.submit("late", "north", spec)
	wantSummary(t, c.decideAfter(2*time.Minute), "expire deadline late/0")
	if _, err := c.s.Cancel("late", c.now); cakind.Of(err) != cakind.KindNotFound {
		t.Errorf("cancel of an expired job gave %v", err)
	}
}

// Starts that never ran do not count as attempts, but are limited too, so that a
// task that cannot start anywhere ends.
func TestFailedStartsHaveTheirOwnLimit(t *testing.T) {
	c := newScenario(t, casched.DefaultPolicy(), 4)
	c.submit("j", "north", batchSpec(1, 1))
	ref := cawork.TaskRef{Job: "j"}
	for range 29 {
		c.decideAfter(time.Second)
		if out := c.s.StartFailed(ref, true, c.now); !out.Requeued {
			t.Fatalf("settlement %+v, want the task queued again", out)
		}
	}
	c.decideAfter(time.Second)
	want := casched.AttemptResult{
		WasOpen: true, Own: true, Outcome: cawork.OutcomeNotRun, JobEnded: true, JobOutcome: cawork.OutcomeNotRun,
	}
	if diff := cmp.Diff(want, c.s.StartFailed(ref, true, c.now)); diff != "" {
		t.Errorf("settlement mismatch (-want +got):\n%s", diff)
	}
}

func TestWithdrawnPlacementsDoNotCountAsAttempts(t *testing.T) {
	c := newScenario(t, casched.DefaultPolicy(), 4)
	c.submit("j", "north", batchSpec(1, 1))
	ref := cawork.TaskRef{Job: "j"}
	for range 100 {
		wantSummary(t, c.decideAfter(time.Second), "place lowest_share j/1")
		if diff := cmp.Diff(casched.AttemptResult{WasOpen: true, Own: true, Requeued: true}, c.s.Withdrawn(ref, c.now)); diff != "" {
			t.Fatalf("settlement mismatch (-want +got):\n%s", diff)
		}
	}
}

func TestTaskThatAlwaysFailsIsNotRetriedForever(t *testing.T) {
	c := newScenario(t, casched.DefaultPolicy(), 4)
	c.submit("bad", "north", batchSpec(1, 1))
	ref := cawork.TaskRef{Job: "bad"}
	var got []bool
	for range 3 {
		c.decideAfter(time.Second)
		got = append(got, c.end(ref, cawork.TaskStateFailed).Requeued)
	}
	if diff := cmp.Diff([]bool{true, true, false}, got); diff != "" {
		t.Errorf("requeued mismatch (-want +got):\n%s", diff)
	}
}

func TestServicesSpreadOverRacksAndBatchPacks(t *testing.T) {
	c := newScenario(t, casched.DefaultPolicy(), 4)
	service := batchSpec(4, 1)
	service.Kind = cawork.WorkKindService
	c.submit("service", "north", service)
	seen := map[cawork.UpstreamID]int{}
	for _, d := range c.decideAfter(0) {
		seen[d.Placements[0].Upstream]++
	}
	if diff := cmp.Diff(map[cawork.UpstreamID]int{"u0": 1, "u1": 1, "u2": 1, "u3": 1}, seen); diff != "" {
		t.Errorf("spread mismatch (-want +got):\n%s", diff)
	}
	c.submit("batch", "north", batchSpec(7, 1))
	seen = map[cawork.UpstreamID]int{}
	for _, d := range c.decideAfter(0) {
		seen[d.Placements[0].Upstream]++
	}
	if diff := cmp.Diff(1, len(seen)); diff != "" {
		t.Errorf("upstreams of packed tasks mismatch (-want +got):\n%s", diff)
	}
}
