package caleader

import (
	"context"
	"sync"
	"time"

	"github.com/oklog/run"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/caguard"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caboard"
	"celeryarch.example/celeryarch/internal/cell/calayout"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/cell/castate"
)

const (
	// planPause is the least time between two plans.
	planPause = 6 * time.Millisecond
	// planRestTimes is the same as a multiple of the time that a plan took, and
	// planRestMost its bound.
	planRestTimes = 4
	planRestMost  = 60 * time.Millisecond
	// planPeriod is the time between plans when nothing happens.
	planPeriod = 50 * time.Millisecond
	// commitLinger gathers changes into one append.
	commitLinger = 4 * time.Millisecond
	// stepBackAfter is how long the store turns appends away before the leader lets
	// others lead which reach it.
	stepBackAfter = 200 * time.Millisecond
	// RenewPeriod is the longest time between two appends of a leader.
	RenewPeriod = 150 * time.Millisecond
	// storeAwayAfter is how long an append may take before submissions are turned
	// away, and storeAwayTimes the same as a multiple of what the last one took, at
	// most storeAwayMost: a slow store serves patient work.
	storeAwayAfter = 500 * time.Millisecond
	storeAwayTimes = 2.5
	storeAwayMost  = 1800 * time.Millisecond
	// ClaimAge is how long after its last append a leader still grants leases.
	ClaimAge = 3 * time.Second
	// freshClaimAge is how long after its last append a leader may answer that
	// a job is not known.
	freshClaimAge = time.Second
	// listPeriod is the time between two readings of the list of upstreams.
	listPeriod = 350 * time.Millisecond
	// listTimeout bounds one reading of the list.
	listTimeout = time.Second
	// retryWhenAway is when callers should come back while the store is away.
	retryWhenAway = time.Second
	// retryWhenLoading is the same while a leader loads the jobs.
	retryWhenLoading = 250 * time.Millisecond
)

// errLoading is the answer of a leader that does not serve yet or any more.
var errLoading = cakind.New(cakind.KindNotStarted, "the leader is loading or hands over").WithRetryAfter(retryWhenLoading)

// errStoreAway is the answer for a job that can not be stored now.
var errStoreAway = cakind.New(cakind.KindUnavailable, "the store does not answer").WithRetryAfter(retryWhenAway)

// notKnownNow is the answer while another leader may know the job.
func notKnownNow(id cawork.JobID) error {
	return cakind.New(cakind.KindUnavailable, "it is not known now whether job %s exists", id).WithRetryAfter(retryWhenAway)
}

// Deps are what a leader works with.
type Deps struct {
	// Shard is the one that is led, of at most MostShards.
	Shard      int
	MostShards int
	// View returns the policy and the layout in force.
	View func() (caspec.Policy, calayout.Layout)
	// Divide takes up the layout that this leader decided and stored.
	Divide    func(calayout.Layout)
	Log       zerolog.Logger
	Scope     tally.Scope
	Timer     *catimer.Service
	Wall      func() int64
	Store     Log
	Upstreams Upstreams
	Registry  Registry
	Advisers  Advisers
	Seed      int64
}

// Leader leads a cell until it is deposed or its context ends.
type Leader struct {
	Deps
	token  int64
	writer writer
	wake   chan struct{}
	done   chan struct{}

	mu     sync.Mutex
	board  *caboard.Board
	loaded bool
	// waiters wait for the next record of a job, and flyingWaiters for that in
	// the append that is under way.
	waiters       map[cawork.JobID][]chan error
	flyingWaiters map[cawork.JobID][]chan error
	// flying are the jobs in the append that is under way.
	flying map[cawork.JobID]bool
	// flyingSince is when that append began.
	flyingSince time.Time
	// lastAppend is when the last append began that succeeded, and appendTook what
	// it took.
	lastAppend time.Time
	appendTook time.Duration
	// refusedSince is when the store began to turn all tries of an append away.
	refusedSince time.Time
	watched      map[cawork.UpstreamID]bool
	queue        adviserQueue
	stop         context.CancelCauseFunc
	released     bool
	// extra are entries for the next append that do not come from the board.
	extra []Entry
	// divided is the layout in those entries.
	divided calayout.Layout
	settle  settling
	policy  caspec.Policy
	layout  calayout.Layout
	orders  sync.WaitGroup
	// startTimes sets the time-out of starts.
	startTimes startTimes
}

// New returns the leader of the claim, whose token and end of the log are
// given.
func New(deps Deps, c Claim, token, end int64) *Leader {
	c.Token = token
	c.Batch = 1
	l := &Leader{
		Deps: deps, token: token, wake: make(chan struct{}, 1), done: make(chan struct{}),
		waiters: make(map[cawork.JobID][]chan error), flyingWaiters: make(map[cawork.JobID][]chan error), watched: make(map[cawork.UpstreamID]bool),
	}
	l.writer = writer{log: deps.Store, claim: c, end: end, pause: deps.Timer.Pause, tried: l.noteTry}
	now := l.moment()
	l.lastAppend = now.Steady
	inherited := now.Steady.Add(ClaimAge + caboard.LeaseLength + caboard.LeaseLength/20)
	l.board = caboard.New(deps.Log, deps.Seed, now, inherited)
	return l
}

// Token returns the fencing token.
func (l *Leader) Token() int64 { return l.token }

// Done is closed when the leader has ended.
func (l *Leader) Done() <-chan struct{} { return l.done }

// Run leads until the context ends or another leader stands. It loads the
// jobs, takes over what runs, and goes on from there.
func (l *Leader) Run(ctx context.Context) error {
	defer close(l.done)
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	l.setStop(stop)
	policy, layout := l.View()
	l.layout = layout
	l.SetPolicy(policy)
	if err := l.load(ctx); err != nil {
		return err
	}
	var g run.Group
	for _, part := range []func(context.Context) error{l.commitLoop, l.planLoop, l.listLoop} {
		partCtx, cancel := context.WithCancel(ctx)
		g.Add(func() error {
			return caguard.Do(l.Log, "leader", func() error { return part(partCtx) })
		}, func(error) { cancel() })
	}
	err := g.Run()
	stop(err)
	l.orders.Wait()
	l.abandon()
	if cause := context.Cause(ctx); cause != nil && cakind.Of(cause) == cakind.KindFenced {
		return cause
	}
	return err
}

func (l *Leader) setStop(stop context.CancelCauseFunc) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stop = stop
}

func (l *Leader) moment() caboard.Moment {
	return caboard.Moment{Steady: l.Timer.Now(), WallMS: l.Wall()}
}

// load takes up the jobs and the upstreams.
func (l *Leader) load(ctx context.Context) error {
	began := l.Timer.Now()
	type result struct {
		list []caspec.Upstream
		err  error
	}
	listed := make(chan result, 1)
	go func() {
		list, err := l.Registry.List(ctx)
		listed <- result{list, err}
	}()
	jobs, unreadable, err := loadJobs(ctx, l.Store, l.Timer.Pause)
	if err != nil {
		return err
	}
	upstreams := <-listed
	l.mu.Lock()
	defer l.mu.Unlock()
	l.board.SetNow(l.moment())
	if upstreams.err == nil {
		l.board.SetUpstreams(l.ownUpstreams(upstreams.list))
	}
	for _, j := range jobs {
		l.board.Restore(j)
	}
	l.loaded = true
	l.watchUpstreams(ctx)
	caevent.Info(l.Log, caevent.OwnershipGained).Int64("token", l.token).Int("jobs", len(jobs)).
		Int("unreadable", unreadable).Int("upstreams", len(upstreams.list)).AnErr("list_error", upstreams.err).
		Dur("load_took", l.Timer.Now().Sub(began)).Send()
	return nil
}

// abandon tells all who wait that their outcome is not known here.
func (l *Leader) abandon() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loaded = false
	for _, waiters := range []map[cawork.JobID][]chan error{l.waiters, l.flyingWaiters} {
		for id := range waiters {
			resolve(waiters, id, cakind.New(cakind.KindUnknown, "the leader changed before job %s was stored", id))
		}
	}
}

// resolve tells all who wait for a job.
func resolve(waiters map[cawork.JobID][]chan error, id cawork.JobID, err error) {
	for _, w := range waiters[id] {
		w <- err
	}
	delete(waiters, id)
}

// await returns a channel that tells when the newest change of a job is
// stored. The lock is held.
func (l *Leader) await(id cawork.JobID) <-chan error {
	wait := make(chan error, 1)
	if l.board.HasChange(id) {
		l.waiters[id] = append(l.waiters[id], wait)
	} else {
		l.flyingWaiters[id] = append(l.flyingWaiters[id], wait)
	}
	l.kick()
	return wait
}

// carryOut calls f beside the parts of the leader. When it panics, what it
// told the board may be half of a change, and the leader gives the cell up.
func (l *Leader) carryOut(f func()) {
	l.orders.Go(func() {
		err := caguard.Do(l.Log, "order of a leader", func() error {
			f()
			return nil
		})
		if err != nil {
			l.stop(err)
		}
	})
}

func (l *Leader) kick() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// SetPolicy puts a version of the policy in force, as far as this shard has a
// part in it.
func (l *Leader) SetPolicy(p caspec.Policy) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.policy = p
	if l.layout.IsZero() {
		return
	}
	l.board.SetPolicy(l.layout.PolicyFor(p))
	l.kick()
}

// fenced gives the cell up since an upstream obeys a later leader.
func (l *Leader) fenced(upstream cawork.UpstreamID) {
	l.stop(cakind.New(cakind.KindFenced, "upstream %s obeys a later leader than token %d", upstream, l.token))
}

// isAway reports whether the store does not answer. The lock is held.
func (l *Leader) isAway() bool {
	return !l.flyingSince.IsZero() && l.Timer.Now().Sub(l.flyingSince) > awayAfter(l.appendTook)
}

// awayAfter returns how long an append may take when the last one took so long.
func awayAfter(last time.Duration) time.Duration {
	return min(max(storeAwayAfter, time.Duration(storeAwayTimes*float64(last))), storeAwayMost)
}

// noteTry takes up what became of a try of an append.
func (l *Leader) noteTry(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil || cakind.Of(err) == cakind.KindConflict:
		l.refusedSince = time.Time{}
	case l.refusedSince.IsZero():
		l.refusedSince = l.Timer.Now()
	}
}

// IsTurnedAway reports whether the store has answered no append for long enough that
// an entry which reaches it should lead.
func (l *Leader) IsTurnedAway() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.refusedSince.IsZero() && l.Timer.Now().Sub(l.refusedSince) > stepBackAfter
}

// StoreAge returns how long ago the last append that succeeded began.
func (l *Leader) StoreAge() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Timer.Now().Sub(l.lastAppend)
}

// Submit accepts a job once it is stored. KindUnknown means that it may be
// accepted; other errors mean that it is not.
func (l *Leader) Submit(ctx context.Context, s caspec.Submission) error {
	wait, err := l.submit(s)
	if err != nil || wait == nil {
		return err
	}
	select {
	case err := <-wait:
		return err
	case <-ctx.Done():
		return l.giveUp(s.ID)
	}
}

func (l *Leader) submit(s caspec.Submission) (<-chan error, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.loaded || l.released || l.layout.IsZero() {
		return nil, errLoading
	}
	l.board.SetNow(l.moment())
	if l.isAway() && !l.board.IsPending(s.ID) {
		if _, known := l.board.Phase(s.ID); !known {
			return nil, errStoreAway
		}
	}
	stored, err := l.board.Submit(s)
	if err != nil || stored {
		return nil, err
	}
	return l.await(s.ID), nil
}

// giveUp ends the wait for a job. One that was not handed to the store yet is
// dropped.
func (l *Leader) giveUp(id cawork.JobID) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.flying[id] && len(l.waiters[id]) == 1 && l.board.Withdraw(id) {
		delete(l.waiters, id)
		return cakind.New(cakind.KindUnavailable, "job %s was not stored in time", id).WithRetryAfter(retryWhenAway)
	}
	return cakind.New(cakind.KindUnknown, "job %s may be stored", id)
}

// withdrawWaiting turns away what was not handed to the store, once the store
// is away. The lock is held.
func (l *Leader) withdrawWaiting() {
	for id := range l.waiters {
		if !l.flying[id] && l.board.Withdraw(id) {
			resolve(l.waiters, id, errStoreAway)
		}
	}
}

// isFresh reports whether no other leader can have accepted a job that this
// one does not know. The lock is held.
func (l *Leader) isFresh() bool {
	return l.loaded && l.Timer.Now().Sub(l.lastAppend) < freshClaimAge
}

// Phase returns the stored phase of a job. KindNotFound means that there is no
// such job.
func (l *Leader) Phase(id cawork.JobID) (castate.Phase, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.loaded {
		return 0, errLoading
	}
	phase, ok := l.board.Phase(id)
	switch {
	case ok:
		return phase, nil
	case l.board.IsPending(id) || !l.isFresh():
		return 0, notKnownNow(id)
	default:
		return 0, cakind.New(cakind.KindNotFound, "no job %s", id)
	}
}

// Cancel cancels a job and returns once that is stored. KindNotFound means
// that there is no such job.
func (l *Leader) Cancel(ctx context.Context, id cawork.JobID) error {
	wait, err := l.cancel(id)
	if err != nil || wait == nil {
		return err
	}
	select {
	case err := <-wait:
		return err
	case <-ctx.Done():
		return cakind.New(cakind.KindUnknown, "the cancellation of job %s may be stored", id)
	}
}

func (l *Leader) cancel(id cawork.JobID) (<-chan error, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.loaded {
		return nil, errLoading
	}
	l.board.SetNow(l.moment())
	known, stored := l.board.Cancel(id)
	switch {
	case !known && !l.isFresh():
		return nil, notKnownNow(id)
	case !known:
		return nil, cakind.New(cakind.KindNotFound, "no job %s", id)
	case stored:
		return nil, nil
	}
	return l.await(id), nil
}

// Pending counts the accepted jobs of a queue that have not begun.
func (l *Leader) Pending(q caspec.QueueName) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.loaded {
		return 0, errLoading
	}
	return l.board.Pending(q), nil
}
