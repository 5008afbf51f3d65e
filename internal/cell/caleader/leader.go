package caleader

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/caguard"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/calatency"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caapproval"
	"celeryarch.example/celeryarch/internal/cell/caboard"
	"celeryarch.example/celeryarch/internal/cell/cagauge"
	"celeryarch.example/celeryarch/internal/cell/calayout"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/cell/castate"
)

const (
	// minPlanInterval is the minimum time from the beginning of a plan to that of
	// the next one.
	minPlanInterval = 6 * time.Millisecond
	// planIntervalFactor extends that time to a multiple of the duration of the
	// last plan, up to maxPlanInterval. Longer plans take a share of the time that
	// minPlanIntervalFactor bounds.
	planIntervalFactor    = 4
	maxPlanInterval       = 60 * time.Millisecond
	minPlanIntervalFactor = 2
	// idlePlanPeriod is the time between plans without events.
	idlePlanPeriod = 50 * time.Millisecond
	// commitLinger is the delay before an append that lets more changes join it.
	commitLinger = 4 * time.Millisecond
	// appendsFailingAfter is how long all append attempts must have failed before
	// another entry that reaches the store may take over.
	appendsFailingAfter = 200 * time.Millisecond
	// ClaimRenewPeriod is the longest time between two appends of a leader.
	ClaimRenewPeriod = 150 * time.Millisecond
	// minStoreSuspectTime is how long an append may take before the store is
	// suspected to be down and submissions are rejected. storeSuspectFactor
	// extends that time to a multiple of the duration of the last append, up to
	// maxStoreSuspectTime, since a slow store still serves jobs that can wait.
	minStoreSuspectTime = 500 * time.Millisecond
	storeSuspectFactor  = 2.5
	maxStoreSuspectTime = 1800 * time.Millisecond
	// MaxClaimAge is how long after its last append a leader may still grant leases.
	MaxClaimAge = 3 * time.Second
	// maxGrantedLease is the longest time until a lease has expired that is granted now.
	maxGrantedLease = caboard.LeaseDuration + caboard.LeaseDuration/20
	// MaxInheritedLease is the longest time until the leases have expired that leaders before a
	// claim granted, from the time of the claim on.
	MaxInheritedLease = MaxClaimAge + maxGrantedLease
	// MinLogIdle is how long the log of a leader that does not answer must have had no append before
	// another entry claims it. For as long after its last append a leader may answer that a job does not
	// exist.
	MinLogIdle = 300 * time.Millisecond
	// retryWhenUnavailable is the delay after which callers should retry while the
	// store is unavailable.
	retryWhenUnavailable = time.Second
	// retryWhenLoading is the same delay while a leader loads the jobs.
	retryWhenLoading = 250 * time.Millisecond
)

// errLoading is returned while the leader starts up or shuts down.
var errLoading = cakind.New(cakind.KindNotStarted, "the leader is loading jobs or handing over").WithRetryAfter(retryWhenLoading)

// errStoreUnavailable is returned for a job that cannot be stored now.
var errStoreUnavailable = cakind.New(cakind.KindUnavailable, "the store is not responding").WithRetryAfter(retryWhenUnavailable)

// jobUndeterminedError returns the error for a job that is unknown here while
// another leader may have accepted it.
func jobUndeterminedError(id cawork.JobID) error {
	return cakind.New(cakind.KindUnavailable, "cannot determine now whether job %s exists", id).WithRetryAfter(retryWhenUnavailable)
}

// Deps are the dependencies and settings of a leader.
type Deps struct {
	// Shard is the number of the shard to lead. A cell has at most MaxShards.
	Shard     int
	MaxShards int
	// RecordBytes is how large a record may be, with its key and one byte for the length of that. Zero
	// means no bound.
	RecordBytes int
	// View returns the current policy and layout.
	View func() (caspec.Policy, calayout.Layout)
	// OnLayoutStored is called with a layout that this leader has stored, or found in the store.
	OnLayoutStored func(calayout.Layout)
	Log            zerolog.Logger
	Scope          tally.Scope
	Timer          *catimer.Service
	WallClockMS    func() int64
	Store          Log
	Upstreams      Upstreams
	Registry       Registry
	AdvisorProxies AdvisorProxies
	Seed           int64
	// Previous is the last leader before that may have granted leases.
	Previous Granter
	// ListBound is how long after an upstream reported that it drains a run may still start
	// there. Zero means that there is no bound.
	ListBound time.Duration
	// LeaderFitness returns which fraction of what the leader of a full shard needs the fittest
	// entry has. It may be nil where all have enough.
	LeaderFitness func() float64
	// EndsDelay is how long the ends of tasks that complete no step may wait to be stored together
	// with others, to spare the link of the entry. Zero means not at all.
	EndsDelay time.Duration
	// ReportOpenJobs reports how many accepted jobs have not ended, by queue, from time to time and with nil when
	// the leader stops leading. It may be nil.
	ReportOpenJobs func(map[caspec.QueueName]int)
	// ReportTeams reports the open work of teams at the same times. It may be nil.
	ReportTeams func(map[cawork.TeamName]cagauge.TeamUse)
}

// Leader leads one shard of a cell until another leader takes over or its context
// ends.
type Leader struct {
	Deps
	token  int64
	writer writer
	wake   chan struct{}
	done   chan struct{}

	inbox inbox
	// loaded is set while the leader has loaded the jobs and leads.
	loaded atomic.Bool
	// granting is set once a claim is stored by which the leader may grant leases.
	granting atomic.Bool
	// lastAppend is when the last successful append began.
	lastAppend moment
	// appendTook is the duration of that append, in nanoseconds.
	appendTook atomic.Int64
	// appendsFailingSince is when the current series of failed append attempts
	// began, zero after a success.
	appendsFailingSince moment
	// loadFailingSince is when the current series of failed reads of the jobs began, zero after
	// a success.
	loadFailingSince moment
	// unstartedJobs are the counts of Pending, by queue.
	unstartedJobs atomic.Pointer[map[caspec.QueueName]int]
	// released is set once Release was called.
	released atomic.Bool

	mu      partLock
	planner *caboard.Planner
	// waiters wait for the next record of a job, and inFlightWaiters for the
	// record in the append in flight.
	waiters         map[cawork.JobID][]chan error
	inFlightWaiters map[cawork.JobID][]chan error
	// inFlightJobs are the jobs in the append in flight.
	inFlightJobs map[cawork.JobID]bool
	// inFlightSince is when that append began, zero without one.
	inFlightSince time.Time
	// lastAppendTook is the duration of the last successful append.
	lastAppendTook time.Duration
	renewing       map[cawork.UpstreamID]bool
	proxies        *caapproval.Proxies
	stopLeading    context.CancelCauseFunc
	// extraEntries are records for the next append that do not come from the planner.
	extraEntries []LogEntry
	// proposedLayout is the layout in those records.
	proposedLayout calayout.Layout
	upstreamCount  upstreamCount
	// keysVersion is the version of the policy whose keys the layout has followed, at keysCheckedAt.
	keysVersion   int64
	keysCheckedAt time.Time
	// countedAt is when unstartedJobs were counted.
	countedAt time.Time
	// openReportedAt is when the open jobs were last reported.
	openReportedAt time.Time
	policy         caspec.Policy
	layout         calayout.Layout
	goroutines     sync.WaitGroup
	// runTimes is the last stored record of the speeds of upstreams, stored at runTimesAt.
	runTimes   []byte
	runTimesAt time.Time
	// listReadAt is when the last successful read of the list of upstreams began.
	listReadAt time.Time
	// startLatency and stopLatency determine the timeouts of starts and stops.
	startLatency *startLatency
	stopLatency  *calatency.Quantile
}

// New returns a leader that holds the claim with the fencing token. end is the
// offset after the claim in the log.
func New(deps Deps, c Claim, token, end int64) *Leader {
	c.Token = token
	c.Seq = 1
	l := &Leader{
		Deps: deps, token: token, wake: make(chan struct{}, 1), done: make(chan struct{}),
		waiters: make(map[cawork.JobID][]chan error), inFlightWaiters: make(map[cawork.JobID][]chan error), renewing: make(map[cawork.UpstreamID]bool),
		proxies: caapproval.New(), startLatency: newStartLatency(),
		stopLatency: calatency.NewQuantile(calatency.Bounds{Min: minStopTimeout, Max: maxStopTimeout}),
	}
	l.mu.now = deps.Timer.Now
	l.writer = newWriter(deps.Store, c, end, deps.Timer.Pause)
	l.writer.onAttempt, l.writer.recordBytes = l.recordAppendAttempt, deps.RecordBytes
	l.lastAppendTook = c.AppendTook
	l.appendTook.Store(int64(c.AppendTook))
	now := l.now()
	l.lastAppend.store(now.Monotonic)
	l.planner = caboard.New(deps.Log, deps.Seed, now, now.Monotonic.Add(c.longestLease()))
	if deps.RecordBytes > 0 {
		l.planner.SetRecordBytes(max(deps.RecordBytes-1-len(jobPrefix), 1))
	}
	l.planner.SetEndsDelay(deps.EndsDelay)
	l.granting.Store(!c.GrantsNone)
	l.planner.SetToken(token)
	l.planner.InheritSilence(c.Silent)
	l.planner.InheritLongLeases(c.LongLeases)
	l.planner.InheritRequestDelay(c.RequestDelay)
	l.proxies.Inherit(now.Monotonic, c.AdvisorSlowness)
	return l
}

// ObserveProcess applies that a process of the VM listens at the address now. If it has
// replaced the one that led before, that one grants no leases any more.
func (l *Leader) ObserveProcess(vm cawork.VMID, address string, process int64) {
	if !l.Previous.IsSucceededBy(vm, address, process) {
		return
	}
	l.inbox.put(func() { l.inbox.previousGone = true })
}

// Token returns the fencing token.
func (l *Leader) Token() int64 { return l.token }

// Done is closed when Run has returned.
func (l *Leader) Done() <-chan struct{} { return l.done }

// Run loads the jobs, adopts their runs, and leads the shard until the context
// ends, the shard is released, or another leader takes over.
func (l *Leader) Run(ctx context.Context) error {
	defer close(l.done)
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	l.setStopLeading(stop)
	policy, layout := l.View()
	l.layout = layout
	l.SetPolicy(policy)
	if err := l.loadRenewing(ctx); err != nil {
		l.endLeading(err)
		return err
	}
	var g run.Group
	for _, loop := range []func(context.Context) error{l.commitLoop, l.planLoop, l.listLoop, l.usageLoop} {
		loopCtx, cancel := context.WithCancel(ctx)
		g.Add(func() error {
			return caguard.Do(l.Log, "leader", func() error { return loop(loopCtx) })
		}, func(error) { cancel() })
	}
	err := g.Run()
	l.endLeading(err)
	if cause := context.Cause(ctx); cause != nil && cakind.Of(cause) == cakind.KindFenced {
		return cause
	}
	return err
}

// endLeading stops all that the leader does and answers the callers that wait.
func (l *Leader) endLeading(err error) {
	l.stopLeading(err)
	l.goroutines.Wait()
	l.failWaiters()
	if l.ReportOpenJobs != nil {
		l.ReportOpenJobs(nil)
	}
	if l.ReportTeams != nil {
		l.ReportTeams(nil)
	}
}

func (l *Leader) setStopLeading(stop context.CancelCauseFunc) {
	l.lock(partCommit)
	defer l.mu.unlock()
	l.stopLeading = stop
}

func (l *Leader) now() caboard.ClockReading {
	return caboard.ClockReading{Monotonic: l.Timer.Now(), WallMS: l.WallClockMS()}
}

// failWaiters ends all waits. A job that no append has included does not exist; the outcome of
// all others is unknown.
func (l *Leader) failWaiters() {
	l.loaded.Store(false)
	l.lock(partCommit)
	defer l.mu.unlock()
	for id := range l.waiters {
		if !l.inFlightJobs[id] && l.planner.IsUnstored(id) {
			notifyWaiters(l.waiters, id, errLoading)
		}
	}
	for _, waiters := range []map[cawork.JobID][]chan error{l.waiters, l.inFlightWaiters} {
		for id := range waiters {
			notifyWaiters(waiters, id, cakind.New(cakind.KindUnknown, "the leader changed before job %s was stored", id))
		}
	}
}

// notifyWaiters sends err to all waiters of a job and removes them.
func notifyWaiters(waiters map[cawork.JobID][]chan error, id cawork.JobID, err error) {
	for _, w := range waiters[id] {
		w <- err
	}
	delete(waiters, id)
}

// addWaiter returns a channel that receives the outcome once the newest change of
// a job is stored. The lock is held.
func (l *Leader) addWaiter(id cawork.JobID) <-chan error {
	done := make(chan error, 1)
	if l.planner.IsInNextBatch(id) {
		l.waiters[id] = append(l.waiters[id], done)
	} else {
		l.inFlightWaiters[id] = append(l.inFlightWaiters[id], done)
	}
	l.wakePlanner()
	return done
}

// spawn calls f in a goroutine. If f panics, it may have left a partial change in
// the planner, so the leader stops.
func (l *Leader) spawn(f func()) {
	l.goroutines.Go(func() {
		err := caguard.Do(l.Log, "leader order", func() error {
			f()
			return nil
		})
		if err != nil {
			l.stopLeading(err)
		}
	})
}

func (l *Leader) wakePlanner() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// tokenOr returns the fencing token of a call, or that of the leader if it is zero.
func (l *Leader) tokenOr(token int64) int64 { return cmp.Or(token, l.token) }

// stepDown stops the leader because an upstream has accepted a later fencing token.
func (l *Leader) stepDown(upstream cawork.UpstreamID) {
	l.stopLeading(cakind.New(cakind.KindFenced, "upstream %s has accepted a later fencing token than %d", upstream, l.token))
}

// isStoreSuspected reports whether the append in flight takes so long that the
// store is suspected to be down. The lock is held.
func (l *Leader) isStoreSuspected() bool {
	return !l.inFlightSince.IsZero() && l.Timer.Now().Sub(l.inFlightSince) > storeSuspectTime(l.lastAppendTook)
}

// storeSuspectTime returns how long an append may take before the store is suspected,
// given the duration of the last one.
func storeSuspectTime(lastAppend time.Duration) time.Duration {
	return min(max(minStoreSuspectTime, time.Duration(storeSuspectFactor*float64(lastAppend))), maxStoreSuspectTime)
}

// recordAppendAttempt records the outcome of an append attempt. A conflict and a refused record
// count as a success here, since the store has answered.
func (l *Leader) recordAppendAttempt(err error) {
	kind := cakind.Of(err)
	switch {
	case err == nil || kind == cakind.KindConflict || kind == cakind.KindUnstorable:
		l.appendsFailingSince.store(time.Time{})
	case l.appendsFailingSince.load().IsZero():
		l.appendsFailingSince.store(l.Timer.Now())
	}
}

// AreAppendsFailing reports whether all append attempts have failed for so long that
// another entry that reaches the store should lead.
func (l *Leader) AreAppendsFailing() bool {
	since := l.appendsFailingSince.load()
	return !since.IsZero() && l.Timer.Now().Sub(since) > appendsFailingAfter
}

// LastAppendAge returns the time since the last successful append began.
func (l *Leader) LastAppendAge() time.Duration { return l.Timer.Now().Sub(l.lastAppend.load()) }

// LastAppendTook returns the duration of the last successful append, zero before the first one.
func (l *Leader) LastAppendTook() time.Duration { return time.Duration(l.appendTook.Load()) }

// Submit accepts a job and returns once it is stored. KindUnknown means that the
// job may have been accepted; other errors mean that it has not.
func (l *Leader) Submit(ctx context.Context, s caspec.Submission) error {
	done, err := l.submit(s)
	if err != nil || done == nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return l.endSubmitWait(s.ID)
	}
}

func (l *Leader) submit(s caspec.Submission) (<-chan error, error) {
	if !l.loaded.Load() || l.released.Load() {
		return nil, errLoading
	}
	l.lock(partSubmit)
	defer l.mu.unlock()
	if !l.loaded.Load() || l.layout.IsZero() {
		return nil, errLoading
	}
	l.planner.SetNow(l.now())
	if l.isStoreSuspected() && !l.planner.IsUnstored(s.ID) {
		if _, known := l.planner.Phase(s.ID); !known {
			return nil, errStoreUnavailable
		}
	}
	stored, err := l.planner.Submit(s)
	if err != nil || stored {
		return nil, err
	}
	return l.addWaiter(s.ID), nil
}

// endSubmitWait ends the wait for a submitted job. It drops the job if no append
// has included it yet and nobody else has submitted it again.
func (l *Leader) endSubmitWait(id cawork.JobID) error {
	l.lock(partCall)
	defer l.mu.unlock()
	if !l.inFlightJobs[id] && len(l.waiters[id]) == 1 && l.planner.Withdraw(id) {
		delete(l.waiters, id)
		return cakind.New(cakind.KindUnavailable, "job %s was not stored in time", id).WithRetryAfter(retryWhenUnavailable)
	}
	return cakind.New(cakind.KindUnknown, "job %s may have been stored", id)
}

// rejectUnsentJobs rejects the submitted jobs that no append has included yet. It
// is called while the store is suspected. The lock is held.
func (l *Leader) rejectUnsentJobs() {
	for id := range l.waiters {
		if !l.inFlightJobs[id] && l.planner.Withdraw(id) {
			notifyWaiters(l.waiters, id, errStoreUnavailable)
		}
	}
}

// isClaimFresh reports whether the last append is recent enough to rule out that
// another leader has accepted jobs unknown here. The lock is held.
func (l *Leader) isClaimFresh() bool {
	return l.loaded.Load() && l.Timer.Now().Sub(l.lastAppend.load()) < MinLogIdle
}

// Phase returns the stored phase of a job. KindNotFound means that the job does
// not exist.
func (l *Leader) Phase(id cawork.JobID) (castate.Phase, error) { return l.PhaseOf(id, nil) }

// PhaseOf is Phase for a job of some teams. Without teams it finds all jobs.
func (l *Leader) PhaseOf(id cawork.JobID, teams []cawork.TeamName) (castate.Phase, error) {
	if !l.loaded.Load() {
		return 0, errLoading
	}
	l.lock(partCall)
	defer l.mu.unlock()
	if !l.loaded.Load() {
		return 0, errLoading
	}
	phase, ok := l.planner.Phase(id)
	isOfTeams := len(teams) == 0 || l.planner.IsOfTeams(id, teams)
	switch {
	case ok && isOfTeams:
		return phase, nil
	case ok:
		return 0, cakind.New(cakind.KindNotFound, "no job %s of teams %v", id, teams)
	case l.planner.IsUnstored(id) || !l.isClaimFresh():
		return 0, jobUndeterminedError(id)
	default:
		return 0, cakind.New(cakind.KindNotFound, "no job %s", id)
	}
}

// Cancel cancels a job and returns once the cancellation is stored. KindNotFound
// means that the job does not exist.
func (l *Leader) Cancel(ctx context.Context, id cawork.JobID) error {
	began := l.Timer.Now()
	done, err := l.cancel(id)
	applied := l.Timer.Now()
	if err == nil && done != nil {
		err = awaitCancel(ctx, id, done)
	}
	l.reportCancel(id, applied.Sub(began), l.Timer.Now().Sub(applied), err)
	return err
}

// awaitCancel waits until the cancellation of a job is stored.
func awaitCancel(ctx context.Context, id cawork.JobID, done <-chan error) error {
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return cakind.New(cakind.KindUnknown, "the cancellation of job %s may have been stored", id)
	}
}

func (l *Leader) cancel(id cawork.JobID) (<-chan error, error) {
	if !l.loaded.Load() {
		return nil, errLoading
	}
	l.lock(partCall)
	defer l.mu.unlock()
	if !l.loaded.Load() {
		return nil, errLoading
	}
	l.planner.SetNow(l.now())
	known, stored := l.planner.Cancel(id)
	switch {
	case !known && !l.isClaimFresh():
		return nil, jobUndeterminedError(id)
	case !known:
		return nil, cakind.New(cakind.KindNotFound, "no job %s", id)
	case stored:
		return nil, nil
	}
	return l.addWaiter(id), nil
}
