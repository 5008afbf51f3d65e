package casoak

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/platform"
)

const (
	// meanSubmitInterval is the mean time between two submissions.
	meanSubmitInterval = 45 * time.Millisecond
	// callTimeout is the timeout that a caller sends with a call, and
	// responseMargin the tolerated delay of the answer beyond it.
	callTimeout    = 3 * time.Second
	responseMargin = time.Second
	// maxAttempts bounds the attempts to submit or cancel one job.
	maxAttempts = 4
	// retryDelay is the minimum delay before a failed call is retried.
	retryDelay = 400 * time.Millisecond
	// cancelFraction is the fraction of accepted jobs that are canceled, and
	// maxCancelDelay the longest delay before the cancellation.
	cancelFraction = 0.1
	maxCancelDelay = 800 * time.Millisecond
)

// loadGenerator submits jobs to random nodes, as users with a list of all nodes do.
type loadGenerator struct {
	cell        *cell
	outcomes    *outcomeLog
	caller      *platform.Caller
	submissions sync.WaitGroup
	random      *rand.Rand
	jobCount    int

	mu sync.Mutex
	// steps holds the steps of all jobs, and deadly those of the faults that crash their
	// upstreams.
	steps            map[cawork.JobID][]caspec.Step
	deadly           map[cawork.JobID]deadlyTask
	faultSubmissions sync.WaitGroup
}

func newLoadGenerator(c *cell, l *outcomeLog, seed int64) *loadGenerator {
	return &loadGenerator{
		cell: c, outcomes: l, caller: platform.NewCaller(teamKey, callTimeout), random: rand.New(rand.NewSource(seed)),
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

// submit submits one job, retries while the outcome is unknown or the job is
// rejected, and cancels a fraction of the accepted jobs.
func (c *loadGenerator) submit(s caspec.Submission, canceled float64, random *rand.Rand) {
	id := s.ID
	s.Queue, s.Team = queueName, teamName
	c.addSteps(id, s.Steps)
	c.outcomes.record(id, outcomeUnknown)
	mayBeAccepted := false
	for range maxAttempts {
		answer := c.callRandomNode(random, func(ctx context.Context, address string) platform.CallResult {
			return c.caller.Submit(ctx, address, queueSpec(), s)
		})
		switch {
		case answer.IsAccepted():
			c.outcomes.record(id, outcomeAccepted)
			if random.Float64() < canceled {
				c.cancel(id, random)
			}
			return
		case !answer.IsRejected():
			mayBeAccepted = true
		}
		time.Sleep(max(retryDelay, answer.RetryAfter))
	}
	if !mayBeAccepted {
		c.outcomes.record(id, outcomeRejected)
	}
}

func (c *loadGenerator) cancel(id cawork.JobID, random *rand.Rand) {
	time.Sleep(time.Duration(random.Int63n(int64(maxCancelDelay))))
	// Until the cancellation is answered, the job may either complete or be canceled.
	c.outcomes.record(id, outcomeUnknown)
	for range maxAttempts {
		answer := c.callRandomNode(random, func(ctx context.Context, address string) platform.CallResult {
			return c.caller.Cancel(ctx, address, queueSpec(), id)
		})
		switch {
		case answer.IsAccepted():
			c.outcomes.record(id, outcomeCanceled)
			return
		case answer.Status == http.StatusGone:
			c.outcomes.recordViolation("job %s was accepted, but its cancellation was answered with 410 Gone", id)
			return
		}
		time.Sleep(retryDelay)
	}
}

// callRandomNode calls a random node and records a violation if the answer is
// late. It waits beyond callTimeout to measure late answers.
func (c *loadGenerator) callRandomNode(random *rand.Rand, do func(ctx context.Context, address string) platform.CallResult) platform.CallResult {
	n := c.cell.nodes[random.Intn(len(c.cell.nodes))]
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout+2*responseMargin)
	defer cancel()
	began := time.Now()
	answer := do(ctx, n.address(portFront))
	took := time.Since(began)
	if answer.Status != 0 && took > callTimeout+responseMargin && !n.resumedSince(began) {
		c.outcomes.recordViolation("%s answered after %v, %v were allowed", n.name, took, callTimeout)
	}
	return answer
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
