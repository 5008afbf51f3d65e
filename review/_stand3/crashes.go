package main

import (
	"fmt"
	"net/http"
	"time"
)

// playCrashes hands in one sound job of a single task. With the disruption, the worker at which the task
// is at work crashes, one worker of eight at a time, and starts again as another one.
func playCrashes(c *cell, trouble bool) bool {
	const workers, crashes = 8, 4
	const runTime, crashAfter = 4 * time.Second, 2 * time.Second
	for i := range workers {
		startWorker(c, fmt.Sprintf("w-%d", i+1))
	}
	c.configure(1, nil)
	c.startEntries(3)
	time.Sleep(2 * time.Second)
	left := 0
	if trouble {
		left = crashes
	}
	c.onRun = func(w *worker, o orderBody) {
		if left == 0 {
			return
		}
		left--
		time.Sleep(crashAfter)
		w.crash()
		time.Sleep(time.Second)
		startWorker(c, fmt.Sprintf("%s-%d", w.id, o.Run))
	}
	id := newJobID()
	body := job(spec{Ms: int(runTime.Milliseconds())}, step{"Count": 1, "Cpu": 1000, "MemMb": 256, "EstimatedMs": runTime.Milliseconds()})
	if status, _ := c.call(c.entries[0], http.MethodPost, "/jobs/"+id, body, 3*time.Second); status != http.StatusOK {
		return false
	}
	state := ""
	for began := time.Now(); time.Since(began) < 60*time.Second; time.Sleep(time.Second) {
		state = c.state(c.entries[1], id)
		if state == "completed" || state == "failed" {
			break
		}
	}
	failed := c.count("failed " + id)
	c.record("job %s is shown as %q after %d starts and %d ends failed; MaxAttempts is 4", id, state, c.count("starts "+id), failed)
	return state == "failed" && failed < 4
}
