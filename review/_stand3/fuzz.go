package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

func pick[T any](list ...T) T { return list[rand.Intn(len(list))] }

// playFuzz is a trial.
func playFuzz(c *cell, trouble bool) bool {
	for i := range 8 {
		startWorker(c, fmt.Sprintf("w-%d", i+1))
	}
	c.configure(1, nil)
	c.startEntries(3)
	time.Sleep(2 * time.Second)
	ids := []string{}
	for i := range 120 {
		b := job(spec{Ms: 50 + rand.Intn(300), Fail: rand.Intn(8) == 0})
		var steps []step
		for n := range 1 + rand.Intn(4) {
			s := step{"Count": pick(1, 1, 2, 5, 30, 200), "Cpu": pick(0, 1, 500, 2000, 16000, 17000), "MemMb": pick(0, 1, 100, 32768, 33000)}
			set := func(k string, v any) {
				if rand.Intn(4) == 0 {
					s[k] = v
				}
			}
			set("EstimatedMs", pick[any](0, 1e-9, 1e300, 9e15, 1, 300, 1e12))
			set("Gang", true)
			set("SameRack", true)
			set("AntiAffinity", pick(1, 2, 1<<40))
			set("Affinity", pick("r1", "zz", "a"))
			set("Requirements", pick("r1", "zz", "a"))
			set("AllowDuplicates", true)
			set("Fills", true)
			set("Checkpointing", true)
			set("TargetMs", pick[any](0.001, 1e300, 5))
			set("MayMiss", pick(1, 100000))
			set("Image", pick("x", strings.Repeat("é", 3000)))
			set("Gpu", pick(0, 1))
			if n > 0 {
				set("After", pick([]int{0}, []int{0, 0, n - 1}, []int{n - 1}))
			}
			if rand.Intn(10) == 0 {
				s["LongRunning"] = true
			}
			steps = append(steps, s)
		}
		b["Steps"] = steps
		if rand.Intn(3) == 0 {
			b["Repetitions"] = pick(1, 2, 7, 1000, 100000)
			b["StartTimeMs"] = pick(0, -1<<50, time.Now().UnixMilli(), time.Now().UnixMilli()+3000, -1)
			b["IntervalMs"] = pick[any](0, 0.3, 1, 1000, 1e300)
		}
		id := newJobID()
		if s, _ := c.call(c.entries[i%3], http.MethodPost, "/jobs/"+id, b, 3*time.Second); s == 200 {
			ids = append(ids, id)
		}
		if rand.Intn(3) == 0 && len(ids) > 0 {
			c.call(c.entries[i%3], http.MethodDelete, "/jobs/"+pick(ids...), nil, 3*time.Second)
		}
		if i%30 == 29 {
			e := c.entries[rand.Intn(3)]
			_ = e.cmd.Process.Kill()
			<-e.done
			e.start()
		}
	}
	time.Sleep(20 * time.Second)
	states := map[string]int{}
	for i, id := range ids {
		states[c.state(c.entries[i%3], id)]++
	}
	c.record("states %v accepted %d", states, len(ids))
	logs, _ := filepath.Glob(c.dir + "/*.log")
	for _, l := range logs {
		b, _ := os.ReadFile(l)
		for line := range strings.Lines(string(b)) {
			if strings.Contains(line, "panic") || strings.Contains(line, "invariant") || strings.Contains(line, "unreadable\":1") || strings.Contains(line, `"level":"error"`) {
				c.record("%s %.600s", filepath.Base(l), line)
			}
		}
	}
	for _, e := range c.entries {
		c.record("%s peak %.0f", e.name, e.peakMB())
	}
	return false
}
