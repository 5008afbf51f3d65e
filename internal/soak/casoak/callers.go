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
	// submitGap is the mean time between two jobs.
	submitGap = 45 * time.Millisecond
	// callTimeout is how long a caller says that it waits, and answerMargin how
	// much later the answer may come.
	callTimeout  = 3 * time.Second
	answerMargin = time.Second
	// tries is how often a caller hands a job in.
	tries = 4
	// retryPause is the wait before a call without an answer is repeated.
	retryPause = 400 * time.Millisecond
	// cancelShare is the fraction of jobs that are canceled, and cancelAfter the
	// longest wait before that.
	cancelShare = 0.1
	cancelAfter = 800 * time.Millisecond
)

// callers hand jobs in at the nodes, as users do who know all of them.
type callers struct {
	cell   *cell
	ledger *ledger
	caller *platform.Caller
	work   sync.WaitGroup
	random *rand.Rand
	jobs   int
}

// run hands jobs in until the context ends, and returns when all are told.
func (c *callers) run(ctx context.Context) {
	for c.cell.timer.Pause(ctx, time.Duration(c.random.ExpFloat64()*float64(submitGap))) == nil {
		c.jobs++
		id := cawork.JobID(fmt.Sprintf("%016x", c.jobs))
		random := rand.New(rand.NewSource(c.random.Int63()))
		c.work.Go(func() { c.handIn(id, random) })
	}
	c.work.Wait()
}

// handIn hands one job in, asks again where the outcome is not known, and
// cancels some.
func (c *callers) handIn(id cawork.JobID, random *rand.Rand) {
	s := caspec.Submission{ID: id, Queue: queueName, Team: teamName, Steps: stepsOf(random)}
	c.ledger.note(id, fateUnknown)
	uncertain := false
	for range tries {
		answer := c.call(random, func(ctx context.Context, address string) platform.Answer {
			return c.caller.Submit(ctx, address, theQueue(), s)
		})
		switch {
		case answer.IsAccepted():
			c.ledger.note(id, fateAccepted)
			if random.Float64() < cancelShare {
				c.cancel(id, random)
			}
			return
		case !answer.IsRefused():
			uncertain = true
		}
		time.Sleep(max(retryPause, answer.RetryAfter))
	}
	if !uncertain {
		c.ledger.note(id, fateRefused)
	}
}

func (c *callers) cancel(id cawork.JobID, random *rand.Rand) {
	time.Sleep(time.Duration(random.Int63n(int64(cancelAfter))))
	// Until an answer comes, the job may end either way.
	c.ledger.note(id, fateUnknown)
	for range tries {
		answer := c.call(random, func(ctx context.Context, address string) platform.Answer {
			return c.caller.Cancel(ctx, address, theQueue(), id)
		})
		switch {
		case answer.IsAccepted():
			c.ledger.note(id, fateCanceled)
			return
		case answer.Status == http.StatusGone:
			c.ledger.breach("job %s was accepted, and its cancellation says that it is not known", id)
			return
		}
		time.Sleep(retryPause)
	}
}

// call makes a call at some node and checks that it is answered in time. The
// caller waits for longer than it says, to see when the answer comes.
func (c *callers) call(random *rand.Rand, do func(ctx context.Context, address string) platform.Answer) platform.Answer {
	n := c.cell.nodes[random.Intn(len(c.cell.nodes))]
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout+2*answerMargin)
	defer cancel()
	began := time.Now()
	answer := do(ctx, n.address(portFront))
	took := time.Since(began)
	if answer.Status != 0 && took > callTimeout+answerMargin && !n.wasStopped(began) {
		c.ledger.breach("%s answered after %v, %v were allowed", n.name, took, callTimeout)
	}
	return answer
}

// stepsOf draws the steps of a job.
func stepsOf(random *rand.Rand) []caspec.Step {
	steps := []caspec.Step{{
		Tasks: 1 + random.Intn(3), CPU: taskSize.CPU, Memory: taskSize.Memory, Estimate: runTime, Gang: random.Intn(4) == 0,
	}}
	if random.Intn(3) == 0 {
		steps = append(steps, caspec.Step{Tasks: 1, CPU: taskSize.CPU, Memory: taskSize.Memory, Estimate: runTime, After: []int{0}})
	}
	return steps
}
