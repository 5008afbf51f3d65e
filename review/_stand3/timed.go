package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// playTimed is a trial with timed and long-running jobs under kills, freezes and outages.
func playTimed(c *cell, trouble bool) bool {
	ws := map[string]*worker{}
	var wmu sync.Mutex
	n := 8
	if os.Getenv("MANY") != "" {
		n, c.linkMbps = 190, "10.0"
	}
	for i := range n {
		id := fmt.Sprintf("w-%d", i+1)
		ws[id] = startWorker(c, id)
	}
	c.configure(1, func(config map[string]any) {
		if os.Getenv("MANY") != "" {
			limit := map[string]int{"Cpu": 0, "MemMb": 0, "Gpu": 0}
			config["Tenants"] = []map[string]any{
				{"Name": "tenant-1", "ApiKeys": []string{"key-1"}, "Weight": 30.0, "Cap": limit},
				{"Name": "tenant-2", "ApiKeys": []string{"key-2"}, "Weight": 1.0, "Cap": limit},
			}
		}
	})
	c.startEntries(3)
	time.Sleep(2 * time.Second)
	type info struct {
		start    int64
		interval int
		reps     int
		steps    int
		lasts    bool
		cancel   bool
	}
	var mu sync.Mutex
	jobs := map[string]*info{}
	broken := false
	live := map[string]int{}
	done := map[string]bool{}
	bad := func(f string, a ...any) { c.record("BROKEN "+f, a...); broken = true }
	c.onRun = func(w *worker, o orderBody) {
		mu.Lock()
		defer mu.Unlock()
		p := strings.Split(o.Task, ".")
		k, _ := strconv.Atoi(p[1])
		st, _ := strconv.Atoi(p[2])
		j := jobs[p[0]]
		if j == nil {
			bad("unasked %s", o.Task)
			return
		}
		if j.reps > 0 {
			due := j.start + int64(k*j.interval)
			if early := due - time.Now().UnixMilli(); early > 250 {
				bad("early %s by %d ms", o.Task, early)
			}
		}
		if done[o.Task] && !j.lasts {
			bad("start after done %s run %d", o.Task, o.Run)
		}
		if st > 0 {
			for i := range 2 {
				if !done[fmt.Sprintf("%s.%d.%d.%d", p[0], k, st-1, i)] {
					bad("order %s", o.Task)
				}
			}
		}
	}
	_ = live
	c.onEnd = func(task, how string) {
		mu.Lock()
		defer mu.Unlock()
		if how == "done" {
			done[task] = true
		}
	}
	stop := time.Now().Add(60 * time.Second)
	go func() {
		for trouble && time.Now().Before(stop) {
			time.Sleep(time.Duration(1500+rand.Intn(3000)) * time.Millisecond)
			e := c.entries[rand.Intn(3)]
			switch rand.Intn(5) {
			case 0:
				e.signal(syscall.SIGKILL)
				<-e.done
				time.Sleep(time.Duration(rand.Intn(2000)) * time.Millisecond)
				e.start()
			case 1:
				e.signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(500+rand.Intn(3500)) * time.Millisecond)
				e.signal(syscall.SIGCONT)
			case 2:
				e.door.setBusy(true)
				time.Sleep(time.Duration(500+rand.Intn(4500)) * time.Millisecond)
				e.door.setBusy(false)
			case 3:
				wmu.Lock()
				id := fmt.Sprintf("w-%d", 1+rand.Intn(n))
				w := ws[id]
				w.crash()
				time.Sleep(time.Duration(rand.Intn(3000)) * time.Millisecond)
				ws[id] = startWorker(c, id)
				wmu.Unlock()
			case 4:
				e.signal(syscall.SIGTERM)
				<-e.done
				e.start()
			}
		}
	}()
	var accepted []string
	for i := 0; time.Now().Before(stop.Add(-15 * time.Second)); i++ {
		id := newJobID()
		j := &info{steps: 1 + rand.Intn(2)}
		b := job(spec{Ms: 300 + rand.Intn(1500)})
		if rand.Intn(2) == 0 {
			j.reps, j.interval = 1+rand.Intn(12), []int{0, 200, 700, 1500}[rand.Intn(4)]
			j.start = time.Now().UnixMilli() + int64(rand.Intn(4000)-1000)
			b["Repetitions"], b["StartTimeMs"], b["IntervalMs"] = j.reps, j.start, j.interval
		}
		var steps []step
		for n := range j.steps {
			s := step{"Count": 2, "Cpu": 500, "MemMb": 100, "EstimatedMs": 800}
			if n > 0 {
				s["After"] = []int{n - 1}
			}
			steps = append(steps, s)
		}
		b["Steps"] = steps
		mu.Lock()
		jobs[id] = j
		mu.Unlock()
		for try := range 5 {
			if s, _ := c.call(c.entries[(i+try)%3], http.MethodPost, "/jobs/"+id, b, 3*time.Second); s == 200 {
				accepted = append(accepted, id)
				break
			}
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(150 * time.Millisecond)
	}
	time.Sleep(time.Until(stop) + 22*time.Second)
	states := map[string]int{}
	for i, id := range accepted {
		s := c.state(c.entries[i%3], id)
		states[s]++
		if s != "completed" {
			bad("state %s of %s %+v", s, id, *jobs[id])
		}
	}
	c.record("states %v", states)
	return broken
}
