package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// playLate is a trial: a request waits at an entry that stands still, its client leaves and cancels the job elsewhere.
func playLate(c *cell, trouble bool) bool {
	for i := range 8 {
		startWorker(c, fmt.Sprintf("w-%d", i+1))
	}
	c.configure(1, nil)
	c.startEntries(3)
	time.Sleep(2 * time.Second)
	ran := 0
	for i := range 12 {
		e := c.entries[i%3]
		other := c.entries[(i+1)%3]
		id := newJobID()
		if trouble {
			e.signal(syscall.SIGSTOP)
		}
		c.call(e, http.MethodPost, "/jobs/"+id, job(spec{Ms: 3000}, step{"Count": 1, "Cpu": 500, "MemMb": 10, "EstimatedMs": 3000}), time.Second)
		status, _ := c.call(other, http.MethodDelete, "/jobs/"+id, nil, 3*time.Second)
		if trouble {
			time.Sleep(1500 * time.Millisecond)
			e.signal(syscall.SIGCONT)
		}
		time.Sleep(1500 * time.Millisecond)
		c.record("cancel of %s: %d, starts %d, state %s", id, status, c.count("starts "+id), c.state(other, id))
		if c.count("starts "+id) > 0 && (status == 200 || status == 410) {
			ran++
		}
	}
	c.record("ran %d", ran)
	return ran > 0
}
