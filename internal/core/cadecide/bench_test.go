package cadecide_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/cadecide"
	"celeryarch.example/celeryarch/internal/core/casched"
)

// cell is a simulated cell of workers with a backlog. Tasks end and new jobs are
// submitted in their place.
type cell struct {
	s       casched.Scheduler
	rng     *rand.Rand
	now     time.Time
	teams   int
	jobs    int
	running []casched.Placement
	// ending lists the tasks that were asked to checkpoint.
	ending []cawork.TaskRef
}

func randomSpec(rng *rand.Rand) cawork.JobSpec {
	spec := cawork.JobSpec{
		Kind: cawork.WorkKindBatch, Tasks: 1, Idempotent: true,
		Size: cawork.Resources{
			CPU:    cawork.MilliCPU(250 * (1 + rng.Int64N(32))),
			Memory: cawork.Bytes(256*(1+rng.Int64N(64))) * cawork.MiB,
		},
		RunTime: time.Duration(1+rng.IntN(600)) * time.Second,
	}
	switch rng.IntN(20) {
	case 0:
		spec.Kind, spec.Tasks = cawork.WorkKindGang, 2+rng.IntN(8)
	case 1, 2, 3:
		spec.Kind = cawork.WorkKindService
	case 4:
		spec.Urgent = true
	}
	return spec
}

func (c *cell) submit(tb testing.TB) {
	spec := randomSpec(c.rng)
	c.jobs++
	j := cawork.Job{
		ID: cawork.JobID(fmt.Sprintf("j%d", c.jobs)), Team: cawork.TeamName(fmt.Sprintf("team%d", c.jobs%c.teams)),
		Spec: spec, Accepted: c.now,
	}
	if err := c.s.Submit(j, c.now); err != nil {
		tb.Fatal(err)
	}
}

// newCell returns a cell whose workers are full, with the number of queued tasks.
func newCell(tb testing.TB, workers, teams, queued int) *cell {
	p := casched.DefaultPolicy()
	for _, k := range cawork.WorkKindValues() {
		kp := p.Kind(k)
		kp.QueueBound = 1_000_000
		p = p.WithKind(k, kp)
	}
	c := &cell{rng: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1e9, 0), teams: teams}
	c.s = cadecide.New(p, func(v *casched.Violation) { tb.Fatal(v) })
	for i := range workers {
		c.s.PutUpstream(casched.Upstream{
			ID: cawork.UpstreamID(fmt.Sprintf("u%d", i)), Zone: "z", Rack: cawork.RackName(fmt.Sprintf("r%d", i/6)),
			Capacity: cawork.Resources{CPU: cawork.Cores(16), Memory: 32 * cawork.GiB}, Slots: 8, Connections: 64,
		}, c.now)
	}
	for i := range teams {
		c.s.SetAllowance(cawork.TeamName(fmt.Sprintf("team%d", i)), casched.Unlimited(), c.now)
	}
	c.fill(tb, queued)
	return c
}

// fill submits jobs until no more tasks fit and the wanted number is queued.
func (c *cell) fill(tb testing.TB, queued int) {
	for {
		before := c.jobs
		for c.queued() < queued {
			c.submit(tb)
		}
		if c.decide() == 0 && before == c.jobs {
			return
		}
	}
}

func (c *cell) queued() int {
	n := 0
	for i := range c.teams {
		for _, k := range cawork.WorkKindValues() {
			n += c.s.QueueLength(cawork.TeamName(fmt.Sprintf("team%d", i)), k)
		}
	}
	return n
}

func (c *cell) decide() int {
	placed := 0
	for _, d := range c.s.Decide(c.now) {
		if d.Kind == casched.DecisionCheckpoint {
			c.ending = append(c.ending, d.Placements[0].Task)
		}
		if d.Kind == casched.DecisionPlace || d.Kind == casched.DecisionPlaceGang {
			c.running = append(c.running, d.Placements...)
			placed += len(d.Placements)
		}
	}
	return placed
}

// checkpoint ends the tasks that were asked to checkpoint.
func (c *cell) checkpoint() {
	for _, ref := range c.ending {
		c.s.Ended(casched.AttemptEnd{Task: ref, State: cawork.TaskStateCheckpointed}, c.now)
		c.running = slices.DeleteFunc(c.running, func(p casched.Placement) bool { return p.Task == ref })
	}
	c.ending = c.ending[:0]
}

// endOne ends a random running task.
func (c *cell) endOne() {
	i := c.rng.IntN(len(c.running))
	ref := c.running[i].Task
	c.running[i] = c.running[len(c.running)-1]
	c.running = c.running[:len(c.running)-1]
	c.s.Ended(casched.AttemptEnd{Task: ref, State: cawork.TaskStateDone, Elapsed: time.Minute}, c.now)
}

// threadCPU returns the processor time of the calling thread. Unlike wall-clock
// time, it does not include other work on the machine.
func threadCPU(tb testing.TB) time.Duration {
	const clockThreadCPU = 3
	var t syscall.Timespec
	_, _, errno := syscall.RawSyscall(syscall.SYS_CLOCK_GETTIME, clockThreadCPU, uintptr(unsafe.Pointer(&t)), 0)
	if errno != 0 {
		tb.Fatal(errno)
	}
	return time.Duration(t.Nano())
}

// BenchmarkDecide ends a task, calls Decide and submits a job for each placed
// task; one operation is one such round. p50-us and p99-us are the processor time
// of ending the task and of Decide, and placed/op the tasks placed by it.
func BenchmarkDecide(b *testing.B) {
	cases := []struct{ workers, teams, queued int }{
		{50, 6, 1_000},
		{910, 22, 1_000},
		{910, 22, 10_000},
		{910, 22, 100_000},
	}
	for _, k := range cases {
		b.Run(fmt.Sprintf("workers=%d/teams=%d/queued=%d", k.workers, k.teams, k.queued), func(b *testing.B) {
			c := newCell(b, k.workers, k.teams, k.queued)
			b.ReportMetric(float64(len(c.running)), "running")
			durations := make([]time.Duration, 0, b.N)
			placed := 0
			b.ReportAllocs()
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			for b.Loop() {
				c.now = c.now.Add(10 * time.Millisecond)
				start := threadCPU(b)
				c.endOne()
				n := c.decide()
				durations = append(durations, threadCPU(b)-start)
				placed += n
				c.checkpoint()
				for range n {
					c.submit(b)
				}
			}
			slices.Sort(durations)
			b.ReportMetric(float64(durations[len(durations)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(durations[len(durations)*99/100].Microseconds()), "p99-us")
			b.ReportMetric(float64(placed)/float64(len(durations)), "placed/op")
			var sum time.Duration
			for _, d := range durations {
				sum += d
			}
			b.ReportMetric(float64(placed)/sum.Seconds(), "placed/cpu-s")
		})
	}
}

// BenchmarkFill places tasks on an empty cell. One operation is one placement.
func BenchmarkFill(b *testing.B) {
	b.ReportAllocs()
	placed := 0
	for placed < b.N {
		b.StopTimer()
		c := newCell(b, 0, 22, 10_000)
		for i := range 910 {
			c.s.PutUpstream(casched.Upstream{
				ID: cawork.UpstreamID(fmt.Sprintf("u%d", i)), Rack: cawork.RackName(fmt.Sprintf("r%d", i/6)),
				Capacity: cawork.Resources{CPU: cawork.Cores(16), Memory: 32 * cawork.GiB},
			}, c.now)
		}
		b.StartTimer()
		for n := c.decide(); n > 0 && placed < b.N; n = c.decide() {
			placed += n
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(placed), "ns/placement")
}

// BenchmarkCancel cancels queued jobs. One operation is one cancellation.
func BenchmarkCancel(b *testing.B) {
	for _, queued := range []int{10_000, 100_000} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) {
			b.ReportAllocs()
			for done := 0; done < b.N; {
				b.StopTimer()
				c := newCell(b, 0, 22, queued)
				b.StartTimer()
				for i := 0; i < c.jobs && done < b.N; i++ {
					if _, err := c.s.Cancel(cawork.JobID(fmt.Sprintf("j%d", i+1)), c.now); err != nil {
						b.Fatal(err)
					}
					done++
				}
			}
		})
	}
}

// BenchmarkMemory reports the heap size of a full cell for different queue
// lengths.
func BenchmarkMemory(b *testing.B) {
	for _, queued := range []int{1_000, 100_000} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) {
			for b.Loop() {
				before := heapInUse()
				c := newCell(b, 910, 22, queued)
				b.ReportMetric(float64(heapInUse()-before)/1e6, "heap-MB")
				b.ReportMetric(float64(len(c.running)), "running")
				b.ReportMetric(float64(c.queued()), "queued")
			}
		})
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
