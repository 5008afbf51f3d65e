// Package calaunch executes the decisions of the scheduler: it records each
// attempt in its shard before starting it, follows the attempt until it ends
// and reports the state of jobs to callers.
//
// A single goroutine, the loop, owns the scheduler and all state of this
// package. Calls to upstreams and to other entries run concurrently and post
// their results to the loop.
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
	// tickPeriod is the time between two rounds of decisions without an
	// event while work waits for a retry or for capacity, idleTickPeriod the
	// time otherwise.
	tickPeriod     = 100 * time.Millisecond
	idleTickPeriod = time.Second
	// pollPeriod is the time between two polls of another owner while an
	// attempt is open on an upstream that is not owned here, idlePollPeriod
	// the time otherwise. Polls without open attempts find attempts that run
	// without a record.
	pollPeriod     = time.Second
	idlePollPeriod = 5 * time.Second
	// maintenancePeriod is the time between two runs of the less frequent
	// tasks of a tick.
	maintenancePeriod = time.Second
	// startTimeout bounds a call that starts or stops an attempt.
	startTimeout = 1500 * time.Millisecond
	// peerTimeout bounds a call to another entry.
	peerTimeout = 1500 * time.Millisecond
	// mailboxSize is the number of events that can be queued for the loop.
	mailboxSize = 4096
)

// Shards replicates the records of the shards that this entry leads.
type Shards interface {
	AppendAsync(s cawork.ShardID, record []byte) (<-chan error, error)
	Read(s cawork.ShardID, f func(cashard.StateMachine)) bool
	MayAct(s cawork.ShardID) (int64, bool)
	Statuses() []cashard.Status
}

// Leases reports whether this entry may send starts to an upstream now, and
// whether the upstream answers.
type Leases interface {
	Lease(id cawork.UpstreamID) (caowner.Lease, bool)
	// TimeSinceAnswer returns how long no call from this entry to the upstream has
	// been answered. It is zero if unknown.
	TimeSinceAnswer(id cawork.UpstreamID) time.Duration
}

// Directory provides the VMs listed by the platform, the owners of upstreams
// and the leaders of shards.
type Directory interface {
	// Upstream returns the VM of an upstream.
	Upstream(id cawork.UpstreamID) (caplatform.VM, bool)
	// IsGone reports whether an upstream will never run again. It also
	// covers upstreams that were never listed here.
	IsGone(id cawork.UpstreamID) bool
	// ZoneUpstreams returns the upstreams of the local zone that are not
	// gone.
	ZoneUpstreams() []caplatform.VM
	// PossibleOwners returns the other entries of the local zone that may
	// own an upstream. It reports false if an entry not in the list may have
	// owned one during the window that ends now.
	PossibleOwners(now time.Time, window time.Duration) ([]cawork.VMID, bool)
	// ZoneOwners returns the other live entries of the local zone, with the
	// free capacity that they reported.
	ZoneOwners() []Owner
	// OtherZoneOwners returns the live entries of other zones.
	OtherZoneOwners() []Owner
	// ZoneEntries returns the live entries of a zone.
	ZoneEntries(z cawork.ZoneName) []cawork.VMID
	// HasUnreachableEntry reports whether an entry that may still be running cannot be
	// reached.
	HasUnreachableEntry() bool
	// IsKnownEntry reports whether the VM is, or was, an entry.
	IsKnownEntry(vm cawork.VMID) bool
	// Leader returns the entry that leads a shard.
	Leader(s cawork.ShardID) (cawork.VMID, bool)
	// Entries returns all other entries that are not known to have ended.
	Entries() []cawork.VMID
}

// Owner is another entry and the state that it reported.
type Owner struct {
	VM          cawork.VMID
	Zone        cawork.ZoneName
	Shard       cawork.ShardID
	Free        cawork.Resources
	LargestHole cawork.Resources
}

// Allowances computes how much new tasks of a team may be charged to a shard:
// the available allowance less what other shards claim to meet a lowered limit.
type Allowances interface {
	StartableAllowance(s cawork.ShardID, a *caescrow.Account, team cawork.TeamName) cawork.Resources
}

// Config holds the settings and dependencies of a launcher.
type Config struct {
	Self    cawork.VMID
	Zone    cawork.ZoneName
	Shard   cawork.ShardID
	TaskTTL time.Duration
	// LapseAfter is the time after which an upstream that answered none of
	// its possible owners runs no task.
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
	// MayNeedRebuild reports whether shards of the zone may still have to be
	// rebuilt.
	MayNeedRebuild func() bool
	// Format returns the format in which new records are encoded.
	Format func() caversion.Format
	// Generation identifies this incarnation of the entry.
	Generation int64
}

// Launcher runs accepted jobs.
type Launcher struct {
	Config
	mailbox chan func()
	done    chan struct{}
	// stopWaits is closed on drain, so that calls waiting for jobs return.
	stopWaits chan struct{}
	// calls counts the calls that run outside of the loop. Run waits for
	// them.
	calls     sync.WaitGroup
	ctx       context.Context
	policy    casched.Policy
	draining  bool
	jobSerial int64

	table        *catask.Table
	led          map[cawork.ShardID]*ledShard
	attempts     map[cawork.AttemptID]*attempt
	byTask       map[cawork.TaskRef]*attempt
	foreignTasks foreignTasks
	// ownedSince is when this entry gained the upstreams that it owns.
	ownedSince            map[cawork.UpstreamID]time.Time
	startBackoffs         startBackoffs
	waiters               map[cawork.JobID][]chan struct{}
	pendingSubmissions    map[keyedSubmission]struct{}
	unrecordedSettlements []settlement
	unrecordedEnds        map[cawork.JobID]struct{}
	cursors               map[pollTarget]catask.Cursor
	lastTick              time.Time
	lastMaintenance       time.Time
	lastPoll              time.Time
	// decisionsPausedUntil is the time until which no decision is made.
	decisionsPausedUntil time.Time
	polling              map[cawork.VMID]struct{}
	// checkingSilence is set while a query of other entries about silent
	// upstreams is in progress.
	checkingSilence bool
	spilling        map[cawork.JobID]struct{}
	// movedJobs holds the current shard of each job whose shard is not the one
	// in its id.
	movedJobs         map[cawork.JobID]cawork.ShardID
	handoversInFlight map[cawork.JobID]struct{}
}

// ledShard is a shard led by this entry.
type ledShard struct {
	id cawork.ShardID
	// firstView is the first view of the present leadership. Upstreams are
	// fenced with it.
	firstView int64
	// recovered is set once the attempts of the previous primary are known.
	recovered bool
	// unfenced lists the upstreams that still have to be fenced.
	unfenced map[cawork.UpstreamID]struct{}
	// rebuild is set while a shard rebuilt from the log recovers the
	// attempts missing from the log.
	rebuild *shardRebuild
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

		stopWaits:          make(chan struct{}),
		table:              catask.NewTable(c.Generation),
		led:                make(map[cawork.ShardID]*ledShard),
		attempts:           make(map[cawork.AttemptID]*attempt),
		byTask:             make(map[cawork.TaskRef]*attempt),
		foreignTasks:       make(foreignTasks),
		ownedSince:         make(map[cawork.UpstreamID]time.Time),
		startBackoffs:      make(startBackoffs),
		waiters:            make(map[cawork.JobID][]chan struct{}),
		pendingSubmissions: make(map[keyedSubmission]struct{}),
		unrecordedEnds:     make(map[cawork.JobID]struct{}),
		cursors:            make(map[pollTarget]catask.Cursor),
		polling:            make(map[cawork.VMID]struct{}),
		spilling:           make(map[cawork.JobID]struct{}),
		movedJobs:          make(map[cawork.JobID]cawork.ShardID),
		handoversInFlight:  make(map[cawork.JobID]struct{}),
	}
	l.led[c.Shard] = &ledShard{id: c.Shard, recovered: true}
	return l
}

// Run handles events and makes decisions until the context ends.
func (l *Launcher) Run(ctx context.Context) error {
	defer l.calls.Wait()
	defer close(l.done)
	l.ctx = ctx
	l.lastTick = l.now()
	timer := newTickTimer(l.Timer)
	defer timer.close()
	for {
		timer.set(l.nextTick())
		select {
		case <-ctx.Done():
			return nil
		case event := <-l.mailbox:
			event()
			l.handleQueuedEvents()
		case <-timer.ticks():
			l.lastTick = l.now()
			l.tick()
		}
		l.decide()
	}
}

// Done returns a channel that is closed when the launcher has stopped.
func (l *Launcher) Done() <-chan struct{} { return l.done }

// handleQueuedEvents handles the events queued so far, so that one round of
// decisions covers many of them.
func (l *Launcher) handleQueuedEvents() {
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
	l.retryJobEnds()
	l.resolveAttempts()
	l.settleGone()
	l.expireStartBackoffs()
	if l.now().Sub(l.lastPoll) >= l.pollInterval() {
		l.lastPoll = l.now()
		l.pollOwners()
	}
	if l.now().Sub(l.lastMaintenance) >= maintenancePeriod {
		l.lastMaintenance = l.now()
		l.retryFences()
		l.settleSilent()
		l.retryRebuilds()
		l.sendHandovers()
		if !l.draining {
			l.handOverUnplaced()
		}
	}
}

func (l *Launcher) now() time.Time { return l.Timer.Now() }

// post queues an event for the loop. It has no effect once the loop has ended.
func (l *Launcher) post(event func()) {
	select {
	case l.mailbox <- event:
	case <-l.done:
	}
}

// runOnLoop runs f on the loop and waits until it returns. If it reports false,
// f may still run later, so the caller must not read what f writes.
func (l *Launcher) runOnLoop(ctx context.Context, f func()) bool {
	ran := make(chan struct{})
	l.post(func() {
		f()
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

// await runs f on the loop and waits for the answer, which f or a later event
// gives exactly once. It returns KindUnknown if there is no answer before the
// context or the launcher ends.
func await[T any](ctx context.Context, l *Launcher, operation string, f func(answer func(T, error))) (T, error) {
	type result struct {
		value T
		err   error
	}
	results := make(chan result, 1)
	l.post(func() { f(func(value T, err error) { results <- result{value, err} }) })
	var zero T
	select {
	case r := <-results:
		return r.value, r.err
	case <-ctx.Done():
		return zero, cakind.Wrap(cakind.KindUnknown, ctx.Err(), "%s", operation)
	case <-l.done:
		return zero, cakind.New(cakind.KindUnknown, "%s: entry %s has ended", operation, l.Self)
	}
}

// SetPolicy replaces the policy of the scheduler.
func (l *Launcher) SetPolicy(p casched.Policy) {
	l.post(func() {
		l.policy = p
		l.Scheduler.SetPolicy(p, l.now())
	})
}

// SetRemoteUse passes the usage reported by other entries to the scheduler.
func (l *Launcher) SetRemoteUse(r casched.RemoteUse) {
	l.post(func() { l.Scheduler.SetRemoteUse(r, l.now()) })
}

// SetShard makes the launcher accept jobs into a new shard, after another entry
// took over the previous one.
func (l *Launcher) SetShard(s cawork.ShardID) {
	l.post(func() {
		l.Shard = s
		l.led[s] = &ledShard{id: s, recovered: true}
	})
}

// Drain makes the launcher refuse new jobs and start no further attempts.
func (l *Launcher) Drain() {
	l.post(func() {
		if !l.draining {
			l.draining = true
			close(l.stopWaits)
		}
	})
}

// refreshAllowances passes the allowances of the led shards to the scheduler,
// summed by team.
func (l *Launcher) refreshAllowances() {
	totals := make(map[cawork.TeamName]cawork.Resources)
	for id := range l.led {
		l.readState(id, func(s *cajob.State) {
			for team := range s.Account().Teams {
				startable := l.Allowances.StartableAllowance(id, s.Account(), team)
				totals[team] = totals[team].Plus(s.Account().Charged(team)).Plus(startable)
			}
		})
	}
	for team, amount := range totals {
		l.Scheduler.SetAllowance(team, amount, l.now())
	}
}

// readState calls f with the state of a shard that is led here.
func (l *Launcher) readState(id cawork.ShardID, f func(s *cajob.State)) bool {
	return l.Shards.Read(id, func(m cashard.StateMachine) { f(m.(*cajob.State)) })
}

// propose appends a record to a shard and passes the result to onResult on the
// loop.
func (l *Launcher) propose(id cawork.ShardID, r cajob.Record, onResult func(err error)) error {
	r.At = l.now()
	payload, err := r.WithFormat(l.Format()).Encode()
	if err != nil {
		return err
	}
	result, err := l.Shards.AppendAsync(id, payload)
	if err != nil {
		return err
	}
	go func() {
		select {
		case err := <-result:
			l.post(func() { onResult(err) })
		case <-l.done:
		}
	}()
	return nil
}
