package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playRenamed has a tenant hand in a job, and the request arrives once more seconds after it was accepted. With
// the disruption, a configuration has given the tenant another name in between; its key is the same.
func playRenamed(c *cell, trouble bool) bool {
	const workers = 180
	const runTime, repeatAfter = 20 * time.Second, 5 * time.Second
	c.linkMbps = "10.0"
	for i := range workers {
		startWorker(c, fmt.Sprintf("w-%d", i+1))
	}
	nameIt := func(second string) func(map[string]any) {
		return func(config map[string]any) {
			limit := map[string]int{"Cpu": 0, "MemMb": 0, "Gpu": 0}
			config["Tenants"] = []map[string]any{
				{"Name": "tenant-1", "ApiKeys": []string{"key-1"}, "Weight": 3.0, "Cap": limit},
				{"Name": second, "ApiKeys": []string{"key-2"}, "Weight": 1.0, "Cap": limit},
			}
		}
	}
	c.configure(1, nameIt("tenant-2"))
	c.startEntries(3)
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	var runs []*worker
	c.onRun = func(w *worker, _ orderBody) {
		mu.Lock()
		defer mu.Unlock()
		runs = append(runs, w)
	}
	id := newJobID()
	body := job(spec{Ms: int(runTime.Milliseconds())}, step{"Count": 1, "Cpu": 1000, "MemMb": 256, "EstimatedMs": runTime.Milliseconds()})
	if status, _ := c.callAs("key-2", c.entries[0], http.MethodPost, "/jobs/"+id, body, 3*time.Second); status != http.StatusOK {
		return false
	}
	if trouble {
		c.configure(2, nameIt("tenant-2-north"))
	}
	time.Sleep(repeatAfter)
	c.record("GET with the key that handed the job in: %s", c.stateAs("key-2", c.entries[1], id))
	c.callAs("key-2", c.entries[2], http.MethodPost, "/jobs/"+id, body, 3*time.Second)
	time.Sleep(3 * time.Second)
	atWork := 0
	mu.Lock()
	started := runs
	mu.Unlock()
	for _, w := range started {
		if w.hasRun(id + ".0.0.0") {
			c.record("worker %s is up and has task %s.0.0.0 at work", w.id, id)
			atWork++
		}
	}
	return atWork > 1
}
