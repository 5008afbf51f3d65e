package main

import (
	"fmt"
	"net/http"
	"time"
)

// playHeld hands in a job of 48 tasks that last and save their progress in checkpoints of 6,000 bytes, and after
// it many small jobs. With the disruption, four of the 48 tasks fail once.
func playHeld(c *cell, trouble bool) bool {
	const workers, tasks, checkpointBytes, failEvery, perWorker = 4, 48, 6000, 12, 12
	for i := range workers {
		startWorker(c, fmt.Sprintf("w-%d", i+1))
	}
	c.configure(1, nil)
	c.startEntries(3)
	time.Sleep(2 * time.Second)
	s := spec{Checkpoint: checkpointBytes}
	if trouble {
		s.Ms, s.FailEvery = 5000, failEvery
	}
	lasting := newJobID()
	body := job(s, step{"Count": tasks, "Cpu": 1000, "MemMb": 256, "EstimatedMs": 1000, "LongRunning": true, "Checkpointing": true, "AntiAffinity": perWorker})
	if status, _ := c.call(c.entries[0], http.MethodPost, "/jobs/"+lasting, body, 3*time.Second); status != http.StatusOK {
		return false
	}
	time.Sleep(8 * time.Second)
	small := job(spec{Ms: 50}, step{"Count": 64, "Cpu": 100, "MemMb": 16, "EstimatedMs": 50})
	var accepted []string
	for i := 0; time.Since(c.began) < 75*time.Second; i++ {
		id := newJobID()
		if status, _ := c.call(c.entries[i%3], http.MethodPost, "/jobs/"+id, small, 3*time.Second); status == http.StatusOK {
			accepted = append(accepted, id)
		}
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(14 * time.Second)
	running := c.count("starts "+lasting) - c.count("failed "+lasting)
	c.record("lasting job: state %s, %d of %d tasks run", c.state(c.entries[0], lasting), running, tasks)
	states := make(map[string]int)
	late := 0
	for i, id := range accepted {
		state := c.state(c.entries[i%3], id)
		states[state]++
		if state != "completed" {
			late++
			c.record("job %s: %d of 64 tasks ended done", id, c.count("done "+id))
		}
	}
	c.record("small jobs: %d accepted, states %v", len(accepted), states)
	return late > 0 || running < tasks
}
