package cadecide_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/casched"
)

// step lists the events at one time. Steps have no failures and no preemption,
// so that both schedulers must come to the same outcomes.
type step struct {
	submit []cawork.Job
	cancel []cawork.JobID
}

// observed is what a caller of the scheduler observes.
type observed struct {
	// Started counts the starts of each team after each step.
	Started  []map[cawork.TeamName]int
	Refusals map[cawork.JobID]cakind.Kind
	Outcomes map[cawork.JobID]cawork.Outcome
}

func drawSteps(t *rapid.T, uniform bool) []step {
	steps := make([]step, rapid.IntRange(1, 25).Draw(t, "steps"))
	next := 0
	for i := range steps {
		for range rapid.IntRange(0, 4).Draw(t, "jobs") {
			next++
			spec := cawork.JobSpec{
				Kind: cawork.WorkKindBatch, Tasks: rapid.IntRange(1, 4).Draw(t, "tasks"),
				Size: size(2), RunTime: 30 * time.Second, Idempotent: true,
				Urgent: rapid.IntRange(0, 4).Draw(t, "urgent") == 0,
			}
			if !uniform {
				spec.Kind = rapid.SampledFrom(cawork.WorkKindValues()).Draw(t, "kind")
				spec.Size.CPU = cawork.MilliCPU(500 * rapid.Int64Range(1, 18).Draw(t, "cpu"))
				spec.RunTime = time.Duration(rapid.IntRange(1, 90).Draw(t, "run_time")) * time.Second
			}
			steps[i].submit = append(steps[i].submit, cawork.Job{
				ID: cawork.JobID(fmt.Sprintf("j%d", next)), Spec: spec,
				Team: rapid.SampledFrom(teamNames).Draw(t, "team"),
			})
		}
		if next > 0 && rapid.IntRange(0, 4).Draw(t, "has_cancel") == 0 {
			id := cawork.JobID(fmt.Sprintf("j%d", rapid.IntRange(1, next).Draw(t, "canceled")))
			steps[i].cancel = append(steps[i].cancel, id)
		}
	}
	return steps
}

// stepRunner runs steps against a scheduler in virtual time.
type stepRunner struct {
	t    *rapid.T
	s    casched.Scheduler
	now  time.Time
	ends map[cawork.TaskRef]time.Time
	jobs map[cawork.JobID]cawork.Job
	out  observed
}

func runSteps(
	t *rapid.T, build func(casched.Policy, func(*casched.Violation)) casched.Scheduler, steps []step,
) observed {
	p := casched.DefaultPolicy().WithCorrection(false)
	for _, k := range cawork.WorkKindValues() {
		kp := p.Kind(k)
		kp.PreemptAfter, kp.ReserveBound = 0, 0
		p = p.WithKind(k, kp)
	}
	for i, n := range teamNames {
		p = p.WithTeam(n, casched.TeamPolicy{Weight: i + 1, Limit: casched.Unlimited()})
	}
	r := &stepRunner{
		t: t, now: start, ends: map[cawork.TaskRef]time.Time{}, jobs: map[cawork.JobID]cawork.Job{},
		out: observed{Refusals: map[cawork.JobID]cakind.Kind{}, Outcomes: map[cawork.JobID]cawork.Outcome{}},
	}
	r.s = build(p, func(v *casched.Violation) { t.Fatal(v) })
	for i := range 3 {
		r.s.PutUpstream(casched.Upstream{
			ID: cawork.UpstreamID(fmt.Sprintf("u%d", i)), Slots: 8, Connections: 8,
			Capacity: cawork.Resources{CPU: cawork.Cores(8), Memory: 32 * cawork.GiB},
		}, r.now)
	}
	for _, n := range teamNames {
		r.s.SetAllowance(n, cawork.Resources{CPU: cawork.Cores(20), Memory: 64 * cawork.GiB}, r.now)
	}
	for _, st := range steps {
		r.step(st)
	}
	for range 2000 {
		if len(r.ends) == 0 {
			break
		}
		r.step(step{})
	}
	return r.out
}

func (r *stepRunner) step(st step) {
	r.now = r.now.Add(10 * time.Second)
	r.endDue()
	for _, j := range st.submit {
		j.Accepted = r.now
		if err := r.s.Submit(j, r.now); err != nil {
			r.out.Refusals[j.ID] = cakind.Of(err)
			continue
		}
		r.jobs[j.ID] = j
	}
	for _, id := range st.cancel {
		r.cancel(id)
	}
	started := map[cawork.TeamName]int{}
	for ds := r.s.Decide(r.now); len(ds) > 0; ds = r.s.Decide(r.now) {
		for _, d := range ds {
			for _, p := range d.Placements {
				r.ends[p.Task] = r.now.Add(r.jobs[d.Job].Spec.RunTime)
				started[d.Team]++
			}
		}
	}
	r.out.Started = append(r.out.Started, started)
	if err := r.s.Check(); err != nil {
		r.t.Fatal(err)
	}
}

func (r *stepRunner) endDue() {
	var due []cawork.TaskRef
	for ref, at := range r.ends {
		if !r.now.Before(at) {
			due = append(due, ref)
		}
	}
	slices.SortFunc(due, func(a, b cawork.TaskRef) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
	})
	for _, ref := range due {
		r.end(ref, cawork.TaskStateDone)
	}
}

func (r *stepRunner) end(ref cawork.TaskRef, state cawork.TaskState) {
	delete(r.ends, ref)
	if out := r.s.Ended(casched.AttemptEnd{Task: ref, State: state}, r.now); out.JobEnded {
		r.out.Outcomes[ref.Job] = out.JobOutcome
	}
}

func (r *stepRunner) cancel(id cawork.JobID) {
	c, err := r.s.Cancel(id, r.now)
	if err != nil {
		return
	}
	if c.Ended {
		r.out.Outcomes[id] = cawork.OutcomeCanceled
	}
	for _, p := range c.Running {
		r.end(p.Task, cawork.TaskStateStopped)
	}
}

func TestUniformWorkStartsAsInTheNaiveScheduler(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		steps := drawSteps(t, true)
		if diff := gocmp.Diff(runSteps(t, newNaive, steps), runSteps(t, newScheduler, steps)); diff != "" {
			t.Errorf("observed mismatch (-naive +real):\n%s", diff)
		}
	})
}

// A gang that exceeds the allowance of its team must not block the next gang of
// the same class.
func TestJobBeyondTheAllowanceDoesNotBlockTheNext(t *testing.T) {
	c := newScenario(t, casched.DefaultPolicy(), 3)
	c.s.SetAllowance("south", cawork.Resources{CPU: cawork.Cores(20), Memory: 64 * cawork.GiB}, c.now)
	gang := cawork.JobSpec{Kind: cawork.WorkKindGang, Tasks: 3, Size: cawork.Resources{CPU: 7000}}
	c.submit("beyond", "south", gang)
	c.decideAfter(time.Second)
	gang.Size.CPU = 6500
	c.submit("within", "south", gang)
	wantSummary(t, c.decideAfter(time.Second), "place_gang gang_fits within/3")
}

// The two schedulers may start mixed work in a different order, so a cancellation
// may come before the start in one and after it in the other. They must refuse
// the same jobs and bring all jobs that are not canceled to the same outcome.
func TestMixedWorkEndsAsInTheNaiveScheduler(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		steps := drawSteps(t, false)
		naive, got := runSteps(t, newNaive, steps), runSteps(t, newScheduler, steps)
		for _, st := range steps {
			for _, id := range st.cancel {
				delete(naive.Outcomes, id)
				delete(got.Outcomes, id)
			}
		}
		naive.Started, got.Started = nil, nil
		if diff := gocmp.Diff(naive, got); diff != "" {
			t.Errorf("observed mismatch (-naive +real):\n%s", diff)
		}
	})
}
