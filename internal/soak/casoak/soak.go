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
	// settlePeriod is the time between two looks at what has not ended.
	settlePeriod = 500 * time.Millisecond
	// leaderLook is how long the bytes that nodes send to the store are counted.
	leaderLook = 100 * time.Millisecond
	// watchPeriod is the time between two looks at the promises.
	watchPeriod = 100 * time.Millisecond
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
	l := newLedger()
	watchCtx, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	go c.watch(watchCtx, l)
	load, stopLoad := context.WithTimeout(ctx, o.During)
	defer stopLoad()
	calls := &callers{cell: c, ledger: l, caller: platform.NewCaller(teamKey, callTimeout), random: rand.New(rand.NewSource(o.Seed))}
	told := make(chan struct{})
	go func() {
		defer close(told)
		calls.run(load)
	}()
	if err := c.play(ctx, report.Plan, l); err != nil {
		return report, err
	}
	<-told
	c.settle(ctx, l)
	stopWatching()
	report.Accepted, report.Refused, report.Canceled, report.Unknown = l.counts()
	report.Starts = c.fleet.Starts()
	report.Broken = l.breaches()
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

// play carries the faults out.
func (c *cell) play(ctx context.Context, plan []Fault, l *ledger) error {
	began := time.Now()
	targets := make(map[int]int)
	for _, s := range steps(plan) {
		if wait := s.at - time.Since(began); wait > 0 {
			if err := c.timer.Pause(ctx, wait); err != nil {
				return err
			}
		}
		if s.fault.Target == leaderTarget {
			if s.begins {
				targets[s.number] = c.leader(ctx)
			}
			s.fault.Target = targets[s.number]
		}
		if err := c.apply(ctx, s); err != nil {
			l.breach("%s: %v", s.fault, err)
		}
	}
	return nil
}

// leader returns the node that sends most to the store, which is the one that
// appends to the log.
func (c *cell) leader(ctx context.Context) int {
	before := make([]int64, len(c.nodes))
	for i, n := range c.nodes {
		before[i] = n.store.sent.Load()
	}
	// A look that is cut short only chooses another target.
	_ = c.timer.Pause(ctx, leaderLook)
	best, most := 0, int64(-1)
	for i, n := range c.nodes {
		if sent := n.store.sent.Load() - before[i]; sent > most {
			best, most = i, sent
		}
	}
	return best
}

// apply begins or ends one fault.
func (c *cell) apply(ctx context.Context, s step) error {
	f := s.fault
	link := LinkNone
	if s.begins {
		link = LinkFault(f.Way)
	}
	switch f.Kind {
	case FaultKill:
		return c.takeDown(s, []int{f.Target}, syscall.SIGKILL)
	case FaultTerminate:
		return c.takeDown(s, []int{f.Target}, syscall.SIGTERM)
	case FaultKillAll:
		return c.takeDown(s, c.allNodes(), syscall.SIGKILL)
	case FaultFreeze:
		if s.begins {
			c.nodes[f.Target].signal(syscall.SIGSTOP)
			return nil
		}
		c.nodes[f.Target].thaw()
	case FaultStoreLink:
		c.nodes[f.Target].store.SetFault(link)
	case FaultPeerLink:
		c.nodes[f.Target].peers.SetFault(link)
	case FaultUpstreamLink:
		c.links[f.Target].SetFault(link)
	case FaultUpstreamRestart:
		if s.begins {
			c.fleet.Restart(c.upstreams[f.Target])
			c.links[f.Target].reset()
			return c.register(ctx)
		}
	case FaultStore:
		way := standin.FaultNone
		if s.begins {
			way = standin.Fault(f.Way)
		}
		c.store.SetFault(func(caller string) standin.Fault {
			if caller == platform.OperatorCaller {
				return standin.FaultNone
			}
			return way
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

// takeDown ends nodes, or lets them come back.
func (c *cell) takeDown(s step, nodes []int, signal syscall.Signal) error {
	for _, i := range nodes {
		if s.begins {
			c.nodes[i].keepDown(signal)
			continue
		}
		if err := c.nodes[i].allow(); err != nil {
			return err
		}
	}
	return nil
}

// watch looks for what must never happen until the context ends.
func (c *cell) watch(ctx context.Context, l *ledger) {
	seen := 0
	for c.timer.Pause(ctx, watchPeriod) == nil {
		violations := c.fleet.Violations()
		for _, v := range violations[seen:] {
			l.breach("at the upstreams: %s", v)
		}
		seen = len(violations)
	}
}

// settle heals everything, waits until all accepted work has ended, and checks
// what callers were told against what jobs are shown as.
func (c *cell) settle(ctx context.Context, l *ledger) {
	for _, n := range c.nodes {
		if n.endedAlone() > 0 {
			l.breach("%s ended by itself %d times", n.name, n.endedAlone())
		}
		n.thaw()
		n.store.SetFault(LinkNone)
		n.peers.SetFault(LinkNone)
	}
	for _, link := range c.links {
		link.SetFault(LinkNone)
	}
	c.store.SetFault(func(string) standin.Fault { return standin.FaultNone })
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	caller := platform.NewCaller(teamKey, callTimeout)
	open := l.snapshot()
	for {
		for id, f := range open {
			if c.agrees(ctx, caller, id, f) == "" {
				delete(open, id)
			}
		}
		if len(open) == 0 || c.timer.Pause(ctx, settlePeriod) != nil {
			break
		}
	}
	ids := make([]cawork.JobID, 0, len(open))
	for id := range open {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		l.breach("job %s %s", id, c.agrees(context.WithoutCancel(ctx), caller, id, open[id]))
	}
}

// agrees asks nodes for the phase of a job. It returns what contradicts the
// fate, or nothing.
func (c *cell) agrees(ctx context.Context, caller *platform.Caller, id cawork.JobID, f fate) string {
	wrong := "is not told of by any node"
	for _, n := range c.nodes {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		answer := caller.Phase(callCtx, n.address(portFront), theQueue(), id)
		cancel()
		if !answer.IsAccepted() && !answer.IsGone() {
			continue
		}
		wrong = f.contradiction(answer.Phase, !answer.IsGone())
		break
	}
	return wrong
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
