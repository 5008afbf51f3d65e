package caboard

import (
	"bytes"
	"flag"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caorder"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/cell/cateam"
)

// standstillSeed is the first seed of TestAcceptedJobsRunWhileThereIsRoom, and standstillSeeds the
// number of its seeds.
var (
	standstillSeed  = flag.Int64("standstill.seed", 0, "first seed of the worlds that look for standstills")
	standstillSeeds = flag.Int64("standstill.seeds", 6, "number of seeds of the worlds that look for standstills")
)

const (
	standstillLoadTime = 40 * time.Second
	// standstillFrom is when the checks begin, and standstillEnd when they end.
	standstillFrom = standstillLoadTime + 10*time.Second
	standstillEnd  = standstillLoadTime + 30*time.Second
	// maxStandstill is how long a job may have nothing running while there is room.
	maxStandstill = 3 * time.Second
	// standstillCheck is the time between two checks.
	standstillCheck = 100 * time.Millisecond
	// standstillRoomFactor is how many times over a step must have room.
	standstillRoomFactor = 2
	// maxStandstillUse is the share of the pool, and of the limit of a team, from which on a step may wait.
	maxStandstillUse = 0.5

	standstillUpstreams = 48
	standstillZones     = 3
	standstillRack      = 8
	standstillEntries   = 9
	// standstillLongAsks is how many of the entries take long questions.
	standstillLongAsks = 5
	standstillTeams    = 6
	// standstillAskMargin is how much longer than expected the leader waits for an answer, and
	// standstillBackoff how long an entry gets no questions after it left one unanswered.
	standstillAskMargin = 1500 * time.Millisecond
	standstillBackoff   = 2 * time.Second
	// standstillCut is how long a zone is cut off.
	standstillCut      = 5500 * time.Millisecond
	standstillValidity = 2 * time.Second
	// greedyFactor is how much more than usual the greedy team sends.
	greedyFactor = 5
	// teamLimitFactor is the ratio of the limit of a team to its usual use.
	teamLimitFactor = 1.9
	// gangFailureShare is the fraction of the runs of gangs that fail.
	gangFailureShare = 0.05
	// slowAdvisorFactor is the ratio of the time that a slow advisor takes to the time that it is expected to
	// take.
	slowAdvisorFactor = 2.5
	// minStandstillStarts is how many starts a world has at least, so that the checks tell anything.
	minStandstillStarts = 1000
	// slowFactor is how much longer runs take at a slow upstream.
	slowFactor = 3
)

var standstillCapacity = cawork.Resources{CPU: cawork.Cores(32), Memory: 128 * cawork.GiB}

// busyKind is one kind of jobs of a busyWorld.
type busyKind struct {
	queue caspec.Queue
	// loadShare is its part of the load, and admitted the fraction of upstreams that the advisor admits.
	loadShare, admitted float64
	meanTasks           float64
	maxTasks, maxSteps  int
	meanCPU, meanMemory float64
	meanEstimate        time.Duration
	gangShare, maxShare float64
}

// meanWork returns the core time of a mean job in core-seconds.
func (k busyKind) meanWork() float64 {
	return k.meanTasks * k.meanCPU / 1000 * k.meanEstimate.Seconds() * float64(1+k.maxSteps) / 2
}

func busyQueue(name string, priority int, stretch float64, allowance, decision, perUpstream time.Duration) caspec.Queue {
	q := replayQueue(name, priority, stretch, allowance, decision, perUpstream)
	q.Approval.Validity = standstillValidity
	return q
}

func busyKinds() []busyKind {
	return []busyKind{
		{
			queue: busyQueue("gangs", 1, 2.2, time.Second, 410*time.Millisecond, 5900*time.Microsecond), loadShare: 0.4, admitted: 0.35,
			meanTasks: 8, maxTasks: 48, maxSteps: 1, meanCPU: 9000, meanMemory: 26e9, meanEstimate: 4 * time.Second, gangShare: 1,
		},
		{
			queue: busyQueue("steps", 2, 4, 3*time.Second, 82*time.Millisecond, 1200*time.Microsecond), loadShare: 0.35, admitted: 0.45,
			meanTasks: 10, maxTasks: 60, maxSteps: 4, meanCPU: 2000, meanMemory: 4e9, meanEstimate: 3400 * time.Millisecond, maxShare: 0.12,
		},
		{
			queue: busyQueue("small", 0, 1.5, 300*time.Millisecond, 12*time.Millisecond, 170*time.Microsecond), loadShare: 0.25, admitted: 0.7,
			meanTasks: 4, maxTasks: 12, maxSteps: 1, meanCPU: 2800, meanMemory: 8e9, meanEstimate: time.Second, gangShare: 0.3,
		},
	}
}

// busyJob is what a busyWorld knows of a job that was submitted.
type busyJob struct {
	id       cawork.JobID
	kind     *busyKind
	team     cawork.TeamName
	factors  []float64
	accepted bool
	canceled bool
	// standsSince is since when nothing of it runs although there is room, negative if that is not so.
	standsSince time.Duration
	reported    bool
}

// busyWorld is a roomWorld with the load of a cell that serves several queues and teams, an advisor, and
// faults while the load lasts.
type busyWorld struct {
	*roomWorld
	kinds   []busyKind
	load    float64
	version int64
	jobs    map[cawork.JobID]*busyJob
	order   []*busyJob
	// busyUntil is when each entry has answered its questions, cutUntil until when it answers none, and
	// avoidedUntil until when the leader sends it none after it left one unanswered.
	busyUntil, cutUntil, avoidedUntil []time.Duration
	slow                              map[cawork.UpstreamID]bool
	leaderless                        bool
	// asked counts the questions of the present leader without an answer.
	asked int
	// advisorFactor is the ratio of the time that the advisor takes to the time that it is expected to take.
	advisorFactor float64
	// limitFactor scales the limits of the teams.
	limitFactor float64
	renewing    map[*simulatedUpstream]bool
	replaced    int
	faults      []string
	standstills []string
	checks      int
}

func newBusyWorld(seed int64, advisorFactor float64) *busyWorld {
	b := &busyWorld{
		kinds: busyKinds(), jobs: make(map[cawork.JobID]*busyJob), busyUntil: make([]time.Duration, standstillEntries),
		cutUntil: make([]time.Duration, standstillEntries), avoidedUntil: make([]time.Duration, standstillEntries),
		slow: make(map[cawork.UpstreamID]bool), limitFactor: 1, advisorFactor: advisorFactor, renewing: make(map[*simulatedUpstream]bool),
	}
	newWorld(seed, 0, func(w *roomWorld) {
		b.roomWorld = w
		w.keepsLeader = true
		b.load = 0.8 + 0.3*w.random.Float64()
		for i := range standstillUpstreams {
			b.addUpstream(i)
		}
		w.onLead, w.onRequests, w.onStart = b.prepareLeader, b.advise, b.startRun
		w.rejects = func(o caorder.StartOrder) bool {
			expires, err := strconv.ParseInt(o.Ticket, 10, 64)
			return err != nil || time.Duration(expires) < w.elapsed
		}
		w.lead()
		for i := range b.kinds {
			b.scheduleArrival(&b.kinds[i])
		}
		b.scheduleFaults()
		w.repeat(standstillCheck, b.check)
	})
	return b
}

// addUpstream adds the upstream with the number.
func (b *busyWorld) addUpstream(i int) *simulatedUpstream {
	place := i % standstillUpstreams
	u := &simulatedUpstream{info: caspec.Upstream{
		ID: cawork.UpstreamID(fmt.Sprintf("up-%d", i)), Address: "a", Pool: "pool", Capacity: standstillCapacity,
		Zone:   cawork.ZoneName(fmt.Sprintf("zone-%d", place%standstillZones)),
		Labels: []string{fmt.Sprintf("rack-%d", place/standstillRack), fmt.Sprintf("kind-%d", place%2)},
	}}
	u.restart(b.elapsed)
	u.onEnd = func(caorder.EndedRun) { b.reportSoon(u) }
	b.upstreams = append(b.upstreams, u)
	b.listed[u.info.ID] = u.info
	return u
}

// reportSoon lets an upstream report an end.
func (b *busyWorld) reportSoon(u *simulatedUpstream) {
	if b.renewing[u] {
		return
	}
	b.renewing[u] = true
	b.after(20*time.Millisecond, func() {
		delete(b.renewing, u)
		b.renew(u)
	})
}

// prepareLeader gives a new leader the configuration.
func (b *busyWorld) prepareLeader(p *Planner) {
	b.asked = 0
	p.SetRequestLimits(RequestLimits{
		Total: 2 * standstillEntries, Long: standstillLongAsks,
		Turns: standstillEntries / b.advisorFactor, LongTurns: standstillLongAsks / b.advisorFactor,
	})
	b.setPolicy(p)
	p.InheritSilence(b.silent)
}

func (b *busyWorld) setPolicy(p *Planner) {
	b.version++
	policy := caspec.Policy{Version: 1 + b.version, Pools: []caspec.Pool{{Name: "pool"}}}
	for _, k := range b.kinds {
		policy.Queues = append(policy.Queues, k.queue)
	}
	share := teamLimitFactor * b.limitFactor * b.load / standstillTeams
	for i := range standstillTeams {
		policy.Teams = append(policy.Teams, caspec.Team{Name: cawork.TeamName(fmt.Sprintf("team-%d", i)), Weight: 8, Limit: b.limitOf(share)})
	}
	p.SetPolicy(policy.WithIndex())
}

// limitOf returns a share of all upstreams.
func (b *busyWorld) limitOf(share float64) cawork.Resources {
	return cawork.Resources{
		CPU:    cawork.MilliCPU(share * standstillUpstreams * float64(standstillCapacity.CPU)),
		Memory: cawork.Bytes(share * standstillUpstreams * float64(standstillCapacity.Memory)),
	}
}

func (b *busyWorld) scheduleArrival(k *busyKind) {
	rate := b.load * k.loadShare * standstillUpstreams * float64(standstillCapacity.CPU) / 1000 / k.meanWork()
	b.after(time.Duration(b.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if b.elapsed >= standstillLoadTime {
			return
		}
		b.arrive(k, cawork.TeamName(fmt.Sprintf("team-%d", b.random.Intn(standstillTeams))))
		b.scheduleArrival(k)
	})
}

// sendMore lets one team send more jobs of all kinds for a while.
func (b *busyWorld) sendMore(team cawork.TeamName, until time.Duration) {
	for i := range b.kinds {
		k := &b.kinds[i]
		rate := b.load * k.loadShare * standstillUpstreams * float64(standstillCapacity.CPU) / 1000 / k.meanWork()
		rate *= (greedyFactor - 1) / float64(standstillTeams)
		var next func()
		next = func() {
			b.after(time.Duration(b.random.ExpFloat64()/rate*float64(time.Second)), func() {
				if b.elapsed < until && b.elapsed < standstillLoadTime {
					b.arrive(k, team)
					next()
				}
			})
		}
		next()
	}
}

func drawNear(random *rand.Rand, mean, spread float64) float64 {
	return mean * math.Exp(spread*random.NormFloat64()-spread*spread/2)
}

func (b *busyWorld) newStep(k *busyKind) caspec.Step {
	s := caspec.Step{
		Tasks:  min(max(int(drawNear(b.random, k.meanTasks, 0.8)+0.5), 1), k.maxTasks),
		CPU:    cawork.MilliCPU(min(max(drawNear(b.random, k.meanCPU, 0.4), 100), 0.9*float64(standstillCapacity.CPU))),
		Memory: cawork.Bytes(min(drawNear(b.random, k.meanMemory, 0.4), 0.6*float64(standstillCapacity.Memory))),
		Gang:   b.random.Float64() < k.gangShare, Estimate: time.Duration(drawNear(b.random, float64(k.meanEstimate), 0.4)),
	}
	if b.random.Float64() < k.maxShare {
		s.MaxPerUpstream = 1 + b.random.Intn(3)
	}
	if b.random.Float64() < 0.05 {
		s.Label = "kind-0"
	}
	return s
}

func (b *busyWorld) arrive(k *busyKind, team cawork.TeamName) {
	if b.leaderless {
		return
	}
	s := caspec.Submission{ID: cawork.JobID(fmt.Sprintf("%016x", len(b.order))), Queue: k.queue.Name, Team: team}
	j := &busyJob{id: s.ID, kind: k, team: team, standsSince: -1}
	for i := range 1 + b.random.Intn(k.maxSteps) {
		step := b.newStep(k)
		if i > 0 && b.random.Intn(2) == 0 {
			step.After = []int{i - 1}
		}
		s.Steps = append(s.Steps, step)
		j.factors = append(j.factors, 0.5+b.random.Float64())
	}
	b.sizes[s.ID] = s.Steps
	b.neverEnds[s.ID] = true
	b.jobs[s.ID] = j
	b.order = append(b.order, j)
	if _, err := b.planner.Submit(s); err != nil {
		return
	}
	j.accepted = true
	if b.random.Intn(40) == 0 {
		b.after(b.between(100, 5000), func() {
			if _, known := b.planner.jobs[s.ID]; known {
				b.planner.Cancel(s.ID)
				j.canceled = true
			}
		})
	}
}

// isAdmitted reports whether the advisor admits an upstream to a step.
func (b *busyWorld) isAdmitted(j *busyJob, step int, id cawork.UpstreamID) bool {
	return hashShare("%s.%d.%s.admitted", j.id, step, id) < j.kind.admitted
}

// advise sends approval requests to the entries that are free first, long ones to some of them only.
func (b *busyWorld) advise(requests []caorder.ApprovalRequest) {
	p := b.planner
	for _, request := range requests {
		b.asked++
		entry := b.entryFor(request)
		b.busyUntil[entry] = max(b.busyUntil[entry], b.elapsed) + time.Duration(b.advisorFactor*float64(request.Cost))
		if b.elapsed < b.cutUntil[entry] {
			b.after(b.busyUntil[entry]-b.elapsed+standstillAskMargin, func() {
				b.avoidedUntil[entry] = b.elapsed + standstillBackoff
				b.whileLeading(p, func() { b.asked--; p.ApplyAdvice(request, nil, false) })
			})
			continue
		}
		b.after(b.busyUntil[entry]-b.elapsed+4*time.Millisecond, func() { b.whileLeading(p, func() { b.answer(p, request) }) })
	}
}

// entryFor chooses the entry that answers a request.
func (b *busyWorld) entryFor(request caorder.ApprovalRequest) int {
	var usable []int
	for i := range standstillEntries {
		if b.elapsed >= b.avoidedUntil[i] {
			usable = append(usable, i)
		}
	}
	if len(usable) == 0 {
		for i := range standstillEntries {
			usable = append(usable, i)
		}
	}
	if request.Long && len(usable) > 1 {
		usable = usable[:(len(usable)*standstillLongAsks+standstillEntries-1)/standstillEntries]
	} else {
		slices.Reverse(usable)
	}
	return slices.MinFunc(usable, func(x, y int) int { return int(b.busyUntil[x] - b.busyUntil[y]) })
}

func (b *busyWorld) answer(p *Planner, request caorder.ApprovalRequest) {
	b.asked--
	var approved []caorder.Approval
	for _, id := range request.Upstreams {
		if b.isAdmitted(b.jobs[request.Job], request.Step, id) {
			approved = append(approved, caorder.Approval{Upstream: id, Ticket: fmt.Sprint(int64(b.elapsed + standstillValidity))})
		}
	}
	p.ApplyAdvice(request, approved, true)
}

// startRun lets a run end after its time.
func (b *busyWorld) startRun(u *simulatedUpstream, id caorder.RunID) bool {
	j := b.jobs[id.Job]
	step := b.sizes[id.Job][id.Step]
	took := j.factors[id.Step] * float64(step.Estimate)
	if b.slow[u.info.ID] {
		took *= slowFactor
	}
	how := caorder.EndingDone
	if step.Gang && hashShare("%s.%d.%d.fails", id.Job, id.Step, id.Number) < gangFailureShare {
		how, took = caorder.EndingFailed, took/3
	}
	born := u.info.Incarnation
	b.after(time.Duration(took), func() {
		if u.info.Incarnation == born && u.up && !u.stopped[id] {
			u.end(id, how)
		}
	})
	return true
}

// scheduleFaults schedules the faults of the world, each in about two of three worlds.
func (b *busyWorld) scheduleFaults() {
	at := func(name string, handle func()) {
		if b.random.Intn(3) > 0 {
			b.after(b.between(3000, 39000), func() {
				b.faults = append(b.faults, fmt.Sprintf("%v %s", b.elapsed, name))
				handle()
			})
		}
	}
	at("a team sends more", func() { b.sendMore("team-1", b.elapsed+b.between(5000, 15000)) })
	at("a zone is cut off", b.cutZone)
	at("slow appends", func() {
		b.minAppendMS, b.maxAppendMS = 700, 720
		b.after(4*time.Second, func() { b.minAppendMS, b.maxAppendMS = 4, 40 })
	})
	at("late orders", func() { b.lateShare = 0.03; b.after(b.between(3000, 15000), func() { b.lateShare = 0 }) })
	at("other limits", func() { b.changeLimits(0.2 + 0.6*b.random.Float64()) })
	at("another leader", b.changeLeader)
	at("another leader", b.changeLeader)
	at("no leader", b.loseLeader)
	for range 3 {
		at("drain", b.drain)
		at("crash", b.crashOne)
		at("slow upstream", b.slowDown)
	}
}

func (b *busyWorld) changeLimits(factor float64) {
	b.limitFactor = factor
	b.setPolicy(b.planner)
	b.after(b.between(2000, 8000), func() {
		b.limitFactor = 1
		b.setPolicy(b.planner)
	})
}

func (b *busyWorld) changeLeader() {
	if !b.leaderless {
		b.lead()
	}
}

// loseLeader leaves the cell without a leader for a while.
func (b *busyWorld) loseLeader() {
	if b.leaderless {
		return
	}
	b.leaderless, b.appendInFlight = true, false
	now := b.moment()
	b.planner = New(zerolog.Nop(), 0, now, now.Monotonic)
	listed := b.listed
	b.listed = nil
	b.after(b.between(500, 3500), func() {
		b.leaderless, b.listed = false, listed
		b.lead()
	})
}

// cutZone cuts the upstreams of a zone off for a while.
func (b *busyWorld) cutZone() {
	place := b.random.Intn(standstillZones)
	for i := place; i < standstillEntries; i += standstillZones {
		b.cutUntil[i] = b.elapsed + standstillCut
	}
	zone := cawork.ZoneName(fmt.Sprintf("zone-%d", place))
	for _, u := range b.upstreams {
		if u.info.Zone == zone {
			u.cut = true
			b.after(standstillCut, func() { u.cut = false })
		}
	}
}

func (b *busyWorld) anyUpstream() *simulatedUpstream {
	for {
		if u := b.upstreams[b.random.Intn(len(b.upstreams))]; !u.gone {
			return u
		}
	}
}

func (b *busyWorld) crashOne() {
	u := b.anyUpstream()
	if !u.up || b.leaderless {
		return
	}
	u.up = false
	b.after(b.between(200, 2500), func() {
		u.restart(b.elapsed)
		b.after(b.between(10, 1500), func() {
			if b.listed != nil && !u.gone {
				b.listed[u.info.ID] = u.info
			}
		})
	})
}

func (b *busyWorld) slowDown() {
	id := b.anyUpstream().info.ID
	b.slow[id] = true
	b.after(b.between(2000, 15000), func() { delete(b.slow, id) })
}

// drain lets an upstream drain, which another one replaces.
func (b *busyWorld) drain() {
	u := b.anyUpstream()
	if !u.up || u.info.Draining || b.leaderless {
		return
	}
	u.info.Draining, u.info.DrainRemaining = true, 4*time.Second
	b.listed[u.info.ID] = u.info
	b.after(4*time.Second, func() { b.replace(u) })
}

func (b *busyWorld) replace(u *simulatedUpstream) {
	if b.leaderless {
		b.after(time.Second, func() { b.replace(u) })
		return
	}
	u.up, u.gone = false, true
	u.running, u.stopped = make(map[caorder.RunID]cawork.Resources), make(map[caorder.RunID]bool)
	delete(b.listed, u.info.ID)
	b.replaced++
	var place int
	fmt.Sscanf(string(u.info.ID), "up-%d", &place)
	b.after(b.between(500, 4000), func() {
		if b.listed == nil {
			return
		}
		added := b.addUpstream(place%standstillUpstreams + standstillUpstreams*b.replaced)
		b.repeat(b.between(150, 900), func() { b.renew(added) })
	})
}

// use is what really runs.
type use struct {
	pool  cawork.MilliCPU
	teams map[cawork.TeamName]cawork.Resources
	jobs  map[cawork.JobID]bool
}

func (b *busyWorld) use() use {
	sum := use{teams: make(map[cawork.TeamName]cawork.Resources), jobs: make(map[cawork.JobID]bool)}
	for _, u := range b.upstreams {
		if !u.up {
			continue
		}
		for id, size := range u.running {
			sum.pool += size.CPU
			sum.teams[b.jobs[id.Job].team] = sum.teams[b.jobs[id.Job].team].Plus(size)
			sum.jobs[id.Job] = true
		}
	}
	return sum
}

// check looks for jobs that stand still.
func (b *busyWorld) check() {
	if b.elapsed < standstillFrom {
		return
	}
	b.checks++
	running := b.use()
	for _, j := range b.order {
		step := b.startableStep(j, running)
		if step == nil {
			j.standsSince = -1
			continue
		}
		if j.standsSince < 0 {
			j.standsSince = b.elapsed
		}
		if b.elapsed-j.standsSince >= maxStandstill && !j.reported {
			j.reported = true
			b.standstills = append(b.standstills, fmt.Sprintf("%v: %s stands still: %s", b.elapsed, j.id, b.describe(step)))
		}
	}
}

// startableStep returns a step of a job without any run whose turn has come and that has ample room.
func (b *busyWorld) startableStep(j *busyJob, running use) *step {
	known, ok := b.planner.jobs[j.id]
	if !j.accepted || j.canceled || !ok || known.Phase.IsFinal() || running.jobs[j.id] {
		return nil
	}
	for _, s := range known.steps {
		if s.ready && !s.state().IsDone() && b.hasAmpleRoom(j, s, running) {
			return s
		}
	}
	return nil
}

func (b *busyWorld) hasAmpleRoom(j *busyJob, s *step, running use) bool {
	if float64(running.pool) >= maxStandstillUse*standstillUpstreams*float64(standstillCapacity.CPU) {
		return false
	}
	half := b.planner.teamOf(j.team).Limit()
	half.CPU, half.Memory = cawork.MilliCPU(maxStandstillUse*float64(half.CPU)), cawork.Bytes(maxStandstillUse*float64(half.Memory))
	atOnce := 1
	if s.spec.Gang {
		atOnce = s.spec.Tasks
	}
	if !cateam.Fits(running.teams[j.team].Plus(s.spec.Size().Times(int64(atOnce))), half) {
		return false
	}
	places := 0
	for _, u := range b.upstreams {
		if u.up && !u.cut && !u.gone && !u.info.Draining && u.info.HasLabel(s.spec.Label) && b.isAdmitted(j, s.number, u.info.ID) {
			places += countPlaces(u.info.Capacity, u.used(), s.spec)
		}
	}
	return places >= standstillRoomFactor*atOnce
}

// describe tells what the planner logs of a step that waits.
func (b *busyWorld) describe(s *step) string {
	var log bytes.Buffer
	former := b.planner.log
	b.planner.log = zerolog.New(&log)
	q, _ := b.planner.queueOf(s.job)
	b.planner.logLongWait(s, q, 0)
	b.planner.log = former
	gang := fmt.Sprintf(" gang %v tasks %d size %v max %d label %q", s.spec.Gang, s.spec.Tasks, s.spec.Size(), s.spec.MaxPerUpstream, s.spec.Label)
	requests := fmt.Sprintf(" pending %d long %d", b.planner.pendingRequests, b.planner.pendingLongRequests)
	team := b.planner.teamOf(s.job.Submission.Team)
	return fmt.Sprintf("%s%s%s team %v of %v", bytes.TrimSpace(log.Bytes()), gang, requests, team.Used(), team.Limit())
}

// openJobs describes the steps of the jobs that have not ended.
func (b *busyWorld) openJobs() []string {
	var open []string
	for _, s := range b.planner.steps {
		if s.ready {
			open = append(open, fmt.Sprintf("%s: %s", s.job.Submission.ID, b.describe(s)))
		}
	}
	return open
}

// leftovers returns what the planner still counts once nothing runs.
func (b *busyWorld) leftovers() []string {
	var left []string
	p := b.planner
	for _, u := range p.sortedUpstreams {
		if len(u.runs) > 0 {
			return nil
		}
	}
	for _, u := range p.sortedUpstreams {
		if u.used != (cawork.Resources{}) || u.usedWide != 0 || u.usedLong != (cawork.Resources{}) || u.reservedBy != nil || !u.reservedRoom.IsZero() {
			left = append(left, fmt.Sprintf("upstream %s: used %v wide %v long %v reserved %v", u.info.ID, u.used, u.usedWide, u.usedLong, u.reservedRoom))
		}
	}
	for name, used := range p.accounts.Used() {
		if used != (cawork.Resources{}) {
			left = append(left, fmt.Sprintf("team %s: used %v", name, used))
		}
	}
	if p.pendingRequests != b.asked || p.pendingLongRequests > b.asked {
		left = append(left, fmt.Sprintf("requests %d long %d, of which %d have no answer", p.pendingRequests, p.pendingLongRequests, b.asked))
	}
	slices.Sort(left)
	return left
}

// TestAcceptedJobsRunWhileThereIsRoom drives busy cells with faults and looks, from 10 s after the load
// on, for accepted jobs that have nothing running although a step of theirs has room twice over.
func TestAcceptedJobsRunWhileThereIsRoom(t *testing.T) {
	checkStandstills(t, 1)
}

// TestStandstillsBesideSlowAdvisor guards against accepted jobs that wait for their first question to the
// advisor for 10 s and more after the load, while half of the questions that may be in flight are not: it
// is like TestAcceptedJobsRunWhileThereIsRoom with an advisor that takes longer than expected.
func TestStandstillsBesideSlowAdvisor(t *testing.T) {
	checkStandstills(t, slowAdvisorFactor)
}

func checkStandstills(t *testing.T, advisorFactor float64) {
	t.Helper()
	runWithoutRace(t)
	for i := range *standstillSeeds {
		seed := *standstillSeed + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			b := newBusyWorld(seed, advisorFactor)
			b.run(standstillEnd)
			if diff := cmp.Diff([]string(nil), b.violations); diff != "" {
				t.Errorf("violations after %d starts (-want +got):\n%s", b.starts, diff)
			}
			if n := len(b.standstills); n > 0 {
				t.Errorf("%d jobs stand still, want none:\n%s", n, strings.Join(b.standstills, "\n"))
			}
			if diff := cmp.Diff([]string(nil), b.leftovers()); diff != "" {
				t.Errorf("counted while nothing runs (-want +got):\n%s", diff)
			}
			if b.checks == 0 || b.starts < minStandstillStarts {
				t.Errorf("%d checks, %d starts, want at least %d", b.checks, b.starts, minStandstillStarts)
			}
			t.Logf("load %.2f, %d jobs, %d starts, faults %q, open at the end: %s", b.load, len(b.order), b.starts, b.faults, b.openJobs())
		})
	}
}
