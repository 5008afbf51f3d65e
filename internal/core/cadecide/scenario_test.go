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

// scene is a scheduler with upstreams of 8 cores and 32 GiB and teams of equal
// weight.
type scene struct {
	t   *testing.T
	s   casched.Scheduler
	now time.Time
}

func newScene(t *testing.T, p casched.Policy, upstreams int) *scene {
	c := &scene{t: t, now: start}
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

func batch(tasks int, cpu int64) cawork.JobSpec {
	return cawork.JobSpec{
		Kind: cawork.WorkKindBatch, Tasks: tasks, Size: size(cpu), RunTime: 10 * time.Minute, Idempotent: true,
	}
}

func (c *scene) job(id cawork.JobID, team cawork.TeamName, spec cawork.JobSpec) cawork.Job {
	return cawork.Job{ID: id, Team: team, Spec: spec, Accepted: c.now}
}

func (c *scene) submit(id cawork.JobID, team cawork.TeamName, spec cawork.JobSpec) {
	c.t.Helper()
	if err := c.s.Submit(c.job(id, team, spec), c.now); err != nil {
		c.t.Fatal(err)
	}
}

// after moves the time and returns all decisions.
func (c *scene) after(d time.Duration) []casched.Decision {
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

func (c *scene) end(ref cawork.TaskRef, state cawork.TaskState) casched.Settlement {
	return c.s.Ended(casched.End{Task: ref, State: state, Elapsed: time.Minute}, c.now)
}

// summary lists decisions as "kind reason job/tasks".
func summary(ds []casched.Decision) []string {
	var out []string
	for _, d := range ds {
		out = append(out, fmt.Sprintf("%v %v %s/%d", d.Kind, d.Reason, d.Job, len(d.Placements)))
	}
	return out
}

func count(ds []casched.Decision, k casched.DecisionKind, job cawork.JobID) int {
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

func TestLoweredAllowanceStopsTheCheapestExcess(t *testing.T) {
	c := newScene(t, casched.DefaultPolicy(), 2)
	c.submit("old", "north", batch(1, 4))
	c.after(0)
	c.now = c.now.Add(time.Minute)
	c.submit("new", "north", batch(2, 4))
	c.after(0)
	c.s.SetAllowance("north", cawork.Resources{CPU: cawork.Cores(8), Memory: 8 * cawork.GiB}, c.now)
	wantSummary(t, c.after(time.Second), "checkpoint over_limit new/1")
	wantSummary(t, c.after(time.Second))
	wantSummary(t, c.after(20*time.Second), "stop not_saved_in_time new/1")
}

func TestPreemptionGivesTheShareAndNoMore(t *testing.T) {
	c := newScene(t, casched.DefaultPolicy(), 2)
	c.submit("full", "north", batch(8, 2))
	c.after(0)
	c.submit("late", "south", batch(8, 2))
	wantSummary(t, c.after(time.Second))
	var victims []cawork.TaskRef
	for range 100 {
		for _, d := range c.after(10 * time.Second) {
			if d.Kind == casched.DecisionCheckpoint {
				victims = append(victims, d.Placements[0].Task)
				if diff := cmp.Diff(true, c.end(d.Placements[0].Task, cawork.TaskStateCheckpointed).Requeued); diff != "" {
					t.Errorf("checkpointed task mismatch (-want +got):\n%s", diff)
				}
			}
		}
	}
	want := []casched.TeamUse{{Team: "north", Use: size(2).Times(4)}, {Team: "south", Use: size(2).Times(4)}}
	if diff := cmp.Diff(want, c.s.Uses()); diff != "" {
		t.Errorf("uses mismatch (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(4, len(victims)); diff != "" {
		t.Errorf("preempted tasks mismatch (-want +got):\n%s", diff)
	}
}

func TestShortfallOfAHeavyTeamIsMeasuredByTheShareOfALightOne(t *testing.T) {
	p := casched.DefaultPolicy().WithTeam("south", casched.TeamPolicy{Weight: 4, Limit: casched.Unlimited()})
	c := newScene(t, p, 10)
	c.submit("heavy", "south", batch(62, 1))
	c.after(0)
	c.submit("light", "north", batch(18, 1))
	c.after(0)
	c.submit("missing", "south", batch(2, 1))
	wantSummary(t, c.after(time.Minute), "checkpoint share light/1")
}

func TestPreemptionSparesATeamBelowItsShareThoughItsLossIsLess(t *testing.T) {
	c := newScene(t, casched.DefaultPolicy(), 2)
	c.submit("old", "north", batch(6, 2))
	c.after(0)
	c.now = c.now.Add(10 * time.Minute)
	c.submit("new", "east", batch(2, 2))
	c.after(0)
	c.submit("late", "south", batch(1, 2))
	got := append(c.after(40*time.Second), c.after(time.Second)...)
	wantSummary(t, got, "checkpoint share old/1")
}

func TestWorkThatWouldBeLostIsNotStoppedForAShare(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		c := newScene(t, casched.DefaultPolicy(), 1)
		spec := batch(4, 2)
		spec.Idempotent = idempotent
		c.submit("full", "north", spec)
		c.after(0)
		c.submit("late", "south", batch(1, 2))
		stops := 0
		for range 30 {
			stops += count(c.after(10*time.Second), casched.DecisionStop, "full")
		}
		if diff := cmp.Diff(idempotent, stops > 0); diff != "" {
			t.Errorf("idempotent %v: stopped mismatch (-want +got):\n%s", idempotent, diff)
		}
	}
}

func TestUrgentJobTakesRoomOfItsOwnTeamWithinTheBound(t *testing.T) {
	c := newScene(t, casched.DefaultPolicy(), 1)
	c.submit("full", "north", batch(4, 2))
	c.after(0)
	spec := batch(1, 2)
	spec.Urgent = true
	c.submit("urgent", "north", spec)
	got := append(c.after(0), c.after(time.Second)...)
	wantSummary(t, got, "checkpoint urgent_preemption full/1")
	c.end(got[0].Placements[0].Task, cawork.TaskStateCheckpointed)
	wantSummary(t, c.after(time.Second), "place reservation urgent/1")
}

func TestUrgentJobTakesRoomBeforeAllSmallerJobsOfItsClassWereTried(t *testing.T) {
	c := newScene(t, casched.DefaultPolicy(), 1)
	c.submit("full", "north", batch(1, 8))
	wantSummary(t, c.after(0), "place lowest_share full/1")
	smaller := batch(1, 2)
	smaller.Size.CPU -= 100
	for i := range 500 {
		c.submit(cawork.JobID(fmt.Sprintf("smaller%d", i)), "north", smaller)
	}
	urgent := batch(1, 2)
	urgent.Urgent = true
	c.submit("urgent", "north", urgent)
	wantSummary(t, c.after(0), "checkpoint urgent_preemption full/1")
}

func TestReservedGangIsNotStarvedAndShortWorkRunsBeforeIt(t *testing.T) {
	p := casched.DefaultPolicy()
	c := newScene(t, p, 2)
	long := batch(1, 4)
	c.submit("a", "north", long)
	c.after(0)
	gang := cawork.JobSpec{Kind: cawork.WorkKindGang, Tasks: 2, Size: size(8), RunTime: time.Minute, Idempotent: true}
	c.submit("gang", "south", gang)
	wantSummary(t, c.after(time.Minute), "reserve blocked gang/0")
	short := batch(1, 4)
	short.RunTime = time.Minute
	c.submit("short", "north", short)
	c.submit("long", "north", long)
	wantSummary(t, c.after(time.Second), "place backfill short/1")
	c.end(cawork.TaskRef{Job: "short"}, cawork.TaskStateDone)
	wantSummary(t, c.after(time.Minute))
	c.end(cawork.TaskRef{Job: "a"}, cawork.TaskStateDone)
	wantSummary(t, c.after(time.Second), "place_gang reservation gang/2")
}

func TestRoomLeftToAGangThatIsTooLargeIsUsedAgain(t *testing.T) {
	p := casched.DefaultPolicy()
	for _, k := range cawork.WorkKindValues() {
		kp := p.Kind(k)
		kp.ReserveBound = 0
		p = p.WithKind(k, kp)
	}
	c := newScene(t, p, 10)
	c.submit("small", "north", batch(200, 1))
	running := c.after(0)
	gang := batch(9, 8)
	gang.Kind = cawork.WorkKindGang
	c.submit("gang", "south", gang)
	end := func(n int) {
		for _, d := range running[:n] {
			c.end(d.Placements[0].Task, cawork.TaskStateDone)
		}
		running = running[n:]
	}
	c.after(2 * time.Second)
	end(8)
	if got := c.after(time.Second); len(got) > 0 {
		t.Errorf("the room was not left: %v", summary(got))
	}
	if got := count(c.after(2*time.Minute), casched.DecisionPlace, "small"); got != 8 {
		t.Errorf("%d tasks use the room that does not suffice, want 8", got)
	}
}

func TestLookupStartsWhereBatchWorkLeavesRoom(t *testing.T) {
	c := newScene(t, casched.DefaultPolicy(), 2)
	c.submit("full", "north", batch(7, 2))
	c.after(0)
	gang := batch(2, 4)
	gang.Kind = cawork.WorkKindGang
	c.submit("gang", "south", gang)
	c.after(time.Second)
	c.submit("batch", "north", batch(1, 1))
	wantSummary(t, c.after(time.Second))
	lookup := batch(1, 1)
	lookup.Kind = cawork.WorkKindLookup
	c.submit("lookup", "north", lookup)
	wantSummary(t, c.after(time.Second), "place lowest_share lookup/1")
}

func TestGangThatLosesAMemberStartsWholeAgain(t *testing.T) {
	c := newScene(t, casched.DefaultPolicy(), 2)
	gang := cawork.JobSpec{Kind: cawork.WorkKindGang, Tasks: 3, Size: size(2), RunTime: time.Minute, Idempotent: true}
	c.submit("gang", "north", gang)
	wantSummary(t, c.after(0), "place_gang gang_fits gang/3")
	c.end(cawork.TaskRef{Job: "gang"}, cawork.TaskStateFailed)
	wantSummary(t, c.after(time.Second), "checkpoint gang_member_lost gang/1", "checkpoint gang_member_lost gang/1")
	c.end(cawork.TaskRef{Job: "gang", Index: 1}, cawork.TaskStateCheckpointed)
	wantSummary(t, c.after(time.Second))
	c.end(cawork.TaskRef{Job: "gang", Index: 2}, cawork.TaskStateDone)
	wantSummary(t, c.after(time.Second), "place_gang gang_fits gang/2")
}

func TestOverloadIsRefusedEarlyAndCancelingFreesPlaces(t *testing.T) {
	p := casched.DefaultPolicy()
	kp := p.Kind(cawork.WorkKindBatch)
	kp.QueueBound, kp.UrgentHeadroom = 3, 1
	c := newScene(t, p.WithKind(cawork.WorkKindBatch, kp), 1)
	c.submit("big", "north", batch(1, 8))
	c.after(0)
	c.submit("a", "north", batch(3, 8))
	err := c.s.Submit(c.job("b", "north", batch(1, 8)), c.now)
	if diff := cmp.Diff(cakind.KindOverloaded, cakind.Of(err)); diff != "" {
		t.Errorf("kind mismatch (-want +got):\n%s", diff)
	}
	if cakind.RetryAfterOf(err) <= 0 {
		t.Error("the refusal names no time to retry after")
	}
	urgent := batch(1, 8)
	urgent.Urgent = true
	c.submit("urgent", "north", urgent)
	got, err := c.s.Cancel("a", c.now)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(casched.Cancellation{NotRun: 3, Ended: true}, got); diff != "" {
		t.Errorf("cancellation mismatch (-want +got):\n%s", diff)
	}
	c.submit("b", "north", batch(2, 8))
}

func TestJobThatWouldStartTooLateIsRefusedAtOnce(t *testing.T) {
	p := casched.DefaultPolicy()
	kp := p.Kind(cawork.WorkKindBatch)
	kp.Aging, kp.RefuseLate = time.Second, true
	c := newScene(t, p.WithKind(cawork.WorkKindBatch, kp), 1)
	c.submit("queue", "north", batch(120, 8))
	for i := range 20 {
		c.after(0)
		c.now = c.now.Add(2 * time.Second)
		c.end(cawork.TaskRef{Job: "queue", Index: i}, cawork.TaskStateDone)
	}
	c.after(0)
	late := batch(1, 8)
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
	err = c.s.Submit(c.job("bound", "north", batch(1, 8)), c.now)
	if diff := cmp.Diff(cakind.KindOverloaded, cakind.Of(err)); diff != "" {
		t.Errorf("kind mismatch (-want +got):\n%s", diff)
	}
}

func TestNeverFitsTellsTheLargest(t *testing.T) {
	c := newScene(t, casched.DefaultPolicy(), 1)
	err := c.s.Submit(c.job("huge", "north", batch(1, 9)), c.now)
	if diff := cmp.Diff(cakind.KindNeverFits, cakind.Of(err)); diff != "" {
		t.Fatalf("kind mismatch (-want +got):\n%s", diff)
	}
	if !strings.Contains(err.Error(), size(8).String()[:5]) {
		t.Errorf("error %q does not tell the largest that fits", err)
	}
}

func TestSizesAreCorrectedAndOverrunsAreThrottledThenCheckpointed(t *testing.T) {
	c := newScene(t, casched.DefaultPolicy(), 1)
	for i := range 30 {
		ref := cawork.TaskRef{Job: cawork.JobID(fmt.Sprintf("learn%d", i))}
		c.submit(ref.Job, "north", batch(1, 8))
		c.after(time.Second)
		c.s.ReportUsage(ref, cawork.Resources{CPU: cawork.Cores(2), Memory: cawork.GiB}, c.now)
		c.end(ref, cawork.TaskStateDone)
	}
	c.submit("many", "north", batch(4, 8))
	if diff := cmp.Diff(4, count(c.after(time.Second), casched.DecisionPlace, "many")); diff != "" {
		t.Errorf("placed tasks mismatch (-want +got):\n%s", diff)
	}
	ref := cawork.TaskRef{Job: "many"}
	c.s.ReportUsage(ref, cawork.Resources{CPU: cawork.Cores(10)}, c.now)
	wantSummary(t, c.after(time.Second), "throttle over_size many/1")
	c.s.ReportUsage(ref, cawork.Resources{CPU: cawork.Cores(10)}, c.now)
	wantSummary(t, c.after(time.Second))
	c.now = c.now.Add(time.Minute)
	c.s.ReportUsage(ref, cawork.Resources{CPU: cawork.Cores(10)}, c.now)
	wantSummary(t, c.after(time.Second), "checkpoint over_size many/1")
}

func TestUpstreamThatFailsEverythingIsEjectedThenProbed(t *testing.T) {
	c := newScene(t, casched.DefaultPolicy(), 4)
	ejected := 0
	for i := range 60 {
		c.submit(cawork.JobID(fmt.Sprintf("j%d", i)), "north", batch(4, 8))
		for _, d := range c.after(time.Second) {
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
	c := newScene(t, casched.DefaultPolicy(), 1)
	ref := cawork.TaskRef{Job: "j", Index: 2}
	c.s.Adopt(caplatform.TaskStatus{Task: ref, Team: "north", Size: size(2), State: cawork.TaskStateRunning}, "u0", c.now)
	if diff := cmp.Diff([]casched.TeamUse(nil), c.s.Uses()); diff != "" {
		t.Errorf("uses of a foreign task mismatch (-want +got):\n%s", diff)
	}
	err := c.s.Restore(casched.RestoredJob{Job: c.job("j", "north", batch(4, 2)), Tasks: []casched.RestoredTask{
		{Index: 0, Phase: casched.TaskPhaseEnded, Outcome: cawork.OutcomeDone},
		{Index: 1, Phase: casched.TaskPhaseOpen, Upstream: "elsewhere", Size: size(2), Attempts: 1},
		{Index: 2, Phase: casched.TaskPhaseOpen, Upstream: "u0", Size: size(2), Attempts: 1},
	}}, c.now)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]casched.TeamUse{{Team: "north", Use: size(4).Plus(cawork.Resources{Memory: cawork.GiB})}}, c.s.Uses()); diff != "" {
		t.Errorf("uses mismatch (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(cawork.Cores(6), c.s.Free().CPU); diff != "" {
		t.Errorf("free mismatch (-want +got):\n%s", diff)
	}
	wantSummary(t, c.after(time.Second), "place lowest_share j/1")
	for i := 1; i < 4; i++ {
		out := c.end(cawork.TaskRef{Job: "j", Index: i}, cawork.TaskStateDone)
		if diff := cmp.Diff(i == 3, out.JobEnded); diff != "" {
			t.Errorf("end of task %d mismatch (-want +got):\n%s", i, diff)
		}
	}
}

// TestRoomAtTheNextOwnerIsUsed covers an upstream that another entry has taken
// over while a task of this one is left there.
func TestRoomAtTheNextOwnerIsUsed(t *testing.T) {
	c := newScene(t, casched.DefaultPolicy(), 1)
	c.s.SetAllowance("north", size(8).Times(2), c.now)
	c.submit("left", "north", batch(1, 4))
	wantSummary(t, c.after(time.Second), "place lowest_share left/1")
	c.s.RemoveUpstream("u0", c.now)
	c.submit("j", "north", batch(1, 4))
	c.after(time.Second)
	there := []casched.Placement{{Task: cawork.TaskRef{Job: "j"}, Upstream: "u0", Size: size(4)}}
	if _, err := c.s.PlaceReserved(there, "", c.now); err != nil {
		t.Errorf("room that the next owner keeps was refused: %v", err)
	}
}

func TestReservedPlacesAreBoundByTheAllowanceAndTheirExpiry(t *testing.T) {
	c := newScene(t, casched.DefaultPolicy(), 1)
	c.s.SetAllowance("north", size(4), c.now)
	c.submit("j", "north", batch(2, 4))
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
	wantSummary(t, c.after(time.Second))
	c.now = c.now.Add(time.Minute)
	_, err = c.s.PlaceReserved(both[:1], "v", c.now)
	if diff := cmp.Diff(cakind.KindNotFound, cakind.Of(err)); diff != "" {
		t.Errorf("kind after the expiry mismatch (-want +got):\n%s", diff)
	}
	wantSummary(t, c.after(time.Second), "place lowest_share j/1")
}

func TestDeadlineBeforeStartEndsTheJob(t *testing.T) {
	c := newScene(t, casched.DefaultPolicy(), 1)
	c.submit("full", "north", batch(1, 8))
	c.after(0)
	spec := batch(1, 8)
	spec.Deadline = time.Minute
	c.submit("late", "north", spec)
	wantSummary(t, c.after(2*time.Minute), "expire deadline late/0")
	if _, err := c.s.Cancel("late", c.now); cakind.Of(err) != cakind.KindNotFound {
		t.Errorf("cancel of an expired job gave %v", err)
	}
}

func TestStartsThatNeverRanAreBoundedApartFromAttempts(t *testing.T) {
	c := newScene(t, casched.DefaultPolicy(), 4)
	c.submit("j", "north", batch(1, 1))
	ref := cawork.TaskRef{Job: "j"}
	for range 29 {
		c.after(time.Second)
		if out := c.s.StartFailed(ref, true, c.now); !out.Requeued {
			t.Fatalf("settlement %+v, want the task queued again", out)
		}
	}
	c.after(time.Second)
	want := casched.Settlement{
		Known: true, Own: true, Outcome: cawork.OutcomeNotRun, JobEnded: true, JobOutcome: cawork.OutcomeNotRun,
	}
	if diff := cmp.Diff(want, c.s.StartFailed(ref, true, c.now)); diff != "" {
		t.Errorf("settlement mismatch (-want +got):\n%s", diff)
	}
}

func TestWithdrawnPlacementsCostNothing(t *testing.T) {
	c := newScene(t, casched.DefaultPolicy(), 4)
	c.submit("j", "north", batch(1, 1))
	ref := cawork.TaskRef{Job: "j"}
	for range 100 {
		wantSummary(t, c.after(time.Second), "place lowest_share j/1")
		if diff := cmp.Diff(casched.Settlement{Known: true, Own: true, Requeued: true}, c.s.Withdrawn(ref, c.now)); diff != "" {
			t.Fatalf("settlement mismatch (-want +got):\n%s", diff)
		}
	}
}

func TestTaskThatAlwaysFailsEnds(t *testing.T) {
	c := newScene(t, casched.DefaultPolicy(), 4)
	c.submit("bad", "north", batch(1, 1))
	ref := cawork.TaskRef{Job: "bad"}
	var got []bool
	for range 3 {
		c.after(time.Second)
		got = append(got, c.end(ref, cawork.TaskStateFailed).Requeued)
	}
	if diff := cmp.Diff([]bool{true, true, false}, got); diff != "" {
		t.Errorf("requeued mismatch (-want +got):\n%s", diff)
	}
}

func TestServicesSpreadOverRacksAndBatchPacks(t *testing.T) {
	c := newScene(t, casched.DefaultPolicy(), 4)
	service := batch(4, 1)
	service.Kind = cawork.WorkKindService
	c.submit("service", "north", service)
	seen := map[cawork.UpstreamID]int{}
	for _, d := range c.after(0) {
		seen[d.Placements[0].Upstream]++
	}
	if diff := cmp.Diff(map[cawork.UpstreamID]int{"u0": 1, "u1": 1, "u2": 1, "u3": 1}, seen); diff != "" {
		t.Errorf("spread mismatch (-want +got):\n%s", diff)
	}
	c.submit("batch", "north", batch(7, 1))
	seen = map[cawork.UpstreamID]int{}
	for _, d := range c.after(0) {
		seen[d.Placements[0].Upstream]++
	}
	if diff := cmp.Diff(1, len(seen)); diff != "" {
		t.Errorf("upstreams of packed tasks mismatch (-want +got):\n%s", diff)
	}
}
