package main

import (
	"fmt"
	"net/http"
	"time"
)

// playRack hands in a job whose data is on one rack. With the disruption, the workers of that rack, two of
// fourteen, have crashed and are lost for good.
func playRack(c *cell, trouble bool) bool {
	const workers, rackWorkers = 14, 2
	const runTime = 60 * time.Second
	// finishTime is the time after the end of the traffic from which a job must not be left waiting, and
	// waitTime for how long.
	const finishTime, waitTime = 14 * time.Second, 3 * time.Second
	var rack []*worker
	for i := range workers {
		c.rack = "r2"
		if i < rackWorkers {
			c.rack = "r1"
		}
		w := startWorker(c, fmt.Sprintf("w-%d", i+1))
		if i < rackWorkers {
			rack = append(rack, w)
		}
	}
	c.configure(1, nil)
	c.startEntries(3)
	time.Sleep(2 * time.Second)
	if trouble {
		for _, w := range rack {
			w.crash()
		}
		time.Sleep(4 * time.Second)
	}
	id := newJobID()
	body := job(spec{Ms: int(runTime.Milliseconds())}, step{"Count": 1, "Cpu": 1000, "MemMb": 256, "EstimatedMs": runTime.Milliseconds(), "Affinity": "r1"})
	if status, _ := c.call(c.entries[0], http.MethodPost, "/jobs/"+id, body, 3*time.Second); status != http.StatusOK {
		return false
	}
	time.Sleep(finishTime + waitTime)
	starts := c.count("starts " + id)
	c.record("job %s: state %s, %d starts %v after it was accepted; the other %d workers are idle",
		id, c.state(c.entries[1], id), starts, finishTime+waitTime, workers-rackWorkers)
	return starts == 0
}
