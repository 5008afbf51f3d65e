package casoak

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/platform"
)

const (
	// meanSubmitInterval is the mean time between two submissions.
	meanSubmitInterval = 45 * time.Millisecond
	// cancelFraction is the fraction of accepted jobs that are canceled.
	cancelFraction = 0.1
	// repeatFraction is the fraction of accepted jobs whose request arrives again where teams change, up to maxRepeatDelay
	// later.
	repeatFraction = 0.5
	maxRepeatDelay = 6 * time.Second
)

// loadGenerator submits jobs to random nodes, as users with a list of all nodes do.
type loadGenerator struct {
	cell        *cell
	outcomes    *outcomeLog
	caller      *platform.Caller
	submissions sync.WaitGroup
	random      *rand.Rand
	jobCount    int
	// repeats is set if requests that were accepted arrive again.
	repeats bool

	mu sync.Mutex
	// steps holds the steps of all jobs, and deadly those of the faults that crash their
	// upstreams.
	steps            map[cawork.JobID][]caspec.Step
	deadly           map[cawork.JobID]deadlyTask
	faultSubmissions sync.WaitGroup
}

func newLoadGenerator(c *cell, l *outcomeLog, seed int64) *loadGenerator {
	return &loadGenerator{
		cell: c, outcomes: l, caller: c.newCaller(teamKey), random: rand.New(rand.NewSource(seed)),
		steps: make(map[cawork.JobID][]caspec.Step), deadly: make(map[cawork.JobID]deadlyTask),
	}
}

// run submits jobs until the context ends, then waits for the outstanding calls.
func (c *loadGenerator) run(ctx context.Context) {
	for c.cell.timer.Pause(ctx, time.Duration(c.random.ExpFloat64()*float64(meanSubmitInterval))) == nil {
		c.jobCount++
		id := cawork.JobID(fmt.Sprintf("%016x", c.jobCount))
		random := rand.New(rand.NewSource(c.random.Int63()))
		steps := randomSteps(random)
		c.submissions.Go(func() { c.submit(caspec.Submission{ID: id, Steps: steps}, cancelFraction, random) })
	}
	c.submissions.Wait()
}

// targetOf returns the caller and the queue of a job.
func (c *loadGenerator) targetOf(cawork.JobID) (*platform.Caller, caspec.Queue) {
	return c.caller, queueSpec()
}

// submit submits one job and cancels a fraction of the accepted jobs.
func (c *loadGenerator) submit(s caspec.Submission, canceled float64, random *rand.Rand) {
	s.Queue, s.Team = queueName, teamName
	c.addSteps(s.ID, s.Steps)
	calls := submitter{cell: c.cell, outcomes: c.outcomes, caller: c.caller, queue: queueSpec(), random: random}
	if !calls.submit(context.Background(), s) {
		return
	}
	if random.Float64() < canceled {
		calls.cancel(s.ID)
	}
	if c.repeats && random.Float64() < repeatFraction {
		calls.repeatAccepted(s)
	}
}

// randomSteps returns random steps of a job.
func randomSteps(random *rand.Rand) []caspec.Step {
	steps := []caspec.Step{{
		Tasks: 1 + random.Intn(3), CPU: taskSize.CPU, Memory: taskSize.Memory, Estimate: runTime, Gang: random.Intn(4) == 0,
	}}
	if random.Intn(3) == 0 {
		steps = append(steps, caspec.Step{Tasks: 1, CPU: taskSize.CPU, Memory: taskSize.Memory, Estimate: runTime, After: []int{0}})
	}
	return steps
}
