package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"
)

// playFuzz is a trial.
func playFuzz(c *cell, trouble bool) bool {
	for i := range 48 {
		startWorker(c, fmt.Sprintf("w-%d", i+1))
	}
	c.configure(1, nil)
	c.startEntries(3)
	time.Sleep(2 * time.Second)
	n, _ := strconv.Atoi(os.Getenv("N"))
	count, _ := strconv.Atoi(os.Getenv("COUNT"))
	ids := []string{}
	for i := range n {
		s := step{"Count": count, "Cpu": 100, "MemMb": 1, "EstimatedMs": 2000}
		sp := spec{Ms: 2000}
		if os.Getenv("LASTS") != "" {
			s["LongRunning"] = true
			sp.Ms = 0
		}
		id := newJobID()
		st, _ := c.call(c.entries[i%3], http.MethodPost, "/jobs/"+id, job(sp, s), 3*time.Second)
		if st == 200 {
			ids = append(ids, id)
		}
	}
	for range 5 {
		time.Sleep(3 * time.Second)
		for _, e := range c.entries {
			c.record("%s peak %.0f", e.name, e.peakMB())
		}
		for i, id := range ids {
			if i < 3 {
				c.state(c.entries[i%3], id)
				c.record("starts %d done %d lapsed %d stopped %d", c.count("starts "+id), c.count("done "+id), c.count("lapsed "+id), c.count("stopped "+id))
			}
		}
	}
	return false
}
