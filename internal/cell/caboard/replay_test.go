package caboard

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caobjective"
	"celeryarch.example/celeryarch/internal/cell/caorder"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/cell/castate"
)

// workKind is one kind of jobs in a workload.
type workKind struct {
	queue caspec.Queue
	// rate is the number of jobs per second, and jobValue the value of a job of mean size.
	rate, jobValue float64
	// The sizes of jobs are log-normally distributed with these means. taskSpread is the
	// standard deviation of the logarithm of the number of tasks.
	meanTasks    float64
	meanCPU      float64
	meanMemory   float64
	meanEstimate time.Duration
	taskSpread   float64
	// gangShare is the fraction of jobs that are gangs, and meanSteps the mean number of
	// steps. Apart from the slowness of upstreams, run times differ from their estimates by
	// up to half of estimateError, as a fraction. approvalRate is the fraction of upstreams
	// that the advisor approves.
	gangShare, meanSteps, estimateError, approvalRate float64
	// failureShare is the fraction of gang runs that fail by the fault of the job, after a
	// third of their time.
	failureShare float64
	// tailShare is the fraction of the tasks, or gangs, that run tailFactor times as long.
	tailShare, tailFactor float64
}

// timeSpan is a part of the duration of a workload, in which its conditions differ.
type timeSpan struct {
	from, to time.Duration
}

func (s timeSpan) contains(elapsed time.Duration) bool { return elapsed >= s.from && elapsed < s.to }

// workload describes a cell and the jobs that are submitted to it, drawn from a seed.
type workload struct {
	seed      int64
	upstreams int
	capacity  cawork.Resources
	entries   int
	duration  time.Duration
	kinds     []workKind
	// bursts are the spans in which kinds of jobs, by index, arrive at a higher rate.
	bursts map[int]timeSpan
	// slowness is the ratio of run times to those on an average upstream, one after the
	// other for the upstreams.
	slowness []float64
	// outage is when the store is unavailable.
	outage timeSpan
	// appendLatency is how long the store takes for an append, and slowAppends a span in
	// which it takes slowAppendLatency.
	appendLatency time.Duration
	slowAppends   timeSpan
}

// slowAppendLatency is how long an append takes while the store is slow.
const slowAppendLatency = 700 * time.Millisecond

// outcomeCounts counts the jobs of a kind by their outcome.
type outcomeCounts struct {
	onTime, late, useless, refused, open int
	earnedValue, totalValue              float64
}

// event is a function to call at a time.
type event struct {
	at     time.Duration
	handle func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// replay runs a workload against a planner in virtual time, and drives the planner as a leader
// does.
type replay struct {
	workload  workload
	planner   *Planner
	random    *rand.Rand
	startTime time.Time
	elapsed   time.Duration
	events    events
	// slowness is the ratio of run times on an upstream to those on an average one.
	slowness       map[cawork.UpstreamID]float64
	endNumbers     map[cawork.UpstreamID]int64
	unreportedEnds map[cawork.UpstreamID][]caorder.EndedRun
	running        map[cawork.UpstreamID]map[caorder.RunID]bool
	// entryBusyUntil is when each entry has answered all approval requests sent to it.
	entryBusyUntil []time.Duration
	appendInFlight bool
	kindOfJob      map[cawork.JobID]int
	valueOfJob     map[cawork.JobID]float64
	// submittedAt is when each job was first submitted.
	submittedAt map[cawork.JobID]time.Time
	// durationFactors are the ratios of the run times of a job's steps to their estimates,
	// and objectives the objectives that follow from the real run times.
	durationFactors map[cawork.JobID][]float64
	objectives      map[cawork.JobID]time.Duration
	counts          []outcomeCounts
	// started is called with each start and the slowness of its upstream. It may be nil.
	started func(kind int, slowness float64)
	// lastArrival is when the last job of each kind arrived.
	lastArrival []time.Duration
}

const (
	replayTick     = 20 * time.Millisecond
	callLatency    = 20 * time.Millisecond
	endReportDelay = 50 * time.Millisecond
	reportInterval = time.Second
	// maintenanceInterval is the time between two checks for what changes slowly.
	maintenanceInterval = 100 * time.Millisecond
	// callerAttempts is how often a caller submits a job before it gives up.
	callerAttempts = 5
)

func newReplay(w workload) *replay {
	now := time.Unix(1_000_000, 0)
	r := &replay{
		workload: w, random: rand.New(rand.NewSource(w.seed)), startTime: now, entryBusyUntil: make([]time.Duration, w.entries),
		slowness: make(map[cawork.UpstreamID]float64), endNumbers: make(map[cawork.UpstreamID]int64), unreportedEnds: make(map[cawork.UpstreamID][]caorder.EndedRun),
		running: make(map[cawork.UpstreamID]map[caorder.RunID]bool), kindOfJob: make(map[cawork.JobID]int),
		durationFactors: make(map[cawork.JobID][]float64), objectives: make(map[cawork.JobID]time.Duration),
		valueOfJob: make(map[cawork.JobID]float64), submittedAt: make(map[cawork.JobID]time.Time), counts: make([]outcomeCounts, len(w.kinds)), lastArrival: make([]time.Duration, len(w.kinds)),
	}
	r.planner = New(zerolog.Nop(), w.seed, r.moment(), now)
	r.planner.SetRequestLimits(RequestLimits{Total: 2 * w.entries, Long: max(int(0.6*float64(w.entries)+0.5), 1)})
	policy := caspec.Policy{Version: 1, Pools: []caspec.Pool{{Name: "pool"}}, Teams: []caspec.Team{{Name: "north", Weight: 1e6}}}
	for _, k := range w.kinds {
		policy.Queues = append(policy.Queues, k.queue)
	}
	r.planner.SetPolicy(policy.WithIndex())
	var list []caspec.Upstream
	for i := range w.upstreams {
		id := cawork.UpstreamID(fmt.Sprintf("up-%04d", i))
		list = append(list, caspec.Upstream{ID: id, Address: "a", Pool: "pool", Incarnation: 1, Capacity: w.capacity})
		r.slowness[id] = w.slowness[i%len(w.slowness)]
		r.running[id] = make(map[caorder.RunID]bool)
	}
	r.planner.SetUpstreams(list)
	for i, u := range list {
		r.scheduleEvent(time.Duration(i)*reportInterval/time.Duration(len(list)), func() { r.reportPeriodically(u.ID) })
		r.report(u.ID)
	}
	for i := range w.kinds {
		r.scheduleArrival(i)
	}
	return r
}

func (r *replay) moment() ClockReading {
	now := r.startTime.Add(r.elapsed)
	return ClockReading{Monotonic: now, WallMS: now.UnixMilli()}
}

func (r *replay) scheduleEvent(after time.Duration, handle func()) {
	heap.Push(&r.events, event{at: r.elapsed + after, handle: handle})
}

// reportPeriodically applies a report of an upstream every reportInterval.
func (r *replay) reportPeriodically(id cawork.UpstreamID) {
	r.report(id)
	r.scheduleEvent(reportInterval, func() { r.reportPeriodically(id) })
}

// report applies a report that lists the present runs of an upstream and those that ended
// since the last report.
func (r *replay) report(id cawork.UpstreamID) {
	now := r.moment()
	report := caorder.Report{Upstream: id, Born: 1, SentAt: now.Monotonic, ReceivedAt: now.Monotonic, ClockMS: now.WallMS, Ended: r.unreportedEnds[id]}
	r.unreportedEnds[id] = nil
	for run := range r.running[id] {
		report.Running = append(report.Running, caorder.RunningRun{Run: run, Percent: 100})
	}
	r.planner.ApplyReport(report)
}

// sample returns a log-normally distributed value with the given mean, where spread is the
// standard deviation of its logarithm.
func (r *replay) sample(mean, spread float64) float64 {
	return mean * math.Exp(spread*r.random.NormFloat64()-spread*spread/2)
}

func (r *replay) scheduleArrival(i int) {
	k := r.workload.kinds[i]
	rate := k.rate
	if s, ok := r.workload.bursts[i]; ok && s.contains(r.elapsed) {
		rate *= 1.9
	}
	// The interval begins at the arrival before, not at the tick that handled it.
	r.lastArrival[i] += time.Duration(r.random.ExpFloat64() / rate * float64(time.Second))
	heap.Push(&r.events, event{at: r.lastArrival[i], handle: func() {
		if r.elapsed < r.workload.duration {
			r.arrive(i, k)
			r.scheduleArrival(i)
		}
	}})
}

func (r *replay) arrive(i int, k workKind) {
	id := cawork.JobID(fmt.Sprintf("%016x", len(r.kindOfJob)))
	step := caspec.Step{
		Tasks: max(int(r.sample(k.meanTasks, k.taskSpread)+0.5), 1), CPU: cawork.MilliCPU(min(r.sample(k.meanCPU, 0.4), float64(r.workload.capacity.CPU))),
		Memory: cawork.Bytes(min(r.sample(k.meanMemory, 0.5), 0.5*float64(r.workload.capacity.Memory))), Gang: r.random.Float64() < k.gangShare,
		Estimate: time.Duration(r.sample(float64(k.meanEstimate), 0.5)),
	}
	steps := []caspec.Step{step}
	if r.random.Float64() < k.meanSteps-1 {
		step.After = []int{0}
		steps = append(steps, step)
	}
	work := step.Estimate.Seconds() * float64(step.CPU) * float64(step.Tasks) * float64(len(steps))
	meanWork := k.meanEstimate.Seconds() * k.meanCPU * k.meanTasks * k.meanSteps
	r.kindOfJob[id] = i
	r.valueOfJob[id] = min(0.3+0.7*work/meanWork, 4) * k.jobValue
	r.counts[i].totalValue += r.valueOfJob[id]
	r.submittedAt[id] = r.moment().Monotonic
	r.drawDurations(id, k, steps)
	r.submit(caspec.Submission{ID: id, Queue: k.queue.Name, Team: "north", Steps: steps}, callerAttempts)
}

// drawDurations draws how long the steps of a job really take.
func (r *replay) drawDurations(id cawork.JobID, k workKind, steps []caspec.Step) {
	real := make([]caspec.Step, len(steps))
	for i, s := range steps {
		factor := 1 + k.estimateError*(2*r.random.Float64()-1)/2
		r.durationFactors[id] = append(r.durationFactors[id], factor)
		s.Estimate = time.Duration(float64(s.Estimate) * factor)
		for index := range s.Tasks {
			if r.isInTail(s, caorder.RunID{Job: id, Step: i, Index: index}, k) {
				s.Estimate = time.Duration(float64(s.Estimate) * k.tailFactor)
				break
			}
		}
		real[i] = s
	}
	r.objectives[id] = caobjective.Of(k.queue, real)
}

// submit submits a job. If it is refused and attempts are left, the job is submitted again
// after the delay that the refusal gives.
func (r *replay) submit(s caspec.Submission, attemptsLeft int) {
	_, err := r.planner.Submit(s)
	if r.workload.outage.contains(r.elapsed) {
		r.planner.Withdraw(s.ID)
		q, _ := r.planner.policy.Queue(s.Queue)
		err = cakind.New(cakind.KindUnavailable, "the store is unavailable").WithRetryAfter(caobjective.OutageRetryAfter(q, s.Steps))
	}
	if err == nil {
		return
	}
	if attemptsLeft == 1 {
		r.counts[r.kindOfJob[s.ID]].refused++
		delete(r.kindOfJob, s.ID)
		return
	}
	wait := time.Duration(math.Ceil(max(cakind.RetryAfterOf(err).Seconds(), 1))) * time.Second
	r.scheduleEvent(wait, func() { r.submit(s, attemptsLeft-1) })
}

// run replays the workload until the time, which is after its end, and counts the outcomes.
func (r *replay) run(until time.Duration) {
	for r.elapsed < until {
		for len(r.events) > 0 && r.events[0].at <= r.elapsed {
			e := heap.Pop(&r.events).(event)
			r.planner.SetNow(r.moment())
			e.handle()
		}
		r.planner.SetNow(r.moment())
		r.planner.SetStoreUnavailable(r.workload.outage.contains(r.elapsed))
		if r.elapsed%maintenanceInterval == 0 {
			r.planner.RunMaintenance()
		}
		orders := r.planner.Plan()
		for _, request := range orders.ApprovalRequests {
			r.advise(request)
		}
		for _, stop := range orders.Stops {
			r.scheduleEvent(callLatency, func() { r.stop(stop) })
		}
		r.commit()
		r.elapsed += replayTick
	}
	r.countOutcomes()
}

// advise sends an approval request to the entry that is free first.
func (r *replay) advise(request caorder.ApprovalRequest) {
	entry := 0
	for i := range r.entryBusyUntil {
		if r.entryBusyUntil[i] < r.entryBusyUntil[entry] {
			entry = i
		}
	}
	r.entryBusyUntil[entry] = max(r.entryBusyUntil[entry], r.elapsed) + request.Cost
	approvalRate := r.workload.kinds[r.kindOfJob[request.Job]].approvalRate
	r.scheduleEvent(r.entryBusyUntil[entry]-r.elapsed+4*time.Millisecond, func() {
		var approved []caorder.Approval
		for _, id := range request.Upstreams {
			if approvalSample(request, id) < approvalRate {
				approved = append(approved, caorder.Approval{Upstream: id, Ticket: "t"})
			}
		}
		r.planner.ApplyAdvice(request, approved, true)
	})
}

// approvalSample returns a number from 0 to 1 that decides whether the advisor approves an
// upstream. It is the same for repeated requests.
func approvalSample(request caorder.ApprovalRequest, id cawork.UpstreamID) float64 {
	h := fnv.New32a()
	fmt.Fprintf(h, "%s.%d.%s.seed", request.Job, request.Step, id)
	return float64(h.Sum32()%10007) / 10007
}

func (r *replay) commit() {
	if r.appendInFlight || r.workload.outage.contains(r.elapsed) || !r.planner.HasChanges() {
		return
	}
	batch, err := r.planner.NextBatch()
	if err != nil {
		panic(err)
	}
	r.appendInFlight = true
	latency := r.workload.appendLatency
	if r.workload.slowAppends.contains(r.elapsed) {
		latency = slowAppendLatency
	}
	r.scheduleEvent(latency, func() {
		r.appendInFlight = false
		for _, o := range r.planner.MarkStored(batch) {
			r.scheduleEvent(callLatency, func() { r.start(o) })
		}
	})
}

func (r *replay) start(o caorder.StartOrder) {
	k := r.workload.kinds[r.kindOfJob[o.Run.Job]]
	r.running[o.Upstream][o.Run] = true
	if r.started != nil {
		r.started(r.kindOfJob[o.Run.Job], r.slowness[o.Upstream])
	}
	r.planner.ApplyStartOutcome(o, caorder.StartAccepted, r.moment().WallMS)
	j := r.planner.jobs[o.Run.Job]
	if j == nil || len(j.Submission.Steps) <= o.Run.Step {
		return
	}
	step := j.Submission.Steps[o.Run.Step]
	took := float64(step.Estimate) * r.durationFactors[o.Run.Job][o.Run.Step] * r.slowness[o.Upstream]
	if r.isInTail(step, o.Run, k) {
		took *= k.tailFactor
	}
	if step.Gang && r.gangFails(o.Run, k) {
		r.scheduleEvent(time.Duration(took/3), func() { r.end(o, caorder.EndingFailed) })
		return
	}
	r.scheduleEvent(time.Duration(took), func() { r.end(o, caorder.EndingDone) })
}

// isInTail reports whether the given run, or its gang, takes many times as long as others.
func (r *replay) isInTail(s caspec.Step, run caorder.RunID, k workKind) bool {
	if s.Gang {
		run.Index = 0
	}
	return hashShare("%d.%s.%d.%d.tail", r.workload.seed, run.Job, run.Step, run.Index) < k.tailShare
}

// gangFails reports whether the given run of a gang fails by the fault of its job.
func (r *replay) gangFails(run caorder.RunID, k workKind) bool {
	return hashShare("%d.%s.%d.%d.run", r.workload.seed, run.Job, run.Step, run.Number) < k.failureShare
}

// hashShare returns a number from 0 to 1 that depends on the formatted arguments only.
func hashShare(format string, args ...any) float64 {
	const precision = 1 << 53
	return float64(xxhash.Sum64String(fmt.Sprintf(format, args...))>>11) / precision
}

func (r *replay) end(o caorder.StartOrder, ending caorder.Ending) {
	if !r.running[o.Upstream][o.Run] {
		return
	}
	delete(r.running[o.Upstream], o.Run)
	r.endNumbers[o.Upstream]++
	r.unreportedEnds[o.Upstream] = append(r.unreportedEnds[o.Upstream], caorder.EndedRun{Number: r.endNumbers[o.Upstream], Run: o.Run, Ending: ending})
	r.scheduleEvent(endReportDelay, func() { r.report(o.Upstream) })
}

func (r *replay) stop(o caorder.StopOrder) {
	r.planner.ApplyStopOutcome(o, true)
	r.end(caorder.StartOrder{Run: o.Run, Upstream: o.Upstream}, caorder.EndingStopped)
}

func (r *replay) countOutcomes() {
	for id, i := range r.kindOfJob {
		j, ok := r.planner.jobs[id]
		c := &r.counts[i]
		switch {
		case !ok || j.Phase != castate.PhaseCompleted:
			c.open++
		case j.endedAt.Sub(r.submittedAt[id]) <= r.objectives[id]:
			c.onTime++
			c.earnedValue += r.valueOfJob[id]
		case j.endedAt.Sub(r.submittedAt[id]) <= 3*r.objectives[id]:
			c.late++
			c.earnedValue += 0.2 * r.valueOfJob[id]
		default:
			c.useless++
		}
	}
}

// earnedShare returns the fraction of the total value of a kind that was earned.
func (r *replay) earnedShare(i int) float64 {
	return r.counts[i].earnedValue / r.counts[i].totalValue
}

func (r *replay) logOutcomes(t testing.TB) {
	t.Helper()
	earnedValue, totalValue := 0.0, 0.0
	for i, k := range r.workload.kinds {
		c := r.counts[i]
		earnedValue += c.earnedValue
		totalValue += c.totalValue
		t.Logf("%-8s earned %.3f on time %d late %d useless %d refused %d open %d", k.queue.Name, r.earnedShare(i), c.onTime, c.late, c.useless, c.refused, c.open)
	}
	t.Logf("all      earned %.3f", earnedValue/totalValue)
}

func replayQueue(name string, priority int, stretch float64, allowance, decision, perUpstream time.Duration) caspec.Queue {
	return caspec.Queue{
		Name: caspec.QueueName(name), Pool: "pool", Priority: priority, MaxAttempts: 4, Stretch: stretch, TargetLatency: allowance,
		Approval: &caspec.Approval{FixedCost: decision, CostPerUpstream: perUpstream, Validity: 2500 * time.Millisecond},
	}
}

// mixedWorkload returns a workload of wide gangs (report), small tasks with ample slack
// (palette) and urgent short tasks (lookup), for the given number of upstreams of 16 cores.
// It takes 81 % of their capacity.
func mixedWorkload(upstreams, entries int) workload {
	scale := float64(upstreams) / 540
	return workload{
		seed: 7, upstreams: upstreams, slowness: []float64{0.85, 1.15}, entries: entries, appendLatency: 14 * time.Millisecond, duration: 30 * time.Second,
		capacity: cawork.Resources{CPU: cawork.Cores(16), Memory: 64 * cawork.GiB},
		kinds: []workKind{
			{
				queue: replayQueue("report", 1, 2.2, time.Second, 390*time.Millisecond, 5600*time.Microsecond), rate: 8.32 * scale, jobValue: 6.84,
				meanTasks: 16, meanCPU: 4500, meanMemory: 17e9, meanEstimate: 5 * time.Second, taskSpread: 0.6, gangShare: 1, meanSteps: 1.2, estimateError: 0.9, approvalRate: 0.35,
			},
			{
				queue: replayQueue("palette", 2, 4, 3*time.Second, 140*time.Millisecond, 2*time.Millisecond), rate: 11.1 * scale, jobValue: 3.2,
				meanTasks: 24, meanCPU: 2800, meanMemory: 7.9e9, meanEstimate: 2200 * time.Millisecond, taskSpread: 0.8, gangShare: 0, meanSteps: 1.5, estimateError: 0.2, approvalRate: 0.45,
			},
			{
				queue: replayQueue("lookup", 0, 1.5, 300*time.Millisecond, 13*time.Millisecond, 180*time.Microsecond), rate: 123 * scale, jobValue: 0.405,
				meanTasks: 3, meanCPU: 3900, meanMemory: 8.1e9, meanEstimate: 640 * time.Millisecond, taskSpread: 0.6, gangShare: 0.3, meanSteps: 1, estimateError: 0.2, approvalRate: 0.7,
			},
		},
	}
}

// withRate returns the workload with the rates of all kinds multiplied by the factor.
func (w workload) withRate(factor float64) workload {
	kinds := append([]workKind(nil), w.kinds...)
	for i := range kinds {
		kinds[i].rate *= factor
	}
	w.kinds = kinds
	return w
}

// minServedShare is the fraction of the value of all jobs that users require to be earned on
// days with failures.
const minServedShare = 0.74

// TestReplayedWorkloadsMeetTarget replays workloads with overload, bursts, slow appends and
// an outage of the store. Each kind of jobs, and so all of them together, must earn
// minServedShare.
func TestReplayedWorkloadsMeetTarget(t *testing.T) {
	runWithoutRace(t)
	baseline := mixedWorkload(540, 97)
	slowStore := baseline.withRate(1.08)
	slowStore.slowAppends = timeSpan{3 * time.Second, 8 * time.Second}
	slowStore.bursts = map[int]timeSpan{2: {3 * time.Second, 7 * time.Second}, 0: {23 * time.Second, 27 * time.Second}}
	slowStore.duration = 35 * time.Second
	outage := baseline
	outage.outage = timeSpan{24 * time.Second, 29 * time.Second}
	outage.bursts = map[int]timeSpan{0: {18 * time.Second, 22 * time.Second}}
	tests := map[string]workload{
		"baseline": baseline, "a third more jobs": baseline.withRate(1.3), "slow store and two bursts": slowStore, "store unavailable after a burst": outage,
		"small cell": mixedWorkload(48, 8),
	}
	for name, w := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newReplay(w)
			r.run(w.duration + 30*time.Second)
			r.logOutcomes(t)
			for i, k := range w.kinds {
				if share := r.earnedShare(i); share < minServedShare {
					t.Errorf("%s: %.3f of the value is earned, want %.2f", k.queue.Name, share, minServedShare)
				}
			}
		})
	}
}
