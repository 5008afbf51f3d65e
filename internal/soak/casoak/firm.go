package casoak

import (
	"context"
	"fmt"
	"maps"
	"math"
	"math/rand"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caboard"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/cell/castate"
	"celeryarch.example/celeryarch/platform"
	"celeryarch.example/celeryarch/platform/standin"
)

type logNormal struct{ mean, spread, most float64 }

func (l logNormal) draw(r *rand.Rand) float64 {
	return min(l.mean*math.Exp(l.spread*r.NormFloat64()-l.spread*l.spread/2), l.most)
}

type firmKind struct {
	queue                        caspec.Queue
	weight                       float64
	steps, tasks, cpu, mem, work logNormal
	gang, share, estimateOff     float64
	spread, cancel, fails        float64
}

func approval(fixedMS, perMS float64) *caspec.Approval {
	return &caspec.Approval{FixedCost: time.Duration(fixedMS * 1e6), CostPerUpstream: time.Duration(perMS * 1e6), Validity: 2 * time.Second}
}

func firmKinds() []firmKind {
	q := func(name string, priority, attempts int, stretch float64, target time.Duration, a *caspec.Approval) caspec.Queue {
		return caspec.Queue{Name: caspec.QueueName(name), Host: "soak.example", Prefix: "/" + name + "/", Pool: poolName, Priority: priority, MaxAttempts: attempts, Stretch: stretch, TargetLatency: target, Approval: a}
	}
	return []firmKind{
		{queue: q("pairing", 1, 3, 2.2, time.Second, approval(410, 5.9)), weight: 1.8, steps: logNormal{1.2, 0.4, 3}, tasks: logNormal{8, 0.8, 48}, cpu: logNormal{9000, 0.4, 15000}, mem: logNormal{26000, 0.5, 52000}, work: logNormal{4000, 0.5, 10000}, gang: 1, share: 0.35, estimateOff: 0.9, fails: 0.05},
		{queue: q("screen", 2, 3, 4, 3*time.Second, approval(82, 1.2)), weight: 4.35, steps: logNormal{1.5, 0.4, 3.8}, tasks: logNormal{10, 0.8, 60}, cpu: logNormal{2000, 0.45, 5900}, mem: logNormal{4000, 0.6, 12000}, work: logNormal{3400, 0.5, 8400}, share: 0.45, estimateOff: 0.5, spread: 0.12, cancel: 0.05, fails: 0.005},
		{queue: q("lookup", 0, 4, 1.5, 250*time.Millisecond, approval(12, 0.17)), weight: 30.8, steps: logNormal{1, 0, 2.5}, tasks: logNormal{2, 0.8, 12}, cpu: logNormal{2800, 0.45, 8400}, mem: logNormal{8000, 0.6, 24000}, work: logNormal{1000, 0.5, 2500}, gang: 0.3, share: 0.7, estimateOff: 0.9, fails: 0.005},
	}
}

func (k firmKind) submission(r *rand.Rand, id cawork.JobID) (caspec.Submission, []float64) {
	s := caspec.Submission{ID: id, Queue: k.queue.Name, Team: teamName}
	n := max(1, int(k.steps.draw(r)+0.5))
	var factors []float64
	for i := range n {
		step := caspec.Step{
			Tasks: max(1, int(k.tasks.draw(r)+0.5)), CPU: cawork.MilliCPU(max(k.cpu.draw(r), 100)), Memory: cawork.Bytes(max(k.mem.draw(r), 64)) * cawork.MiB,
			Estimate: time.Duration(k.work.draw(r)+50) * time.Millisecond, Gang: r.Float64() < k.gang,
		}
		if !step.Gang && r.Float64() < k.spread {
			step.MaxPerUpstream = 1 + r.Intn(3)
		}
		if i > 0 && r.Intn(2) == 0 {
			step.After = []int{i - 1}
		}
		factors = append(factors, 1+k.estimateOff*(r.Float64()*2-1)*0.5)
		s.Steps = append(s.Steps, step)
	}
	return s, factors
}

type firmJob struct {
	kind    firmKind
	spec    caspec.Submission
	factors []float64
	state   outcome
	since   map[int]time.Time
}

type firm struct {
	cell   *cell
	kinds  []firmKind
	caller *platform.Caller
	mu     sync.Mutex
	jobs   map[cawork.JobID]*firmJob
	calls  sync.WaitGroup
	report strings.Builder
}

func (f *firm) job(id cawork.JobID) *firmJob {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.jobs[id]
}

func (f *firm) stepOf(id caboard.RunID) caspec.Step { return f.job(id.Job).spec.Steps[id.Step] }

func (f *firm) submitLoop(ctx context.Context, rate float64, r *rand.Rand) {
	total := 0.0
	for _, k := range f.kinds {
		total += k.weight
	}
	n := 0
	for f.cell.timer.Pause(ctx, time.Duration(r.ExpFloat64()/rate*1e9)) == nil {
		n++
		at := r.Float64() * total
		k := f.kinds[len(f.kinds)-1]
		for _, kind := range f.kinds {
			if at -= kind.weight; at < 0 {
				k = kind
				break
			}
		}
		id := cawork.JobID(fmt.Sprintf("%016x", n))
		s, factors := k.submission(r, id)
		j := &firmJob{kind: k, spec: s, factors: factors, since: make(map[int]time.Time)}
		f.mu.Lock()
		f.jobs[id] = j
		f.mu.Unlock()
		random := rand.New(rand.NewSource(r.Int63()))
		f.calls.Go(func() { f.submit(j, random) })
	}
}

func (f *firm) set(j *firmJob, o outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	j.state = o
}

func (f *firm) call(r *rand.Rand, do func(ctx context.Context, address string) platform.CallResult) platform.CallResult {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout+time.Second)
	defer cancel()
	return do(ctx, f.cell.nodes[r.Intn(len(f.cell.nodes))].address(portFront))
}

func (f *firm) submit(j *firmJob, r *rand.Rand) {
	for range maxAttempts {
		a := f.call(r, func(ctx context.Context, address string) platform.CallResult {
			return f.caller.Submit(ctx, address, j.kind.queue, j.spec)
		})
		if a.IsAccepted() {
			f.set(j, outcomeAccepted)
			break
		}
		f.mu.Lock()
		if a.IsRejected() && j.state == outcomeUnknown {
			j.state = outcomeRejected
		} else if !a.IsRejected() {
			j.state = outcomeUnknown
		}
		f.mu.Unlock()
		time.Sleep(max(retryDelay, a.RetryAfter))
	}
	if j.state == outcomeAccepted && r.Float64() < j.kind.cancel {
		time.Sleep(time.Duration(r.Int63n(int64(maxCancelDelay))))
		f.set(j, outcomeUnknown)
		for range maxAttempts {
			a := f.call(r, func(ctx context.Context, address string) platform.CallResult {
				return f.caller.Cancel(ctx, address, j.kind.queue, j.spec.ID)
			})
			if a.IsAccepted() {
				f.set(j, outcomeCanceled)
				return
			}
			time.Sleep(retryDelay)
		}
	}
}

// stuck returns the steps that wait with room twice over.
func (f *firm) stuck(advisor *standin.TurnAdvisor, capacity cawork.MilliCPU, open map[cawork.JobID]bool) []string {
	v := f.cell.fleet.View()
	if v.Used.CPU*2 > capacity {
		return nil
	}
	f.mu.Lock()
	jobs := maps.Clone(f.jobs)
	accepted := make(map[cawork.JobID]bool)
	for id, j := range jobs {
		accepted[id] = j.state == outcomeAccepted
	}
	f.mu.Unlock()
	var list []string
	running := make(map[cawork.JobID]int)
	for s, n := range v.Running {
		running[s.Job] += n
	}
	for id, j := range jobs {
		if !accepted[id] || !open[id] {
			continue
		}
		for i, step := range j.spec.Steps {
			name := standin.StepName{Job: id, Step: i}
			ready := running[id] == 0 && f.left(v, name, step) > 0
			for _, before := range step.After {
				ready = ready && f.left(v, standin.StepName{Job: id, Step: before}, j.spec.Steps[before]) == 0
			}
			needed := 2
			if step.Gang {
				needed = 2 * step.Tasks
			}
			places := 0
			for up, free := range v.Free {
				if advisor.Approves(name, up) {
					places += fitting(free, step)
				}
			}
			if !ready || places < needed {
				delete(j.since, i)
				continue
			}
			if j.since[i].IsZero() {
				j.since[i] = time.Now()
			}
			if waits := time.Since(j.since[i]); waits > 3*time.Second {
				list = append(list, fmt.Sprintf("%s step %d of %s waits %v: %d tasks gang %v left %d places %d cpu %d per %d", id, i, j.kind.queue.Name, waits.Round(100*time.Millisecond), step.Tasks, step.Gang, f.left(v, name, step), places, step.CPU, step.MaxPerUpstream))
			}
		}
	}
	slices.Sort(list)
	return list
}

func (f *firm) left(v standin.View, name standin.StepName, s caspec.Step) int {
	return s.Tasks - v.Done[name]
}

func fitting(free cawork.Resources, s caspec.Step) int {
	n := min(int64(free.CPU)/int64(s.CPU), int64(free.Memory)/int64(s.Memory))
	if s.MaxPerUpstream > 0 {
		n = min(n, int64(s.MaxPerUpstream))
	}
	return int(max(n, 0))
}

// RunFirm runs a trial.
func RunFirm(ctx context.Context, o Options) (string, error) {
	f := &firm{kinds: firmKinds(), caller: platform.NewCaller(teamKey, callTimeout), jobs: make(map[cawork.JobID]*firmJob)}
	advisor := standin.NewTurnAdvisor(func(s standin.StepName) standin.Terms {
		j := f.job(s.Job)
		return standin.Terms{Approval: *j.kind.queue.Approval, Share: j.kind.share}
	})
	capacity := cawork.Resources{CPU: cawork.Cores(32), Memory: 128 * cawork.GiB}
	c, err := newFirmCell(ctx, o, f, advisor, capacity)
	defer c.close()
	if err != nil {
		return "", err
	}
	f.cell = c
	c.fleet.SetSizes(func(id caboard.RunID) cawork.Resources { return f.stepOf(id).Size() })
	c.fleet.SetTickets(func(s caboard.StartOrder) bool { return advisor.IsValid(s.Run, s.Upstream, s.Ticket) })
	c.fleet.SetRunTime(func(id caboard.RunID) (time.Duration, bool) {
		j := f.job(id.Job)
		r := rand.New(rand.NewSource(int64(len(id.Job)) + int64(id.Index)*31 + int64(id.Number)*7 + int64(id.Job[15])*131 + int64(id.Job[14])*1313))
		return time.Duration(float64(j.spec.Steps[id.Step].Estimate) * j.factors[id.Step]), r.Float64() < j.kind.fails/float64(max(1, map[bool]int{true: j.spec.Steps[id.Step].Tasks}[j.spec.Steps[id.Step].Gang]))
	})
	c.fleet.SetGangs(func(id caboard.RunID) int {
		if s := f.stepOf(id); s.Gang {
			return s.Tasks
		}
		return 0
	})
	if err := c.startNodes(ctx); err != nil {
		return "", err
	}
	l := newOutcomeLog()
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	go c.watchViolations(watchCtx, l)
	go c.watchRegistrations(watchCtx)
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	rate := 33.0
	if v := os.Getenv("TRIAL_RATE"); v != "" {
		fmt.Sscan(v, &rate)
	}
	go f.submitLoop(loadCtx, rate, rand.New(rand.NewSource(o.Seed)))
	began := time.Now()
	mode := os.Getenv("TRIAL_FAULT")
	if strings.Contains(mode, "plan") {
		_ = c.runPlan(ctx, NewPlan(o.Seed, o.Duration, o.Nodes, o.Upstreams), l)
	}
	_ = c.timer.Pause(ctx, o.Duration-time.Since(began))
	if strings.Contains(mode, "kill") || strings.Contains(mode, "power") {
		for _, n := range c.nodes {
			n.beginDown(syscall.SIGKILL)
		}
		if strings.Contains(mode, "power") {
			c.fleet.LosePower(time.Second)
		}
		_ = c.timer.Pause(ctx, time.Second)
		for _, n := range c.nodes {
			_ = n.endDown()
		}
	}
	for _, n := range c.nodes {
		n.resume()
		n.storeProxy.SetFault(LinkNone)
		n.peerProxy.SetFault(LinkNone)
	}
	for _, link := range c.upstreamProxies {
		link.SetFault(LinkNone)
	}
	c.store.SetFault(func(string) standin.Fault { return standin.FaultNone })
	_ = c.timer.Pause(ctx, 12*time.Second)
	stopLoad()
	ended := time.Now()
	total := capacity.CPU * cawork.MilliCPU(o.Upstreams)
	for time.Since(ended) < 30*time.Second {
		open := f.open(ctx)
		stuck := f.stuck(advisor, total, open)
		if len(open) == 0 {
			break
		}
		v := c.fleet.View()
		fmt.Fprintf(&f.report, "%v after the load: open %d, used %.2f, stuck %d\n", time.Since(ended).Round(100*time.Millisecond), len(open), float64(v.Used.CPU)/float64(total), len(stuck))
		if time.Since(ended) > 14*time.Second {
			for _, s := range stuck {
				fmt.Fprintf(&f.report, "   LOST %s\n", s)
			}
		}
		_ = c.timer.Pause(ctx, 500*time.Millisecond)
	}
	counts := make(map[string]int)
	f.mu.Lock()
	for _, j := range f.jobs {
		counts[fmt.Sprintf("%s %d", j.kind.queue.Name, j.state)]++
	}
	f.mu.Unlock()
	fmt.Fprintf(&f.report, "counts (0 unknown 1 accepted 2 rejected 3 canceled) %v\nadvisor %s\nviolations %v\n", counts, advisor.Use(), l.violationList())
	return f.report.String(), nil
}

func (f *firm) open(ctx context.Context) map[cawork.JobID]bool {
	f.mu.Lock()
	var list []*firmJob
	for _, j := range f.jobs {
		if j.state == outcomeAccepted {
			list = append(list, j)
		}
	}
	f.mu.Unlock()
	v := f.cell.fleet.View()
	open := make(map[cawork.JobID]bool)
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, 16)
	for _, j := range list {
		left := 0
		for i, s := range j.spec.Steps {
			left += f.left(v, standin.StepName{Job: j.spec.ID, Step: i}, s)
		}
		if left == 0 {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			cctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			a := f.caller.Phase(cctx, f.cell.nodes[0].address(portFront), j.kind.queue, j.spec.ID)
			if a.IsAccepted() && (a.Phase == castate.PhaseQueued || a.Phase == castate.PhaseRunning) {
				mu.Lock()
				open[j.spec.ID] = true
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return open
}

func newFirmCell(ctx context.Context, o Options, f *firm, advisor *standin.TurnAdvisor, capacity cawork.Resources) (*cell, error) {
	c := &cell{timer: catimer.NewService(), store: standin.NewStore(storeAppendDelay)}
	c.fleet = standin.NewFleet(o.Upstreams, capacity, taskSize,
		func(i int) cawork.UpstreamID { return cawork.UpstreamID(fmt.Sprintf("upstream-%d", i)) })
	c.fleet.SetCapacityBound(capacityBound)
	c.emulator = &platform.Emulator{Store: c.store, Fleet: c.fleet, Turns: advisor}
	servicesIP := loopbackIP(o.RunIndex, o.Nodes)
	if err := c.serve(servicesIP, portStoreServer, c.emulator.StoreHandler()); err != nil {
		return c, err
	}
	if err := c.serveUpstreams(servicesIP, o.Upstreams); err != nil {
		return c, err
	}
	if err := c.registerUpstreams(ctx); err != nil {
		return c, err
	}
	policy := caspec.Policy{Version: 1, Pools: []caspec.Pool{{Name: poolName}}, Teams: []caspec.Team{{Name: teamName, Weight: 1000, Keys: []string{teamKey}}}}
	for _, k := range f.kinds {
		policy.Queues = append(policy.Queues, k.queue)
	}
	c.policy = policy
	c.policyVersion = 1
	if err := c.emulator.Configure(ctx, policy); err != nil {
		return c, err
	}
	var seeds []string
	for i := range min(o.Nodes, 3) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", loopbackIP(o.RunIndex, i), portPeerProxy))
	}
	for i := range o.Nodes {
		ip, name := loopbackIP(o.RunIndex, i), fmt.Sprintf("node-%d", i)
		caller := name
		if os.Getenv("TRIAL_ONE_CALLER") != "" {
			caller = "all"
		}
		if err := c.serve(ip, portAdvisor, c.emulator.AdvisorHandler(caller)); err != nil {
			return c, err
		}
		n, err := newNode(o.Dir, ip, name, fmt.Sprintf("%s:%d", servicesIP, portStoreServer), fmt.Sprintf("%s:%d", ip, portAdvisor), seeds, o.programsOf(i), o.Env)
		if err != nil {
			return c, err
		}
		c.nodes = append(c.nodes, n)
	}
	return c, nil
}
