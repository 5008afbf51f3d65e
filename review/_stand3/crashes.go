package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playCrashes hands in two sound jobs of one task each: one ends by itself, the other lasts until it is
// cancelled. With the disruption, the worker at which a task of theirs is at work crashes, three times for each
// job, and another worker starts in its place. Of sixteen workers two are down at a time at most.
func playCrashes(c *cell, trouble bool) bool {
	const workers, crashesPerJob = 16, 3
	const runTime, crashAfter, restartAfter = 4 * time.Second, 2 * time.Second, time.Second
	for i := range workers {
		startWorker(c, fmt.Sprintf("w-%d", i+1))
	}
	c.configure(1, nil)
	c.startEntries(3)
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	crashes := make(map[string]int)
	c.onRun = func(w *worker, o orderBody) {
		mu.Lock()
		crashes[jobOf(o.Task)]++
		n := crashes[jobOf(o.Task)]
		mu.Unlock()
		if !trouble || n > crashesPerJob {
			return
		}
		time.Sleep(crashAfter)
		if !w.isUp() {
			return
		}
		w.crash()
		time.Sleep(restartAfter)
		startWorker(c, fmt.Sprintf("%s-%d", w.id, n))
	}
	ending, lasting := newJobID(), newJobID()
	endingBody := job(spec{Ms: int(runTime.Milliseconds())}, step{"Count": 1, "Cpu": 1000, "MemMb": 256, "EstimatedMs": runTime.Milliseconds()})
	lastingBody := job(spec{}, step{"Count": 1, "Cpu": 9000, "MemMb": 256, "EstimatedMs": 1000, "LongRunning": true})
	for id, body := range map[string]map[string]any{ending: endingBody, lasting: lastingBody} {
		if status, _ := c.call(c.entries[0], http.MethodPost, "/jobs/"+id, body, 3*time.Second); status != http.StatusOK {
			return false
		}
	}
	states := make(map[string]string)
	for began := time.Now(); time.Since(began) < 75*time.Second; time.Sleep(2 * time.Second) {
		states[ending], states[lasting] = c.state(c.entries[1], ending), c.state(c.entries[2], lasting)
		if states[ending] == "failed" && states[lasting] == "failed" || !trouble && states[ending] == "completed" {
			break
		}
	}
	for id, kind := range map[string]string{ending: "ends by itself", lasting: "lasts"} {
		c.record("job %s, which %s, is shown as %q after %d starts, of which %d ended failed; MaxAttempts is 4, and it was not cancelled",
			id, kind, states[id], c.count("starts "+id), c.count("failed "+id))
	}
	return states[ending] == "failed" && c.count("failed "+ending) < 4 || states[lasting] == "failed"
}
