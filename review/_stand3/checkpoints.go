package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// playCheckpoints hands in a job of 60 tasks that last and save their progress in checkpoints of 5,000 bytes.
// With the disruption, one worker of twelve crashes.
func playCheckpoints(c *cell, trouble bool) bool {
	const workers, tasks, checkpointBytes = 12, 60, 5000
	var all []*worker
	for i := range workers {
		all = append(all, startWorker(c, fmt.Sprintf("w-%d", i+1)))
	}
	c.configure(1, nil)
	c.startEntries(3)
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	at := make(map[string]*worker)
	c.onRun = func(w *worker, o orderBody) {
		mu.Lock()
		defer mu.Unlock()
		at[o.Task] = w
	}
	id := newJobID()
	body := job(spec{Checkpoint: checkpointBytes}, step{"Count": tasks, "Cpu": 1000, "MemMb": 256, "EstimatedMs": 1000, "LongRunning": true, "Checkpointing": true})
	if status, _ := c.call(c.entries[0], http.MethodPost, "/jobs/"+id, body, 3*time.Second); status != http.StatusOK {
		return false
	}
	time.Sleep(8 * time.Second)
	if trouble {
		mu.Lock()
		victim := at[id+".0.0.0"]
		mu.Unlock()
		victim.crash()
	}
	time.Sleep(40 * time.Second)
	var waiting []string
	mu.Lock()
	for i := range tasks {
		task := fmt.Sprintf("%s.0.0.%d", id, i)
		if w := at[task]; w == nil || !w.isUp() {
			waiting = append(waiting, task)
		}
	}
	mu.Unlock()
	c.record("state %s; %d of %d tasks have no run 40 s after the crash: %s", c.state(c.entries[1], id), len(waiting), tasks, strings.Join(waiting, " "))
	return len(waiting) > 0
}
