package casoak

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"syscall"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/platform"
	"celeryarch.example/celeryarch/platform/standin"
)

const (
	// readyTimeout bounds the time until all nodes serve.
	readyTimeout = 20 * time.Second
	// settleTimeout bounds the time until all accepted work has ended, once all
	// faults are over.
	settleTimeout = 40 * time.Second
	// settlePollInterval is the time between two looks at what has not ended.
	settlePollInterval = 500 * time.Millisecond
	// leaderSampleTime is how long the bytes that nodes send to the store are counted.
	leaderSampleTime = 100 * time.Millisecond
	// violationPollInterval is the time between two looks at the promises.
	violationPollInterval = 100 * time.Millisecond
)

// Options tell what a soak runs.
type Options struct {
	Seed int64
	// During is how long load and faults last.
	During    time.Duration
	Nodes     int
	Upstreams int
	// Program is the command line that precedes the command node, and Env is
	// added to its environment.
	Program []string
	Env     []string
	// Dir takes settings and logs.
	Dir string
	// Run tells runs at the same time apart.
	Run int
}

// WithSeed returns the options with another seed.
func (o Options) WithSeed(seed int64) Options {
	o.Seed = seed
	return o
}

// Report is the outcome of a soak.
type Report struct {
	Plan []Fault
	// Accepted, Refused, Canceled and Unknown count jobs by what their callers
	// were told.
	Accepted, Refused, Canceled, Unknown int
	Starts                               int
	// Broken lists the promises that were broken.
	Broken []string
}

// Run soaks one cell.
func Run(ctx context.Context, o Options) (Report, error) {
	report := Report{Plan: NewPlan(o.Seed, o.During, o.Nodes, o.Upstreams)}
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
	loadCtx, stopLoad := context.WithTimeout(ctx, o.During)
	defer stopLoad()
	load := &loadGenerator{cell: c, outcomes: l, caller: platform.NewCaller(teamKey, callTimeout), random: rand.New(rand.NewSource(o.Seed))}
	loadDone := make(chan struct{})
	go func() {
		defer close(loadDone)
		load.run(loadCtx)
	}()
	if err := c.runPlan(ctx, report.Plan, l); err != nil {
		return report, err
	}
	<-loadDone
	c.settle(ctx, l)
	stopWatching()
	report.Accepted, report.Refused, report.Canceled, report.Unknown = l.counts()
	report.Starts = c.fleet.Starts()
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

// runPlan carries the faults out.
func (c *cell) runPlan(ctx context.Context, plan []Fault, l *outcomeLog) error {
	began := time.Now()
	targets := make(map[int]int)
	for _, s := range faultEvents(plan) {
		if wait := s.at - time.Since(began); wait > 0 {
			if err := c.timer.Pause(ctx, wait); err != nil {
				return err
			}
		}
		if s.fault.Target == leaderTarget {
			if s.begins {
				targets[s.faultIndex] = c.findLeader(ctx)
			}
			s.fault.Target = targets[s.faultIndex]
		}
		if err := c.applyEvent(ctx, s); err != nil {
			l.recordViolation("%s: %v", s.fault, err)
		}
	}
	return nil
}

// findLeader returns the node that sends most to the store, which is the one that
// appends to the log.
func (c *cell) findLeader(ctx context.Context) int {
	before := make([]int64, len(c.nodes))
	for i, n := range c.nodes {
		before[i] = n.storeProxy.callerBytes.Load()
	}
	// A look that is cut short only chooses another target.
	_ = c.timer.Pause(ctx, leaderSampleTime)
	best, most := 0, int64(-1)
	for i, n := range c.nodes {
		if sent := n.storeProxy.callerBytes.Load() - before[i]; sent > most {
			best, most = i, sent
		}
	}
	return best
}

// applyEvent begins or ends one fault.
func (c *cell) applyEvent(ctx context.Context, s faultEvent) error {
	f := s.fault
	link := LinkNone
	if s.begins {
		link = LinkFault(f.Way)
	}
	switch f.Kind {
	case FaultKill:
		return c.applyDown(s, []int{f.Target}, syscall.SIGKILL)
	case FaultTerminate:
		return c.applyDown(s, []int{f.Target}, syscall.SIGTERM)
	case FaultKillAll:
		return c.applyDown(s, c.allNodes(), syscall.SIGKILL)
	case FaultFreeze:
		if s.begins {
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
		if s.begins {
			c.fleet.Restart(c.upstreams[f.Target])
			c.upstreamProxies[f.Target].resetConns()
			return c.registerUpstreams(ctx)
		}
	case FaultStore:
		storeFault := standin.FaultNone
		if s.begins {
			storeFault = standin.Fault(f.Way)
		}
		c.store.SetFault(func(caller string) standin.Fault {
			if caller == platform.OperatorCaller {
				return standin.FaultNone
			}
			return storeFault
		})
	case FaultConfigure:
		if s.begins {
			return c.configure(ctx)
		}
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

// applyDown ends nodes, or lets them come back.
func (c *cell) applyDown(s faultEvent, nodes []int, signal syscall.Signal) error {
	for _, i := range nodes {
		if s.begins {
			c.nodes[i].beginDown(signal)
			continue
		}
		if err := c.nodes[i].endDown(); err != nil {
			return err
		}
	}
	return nil
}

// watchViolations looks for what must never happen until the context ends.
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

// settle heals everything, waits until all accepted work has ended, and checks
// what callers were told against what jobs are shown as.
func (c *cell) settle(ctx context.Context, l *outcomeLog) {
	for _, n := range c.nodes {
		if n.unexpectedExitCount() > 0 {
			l.recordViolation("%s ended by itself %d times", n.name, n.unexpectedExitCount())
		}
		n.resume()
		n.storeProxy.SetFault(LinkNone)
		n.peerProxy.SetFault(LinkNone)
	}
	for _, link := range c.upstreamProxies {
		link.SetFault(LinkNone)
	}
	c.store.SetFault(func(string) standin.Fault { return standin.FaultNone })
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	caller := platform.NewCaller(teamKey, callTimeout)
	unmatched := l.snapshot()
	for {
		for id, f := range unmatched {
			if c.outcomeMismatch(ctx, caller, id, f) == "" {
				delete(unmatched, id)
			}
		}
		if len(unmatched) == 0 || c.timer.Pause(ctx, settlePollInterval) != nil {
			break
		}
	}
	ids := make([]cawork.JobID, 0, len(unmatched))
	for id := range unmatched {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		l.recordViolation("job %s %s", id, c.outcomeMismatch(context.WithoutCancel(ctx), caller, id, unmatched[id]))
	}
}

// outcomeMismatch asks nodes for the phase of a job. It returns what contradicts the
// fate, or nothing.
func (c *cell) outcomeMismatch(ctx context.Context, caller *platform.Caller, id cawork.JobID, f outcome) string {
	mismatch := "is not told of by any node"
	for _, n := range c.nodes {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		answer := caller.Phase(callCtx, n.address(portFront), queueSpec(), id)
		cancel()
		if !answer.IsAccepted() && !answer.IsGone() {
			continue
		}
		mismatch = f.mismatch(answer.Phase, !answer.IsGone())
		break
	}
	return mismatch
}

// Error returns an error if a promise was broken.
func (r Report) Error() error {
	if len(r.Broken) == 0 {
		return nil
	}
	return cakind.New(cakind.KindInternal, "%d promises were broken, the first: %s", len(r.Broken), r.Broken[0])
}

// String returns the figures of the report.
func (r Report) String() string {
	return fmt.Sprintf("%d faults; %d jobs accepted, %d refused, %d canceled, %d without an answer; %d runs started; %d promises broken",
		len(r.Plan), r.Accepted, r.Refused, r.Canceled, r.Unknown, r.Starts, len(r.Broken))
}
