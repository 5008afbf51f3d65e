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

// step is what happens at one time in a quiet history: no failures and no
// preemption, so that both versions must come to the same outcomes.
type step struct {
	submit []cawork.Job
	cancel []cawork.JobID
}

// observed is what a caller sees of a history.
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

// quiet runs steps against a scheduler in virtual time.
type quiet struct {
	t    *rapid.T
	s    casched.Scheduler
	now  time.Time
	ends map[cawork.TaskRef]time.Time
	jobs map[cawork.JobID]cawork.Job
	out  observed
}

func runQuiet(
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
	q := &quiet{
		t: t, now: start, ends: map[cawork.TaskRef]time.Time{}, jobs: map[cawork.JobID]cawork.Job{},
		out: observed{Refusals: map[cawork.JobID]cakind.Kind{}, Outcomes: map[cawork.JobID]cawork.Outcome{}},
	}
	q.s = build(p, func(v *casched.Violation) { t.Fatal(v) })
	for i := range 3 {
		q.s.PutUpstream(casched.Upstream{
			ID: cawork.UpstreamID(fmt.Sprintf("u%d", i)), Slots: 8, Connections: 8,
			Capacity: cawork.Resources{CPU: cawork.Cores(8), Memory: 32 * cawork.GiB},
		}, q.now)
	}
	for _, n := range teamNames {
		q.s.SetAllowance(n, cawork.Resources{CPU: cawork.Cores(20), Memory: 64 * cawork.GiB}, q.now)
	}
	for _, st := range steps {
		q.step(st)
	}
	for range 2000 {
		if len(q.ends) == 0 {
			break
		}
		q.step(step{})
	}
	return q.out
}

func (q *quiet) step(st step) {
	q.now = q.now.Add(10 * time.Second)
	q.endDue()
	for _, j := range st.submit {
		j.Accepted = q.now
		if err := q.s.Submit(j, q.now); err != nil {
			q.out.Refusals[j.ID] = cakind.Of(err)
			continue
		}
		q.jobs[j.ID] = j
	}
	for _, id := range st.cancel {
		q.cancel(id)
	}
	started := map[cawork.TeamName]int{}
	for ds := q.s.Decide(q.now); len(ds) > 0; ds = q.s.Decide(q.now) {
		for _, d := range ds {
			for _, p := range d.Placements {
				q.ends[p.Task] = q.now.Add(q.jobs[d.Job].Spec.RunTime)
				started[d.Team]++
			}
		}
	}
	q.out.Started = append(q.out.Started, started)
	if err := q.s.Check(); err != nil {
		q.t.Fatal(err)
	}
}

func (q *quiet) endDue() {
	var due []cawork.TaskRef
	for ref, at := range q.ends {
		if !q.now.Before(at) {
			due = append(due, ref)
		}
	}
	slices.SortFunc(due, func(a, b cawork.TaskRef) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
	})
	for _, ref := range due {
		q.end(ref, cawork.TaskStateDone)
	}
}

func (q *quiet) end(ref cawork.TaskRef, state cawork.TaskState) {
	delete(q.ends, ref)
	if out := q.s.Ended(casched.End{Task: ref, State: state}, q.now); out.JobEnded {
		q.out.Outcomes[ref.Job] = out.JobOutcome
	}
}

func (q *quiet) cancel(id cawork.JobID) {
	c, err := q.s.Cancel(id, q.now)
	if err != nil {
		return
	}
	if c.Ended {
		q.out.Outcomes[id] = cawork.OutcomeCanceled
	}
	for _, p := range c.Running {
		q.end(p.Task, cawork.TaskStateStopped)
	}
}

func TestUniformWorkStartsLikeTheNaiveVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		steps := drawSteps(t, true)
		if diff := gocmp.Diff(runQuiet(t, newNaive, steps), runQuiet(t, newReal, steps)); diff != "" {
			t.Errorf("observed mismatch (-naive +real):\n%s", diff)
		}
	})
}

// A gang beyond the allowance of its team must not keep the next one of the same
// class from starting.
func TestJobBeyondTheAllowanceKeepsNobodyBack(t *testing.T) {
	c := newScene(t, casched.DefaultPolicy(), 3)
	c.s.SetAllowance("south", cawork.Resources{CPU: cawork.Cores(20), Memory: 64 * cawork.GiB}, c.now)
	gang := cawork.JobSpec{Kind: cawork.WorkKindGang, Tasks: 3, Size: cawork.Resources{CPU: 7000}}
	c.submit("beyond", "south", gang)
	c.after(time.Second)
	gang.Size.CPU = 6500
	c.submit("within", "south", gang)
	wantSummary(t, c.after(time.Second), "place_gang gang_fits within/3")
}

// The versions may start mixed work in another order, and so cancel other jobs
// in time, but must refuse alike and bring all other jobs to the same outcome.
func TestMixedWorkEndsLikeTheNaiveVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		steps := drawSteps(t, false)
		naive, found := runQuiet(t, newNaive, steps), runQuiet(t, newReal, steps)
		for _, st := range steps {
			for _, id := range st.cancel {
				delete(naive.Outcomes, id)
				delete(found.Outcomes, id)
			}
		}
		naive.Started, found.Started = nil, nil
		if diff := gocmp.Diff(naive, found); diff != "" {
			t.Errorf("observed mismatch (-naive +real):\n%s", diff)
		}
	})
}
