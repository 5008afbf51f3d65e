package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playShards has the smaller of two tenants hand in long-running jobs in a service with a lot of room. With
// the disruption it sends seven times its usual.
func playShards(c *cell, trouble bool) bool {
	const workers, tasks, taskCPU, workerCPU = 180, 10, 15000, 16000
	const hotFactor, capCPU = 7, 3_000_000
	c.linkMbps = "10.0"
	for i := range workers {
		startWorker(c, fmt.Sprintf("w-%d", i+1))
	}
	c.configure(1, func(config map[string]any) {
		limit := map[string]int{"Cpu": capCPU, "MemMb": 0, "Gpu": 0}
		config["Tenants"] = []map[string]any{
			{"Name": "tenant-1", "ApiKeys": []string{"key-1"}, "Weight": 3.0, "Cap": limit},
			{"Name": "tenant-2", "ApiKeys": []string{"key-2"}, "Weight": 1.0, "Cap": limit},
		}
	})
	c.startEntries(3)
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	running := make(map[string]bool)
	c.onRun = func(_ *worker, o orderBody) {
		mu.Lock()
		defer mu.Unlock()
		running[o.Task] = true
	}
	jobs := 1
	if trouble {
		jobs = hotFactor
	}
	var accepted []string
	for i := range jobs {
		id := newJobID()
		body := job(spec{}, step{"Count": tasks, "Cpu": taskCPU, "MemMb": 1000, "EstimatedMs": 1000, "LongRunning": true})
		if status, _ := c.callAs("key-2", c.entries[i%3], http.MethodPost, "/jobs/"+id, body, 3*time.Second); status == http.StatusOK {
			accepted = append(accepted, id)
		}
		time.Sleep(time.Second)
	}
	time.Sleep(14 * time.Second)
	starved := 0
	for _, id := range accepted {
		n := 0
		mu.Lock()
		for task := range running {
			if jobOf(task) == id {
				n++
			}
		}
		mu.Unlock()
		c.record("job %s: state %s, %d of %d tasks run", id, c.stateAs("key-2", c.entries[0], id), n, tasks)
		if n == 0 {
			starved++
		}
	}
	inUse := len(running) * taskCPU
	c.record("%d of %d accepted jobs have had nothing running; in use: %.2f of the service, %.2f of the tenant's Cap; room for %d tasks more",
		starved, len(accepted), float64(inUse)/(workers*workerCPU), float64(inUse)/capCPU, workers-len(running))
	return starved > 0 && 2*inUse < workers*workerCPU && 2*inUse < capCPU
}
