package casoak

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/soak/caproxy"
	"celeryarch.example/celeryarch/internal/soak/caworkload"
	"celeryarch.example/celeryarch/platform"
	"celeryarch.example/celeryarch/platform/standin"
)

const (
	// readyTimeout bounds the time until all nodes are ready.
	readyTimeout = 20 * time.Second
	// leaderSampleTime is the time over which findLeader compares the traffic to the store.
	leaderSampleTime = 100 * time.Millisecond
	// violationPollInterval is the time between two checks for violations at the upstreams.
	violationPollInterval = 100 * time.Millisecond
	// registrationInterval is the time between two writes of changed registrations.
	registrationInterval = 100 * time.Millisecond
)

// Options configure a soak run.
type Options struct {
	Seed int64
	// Duration is the duration of load and faults.
	Duration  time.Duration
	Nodes     int
	Upstreams int
	// Shards is the number of shards that the cell is divided into before its nodes start. Zero leaves the division to them.
	Shards int
	// Command is the command line before the node subcommand, and Env is added
	// to its environment.
	Command []string
	Env     []string
	// Previous is the command line of an earlier build, if any. Each node starts the two builds in
	// turn, the nodes with odd numbers the earlier one first.
	Previous []string
	// Added are the kinds of fault that the plan has beside those of NewPlan. Runs by hand
	// have those of DrawAdded, or of DrawAddedWork.
	Added []FaultKind
	// Workload replaces the small jobs of the soak, and NewWorkPlan its plan, if set.
	Workload *caworkload.Workload
	// IsPlanned means that all faults are planned work, those of NewPlannedPlan: no call may then be
	// cut. The callers also ask for the phases of accepted jobs all the while.
	IsPlanned bool
	// IsPatient means that callers wait for nodes that refuse connections, so that load waits for them when
	// they are back. Otherwise a refused connection is an attempt as any other.
	IsPatient bool
	// Dir is the directory for settings files and logs.
	Dir string
	// RunIndex distinguishes concurrent runs; it selects their loopback addresses.
	RunIndex int
}

// WithSeed returns the options with another seed.
func (o Options) WithSeed(seed int64) Options {
	o.Seed = seed
	return o
}

// programsOf returns the command lines that a node starts in turn.
func (o Options) programsOf(node int) [][]string {
	switch {
	case len(o.Previous) == 0:
		return [][]string{o.Command}
	case node%2 == 1:
		return [][]string{o.Previous, o.Command}
	default:
		return [][]string{o.Command, o.Previous}
	}
}

// plan returns the faults of the run.
func (o Options) plan() []Fault {
	if o.IsPlanned {
		return NewPlannedPlan(o.Seed, o.Duration, o.Nodes)
	}
	plan := NewPlan(o.Seed, o.Duration, o.Nodes, o.Upstreams)
	if o.Workload != nil {
		plan = NewWorkPlan(o.Seed, o.Duration, o.Nodes, o.Upstreams)
	}
	return WithAddedFaults(plan, o.Seed, o.Duration, o.Upstreams, o.Added)
}

// Report is the result of a soak run.
type Report struct {
	Plan []Fault
	// Accepted, Refused, Canceled and Unknown count jobs by the outcome reported
	// to their callers.
	Accepted, Refused, Canceled, Unknown int
	Starts                               int
	// Crashes counts the crashes by tasks, and GivenUp the jobs without a deadly task that
	// were given up after crashes under them.
	Crashes, GivenUp int
	// Unfinished counts the accepted jobs that had not ended when a run with a workload ended, NeverFit
	// those of them that have no room where nothing else runs, and LongestWait is the longest wait with
	// room after its load.
	Unfinished, NeverFit int
	LongestWait          caworkload.Wait
	// Advisor is what each caller asked the advisor of a workload.
	Advisor map[string]standin.AdvisorUse
	// Calls counts all calls.
	Calls CallCounts
	// Broken lists the violated guarantees.
	Broken []string
}

// Run runs one cell under load and faults and checks its guarantees.
func Run(ctx context.Context, o Options) (Report, error) {
	if o.Workload != nil {
		return runWorkload(ctx, o)
	}
	report := Report{Plan: o.plan()}
	c, err := newCell(ctx, o, o.Dir)
	defer c.close()
	if err != nil {
		return report, err
	}
	if err := c.startNodes(ctx); err != nil {
		return report, err
	}
	l := newOutcomeLog()
	watchCtx, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	go c.watchViolations(watchCtx, l)
	go c.watchRegistrations(watchCtx)
	loadCtx, stopLoad := context.WithTimeout(ctx, o.Duration)
	defer stopLoad()
	load := newLoadGenerator(c, l, o.Seed)
	c.load = load
	load.repeats = slices.ContainsFunc(report.Plan, func(f Fault) bool { return f.Kind == FaultTeams })
	c.fleet.SetCrashes(load.crashOf)
	c.fleet.SetRunTime(load.runTimeOf)
	c.fleet.SetGangs(load.gangSize)
	loadDone := make(chan struct{})
	go func() {
		defer close(loadDone)
		load.run(loadCtx)
	}()
	queries := newQueryLoad(c, l, load.targetOf)
	go queries.run(loadCtx)
	if err := c.runPlan(ctx, report.Plan, l); err != nil {
		return report, err
	}
	<-loadDone
	<-queries.Done()
	load.faultSubmissions.Wait()
	report.GivenUp = c.settle(ctx, l)
	stopWatching()
	report.Accepted, report.Refused, report.Canceled, report.Unknown = l.counts()
	report.Starts, report.Crashes = c.fleet.Starts(), c.fleet.Crashes()
	report.Calls = c.calls.counts()
	report.Broken = l.violationList()
	return report, nil
}

func (c *cell) startNodes(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, n := range c.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range c.nodes {
		if err := n.awaitReady(ctx, c.timer); err != nil {
			return err
		}
	}
	return nil
}

// runPlan starts and ends the faults of the plan at their times.
func (c *cell) runPlan(ctx context.Context, plan []Fault, l *outcomeLog) error {
	began := time.Now()
	targets := make(map[int]int)
	for _, e := range faultEvents(plan) {
		if wait := e.at - time.Since(began); wait > 0 {
			if err := c.timer.Pause(ctx, wait); err != nil {
				return err
			}
		}
		if e.fault.Target == leaderTarget {
			if e.begins {
				targets[e.faultIndex] = c.findLeader(ctx)
			}
			e.fault.Target = targets[e.faultIndex]
		}
		if err := c.applyEvent(ctx, e, l); err != nil {
			l.recordViolation("%s: %v", e.fault, err)
		}
	}
	return nil
}

// findLeader returns the node that sends the most bytes to the store: the leader
// appends to the log.
func (c *cell) findLeader(ctx context.Context) int {
	before := make([]int64, len(c.nodes))
	for i, n := range c.nodes {
		before[i] = n.storeProxy.CallerBytes()
	}
	// A shorter sample at the end of the context only selects another target.
	_ = c.timer.Pause(ctx, leaderSampleTime)
	best, most := 0, int64(-1)
	for i, n := range c.nodes {
		if sent := n.storeProxy.CallerBytes() - before[i]; sent > most {
			best, most = i, sent
		}
	}
	return best
}

// applyEvent starts or ends one fault.
func (c *cell) applyEvent(ctx context.Context, e faultEvent, l *outcomeLog) error {
	f := e.fault
	link := caproxy.LinkNone
	if e.begins {
		link = caproxy.LinkFault(f.Way)
	}
	switch f.Kind {
	case FaultKill:
		return c.applyDown(e, []int{f.Target}, syscall.SIGKILL)
	case FaultTerminate:
		return c.applyDown(e, []int{f.Target}, syscall.SIGTERM)
	case FaultKillAll:
		return c.applyDown(e, c.allNodes(), syscall.SIGKILL)
	case FaultFreeze:
		if e.begins {
			c.nodes[f.Target].signal(syscall.SIGSTOP)
			return nil
		}
		c.nodes[f.Target].resume()
	case FaultStoreLink:
		c.nodes[f.Target].storeProxy.SetFault(link)
	case FaultPeerLink:
		c.nodes[f.Target].peerProxy.SetFault(link)
	case FaultUpstreamLink:
		c.upstreamProxies[f.Target].SetFault(link)
	case FaultUpstreamRestart:
		if e.begins {
			c.restartUpstream(f.Target)
			return c.registerUpstreams(ctx)
		}
	case FaultStore:
		storeFault := standin.FaultNone
		if e.begins {
			storeFault = standin.Fault(f.Way)
		}
		c.store.SetFault(func(caller string) standin.Fault {
			if caller == platform.OperatorName {
				return standin.FaultNone
			}
			return storeFault
		})
	case FaultDeadlyJob, FaultDeadlyWork:
		if e.begins {
			c.load.submitDeadly(f)
		}
	case FaultSeries:
		if e.begins {
			c.load.submitFault(f, faultSubmission(f))
		}
	case FaultCapacity:
		cores := upstreamCores
		if e.begins {
			cores = f.Way
		}
		c.fleet.SetCapacity(string(c.upstreams[f.Target]), capacityOf(cores))
	case FaultOddEntry:
		return c.applyOddEntry(ctx, e)
	case FaultConfigure:
		if e.begins {
			return c.configure(ctx)
		}
	case FaultPowerLoss, FaultZoneCut, FaultLimits, FaultSurge, FaultQueues, FaultTeams:
		return c.applyWorkEvent(ctx, e)
	case FaultStop, FaultHangup:
		c.applyPlanned(e, l)
	case FaultLateRenewals:
		return c.applyLateRenewals(ctx, e)
	case FaultPowerLossAfterSubmit, FaultPowerLossAfterCancel, FaultKillInDrain:
		return c.applyStopFault(ctx, e, l)
	}
	return nil
}

func (c *cell) allNodes() []int {
	all := make([]int, len(c.nodes))
	for i := range all {
		all[i] = i
	}
	return all
}

// applyDown takes nodes down at the start of a fault and restarts them at its end.
func (c *cell) applyDown(e faultEvent, nodes []int, signal syscall.Signal) error {
	for _, i := range nodes {
		if e.begins {
			c.nodes[i].beginDown(signal)
			continue
		}
		if err := c.nodes[i].endDown(); err != nil {
			return err
		}
	}
	return nil
}

// watchViolations records violations at the upstreams until the context ends.
func (c *cell) watchViolations(ctx context.Context, l *outcomeLog) {
	seen := 0
	for c.timer.Pause(ctx, violationPollInterval) == nil {
		violations := c.fleet.Violations()
		for _, v := range violations[seen:] {
			l.recordViolation("at the upstreams: %s", v)
		}
		seen = len(violations)
	}
}

// watchRegistrations writes the registrations of upstreams that change until the
// context ends.
func (c *cell) watchRegistrations(ctx context.Context) {
	for c.timer.Pause(ctx, registrationInterval) == nil {
		// The next round repeats a write that failed.
		_ = c.registerUpstreams(ctx)
	}
}

// endFaults ends all faults and records unexpected exits of nodes.
func (c *cell) endFaults(l *outcomeLog) {
	c.stops.Wait()
	for _, n := range c.nodes {
		c.checkDrains(n, l)
		if n.unexpectedExitCount() > 0 {
			l.recordViolation("%s exited unexpectedly %d times", n.name, n.unexpectedExitCount())
		}
		n.resume()
		n.storeProxy.SetFault(caproxy.LinkNone)
		n.peerProxy.SetFault(caproxy.LinkNone)
	}
	for _, link := range c.upstreamProxies {
		link.SetFault(caproxy.LinkNone)
	}
	c.store.SetFault(func(string) standin.Fault { return standin.FaultNone })
}

// Err returns an error if a guarantee was violated.
func (r Report) Err() error {
	if len(r.Broken) == 0 {
		return nil
	}
	return cakind.New(cakind.KindInternal, "%d guarantees were violated, the first: %s", len(r.Broken), r.Broken[0])
}

// String returns the counts of the report.
func (r Report) String() string {
	text := fmt.Sprintf("%d faults; %d jobs accepted, %d refused, %d canceled, %d without an answer; %d runs started; %d crashes by tasks, %d other jobs given up; calls %v; %d promises broken",
		len(r.Plan), r.Accepted, r.Refused, r.Canceled, r.Unknown, r.Starts, r.Crashes, r.GivenUp, r.Calls, len(r.Broken))
	if r.Advisor == nil {
		return text
	}
	text += fmt.Sprintf("; %d unfinished, %d of them never fit; advisor %v", r.Unfinished, r.NeverFit, r.Advisor)
	if r.LongestWait.For == 0 {
		return text + "; no wait with room after the load"
	}
	return text + fmt.Sprintf("; longest wait with room after the load: %s", r.LongestWait)
}
