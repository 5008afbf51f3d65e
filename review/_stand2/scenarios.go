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
	wideTasks    = 5000
	wideTaskTime = 30 * time.Second
	// rackSize is how many workers crash at once, crashAfter when after the hand-in, and crashTime for how long.
	rackSize   = 6
	crashAfter = 15 * time.Second
	crashTime  = 4 * time.Second
	// laterJobs is how many small jobs another tenant hands in, laterAfter after the wide job: its tasks that no
	// crash meets are done by then, and the others could be as well.
	laterJobs  = 6
	laterAfter = 70 * time.Second
)

// longCheckpoints has a rack of workers crash under a wide job whose tasks checkpoint. Later another tenant hands
// in small jobs.
func longCheckpoints(r *record, program string, trouble bool) (string, error) {
	conf := config{Routes: []route{newRoute("north"), newRoute("south")}, Tenants: []tenant{newTenant("alpha"), newTenant("beta")}}
	c, err := startCell(r, program, options{entries: 3, workers: 48, config: conf})
	defer c.close()
	if err != nil {
		return "", err
	}
	wide := newID()
	j := job{Spec: "saves " + wideTaskTime.String(), Steps: []step{
		{Count: wideTasks, Cpu: 30, MemMb: 50, EstimatedMs: int(wideTaskTime.Milliseconds()), Checkpointing: true},
	}}
	if !c.submit(c.nodes[0], "/north/", wide, "key-of-alpha", j) {
		return "", errNotRun
	}
	began := time.Now()
	time.Sleep(crashAfter)
	if trouble {
		for _, w := range c.workers[rackSize : 2*rackSize] {
			w.crash()
		}
		time.Sleep(crashTime)
		for _, w := range c.workers[rackSize : 2*rackSize] {
			if err := w.start(); err != nil {
				return "", err
			}
		}
	}
	for time.Since(began) < laterAfter {
		time.Sleep(5 * time.Second)
		r.add("%d tasks of the wide job are at work", c.running(wide))
	}
	small := job{Spec: "1s", Steps: []step{
		{Count: 2, Cpu: 1000, MemMb: 512, EstimatedMs: 1000}, {Count: 2, Cpu: 1000, MemMb: 512, EstimatedMs: 1000, After: []int{0}},
	}}
	ids := []string{wide}
	for range laterJobs {
		id := newID()
		if !c.submit(c.nodes[2], "/south/", id, "key-of-beta", small) {
			return "", errNotRun
		}
		ids = append(ids, id)
	}
	time.Sleep(finishTime)
	return c.stuckJobs(ids), nil
}

// stuckJobs names the jobs that have not completed and have nothing running for idleTime.
func (c *cell) stuckJobs(ids []string) string {
	atWork := make(map[string]bool)
	for idleSince := time.Now(); time.Since(idleSince) < idleTime; time.Sleep(20 * time.Millisecond) {
		for _, id := range ids {
			atWork[id] = atWork[id] || c.running(id) > 0
		}
	}
	stuck := ""
	for i, id := range ids {
		prefix, key := "/south/", "key-of-beta"
		if i == 0 {
			prefix, key = "/north/", "key-of-alpha"
		}
		a := c.call(c.nodes[1], http.MethodGet, prefix, id, key, nil)
		if a.state != "completed" && !atWork[id] {
			stuck += fmt.Sprintf("the accepted job %s of the holder of %s (%s) had nothing running for %v, with all workers free; ", id, key, a.state, idleTime)
		}
	}
	return stuck
}
