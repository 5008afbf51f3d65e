// Package calaunch carries out the decisions of the core: it records each
// attempt in its shard before it starts it, follows it to its end and tells
// callers what became of their jobs.
//
// One goroutine owns the scheduler and all state here. Calls to upstreams and
// to other entries run beside it and report back to it.
package calaunch

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/caescrow"
	"celeryarch.example/celeryarch/internal/coord/cajob"
	"celeryarch.example/celeryarch/internal/coord/caowner"
	"celeryarch.example/celeryarch/internal/coord/cashard"
	"celeryarch.example/celeryarch/internal/core/casched"
	"celeryarch.example/celeryarch/internal/node/catask"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

const (
	// tickPeriod is the time between two rounds of decisions without an event
	// while work waits for something, calmPeriod the time while none does.
	tickPeriod = 100 * time.Millisecond
	calmPeriod = time.Second
	// pollPeriod is the time between two polls of another owner while an attempt
	// is open on an upstream that is not owned here, calmPollPeriod the time while
	// none is. The calm ones find attempts that run although none is open.
	pollPeriod     = time.Second
	calmPollPeriod = 5 * time.Second
	// slowPeriod is the time between two looks at what is repeated seldom.
	slowPeriod = time.Second
	// startTimeout bounds a call that starts or stops an attempt.
	startTimeout = 1500 * time.Millisecond
	// peerTimeout bounds a call to another entry.
	peerTimeout = 1500 * time.Millisecond
	// mailboxSize is the number of reports that may wait for the loop.
	mailboxSize = 4096
)

// Shards replicates the records of the shards that this entry leads.
type Shards interface {
	Propose(s cawork.ShardID, record []byte) (<-chan error, error)
	Read(s cawork.ShardID, f func(cashard.StateMachine)) bool
	MayAct(s cawork.ShardID) (int64, bool)
	Statuses() []cashard.Status
}

// Leases tells whether this entry may send starts to an upstream now, and
// whether the upstream answers.
type Leases interface {
	Lease(id cawork.UpstreamID) (caowner.Lease, bool)
	// Silence returns the time for which no call of this entry to an upstream
	// was answered, zero when that is not known.
	Silence(id cawork.UpstreamID) time.Duration
}

// Directory tells what the platform lists, and who owns and leads what.
type Directory interface {
	// Upstream returns the VM of an upstream.
	Upstream(id cawork.UpstreamID) (caplatform.VM, bool)
	// IsGone reports whether an upstream will never run again, also one that was
	// never listed here.
	IsGone(id cawork.UpstreamID) bool
	// ZoneUpstreams returns the upstreams of the own zone that are not gone.
	ZoneUpstreams() []caplatform.VM
	// PossibleOwners returns the other entries of the own zone that may own an
	// upstream. It reports false when a further one may have done so within the
	// window before now.
	PossibleOwners(now time.Time, window time.Duration) ([]cawork.VMID, bool)
	// ZoneOwners returns the other live entries of the own zone, with the room
	// that they reported.
	ZoneOwners() []Owner
	// FarOwners returns the live entries of other zones.
	FarOwners() []Owner
	// ZoneEntries returns the live entries of a zone.
	ZoneEntries(z cawork.ZoneName) []cawork.VMID
	// HasSilent reports whether an entry that may still run is not reached.
	HasSilent() bool
	// KnowsEntry reports whether the VM is, or was, an entry.
	KnowsEntry(vm cawork.VMID) bool
	// Leader returns the entry that leads a shard.
	Leader(s cawork.ShardID) (cawork.VMID, bool)
	// Entries returns all other entries that are not known to have ended.
	Entries() []cawork.VMID
}

// Owner is another entry, with what it reported.
type Owner struct {
	VM          cawork.VMID
	Zone        cawork.ZoneName
	Shard       cawork.ShardID
	Free        cawork.Resources
	LargestHole cawork.Resources
}

// Allowances tells what new tasks of a team may be charged to a shard: what is
// available less what others claim for a lowered limit.
type Allowances interface {
	Startable(s cawork.ShardID, a *caescrow.Account, team cawork.TeamName) cawork.Resources
}

// Config wires a launcher.
type Config struct {
	Self    cawork.VMID
	Zone    cawork.ZoneName
	Shard   cawork.ShardID
	TaskTTL time.Duration
	// LapseAfter is the silence of an upstream towards all that may own it after
	// which no task runs there.
	LapseAfter time.Duration
	Scheduler  casched.Scheduler
	Shards     Shards
	Leases     Leases
	Directory  Directory
	Allowances Allowances
	Agents     caplatform.Agents
	Peers      Peers
	Timer      *catimer.Service
	Logger     zerolog.Logger
	Scope      tally.Scope
	// MayLack reports whether shards of the zone may have yet to be rebuilt.
	MayLack func() bool
	// Format returns the format of the records to come.
	Format func() caversion.Format
	// Generation identifies this life of the entry.
	Generation int64
}

// Launcher runs accepted jobs.
type Launcher struct {
	Config
	mailbox chan func()
	done    chan struct{}
	// stopWaits is closed when callers shall wait no longer.
	stopWaits chan struct{}
	// calls are those that run beside the loop. Run returns after them.
	calls    sync.WaitGroup
	ctx      context.Context
	policy   casched.Policy
	draining bool
	serial   int64

	table    *catask.Table
	led      map[cawork.ShardID]*ledShard
	attempts map[cawork.AttemptID]*attempt
	byTask   map[cawork.TaskRef]*attempt
	foreign  foreignTasks
	rests    rests
	waiters  map[cawork.JobID][]chan struct{}
	pending  map[keyedSubmission]struct{}
	unsent   []settlement
	unended  map[cawork.JobID]struct{}
	cursors  map[pollTarget]catask.Cursor
	lastTick time.Time
	lastSlow time.Time
	lastPoll time.Time
	// restUntil is the time before which nothing is decided.
	restUntil time.Time
	polling   map[cawork.VMID]struct{}
	// proving is set while other entries are asked about silent upstreams.
	proving  bool
	spilling map[cawork.JobID]struct{}
	// homes holds the shards of jobs that were not accepted by the shard that
	// their id names.
	homes   map[cawork.JobID]cawork.ShardID
	handing map[cawork.JobID]struct{}
}

// ledShard is a shard that this entry leads.
type ledShard struct {
	id cawork.ShardID
	// since is the first view of this lead, which upstreams are fenced with.
	since int64
	// recovered is false until the attempts of the former primary are known.
	recovered bool
	// unanswered lists the upstreams that have yet to be fenced.
	unanswered map[cawork.UpstreamID]struct{}
	// rebuilt is set while a shard that was rebuilt from the log takes in what
	// the log lacks.
	rebuilt *rebuiltShard
}

type pollTarget struct {
	owner cawork.VMID
	shard cawork.ShardID
}

// NewLauncher returns a launcher that leads its own shard.
func NewLauncher(c Config) *Launcher {
	l := &Launcher{
		Config:  c,
		mailbox: make(chan func(), mailboxSize),
		done:    make(chan struct{}),

		stopWaits: make(chan struct{}),
		table:     catask.NewTable(c.Generation),
		led:       make(map[cawork.ShardID]*ledShard),
		attempts:  make(map[cawork.AttemptID]*attempt),
		byTask:    make(map[cawork.TaskRef]*attempt),
		foreign:   make(foreignTasks),
		rests:     make(rests),
		waiters:   make(map[cawork.JobID][]chan struct{}),
		pending:   make(map[keyedSubmission]struct{}),
		unended:   make(map[cawork.JobID]struct{}),
		cursors:   make(map[pollTarget]catask.Cursor),
		polling:   make(map[cawork.VMID]struct{}),
		spilling:  make(map[cawork.JobID]struct{}),
		homes:     make(map[cawork.JobID]cawork.ShardID),
		handing:   make(map[cawork.JobID]struct{}),
	}
	l.led[c.Shard] = &ledShard{id: c.Shard, recovered: true}
	return l
}

// Run decides and follows until the context ends.
func (l *Launcher) Run(ctx context.Context) error {
	defer l.calls.Wait()
	defer close(l.done)
	l.ctx = ctx
	l.lastTick = l.now()
	alarm := newAlarm(l.Timer)
	defer alarm.close()
	for {
		alarm.set(l.nextTick())
		select {
		case <-ctx.Done():
			return nil
		case event := <-l.mailbox:
			event()
			l.drainMailbox()
		case <-alarm.ticks():
			l.lastTick = l.now()
			l.tick()
		}
		l.decide()
	}
}

// Done is closed when the launcher has ended.
func (l *Launcher) Done() <-chan struct{} { return l.done }

// drainMailbox handles what has queued up, so that one round of decisions
// serves many reports.
func (l *Launcher) drainMailbox() {
	for range mailboxSize {
		select {
		case event := <-l.mailbox:
			event()
		default:
			return
		}
	}
}

func (l *Launcher) tick() {
	l.refreshAllowances()
	l.retrySettlements()
	l.retryEnds()
	l.resolveAttempts()
	l.settleGone()
	l.endRests()
	if l.now().Sub(l.lastPoll) >= l.pollPause() {
		l.lastPoll = l.now()
		l.pollOwners()
	}
	if l.now().Sub(l.lastSlow) >= slowPeriod {
		l.lastSlow = l.now()
		l.refence()
		l.settleSilent()
		l.reclaimRebuilt()
		l.sendHandovers()
		if !l.draining {
			l.handOver()
		}
	}
}

func (l *Launcher) now() time.Time { return l.Timer.Now() }

// post hands a report to the loop. It returns without effect once the loop
// has ended.
func (l *Launcher) post(event func()) {
	select {
	case l.mailbox <- event:
	case <-l.done:
	}
}

// ask runs a question on the loop and waits for its end. It reports whether
// the question has run; if not, it may yet, so that what it writes must not be
// read.
func (l *Launcher) ask(ctx context.Context, question func()) bool {
	ran := make(chan struct{})
	l.post(func() {
		question()
		close(ran)
	})
	select {
	case <-ran:
		return true
	case <-ctx.Done():
		return false
	case <-l.done:
		return false
	}
}

// await runs a step on the loop and waits for the answer that it, or what it
// sets off, gives once. KindUnknown tells that the answer did not come in time.
func await[T any](ctx context.Context, l *Launcher, what string, step func(answer func(T, error))) (T, error) {
	type result struct {
		value T
		err   error
	}
	results := make(chan result, 1)
	l.post(func() { step(func(value T, err error) { results <- result{value, err} }) })
	var none T
	select {
	case r := <-results:
		return r.value, r.err
	case <-ctx.Done():
		return none, cakind.Wrap(cakind.KindUnknown, ctx.Err(), "%s", what)
	case <-l.done:
		return none, cakind.New(cakind.KindUnknown, "%s: entry %s has ended", what, l.Self)
	}
}

// SetPolicy replaces the policy of the scheduler.
func (l *Launcher) SetPolicy(p casched.Policy) {
	l.post(func() {
		l.policy = p
		l.Scheduler.SetPolicy(p, l.now())
	})
}

// SetRemoteUse passes on what other entries reported.
func (l *Launcher) SetRemoteUse(r casched.RemoteUse) {
	l.post(func() { l.Scheduler.SetRemoteUse(r, l.now()) })
}

// SetShard makes the launcher accept jobs into a new shard, after the former
// one was taken over.
func (l *Launcher) SetShard(s cawork.ShardID) {
	l.post(func() {
		l.Shard = s
		l.led[s] = &ledShard{id: s, recovered: true}
	})
}

// Drain refuses new jobs from now on and starts no further attempt.
func (l *Launcher) Drain() {
	l.post(func() {
		if !l.draining {
			l.draining = true
			close(l.stopWaits)
		}
	})
}

// refreshAllowances tells the scheduler what the led shards hold of each limit.
func (l *Launcher) refreshAllowances() {
	held := make(map[cawork.TeamName]cawork.Resources)
	for id := range l.led {
		l.readState(id, func(s *cajob.State) {
			for team := range s.Account().Teams {
				startable := l.Allowances.Startable(id, s.Account(), team)
				held[team] = held[team].Plus(s.Account().Charged(team)).Plus(startable)
			}
		})
	}
	for team, amount := range held {
		l.Scheduler.SetAllowance(team, amount, l.now())
	}
}

// readState calls f with the state of a shard that is led here.
func (l *Launcher) readState(id cawork.ShardID, f func(s *cajob.State)) bool {
	return l.Shards.Read(id, func(m cashard.StateMachine) { f(m.(*cajob.State)) })
}

// propose adds a record to a shard. The result is reported to the loop.
func (l *Launcher) propose(id cawork.ShardID, r cajob.Record, then func(err error)) error {
	r.At = l.now()
	payload, err := r.WithFormat(l.Format()).Encode()
	if err != nil {
		return err
	}
	result, err := l.Shards.Propose(id, payload)
	if err != nil {
		return err
	}
	go func() {
		select {
		case err := <-result:
			l.post(func() { then(err) })
		case <-l.done:
		}
	}()
	return nil
}
