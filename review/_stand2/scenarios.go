package main

import (
	"fmt"
	"net/http"
	"time"
)

// finishTime is finish_s of the settings, and idleTime how long a job may have nothing running then.
const (
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
)

// removedRoute has a route removed while an accepted job of its queue has a second step to run.
func removedRoute(r *record, program string, trouble bool) (string, error) {
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
		c.configure(config{Routes: before.Routes[1:], Tenants: before.Tenants})
	}
	time.Sleep(finishTime)
	a := c.call(c.nodes[1], http.MethodGet, "/north/", id, "key-of-alpha", nil)
	if a.state == "completed" {
		return "", nil
	}
	idleSince := time.Now()
	for time.Since(idleSince) < idleTime+time.Second {
		if c.running(id) > 0 {
			return "", nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	if trouble {
		// The route comes back, so that the state of the job can be seen.
		c.configure(before)
		time.Sleep(2500 * time.Millisecond)
		a = c.call(c.nodes[1], http.MethodGet, "/north/", id, "key-of-alpha", nil)
	}
	return fmt.Sprintf("the accepted job %s had nothing running for %v with all workers free (state %q later)", id, idleTime, a.state), nil
}

// foreignCancel has the client of one tenant cancel a job of its own, whose ID a job of another tenant has as well.
func foreignCancel(r *record, program string, trouble bool) (string, error) {
	both := config{Routes: []route{newRoute("north"), newRoute("south")}, Tenants: []tenant{newTenant("alpha"), newTenant("beta")}}
	c, err := startCell(r, program, options{entries: 3, workers: 6, config: both})
	defer c.close()
	if err != nil {
		return "", err
	}
	id := newID()
	j := job{Spec: "6s", Steps: []step{{Count: 2, Cpu: 1000, MemMb: 512, EstimatedMs: 6000}}}
	if !c.submit(c.nodes[0], "/north/", id, "key-of-alpha", j) {
		return "", errNotRun
	}
	time.Sleep(time.Second)
	c.call(c.nodes[1], http.MethodPost, "/south/", id, "key-of-beta", j)
	c.call(c.nodes[1], http.MethodGet, "/south/", id, "key-of-beta", nil)
	if trouble {
		c.call(c.nodes[1], http.MethodDelete, "/south/", id, "key-of-beta", nil)
	}
	time.Sleep(8 * time.Second)
	a := c.call(c.nodes[2], http.MethodGet, "/north/", id, "key-of-alpha", nil)
	switch {
	case a.state == "cancelled" || a.state == "failed":
		return fmt.Sprintf("the job %s of alpha, which alpha has not cancelled, is shown as %q", id, a.state), nil
	case a.state != "completed":
		return "", errNotRun
	}
	return "", nil
}

const (
	// crashPeriod is the time between the crashes of two workers, and crashTime how long each is down.
	crashPeriod = 3 * time.Second
	crashTime   = 1500 * time.Millisecond
	// crashes is how many workers crash, one after the other.
	crashes = 20
	// calmTime is how long nothing crashes before the tasks at work are counted.
	calmTime = 10 * time.Second
)

// givenUp has the workers of a cell crash and come back by turns, one at a time, beside a job that lasts and one
// that takes long.
func givenUp(r *record, program string, trouble bool) (string, error) {
	conf := config{Routes: []route{newRoute("north")}, Tenants: []tenant{newTenant("alpha")}}
	// More than the runs of any task here, however they end.
	conf.Routes[0].MaxAttempts = 20
	c, err := startCell(r, program, options{entries: 3, workers: 8, config: conf})
	defer c.close()
	if err != nil {
		return "", err
	}
	lasting := job{Spec: "lasts", Steps: []step{{Count: 2, Cpu: 1000, MemMb: 512, EstimatedMs: 1000, LongRunning: true}}}
	long := job{Spec: "25s", Steps: []step{{Count: 2, Cpu: 1000, MemMb: 512, EstimatedMs: 25000}}}
	ids := []string{newID(), newID()}
	for i, j := range []job{lasting, long} {
		if !c.submit(c.nodes[0], "/north/", ids[i], "key-of-alpha", j) {
			return "", errNotRun
		}
	}
	for i := range crashes {
		time.Sleep(crashPeriod - crashTime)
		w := c.workers[i%len(c.workers)]
		if trouble {
			w.crash()
		}
		time.Sleep(crashTime)
		if trouble {
			if err := w.start(); err != nil {
				return "", err
			}
		}
		for _, id := range ids {
			if a := c.call(c.nodes[1], http.MethodGet, "/north/", id, "key-of-alpha", nil); a.state == "failed" {
				time.Sleep(calmTime)
				return fmt.Sprintf("the job %s is shown as failed, and no run of it has ended failed; %d of its tasks run %v later, with all workers up",
					id, c.running(id), calmTime), nil
			}
		}
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
