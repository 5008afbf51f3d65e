package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryMB is the limit in the settings, beyond which the platform kills a process.
	memoryMB = 284
	// restartDelay is the delay after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	// clientRetries is how often a client sends a request again that was not accepted.
	clientRetries = 4
	// The day has a fault if processes end by themselves faultEnds times on faultMachines machines.
	faultEnds     = 3
	faultMachines = 2
)

// playBodies has ordinary callers hand in small jobs. With the disruption, other callers send large bodies of
// legal size at once, whole: each is one job of many steps, due in
// an hour. As on a machine, a process that exceeds its
// memory is killed and started again.
func playBodies(c *cell, trouble bool) bool {
	const senders, bodiesEach, steps, smallBefore, asked = 20, 24, 4900, 10, 6
	const trafficTime = 45 * time.Second
	for i := range 8 {
		startWorker(c, fmt.Sprintf("w-%d", i+1))
	}
	c.configure(1, nil)
	c.startEntries(3)
	time.Sleep(2 * time.Second)
	kills := make([]atomic.Int32, len(c.entries))
	stop := make(chan struct{})
	var guards sync.WaitGroup
	for i, e := range c.entries {
		guards.Go(func() { e.guardMemory(&kills[i], stop) })
	}
	small := job(spec{Ms: 200}, step{"Count": 2, "Cpu": 1000, "MemMb": 256, "EstimatedMs": 200})
	var accepted []string
	sent := 0
	for began := time.Now(); time.Since(began) < trafficTime; sent++ {
		if sent == smallBefore && trouble {
			for n := range senders {
				go func() {
					for range bodiesEach {
						c.sendLarge(n, steps)
					}
				}()
			}
		}
		id := newJobID()
		if status, _ := c.call(c.entries[sent%3], http.MethodPost, "/jobs/"+id, small, 3*time.Second); status == http.StatusOK {
			accepted = append(accepted, id)
		}
		time.Sleep(400 * time.Millisecond)
	}
	time.Sleep(14 * time.Second)
	states := make(map[string]int)
	for i, id := range accepted[:min(len(accepted), asked)] {
		state := ""
		for try := range 2 {
			if state = c.state(c.entries[(i+try)%3], id); state == "completed" {
				break
			}
		}
		states[state]++
	}
	close(stop)
	guards.Wait()
	c.record("%d of %d small jobs were accepted; 14 s after the last the states of the first %d are %v", len(accepted), sent, asked, states)
	failing := 0
	for i, e := range c.entries {
		c.record("%s: %d processes exceeded %d MB", e.name, kills[i].Load(), memoryMB)
		if kills[i].Load() >= faultEnds {
			failing++
		}
	}
	return failing >= faultMachines
}

// sendLarge sends one job of many steps of one small task each.
func (c *cell) sendLarge(n, count int) {
	b := job(spec{Ms: 100})
	steps := make([]step, count)
	for i := range steps {
		steps[i] = step{"Count": 1, "Cpu": 10, "MemMb": 1}
	}
	b["Steps"] = steps
	b["Repetitions"], b["StartTimeMs"], b["IntervalMs"] = 1, time.Now().Add(time.Hour).UnixMilli(), 1000
	var size bytes.Buffer
	_ = json.NewEncoder(&size).Encode(b)
	c.record("client: sends a body of %d bytes", size.Len())
	id := newJobID()
	for try := range 1 + clientRetries {
		if status, _ := c.call(c.entries[(n+try)%3], http.MethodPost, "/jobs/"+id, b, 3*time.Second); status == http.StatusOK {
			return
		}
		time.Sleep(time.Second)
	}
}

// guardMemory kills the process of an entry when it exceeds the memory of its machine, and starts it again
// whenever it has ended.
func (e *entry) guardMemory(kills *atomic.Int32, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		if mb := e.residentMB(); mb > memoryMB && !e.hasEnded() {
			kills.Add(1)
			e.cell.record("%s has %.0f MB in memory, over its %d MB", e.name, mb, memoryMB)
			e.signal(syscall.SIGKILL)
			<-e.done
		}
		if e.hasEnded() {
			time.Sleep(restartDelay)
			e.start()
		}
	}
}

// residentMB returns the memory that the process has resident, in MB.
func (e *entry) residentMB() float64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		var kb float64
		if _, err := fmt.Sscanf(line, "VmRSS: %f kB", &kb); err == nil {
			return kb / 1024
		}
	}
	return 0
}
