package main

import (
	"fmt"
	"net/http"
	"time"
)

// playQuota has a tenant hand in a job of two tasks that last. With the disruption, a configuration has lowered
// its Cap before, to nearly three such tasks.
func playQuota(c *cell, trouble bool) bool {
	const workers, tasks, taskCPU, workerCPU = 180, 2, 15000, 16000
	const usualCPU, loweredCPU = 3_000_000, 44_000
	c.linkMbps = "10.0"
	for i := range workers {
		startWorker(c, fmt.Sprintf("w-%d", i+1))
	}
	capTo := func(cpu int) func(map[string]any) {
		return func(config map[string]any) {
			config["Tenants"] = []map[string]any{{
				"Name": "tenant-1", "ApiKeys": []string{"key-1"}, "Weight": 20.0, "Cap": map[string]int{"Cpu": cpu, "MemMb": 0, "Gpu": 0},
			}}
		}
	}
	c.configure(1, capTo(usualCPU))
	c.startEntries(3)
	time.Sleep(3 * time.Second)
	limit := usualCPU
	if trouble {
		limit = loweredCPU
		c.configure(2, capTo(limit))
	}
	time.Sleep(4 * time.Second)
	id := newJobID()
	body := job(spec{}, step{"Count": tasks, "Cpu": taskCPU, "MemMb": 1000, "EstimatedMs": 1000, "LongRunning": true})
	if status, _ := c.call(c.entries[0], http.MethodPost, "/jobs/"+id, body, 3*time.Second); status != http.StatusOK {
		return false
	}
	time.Sleep(17 * time.Second)
	running := c.count("starts " + id)
	inUse := running * taskCPU
	c.record("job %s: state %s, %d of %d tasks run; the tenant uses %d of its Cap of %d, and %d of %d workers are idle",
		id, c.state(c.entries[1], id), running, tasks, inUse, limit, workers-running, workers)
	return running < tasks && 2*inUse < limit && 2*inUse < workers*workerCPU
}
