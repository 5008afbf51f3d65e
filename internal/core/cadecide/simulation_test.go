package cadecide_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/cadecide"
	"celeryarch.example/celeryarch/internal/core/casched"
)

// mix describes a workload and the workers that it runs on.
type mix struct {
	name     string
	worker   cawork.Resources
	rackSize int
	zones    int
	weights  []int
	// teamParts are the fractions of the arriving jobs by team.
	teamParts []float64
	// load is the offered load as a fraction of the capacity of the cell.
	load float64
	// batch, gang and service are the fractions of the arriving jobs, look-ups
	// apart, by kind.
	batch, gang, service float64
	// lookup is the fraction of look-ups among the arriving jobs.
	lookup float64
	// accelerated is the fraction of batch jobs and gangs that need accelerators.
	accelerated float64
	// One in acceleratorEvery workers has accelerators; zero means none has.
	acceleratorEvery int
	accelerators     int64
}

// haugland is mostly batch work; lettergrove has larger workers and many gangs.
var (
	haugland = mix{
		name: "haugland", worker: cawork.Resources{CPU: cawork.Cores(16), Memory: 32 * cawork.GiB},
		rackSize: 6, zones: 4, weights: []int{4, 3, 1, 1, 1, 1}, teamParts: []float64{.3, .25, .15, .1, .1, .1},
		load: .85, batch: .9, gang: .05, service: .05,
	}
	lettergrove = mix{
		name: "lettergrove", worker: cawork.Resources{CPU: cawork.Cores(32), Memory: 128 * cawork.GiB},
		rackSize: 8, zones: 3, weights: []int{2, 1, 1, 1, 1, 1}, teamParts: []float64{.5, .2, .1, .1, .05, .05},
		load: .85, batch: .55, gang: .4, service: .05,
	}
)

// withAllKinds returns the mix with look-ups and accelerated work added, and with
// accelerators on a fifth of the workers.
func (m mix) withAllKinds(accelerated float64) mix {
	m.name += "_whole"
	m.lookup, m.accelerated = .3, accelerated
	m.acceleratorEvery, m.accelerators = 5, 4
	return m
}

// acceleratorKind is the kind of all accelerators in a mix.
const acceleratorKind = "a1"

// upstream returns worker i.
func (m mix) upstream(i int) casched.Upstream {
	u := casched.Upstream{
		ID:   cawork.UpstreamID(fmt.Sprintf("u%d", i)),
		Zone: cawork.ZoneName(fmt.Sprintf("z%d", i%m.zones)), Rack: cawork.RackName(fmt.Sprintf("r%d", i/m.rackSize)),
		Capacity: m.worker, Slots: 8, Connections: 64,
	}
	if m.acceleratorEvery > 0 && i%m.acceleratorEvery == 0 {
		u.Capacity.Accelerators, u.AcceleratorKind = m.accelerators, acceleratorKind
	}
	return u
}

const (
	mixWorkers    = 50
	mixDuration   = 2 * time.Hour
	usagePeriod   = 30 * time.Second
	checkpointLag = 2 * time.Second
	mixSeeds      = 4
	// backloggedAfter is the number of consecutive samples with queued tasks, ten
	// median run times, after which a team counts as backlogged.
	backloggedAfter = 20
)

// trueJob is a job with its actual usage and run time, which differ from the
// declared ones.
type trueJob struct {
	job     cawork.Job
	used    cawork.Resources
	runTime time.Duration
}

// event is the end of an attempt of a task.
type event struct {
	at          time.Time
	task        cawork.TaskRef
	state       cawork.TaskState
	startNumber int
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// runningTask is a running attempt of a task. Start numbers distinguish it from
// earlier attempts, whose events are ignored.
type runningTask struct {
	startNumber int
	since       time.Time
}

// simulation runs a mix against a scheduler in virtual time.
type simulation struct {
	tb                testing.TB
	mix               mix
	scheduler         casched.Scheduler
	rng               *rand.Rand
	now               time.Time
	events            events
	trueJobs          map[cawork.JobID]trueJob
	running           map[cawork.TaskRef]runningTask
	remainingRunTimes map[cawork.TaskRef]time.Duration
	everStarted       map[cawork.TaskRef]bool
	nextUsageReport   time.Time
	jobs              int
	starts            int
	waits             map[cawork.WorkKind][]float64
	urgentWaits       []float64
	// waitBound is the limit on the predicted wait of batch work, zero when there
	// is none. With a limit, refusals are the jobs that were refused, which are
	// queued nevertheless, and firstWaits the waits of the first task of each batch
	// job.
	waitBound  time.Duration
	refusals   map[cawork.JobID]bool
	firstWaits map[cawork.JobID]time.Duration
	// acceleratedWaits are the waits of tasks that need accelerators.
	acceleratedWaits []float64
	// offeredAcceleratorSeconds is the accelerator time that the jobs need.
	offeredAcceleratorSeconds float64
	checkpoints               int
	decisions                 int
	decideTime                time.Duration
	usedSum                   float64
	samples                   int
	backloggedSamples         [6]int
	shareErrorSum             float64
	shareErrorCount           int
	// driftSum is the sum of the signed share errors of each team.
	driftSum   [6]float64
	driftCount [6]int
}

func newSimulation(tb testing.TB, m mix, p casched.Policy, seed uint64) *simulation {
	sim := &simulation{
		tb: tb, mix: m, rng: rand.New(rand.NewPCG(seed, 11)), now: start, trueJobs: map[cawork.JobID]trueJob{},
		running: map[cawork.TaskRef]runningTask{}, remainingRunTimes: map[cawork.TaskRef]time.Duration{},
		everStarted: map[cawork.TaskRef]bool{}, waits: map[cawork.WorkKind][]float64{},
		waitBound: p.Kind(cawork.WorkKindBatch).WaitBound,
		refusals:  map[cawork.JobID]bool{}, firstWaits: map[cawork.JobID]time.Duration{},
	}
	for i, w := range m.weights {
		p = p.WithTeam(sim.team(i), casched.TeamPolicy{Weight: w, Limit: casched.Unlimited()})
	}
	sim.scheduler = cadecide.New(p, func(v *casched.Violation) { tb.Fatal(v) })
	for i := range mixWorkers {
		sim.scheduler.PutUpstream(m.upstream(i), sim.now)
	}
	for i := range m.weights {
		sim.scheduler.SetAllowance(sim.team(i), casched.Unlimited(), sim.now)
	}
	return sim
}

func (sim *simulation) team(i int) cawork.TeamName { return cawork.TeamName(fmt.Sprintf("team%d", i)) }

// draw returns a random job whose declared sizes and run times are inaccurate.
func (sim *simulation) draw() trueJob {
	r := sim.rng
	if sim.mix.lookup > 0 && r.Float64() < sim.mix.lookup {
		return sim.drawLookup()
	}
	spec := cawork.JobSpec{Kind: cawork.WorkKindBatch, Tasks: 1 + r.IntN(12), Idempotent: true}
	t := trueJob{runTime: time.Duration(60 * math.Exp(r.NormFloat64()) * float64(time.Second))}
	t.used = cawork.Resources{
		CPU:    cawork.MilliCPU(500 * (1 + r.Int64N(6))),
		Memory: cawork.Bytes(512*(1+r.Int64N(12))) * cawork.MiB,
	}
	switch x := r.Float64(); {
	case x < sim.mix.gang:
		spec.Kind, spec.Tasks = cawork.WorkKindGang, 4+r.IntN(16)
	case x < sim.mix.gang+sim.mix.service:
		spec.Kind, spec.Tasks = cawork.WorkKindService, 1+r.IntN(4)
		t.runTime = 10 * time.Minute
	case r.IntN(20) == 0:
		spec.Urgent, spec.Tasks = true, 1
	}
	team := sim.pickTeam()
	overstatement := float64(1+team%4) * math.Exp(.2*r.NormFloat64())
	spec.Size = cawork.Resources{
		CPU:    cawork.MilliCPU(float64(t.used.CPU) * overstatement),
		Memory: cawork.Bytes(float64(t.used.Memory) * overstatement),
	}
	if !spec.Size.Fits(sim.mix.worker) {
		spec.Size = t.used
	}
	spec.RunTime = time.Duration(float64(t.runTime) * math.Exp(r.NormFloat64()) * 3)
	if sim.mix.accelerated > 0 && spec.Kind != cawork.WorkKindService && r.Float64() < sim.mix.accelerated {
		spec.Size.Accelerators = 1 + r.Int64N(2)
		spec.Tasks = min(spec.Tasks, 4)
		spec.Constraints.AcceleratorKind = acceleratorKind
		t.used.Accelerators = spec.Size.Accelerators
	}
	t.job = cawork.Job{Spec: spec, Team: sim.team(team), Accepted: sim.now}
	return t
}

// drawLookup returns a random look-up; the median run time is 0.3 s.
func (sim *simulation) drawLookup() trueJob {
	r := sim.rng
	t := trueJob{
		used:    cawork.Resources{CPU: 250, Memory: 128 * cawork.MiB},
		runTime: time.Duration(.3 * math.Exp(r.NormFloat64()/2) * float64(time.Second)),
	}
	t.job = cawork.Job{Team: sim.team(sim.pickTeam()), Accepted: sim.now, Spec: cawork.JobSpec{
		Kind: cawork.WorkKindLookup, Tasks: 1, Size: t.used, RunTime: t.runTime, Idempotent: true,
	}}
	return t
}

func (sim *simulation) pickTeam() int {
	x := sim.rng.Float64()
	for i, p := range sim.mix.teamParts {
		if x -= p; x < 0 {
			return i
		}
	}
	return 0
}

// upstreamSeconds returns the total run time of the job's tasks, in seconds of a
// full worker, by their dominant share of one.
func (sim *simulation) upstreamSeconds(t trueJob) float64 {
	return t.runTime.Seconds() * float64(t.job.Spec.Tasks) * t.used.DominantShare(sim.mix.worker)
}

// arrivals draws jobs until they reach the offered load, and returns them by time
// of acceptance.
func (sim *simulation) arrivals() []trueJob {
	target := mixWorkers * sim.mix.load * mixDuration.Seconds()
	var out []trueJob
	for sum := 0.0; sum < target; {
		t := sim.draw()
		out = append(out, t)
		sum += sim.upstreamSeconds(t)
	}
	for i := range out {
		out[i].job.Accepted = start.Add(time.Duration(sim.rng.Float64() * float64(mixDuration)))
		out[i].job.ID = cawork.JobID(fmt.Sprintf("j%d", i))
	}
	slices.SortFunc(out, func(a, b trueJob) int { return a.job.Accepted.Compare(b.job.Accepted) })
	return out
}

func (sim *simulation) run() {
	for _, t := range sim.arrivals() {
		sim.advance(t.job.Accepted)
		sim.trueJobs[t.job.ID] = t
		sim.offeredAcceleratorSeconds += float64(t.used.Accelerators*int64(t.job.Spec.Tasks)) * t.runTime.Seconds()
		if err := sim.scheduler.Submit(t.job, sim.now); err != nil {
			sim.queueRefused(t.job, err)
		}
		sim.decide()
	}
	sim.advance(start.Add(mixDuration))
	if err := sim.scheduler.Check(); err != nil {
		sim.tb.Fatal(err)
	}
}

// queueRefused records that the job was refused and queues it nevertheless, to
// find out how long it would have waited. Without a limit on predicted waits, a
// refusal fails the test.
func (sim *simulation) queueRefused(j cawork.Job, err error) {
	if sim.waitBound == 0 || cakind.Of(err) != cakind.KindOverloaded {
		sim.tb.Fatal(err)
	}
	sim.refusals[j.ID] = true
	if err := sim.scheduler.Restore(casched.RestoredJob{Job: j}, sim.now); err != nil {
		sim.tb.Fatal(err)
	}
}

// advance handles the events up to the time.
func (sim *simulation) advance(to time.Time) {
	for len(sim.events) > 0 && !sim.events[0].at.After(to) {
		e := heap.Pop(&sim.events).(event)
		if p, ok := sim.running[e.task]; !ok || p.startNumber != e.startNumber {
			continue
		}
		sim.now = e.at
		sim.reportUsage()
		sim.end(e)
		sim.decide()
	}
	sim.now = to
}

func (sim *simulation) end(e event) {
	t, ran := sim.trueJobs[e.task.Job], sim.now.Sub(sim.running[e.task].since)
	delete(sim.running, e.task)
	if e.state == cawork.TaskStateCheckpointed {
		sim.remainingRunTimes[e.task] = max(0, sim.remainingRunTime(e.task)-ran)
	}
	sim.scheduler.Ended(casched.AttemptEnd{Task: e.task, State: e.state, Used: t.used, Elapsed: ran}, sim.now)
}

func (sim *simulation) remainingRunTime(ref cawork.TaskRef) time.Duration {
	if d, ok := sim.remainingRunTimes[ref]; ok {
		return d
	}
	return sim.trueJobs[ref.Job].runTime
}

func (sim *simulation) decide() {
	for {
		began := time.Now()
		ds := sim.scheduler.Decide(sim.now)
		sim.decideTime += time.Since(began)
		sim.decisions += len(ds)
		for _, d := range ds {
			sim.apply(d)
		}
		if len(ds) == 0 {
			return
		}
	}
}

func (sim *simulation) apply(d casched.Decision) {
	switch d.Kind {
	case casched.DecisionPlace, casched.DecisionPlaceGang:
		for _, p := range d.Placements {
			sim.start(d, p)
		}
	case casched.DecisionCheckpoint:
		sim.checkpoints++
		ref := d.Placements[0].Task
		heap.Push(&sim.events, event{sim.now.Add(checkpointLag), ref, cawork.TaskStateCheckpointed, sim.running[ref].startNumber})
	}
}

func (sim *simulation) start(d casched.Decision, p casched.Placement) {
	sim.starts++
	sim.running[p.Task] = runningTask{sim.starts, sim.now}
	heap.Push(&sim.events, event{sim.now.Add(sim.remainingRunTime(p.Task)), p.Task, cawork.TaskStateDone, sim.starts})
	if sim.everStarted[p.Task] {
		return
	}
	sim.everStarted[p.Task] = true
	if _, ok := sim.firstWaits[d.Job]; !ok && sim.waitBound > 0 && d.WorkKind == cawork.WorkKindBatch {
		sim.firstWaits[d.Job] = d.Waited
	}
	if sim.trueJobs[d.Job].job.Spec.Urgent {
		sim.urgentWaits = append(sim.urgentWaits, d.Waited.Seconds())
		return
	}
	if p.Size.Accelerators > 0 {
		sim.acceleratedWaits = append(sim.acceleratedWaits, d.Waited.Seconds())
		return
	}
	sim.waits[d.WorkKind] = append(sim.waits[d.WorkKind], d.Waited.Seconds())
}

// reportUsage reports the usage of all running tasks once per usagePeriod, and
// samples the utilization and the shares.
func (sim *simulation) reportUsage() {
	if sim.now.Before(sim.nextUsageReport) {
		return
	}
	sim.nextUsageReport = sim.now.Add(usagePeriod)
	var refs []cawork.TaskRef
	used := 0.0
	for ref := range sim.running {
		refs = append(refs, ref)
		used += sim.trueJobs[ref.Job].used.DominantShare(sim.mix.worker)
	}
	slices.SortFunc(refs, compareRefs)
	for _, ref := range refs {
		sim.scheduler.ReportUsage(ref, sim.trueJobs[ref.Job].used, sim.now)
	}
	sim.usedSum += used / mixWorkers
	sim.samples++
	sim.sampleShares()
}

// sampleShares adds the relative differences of the weighted shares of the
// backlogged teams from their mean.
func (sim *simulation) sampleShares() {
	total := sim.scheduler.Capacity()
	sum, weights := 0.0, 0.0
	shares := map[int]float64{}
	for i, w := range sim.mix.weights {
		backlog := 0
		for _, k := range cawork.WorkKindValues() {
			backlog += sim.scheduler.QueueLength(sim.team(i), k)
		}
		if backlog == 0 {
			sim.backloggedSamples[i] = 0
			continue
		}
		if sim.backloggedSamples[i]++; sim.backloggedSamples[i] < backloggedAfter {
			continue
		}
		share := 0.0
		for _, u := range sim.scheduler.TeamUses() {
			if u.Team == sim.team(i) {
				share = u.Use.DominantShare(total)
			}
		}
		shares[i] = share / float64(w)
		sum += share
		weights += float64(w)
	}
	if len(shares) < 2 {
		return
	}
	for i := range sim.mix.weights {
		if share, ok := shares[i]; ok {
			shareError := share*weights/sum - 1
			sim.shareErrorSum += math.Abs(shareError)
			sim.shareErrorCount++
			sim.driftSum[i] += shareError
			sim.driftCount[i]++
		}
	}
}

func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[min(len(v)-1, int(q*float64(len(v))))]
}

// merge adds the results of another run.
func (sim *simulation) merge(o *simulation) {
	for k, w := range o.waits {
		sim.waits[k] = append(sim.waits[k], w...)
	}
	sim.urgentWaits = append(sim.urgentWaits, o.urgentWaits...)
	sim.acceleratedWaits = append(sim.acceleratedWaits, o.acceleratedWaits...)
	sim.usedSum, sim.samples = sim.usedSum+o.usedSum, sim.samples+o.samples
	sim.shareErrorSum, sim.shareErrorCount = sim.shareErrorSum+o.shareErrorSum, sim.shareErrorCount+o.shareErrorCount
	sim.offeredAcceleratorSeconds += o.offeredAcceleratorSeconds
	sim.checkpoints, sim.starts = sim.checkpoints+o.checkpoints, sim.starts+o.starts
	sim.decideTime, sim.decisions = sim.decideTime+o.decideTime, sim.decisions+o.decisions
	for i := range sim.driftSum {
		sim.driftSum[i], sim.driftCount[i] = sim.driftSum[i]+o.driftSum[i], sim.driftCount[i]+o.driftCount[i]
	}
}

// BenchmarkPolicy reports the figures in docs/measures/core.md. One operation is
// a run of two hours of virtual time for each seed.
func BenchmarkPolicy(b *testing.B) {
	base := casched.DefaultPolicy()
	spread := base
	for _, k := range []cawork.WorkKind{cawork.WorkKindBatch, cawork.WorkKindGang} {
		kp := spread.Kind(k)
		kp.Placement = cawork.PlacementSpread
		spread = spread.WithKind(k, kp)
	}
	noReservation, noPreemption := base, base
	for _, k := range cawork.WorkKindValues() {
		kp := base.Kind(k)
		kp.ReserveBound = 0
		noReservation = noReservation.WithKind(k, kp)
		kp = base.Kind(k)
		kp.PreemptAfter = 0
		noPreemption = noPreemption.WithKind(k, kp)
	}
	noPreemptionNoBackfill := noPreemption.WithBackfill(false)
	policies := []struct {
		name string
		p    casched.Policy
	}{
		{"default", base},
		{"spread", spread},
		{"no_backfill", base.WithBackfill(false)},
		{"no_reservation", noReservation},
		{"no_correction", base.WithCorrection(false)},
		{"no_preemption", noPreemption},
		{"no_preemption_no_backfill", noPreemptionNoBackfill},
	}
	for _, m := range []mix{haugland, lettergrove} {
		for _, c := range policies {
			b.Run(m.name+"/"+c.name, func(b *testing.B) {
				for b.Loop() {
					runAllSeeds(b, m, c.p).reportMetrics(b)
				}
			})
		}
	}
}

// runAllSeeds returns the merged results of one run for each seed.
func runAllSeeds(b *testing.B, m mix, p casched.Policy) *simulation {
	sum := newSimulation(b, m, p, 0)
	for seed := range uint64(mixSeeds) {
		sim := newSimulation(b, m, p, seed)
		sim.run()
		sum.merge(sim)
	}
	return sum
}

// BenchmarkWhole reports the figures of the default policy for the mixes with
// look-ups and accelerated work.
func BenchmarkWhole(b *testing.B) {
	for _, m := range []mix{haugland.withAllKinds(.1), lettergrove.withAllKinds(.04)} {
		b.Run(m.name, func(b *testing.B) {
			for b.Loop() {
				runAllSeeds(b, m, casched.DefaultPolicy()).reportMetrics(b)
			}
		})
	}
}

func (sim *simulation) reportMetrics(b *testing.B) {
	for _, k := range []cawork.WorkKind{cawork.WorkKindBatch, cawork.WorkKindService, cawork.WorkKindGang} {
		b.ReportMetric(quantile(sim.waits[k], .5), k.String()+"-p50-s")
		b.ReportMetric(quantile(sim.waits[k], .99), k.String()+"-p99-s")
	}
	if sim.mix.lookup > 0 {
		b.ReportMetric(1000*quantile(sim.waits[cawork.WorkKindLookup], .5), "lookup-p50-ms")
		b.ReportMetric(1000*quantile(sim.waits[cawork.WorkKindLookup], .99), "lookup-p99-ms")
		supplied := float64(sim.scheduler.Capacity().Accelerators) * mixDuration.Seconds() * mixSeeds
		b.ReportMetric(100*sim.offeredAcceleratorSeconds/supplied, "accelerators-offered-%")
		b.ReportMetric(quantile(sim.acceleratedWaits, .5), "accelerated-p50-s")
		b.ReportMetric(quantile(sim.acceleratedWaits, .99), "accelerated-p99-s")
	}
	b.ReportMetric(quantile(sim.urgentWaits, .5), "urgent-p50-s")
	b.ReportMetric(quantile(sim.urgentWaits, .95), "urgent-p95-s")
	b.ReportMetric(quantile(sim.urgentWaits, .99), "urgent-p99-s")
	b.ReportMetric(100*sim.usedSum/float64(sim.samples), "used-%")
	b.ReportMetric(100*sim.shareErrorSum/float64(max(1, sim.shareErrorCount)), "share-error-%")
	drift := 0.0
	for i, n := range sim.driftCount {
		drift = max(drift, math.Abs(sim.driftSum[i])/float64(max(1, n)))
	}
	b.ReportMetric(100*drift, "share-drift-%")
	b.ReportMetric(float64(sim.checkpoints), "checkpoints")
	b.ReportMetric(float64(sim.starts), "starts")
	b.ReportMetric(float64(sim.decideTime.Microseconds())/float64(sim.decisions), "us/decision")
}

// refusalAccuracy returns how many batch jobs were refused, how many of these
// waited longer than the limit, and how many of all batch jobs did. Jobs that
// had neither started nor waited that long at the end of the run do not count.
func (sim *simulation) refusalAccuracy() (refused, correct, late int) {
	for id, t := range sim.trueJobs {
		if t.job.Spec.Kind != cawork.WorkKindBatch || t.job.Spec.Urgent {
			continue
		}
		waited, started := sim.firstWaits[id]
		if !started {
			waited = sim.now.Sub(t.job.Accepted)
		}
		beyond := waited > sim.waitBound
		switch {
		case !started && !beyond:
		case sim.refusals[id] && beyond:
			refused, correct, late = refused+1, correct+1, late+1
		case sim.refusals[id]:
			refused++
		case beyond:
			late++
		}
	}
	return refused, correct, late
}

// BenchmarkRefusals reports the precision and recall of refusals by predicted
// wait. Refused jobs are queued nevertheless, so that their wait is measured.
func BenchmarkRefusals(b *testing.B) {
	for _, m := range []mix{haugland, lettergrove} {
		for _, bound := range []time.Duration{time.Minute, 5 * time.Minute} {
			b.Run(m.name+"/"+bound.String(), func(b *testing.B) {
				kp := casched.DefaultPolicy().Kind(cawork.WorkKindBatch)
				kp.WaitBound = bound
				p := casched.DefaultPolicy().WithKind(cawork.WorkKindBatch, kp)
				for b.Loop() {
					refused, correct, late := 0, 0, 0
					for seed := range uint64(mixSeeds) {
						sim := newSimulation(b, m, p, seed)
						sim.run()
						r, c, l := sim.refusalAccuracy()
						refused, correct, late = refused+r, correct+c, late+l
					}
					b.ReportMetric(float64(refused), "refused")
					b.ReportMetric(100*float64(correct)/float64(max(1, refused)), "precision-%")
					b.ReportMetric(100*float64(correct)/float64(max(1, late)), "recall-%")
				}
			})
		}
	}
}
