package casoak

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caorder"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/soak/caworkload"
	"celeryarch.example/celeryarch/platform"
	"celeryarch.example/celeryarch/platform/standin"
)

// workGenerator submits the jobs of a workload to random nodes.
type workGenerator struct {
	outcomes *outcomeLog
	callers  map[cawork.TeamName]*platform.Caller
	random   *rand.Rand

	mu   sync.Mutex
	load caworkload.Workload
	// rateFactors is how many times its usual each team submits, if not once.
	rateFactors map[int]float64
	jobs        map[cawork.JobID]caworkload.Job
}

func newWorkGenerator(load caworkload.Workload, l *outcomeLog, seed int64) *workGenerator {
	g := &workGenerator{
		outcomes: l, callers: make(map[cawork.TeamName]*platform.Caller), random: rand.New(rand.NewSource(seed)), load: load,
		rateFactors: make(map[int]float64), jobs: make(map[cawork.JobID]caworkload.Job),
	}
	return g
}

// addCallers adds the callers of all teams.
func (g *workGenerator) addCallers(c *cell) {
	for _, t := range g.load.Teams {
		g.callers[t.Name] = c.newCaller(t.Key)
	}
}

// workload returns the workload with the limits as they are now.
func (g *workGenerator) workload() caworkload.Workload {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.load
}

// run submits jobs until the context ends.
func (g *workGenerator) run(ctx context.Context, c *cell) {
	for count := 1; ; count++ {
		rate := g.workload().JobsPerSecond * float64(len(c.upstreams)) * g.rateFactor()
		if c.timer.Pause(ctx, time.Duration(g.random.ExpFloat64()/rate*float64(time.Second))) != nil {
			return
		}
		j := g.draw(cawork.JobID(fmt.Sprintf("%016x", count)))
		calls := submitter{
			cell: c, outcomes: g.outcomes, caller: g.callers[j.Team.Name], queue: j.Queue.Spec(poolName), random: rand.New(rand.NewSource(g.random.Int63())),
		}
		go func() {
			if calls.submit(ctx, j.Spec) && j.Canceled {
				calls.cancel(j.Spec.ID)
			}
		}()
	}
}

func (g *workGenerator) rateFactor() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.load.RateFactor(g.teamFactor)
}

// draw draws and keeps the next job.
func (g *workGenerator) draw(id cawork.JobID) caworkload.Job {
	g.mu.Lock()
	defer g.mu.Unlock()
	j := g.load.Draw(g.random, id, g.teamFactor)
	g.jobs[id] = j
	return j
}

// teamFactor returns how many times its usual a team submits. The caller holds the lock.
func (g *workGenerator) teamFactor(team int) float64 {
	if f, ok := g.rateFactors[team]; ok {
		return f
	}
	return 1
}

// changeRate begins or ends a surge of a team.
func (g *workGenerator) changeRate(e faultEvent) {
	g.mu.Lock()
	defer g.mu.Unlock()
	team := e.fault.Target % len(g.load.Teams)
	if e.begins {
		g.rateFactors[team] = surgeFactor
	} else {
		delete(g.rateFactors, team)
	}
}

// changeLimit changes the limit of a team, or restores it.
func (g *workGenerator) changeLimit(e faultEvent) {
	g.mu.Lock()
	defer g.mu.Unlock()
	factor := limitFactors[e.fault.Way-1]
	if !e.begins {
		factor = 1 / factor
	}
	g.load = g.load.WithLimitFactor(e.fault.Target%len(g.load.Teams), factor)
}

// job returns a job, or one without steps if there is none of the name.
func (g *workGenerator) job(id cawork.JobID) caworkload.Job {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.jobs[id]
}

// targetOf returns the caller and the queue of a job.
func (g *workGenerator) targetOf(id cawork.JobID) (*platform.Caller, caspec.Queue) {
	j := g.job(id)
	return g.callers[j.Team.Name], j.Queue.Spec(poolName)
}

// teamOf returns the team of a job.
func (g *workGenerator) teamOf(id cawork.JobID) cawork.TeamName { return g.job(id).Team.Name }

func (g *workGenerator) stepOf(id caorder.RunID) caspec.Step {
	return g.job(id.Job).Spec.Steps[id.Step]
}

// terms returns how the advisor decides about a step.
func (g *workGenerator) terms(s standin.StepName) standin.Terms {
	approval := g.job(s.Job).Queue.Approval
	return standin.Terms{Approval: g.workload().Advisor.Actual(approval.Spec()), Share: approval.ApprovedShare}
}

// applyTo lets the upstreams run the jobs as the workload describes them.
func (g *workGenerator) applyTo(f *standin.Fleet) {
	f.SetSizes(func(id caorder.RunID) cawork.Resources { return g.stepOf(id).Size() })
	f.SetRunTime(func(id caorder.RunID) (time.Duration, bool) {
		j := g.job(id.Job)
		return j.RunTimes[id.Step], j.Fails(id.Step, id.Index, id.Number)
	})
	f.SetGangs(func(id caorder.RunID) int {
		if s := g.stepOf(id); s.Gang {
			return s.Tasks
		}
		return 0
	})
}

// accepted returns the jobs that were accepted and not canceled.
func (g *workGenerator) accepted() []caworkload.Job {
	var list []caworkload.Job
	for id, o := range g.outcomes.snapshot() {
		if o == outcomeAccepted {
			list = append(list, g.job(id))
		}
	}
	return list
}
