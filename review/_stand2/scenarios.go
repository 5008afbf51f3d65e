package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// finishTime is finish_s of the settings, and idleTime how long a job may have nothing running then.
const (
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
)

// replacedRoute has a route replaced by another one at the same path while an accepted job has a second step to run.
func replacedRoute(r *record, program string, trouble bool) (string, error) {
	before := config{Routes: []route{newRoute("north"), newRoute("south")}, Tenants: []tenant{newTenant("alpha")}}
	c, err := startCell(r, program, options{entries: 3, workers: 6, config: before})
	defer c.close()
	if err != nil {
		return "", err
	}
	id := newID()
	j := job{Spec: "2s", Steps: []step{
		{Count: 2, Cpu: 1000, MemMb: 512, EstimatedMs: 2000}, {Count: 2, Cpu: 1000, MemMb: 512, EstimatedMs: 2000, After: []int{0}},
	}}
	if !c.submit(c.nodes[0], "/north/", id, "key-of-alpha", j) {
		return "", errNotRun
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		successor := newRoute("north")
		successor.Name, successor.TimeoutMs = "north-b", 2500
		c.configure(config{Routes: []route{before.Routes[1], successor}, Tenants: before.Tenants})
	}
	time.Sleep(finishTime)
	a := c.call(c.nodes[1], http.MethodGet, "/north/", id, "key-of-alpha", nil)
	if a.state == "completed" {
		return "", nil
	}
	for idleSince := time.Now(); time.Since(idleSince) < idleTime+time.Second; time.Sleep(20 * time.Millisecond) {
		if c.running(id) > 0 {
			return "", nil
		}
	}
	a = c.call(c.nodes[2], http.MethodGet, "/north/", id, "key-of-alpha", nil)
	return fmt.Sprintf("the accepted job %s (%d %s) had nothing running for %v with all workers free", id, a.status, a.state, idleTime), nil
}

// freezeTime is how long an entry stands still.
const freezeTime = 4 * time.Second

// foreignCancel has an entry freeze as the client of one tenant hands in a job there, whose ID a job of another
// tenant has as well. The client gets no answer, gives up, and cancels its job at another entry.
func foreignCancel(r *record, program string, trouble bool) (string, error) {
	both := config{Routes: []route{newRoute("north"), newRoute("south")}, Tenants: []tenant{newTenant("alpha"), newTenant("beta")}}
	c, err := startCell(r, program, options{entries: 3, workers: 6, config: both})
	defer c.close()
	if err != nil {
		return "", err
	}
	id := newID()
	j := job{Spec: "8s", Steps: []step{{Count: 2, Cpu: 1000, MemMb: 512, EstimatedMs: 8000}}}
	if !c.submit(c.nodes[0], "/north/", id, "key-of-alpha", j) {
		return "", errNotRun
	}
	time.Sleep(500 * time.Millisecond)
	frozen, other := c.nodes[1], c.nodes[2]
	if trouble {
		c.signal(frozen, syscall.SIGSTOP)
		time.AfterFunc(freezeTime, func() { c.signal(frozen, syscall.SIGCONT) })
	}
	handedIn := c.call(frozen, http.MethodPost, "/south/", id, "key-of-beta", j)
	if handedIn.status == 0 && !c.cancel(other, "/south/", id, "key-of-beta") {
		return "", errNotRun
	}
	time.Sleep(10 * time.Second)
	a := c.call(c.nodes[0], http.MethodGet, "/north/", id, "key-of-alpha", nil)
	switch {
	case a.state == "cancelled" || a.state == "failed":
		return fmt.Sprintf("the job %s of alpha, which alpha has not cancelled, is shown as %q", id, a.state), nil
	case a.state != "completed":
		return "", errNotRun
	}
	return "", nil
}

// deadRack has a job whose data is in a rack of which all workers are lost.
func deadRack(r *record, program string, trouble bool) (string, error) {
	conf := config{Routes: []route{newRoute("north")}, Tenants: []tenant{newTenant("alpha")}}
	c, err := startCell(r, program, options{entries: 3, workers: 48, config: conf})
	defer c.close()
	if err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	if trouble {
		for _, w := range c.workers[:6] {
			w.crash()
		}
		// The records of these workers expire.
		time.Sleep(8 * time.Second)
	}
	id := newID()
	j := job{Spec: "30s", Steps: []step{{Count: 2, Cpu: 1000, MemMb: 512, EstimatedMs: 30000, Affinity: "r1-0"}}}
	if !c.submit(c.nodes[0], "/north/", id, "key-of-alpha", j) {
		return "", errNotRun
	}
	time.Sleep(finishTime)
	a := c.call(c.nodes[1], http.MethodGet, "/north/", id, "key-of-alpha", nil)
	for idleSince := time.Now(); time.Since(idleSince) < idleTime; time.Sleep(20 * time.Millisecond) {
		if c.running(id) > 0 {
			return "", nil
		}
	}
	return fmt.Sprintf("the accepted job %s (%s) had nothing running for %v, with 42 workers free", id, a.state, idleTime), nil
}

const (
	// wideTasks is the number of tasks of a wide job, and wideTaskTime how long each takes.
	wideTasks    = 4000
	wideTaskTime = 30 * time.Second
	// rackSize is how many workers crash at once, crashAfter when after the hand-in, and crashTime for how long.
	rackSize   = 6
	crashAfter = 15 * time.Second
	crashTime  = 4 * time.Second
	// wideJobTime is when after the hand-in the job has to be done: its tasks need some 35 s, and those that a
	// crash meets some 20 s more, since they resume.
	wideJobTime = 80 * time.Second
)

// longCheckpoints has a rack of workers crash under a wide job whose tasks checkpoint.
func longCheckpoints(r *record, program string, trouble bool) (string, error) {
	conf := config{Routes: []route{newRoute("north")}, Tenants: []tenant{newTenant("alpha")}}
	c, err := startCell(r, program, options{entries: 3, workers: 48, config: conf})
	defer c.close()
	if err != nil {
		return "", err
	}
	id := newID()
	j := job{Spec: "saves " + wideTaskTime.String(), Steps: []step{
		{Count: wideTasks, Cpu: 100, MemMb: 50, EstimatedMs: int(wideTaskTime.Milliseconds()), Checkpointing: true},
	}}
	if !c.submit(c.nodes[0], "/north/", id, "key-of-alpha", j) {
		return "", errNotRun
	}
	began := time.Now()
	time.Sleep(crashAfter)
	if trouble {
		for _, w := range c.workers[:rackSize] {
			w.crash()
		}
		time.Sleep(crashTime)
		for _, w := range c.workers[:rackSize] {
			if err := w.start(); err != nil {
				return "", err
			}
		}
	}
	var a answer
	for ; time.Since(began) < wideJobTime; time.Sleep(2 * time.Second) {
		a = c.call(c.nodes[1], http.MethodGet, "/north/", id, "key-of-alpha", nil)
		r.add("%d tasks are at work", c.running(id))
		if a.state == "completed" {
			return "", nil
		}
	}
	for idleSince := time.Now(); time.Since(idleSince) < idleTime; time.Sleep(20 * time.Millisecond) {
		if c.running(id) > 0 {
			return "", errNotRun
		}
	}
	return fmt.Sprintf("the accepted job %s (%s) had nothing running for %v, with all workers free", id, a.state, idleTime), nil
}
