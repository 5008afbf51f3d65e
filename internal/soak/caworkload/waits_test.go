package caworkload

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/platform/standin"
)

// watchOf returns a watch of two upstreams of eight cores, of which the advisor approves the first.
func watchOf() *WaitWatch {
	size := Size{CPU: cawork.Cores(8), MemoryMiB: 8 << 10}
	return &WaitWatch{
		Workload: Workload{Upstream: size, Teams: []Team{{Name: "a", LimitUpstreams: 1}}}, Capacity: size.Resources().Times(2),
		TeamOf:   func(id cawork.JobID) cawork.TeamName { return map[cawork.JobID]cawork.TeamName{"of-a": "a"}[id] },
		Approves: func(_ standin.StepName, id cawork.UpstreamID) bool { return id == "first" },
	}
}

// idleView returns a view in which nothing runs.
func idleView() standin.View {
	free := Size{CPU: cawork.Cores(8), MemoryMiB: 8 << 10}.Resources()
	return standin.View{
		Free: map[cawork.UpstreamID]cawork.Resources{"first": free, "second": free},
		Used: make(map[cawork.JobID]cawork.Resources), Running: make(map[standin.StepName]int), Done: make(map[standin.StepName]int),
	}
}

// TestWaitsWithRoom checks which jobs count as waiting although there is room.
func TestWaitsWithRoom(t *testing.T) {
	cores := func(n int64) cawork.Resources { return cawork.Resources{CPU: cawork.Cores(n)} }
	pair := caspec.Step{Tasks: 2, CPU: cawork.Cores(1), Memory: cawork.GiB}
	gang := func(tasks int) caspec.Step {
		return caspec.Step{Tasks: tasks, CPU: cawork.Cores(1), Memory: cawork.GiB, Gang: true}
	}
	later := pair
	later.After = []int{0}
	large := pair
	large.CPU = cawork.Cores(5)
	spread := pair
	spread.MaxPerUpstream = 1
	first, second := standin.StepName{Job: "j"}, standin.StepName{Job: "j", Step: 1}
	for name, c := range map[string]struct {
		steps  []caspec.Step
		change func(v standin.View)
		want   []standin.StepName
	}{
		"room":                          {steps: []caspec.Step{pair}, want: []standin.StepName{first}},
		"room for one":                  {steps: []caspec.Step{large}},
		"a gang with room":              {steps: []caspec.Step{gang(4)}, want: []standin.StepName{first}},
		"a gang with room only once":    {steps: []caspec.Step{gang(5)}},
		"one task at an upstream":       {steps: []caspec.Step{spread}},
		"a step before it":              {steps: []caspec.Step{pair, later}, want: []standin.StepName{first}},
		"the step before it ended":      {steps: []caspec.Step{pair, later}, change: func(v standin.View) { v.Done[first] = 2 }, want: []standin.StepName{second}},
		"all tasks ended":               {steps: []caspec.Step{pair}, change: func(v standin.View) { v.Done[first] = 2 }},
		"a task that runs":              {steps: []caspec.Step{pair}, change: func(v standin.View) { v.Running[first] = 1 }},
		"its team at half of its limit": {steps: []caspec.Step{pair}, change: func(v standin.View) { v.Used["of-a"] = cores(5) }},
		"half of the pool in use":       {steps: []caspec.Step{pair}, change: func(v standin.View) { v.Used["other"] = cores(9) }},
		"the upstream down":             {steps: []caspec.Step{pair}, change: func(v standin.View) { delete(v.Free, "first") }},
	} {
		v := idleView()
		if c.change != nil {
			c.change(v)
		}
		job := Job{Team: Team{Name: "a"}, Spec: caspec.Submission{ID: "j", Steps: c.steps}}
		var got []standin.StepName
		for _, wait := range watchOf().Observe(time.Time{}, v, []Job{job}) {
			got = append(got, wait.Step)
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: steps that wait with room (-want +got):\n%s", name, diff)
		}
	}
}

// TestWaitBeginsAgain checks that a wait counts from the last time without room.
func TestWaitBeginsAgain(t *testing.T) {
	w, began := watchOf(), time.Unix(0, 0)
	job := Job{Team: Team{Name: "a"}, Spec: caspec.Submission{ID: "j", Steps: []caspec.Step{{Tasks: 1, CPU: 1000, Memory: cawork.GiB}}}}
	full := idleView()
	full.Used["other"] = cawork.Resources{CPU: cawork.Cores(16)}
	var got []time.Duration
	for i, v := range []standin.View{idleView(), idleView(), full, idleView(), idleView()} {
		for _, wait := range w.Observe(began.Add(time.Duration(i)*time.Second), v, []Job{job}) {
			got = append(got, wait.For)
		}
	}
	if diff := cmp.Diff([]time.Duration{0, time.Second, 0, time.Second}, got); diff != "" {
		t.Errorf("waits (-want +got):\n%s", diff)
	}
}

// TestStalledJobs checks which jobs count as stalled, and which ones never fit.
func TestStalledJobs(t *testing.T) {
	pair := caspec.Step{Tasks: 2, CPU: cawork.Cores(1), Memory: cawork.GiB}
	gang := func(tasks int) caspec.Step {
		return caspec.Step{Tasks: tasks, CPU: cawork.Cores(1), Memory: cawork.GiB, Gang: true}
	}
	later, large, wide := pair, pair, pair
	later.After, large.CPU, wide.CPU = []int{0}, cawork.Cores(9), cawork.Cores(8)
	first := standin.StepName{Job: "j"}
	for name, c := range map[string]struct {
		steps         []caspec.Step
		change        func(v standin.View)
		stalls, never bool
	}{
		"room":                            {steps: []caspec.Step{pair}, stalls: true},
		"a gang with room once":           {steps: []caspec.Step{gang(5)}, stalls: true},
		"a gang that never fits":          {steps: []caspec.Step{gang(9)}, never: true},
		"a task that never fits":          {steps: []caspec.Step{large}, never: true},
		"a later step that never fits":    {steps: []caspec.Step{pair, large}, stalls: true, never: true},
		"a step that runs":                {steps: []caspec.Step{pair}, change: func(v standin.View) { v.Running[first] = 1 }},
		"a step that runs and one beside": {steps: []caspec.Step{pair, pair}, change: func(v standin.View) { v.Running[first] = 1 }, stalls: true},
		"a step that runs and one later":  {steps: []caspec.Step{pair, later}, change: func(v standin.View) { v.Running[first] = 1 }},
		"no room now":                     {steps: []caspec.Step{pair}, change: func(v standin.View) { v.Free["first"] = cawork.Resources{} }},
		"its team at its limit":           {steps: []caspec.Step{wide}, change: func(v standin.View) { v.Used["of-a"] = cawork.Resources{CPU: cawork.Cores(1)} }},
		"all tasks completed":             {steps: []caspec.Step{pair}, change: func(v standin.View) { v.Done[first] = 2 }, stalls: true},
	} {
		v := idleView()
		if c.change != nil {
			c.change(v)
		}
		w := watchOf()
		job := Job{Team: w.Workload.Teams[0], Spec: caspec.Submission{ID: "j", Steps: c.steps}}
		stalls := (&StallWatch{Waits: w}).Observe(time.Time{}, v, []Job{job})
		if got, never := len(stalls) > 0, w.NeverFits(v, job); got != c.stalls || never != c.never {
			t.Errorf("%s: stalled is %v, want %v; never fits is %v, want %v", name, got, c.stalls, never, c.never)
		}
	}
}
