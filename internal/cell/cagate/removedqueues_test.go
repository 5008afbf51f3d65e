package cagate

import (
	"context"
	"sync"
	"testing"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caorder"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/cell/castate"
)

// policyLog is the operators' newest policy. Entries that start later never read the versions before it.
type policyLog struct {
	mu      sync.Mutex
	policy  caspec.Policy
	changed chan struct{}
}

// publishFrom makes the entries follow a policy log, which begins with the queues.
func (c *testCell) publishFrom(queues ...caspec.Queue) *policyLog {
	p := testPolicy()
	p.Queues = queues
	o := &policyLog{policy: p.WithIndex(), changed: make(chan struct{})}
	c.feed = func(string) OperatorFeed { return o }
	return o
}

// publish publishes a version with the queues and waits until all running entries have applied it.
func (o *policyLog) publish(queues ...caspec.Queue) {
	o.mu.Lock()
	o.policy.Version++
	o.policy.Queues = queues
	o.policy = o.policy.WithIndex()
	close(o.changed)
	o.changed = make(chan struct{})
	o.mu.Unlock()
	time.Sleep(10 * time.Millisecond)
}

func (o *policyLog) newest() (caspec.Policy, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.policy, o.changed
}

// Watch implements OperatorFeed.
func (o *policyLog) Watch(ctx context.Context, sink OperatorSink) error {
	sink.ApplyDrains(caspec.ZoneDrains{}, time.Now())
	sink.SetReachable(true)
	for {
		policy, changed := o.newest()
		sink.ApplyPolicy(policy)
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// namedQueue returns the queue of the test policy under another name, which is also its path.
func namedQueue(name caspec.QueueName) caspec.Queue {
	q := testPolicy().Queues[0]
	q.Name, q.Prefix = name, "/"+string(name)+"/"
	return q
}

// successor returns another queue at the path of a queue.
func successor(q caspec.Queue, name caspec.QueueName) caspec.Queue {
	q.Name = name
	return q
}

// submitTo submits a job of the steps to a queue, which must accept it.
func (c *testCell) submitTo(queue caspec.QueueName, steps ...caspec.Step) cawork.JobID {
	c.t.Helper()
	n := c.nextJob()
	s := caspec.Submission{ID: jobID(n), Queue: queue, Team: "north", Steps: steps}
	if err := c.submitOnce(n, s); err != nil {
		c.t.Fatalf("submit job %s to queue %s: %v", s.ID, queue, err)
	}
	c.accepted.Add(s.ID)
	return s.ID
}

// twoSteps returns a step and one that depends on it.
func twoSteps() []caspec.Step {
	second := testStep()
	second.After = []int{0}
	return []caspec.Step{testStep(), second}
}

func (c *testCell) restartAllEntries(apart time.Duration) {
	for i := range 3 {
		c.kill(entryName(i))
	}
	time.Sleep(apart)
	for i := range 3 {
		c.start(entryName(i))
	}
	time.Sleep(3 * time.Second)
}

func (c *testCell) restartEntriesInTurn() {
	for i := range 3 {
		c.kill(entryName(i))
		time.Sleep(time.Second)
		c.start(entryName(i))
		time.Sleep(3 * time.Second)
	}
}

func (c *testCell) restartUpstreams() {
	for i := range testUpstreams {
		c.fleet.Restart(cawork.UpstreamID("up-" + string(rune('0'+i))))
	}
}

// TestAcceptedJobsOutliveTheirQueue guards against accepted jobs that start nothing any more once a version of the
// policy no longer lists their queue, with all that may follow: a new leader knows the newest version alone.
func TestAcceptedJobsOutliveTheirQueue(t *testing.T) {
	queue, other := namedQueue("queue"), namedQueue("other")
	returned := queue
	returned.Approval, returned.Priority = nil, 2
	for name, play := range map[string]func(c *testCell, o *policyLog){
		"removed":                  func(_ *testCell, o *policyLog) { o.publish(other) },
		"replaced at its path":     func(_ *testCell, o *policyLog) { o.publish(other, successor(queue, "next")) },
		"replaced at another path": func(_ *testCell, o *policyLog) { o.publish(other, namedQueue("next")) },
		"its successor goes as well": func(_ *testCell, o *policyLog) {
			o.publish(other, successor(queue, "next"))
			o.publish(other)
		},
		"removed, all entries restart": func(c *testCell, o *policyLog) {
			o.publish(other)
			c.restartAllEntries(time.Second)
		},
		"replaced, all entries restart": func(c *testCell, o *policyLog) {
			o.publish(other, successor(queue, "next"))
			c.restartAllEntries(0)
		},
		"removed while all entries are down": func(c *testCell, o *policyLog) {
			for i := range 3 {
				c.kill(entryName(i))
			}
			o.publish(other)
			for i := range 3 {
				c.start(entryName(i))
			}
		},
		"removed, entries restart in turn": func(c *testCell, o *policyLog) {
			o.publish(other)
			c.restartEntriesInTurn()
		},
		"removed, the store drops its history": func(c *testCell, o *policyLog) {
			o.publish(other)
			c.store.DeleteHistory()
			c.restartAllEntries(0)
		},
		"removed, its upstreams restart": func(c *testCell, o *policyLog) {
			o.publish(other)
			c.restartUpstreams()
		},
		"removed, it returns with other terms and goes while all entries are down": func(c *testCell, o *policyLog) {
			o.publish(other)
			c.kill(entryName(0))
			c.kill(entryName(1))
			c.kill(entryName(2))
			o.publish(other, returned)
			o.publish(other)
			for i := range 3 {
				c.start(entryName(i))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			var policy *policyLog
			runInTestCell(t, 3, func(_ *testing.T, c *testCell) {
				c.fleet.SetRunTime(func(caorder.RunID) (time.Duration, bool) { return 2 * time.Second, false })
				c.submitTo("queue", twoSteps()...)
				time.Sleep(500 * time.Millisecond)
				play(c, policy)
			}, func(c *testCell) { policy = c.publishFrom(queue, other) })
		})
	}
}

// TestWaitingJobsOutliveTheirQueue guards against jobs that never start if their queue goes while they wait for
// room.
func TestWaitingJobsOutliveTheirQueue(t *testing.T) {
	queue, other := namedQueue("queue"), namedQueue("other")
	var policy *policyLog
	runInTestCell(t, 3, func(t *testing.T, c *testCell) {
		c.fleet.SetRunTime(func(caorder.RunID) (time.Duration, bool) { return 4 * time.Second, false })
		all := testStep()
		all.Tasks = testUpstreams * 4
		c.submitTo("other", all)
		time.Sleep(time.Second)
		waiting := c.submitTo("queue", twoSteps()...)
		if running := c.fleet.Running(waiting); running != 0 {
			t.Fatalf("%d tasks run, want none while there is no room", running)
		}
		policy.publish(other)
	}, func(c *testCell) { policy = c.publishFrom(queue, other) })
}

// TestLongRunningJobsOutliveTheirQueue guards against long-running tasks that are not restarted after a crash of their
// upstream because their queue is gone.
func TestLongRunningJobsOutliveTheirQueue(t *testing.T) {
	queue, other := namedQueue("queue"), namedQueue("other")
	for name, queues := range map[string][]caspec.Queue{"removed": {other}, "replaced": {other, successor(queue, "next")}} {
		t.Run(name, func(t *testing.T) {
			var policy *policyLog
			runInTestCell(t, 3, func(_ *testing.T, c *testCell) {
				c.fleet.SetRunTime(func(caorder.RunID) (time.Duration, bool) { return time.Hour, false })
				step := testStep()
				step.LongRunning = true
				id := c.submitTo("queue", step)
				c.longRunning.Add(id)
				time.Sleep(2 * time.Second)
				policy.publish(queues...)
				c.restartUpstreams()
				time.Sleep(2 * time.Second)
				c.restartAllEntries(time.Second)
				c.restartUpstreams()
			}, func(c *testCell) { policy = c.publishFrom(queue, other) })
		})
	}
}

// TestTeamCancelsLongRunningJobOfRemovedQueue guards against long-running jobs that nobody can end any more, and against a
// queue that counts the waiting jobs of the one whose place it took.
func TestTeamCancelsLongRunningJobOfRemovedQueue(t *testing.T) {
	queue, other := namedQueue("queue"), namedQueue("other")
	var policy *policyLog
	runInTestCell(t, 3, func(t *testing.T, c *testCell) {
		c.fleet.SetRunTime(func(caorder.RunID) (time.Duration, bool) { return time.Hour, false })
		step, tooLarge := testStep(), testStep()
		step.LongRunning = true
		id := c.submitTo("queue", step)
		time.Sleep(2 * time.Second)
		tooLarge.Tasks, tooLarge.LongRunning = 4*testUpstreams, true
		waiting := c.submitTo("queue", tooLarge)
		policy.publish(other, successor(queue, "next"))
		c.restartAllEntries(time.Second)
		gate := c.gates()[entryName(1)]
		if got, err := gate.Pending(context.Background(), "next"); err != nil || got != 0 {
			t.Errorf("%d jobs of the successor are pending, want none, error %v", got, err)
		}
		for _, canceled := range []cawork.JobID{id, waiting} {
			c.accepted.Remove(canceled)
			if err := gate.Cancel(context.Background(), caspec.Caller{Team: "north"}, canceled); err != nil {
				t.Errorf("cancel job %s: %v", canceled, err)
			}
			time.Sleep(3 * time.Second)
			phase, err := gate.Phase(context.Background(), caspec.Caller{Team: "north"}, canceled)
			if running := c.fleet.Running(canceled); running > 0 || err != nil || phase != castate.PhaseCanceled {
				t.Errorf("job %s: %d tasks run, phase %v, error %v, want none and canceled", canceled, running, phase, err)
			}
		}
		c.fleet.SetRunTime(func(caorder.RunID) (time.Duration, bool) { return time.Second, false })
		c.submitTo("next", testStep())
	}, func(c *testCell) { policy = c.publishFrom(queue, other) })
}
