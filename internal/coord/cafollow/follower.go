package cafollow

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// Defaults of Options.
const (
	// DefaultPollPeriod is the time between two reads of the log.
	DefaultPollPeriod = time.Second
	// DefaultCallTimeout bounds a call to the log or to a peer.
	DefaultCallTimeout = 2 * time.Second
	// DefaultSnapshotPeriod is the time between two snapshots in the log. It
	// must stay below a third of the log's retention time.
	DefaultSnapshotPeriod = 10 * time.Minute
	// DefaultSnapshotRecords is the number of records between two snapshots in
	// the log.
	DefaultSnapshotRecords = 256
)

// standbySnapshotFactor multiplies SnapshotPeriod and SnapshotRecords for an
// entry that is not elected, so that it writes a snapshot only when the elected
// entry has not.
const standbySnapshotFactor = 2

// pageSize is the maximum number of records in one read.
const pageSize = 64

// Peers fetches snapshots from other entries.
type Peers interface {
	// FetchConfig returns the snapshot that the VM holds. Its version may differ
	// from the requested one.
	FetchConfig(ctx context.Context, vm cawork.VMID, version Version) (Snapshot, error)
}

// Options configures a Follower. Zero values of the periods, the timeout and
// SnapshotRecords select the defaults.
type Options struct {
	Self   cawork.VMID
	Zone   cawork.ZoneName
	Log    caplatform.Log
	Topic  string
	Peers  Peers
	Timer  *catimer.Service
	Logger zerolog.Logger
	Scope  tally.Scope
	// Elected reports whether this entry is the one that writes snapshots. It
	// must not block. It is harmless if several entries are elected; if none is,
	// the others write snapshots after a longer period. A nil func means always
	// elected.
	Elected         func() bool
	PollPeriod      time.Duration
	CallTimeout     time.Duration
	SnapshotPeriod  time.Duration
	SnapshotRecords int64
}

func (o Options) withDefaults() Options {
	if o.PollPeriod == 0 {
		o.PollPeriod = DefaultPollPeriod
	}
	if o.CallTimeout == 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.SnapshotPeriod == 0 {
		o.SnapshotPeriod = DefaultSnapshotPeriod
	}
	if o.SnapshotRecords == 0 {
		o.SnapshotRecords = DefaultSnapshotRecords
	}
	if o.Elected == nil {
		o.Elected = func() bool { return true }
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return o
}

// Offer is the version that a peer has in force. It must come from the peer
// itself and not through a relay, because it also confirms that the peer's zone
// is reachable.
type Offer struct {
	VM      cawork.VMID
	Zone    cawork.ZoneName
	Version Version
}

// Follower tracks the version in force of one topic. Its methods, apart from
// Run, never block on the log or on peers.
type Follower struct {
	opts    Options
	current atomic.Pointer[Snapshot]
	done    chan struct{}
	workers sync.WaitGroup

	mu          sync.Mutex
	changed     chan struct{}
	peers       peerTable
	fetchSignal chan struct{}
	confirm     confirmation
	unsupported caversion.Format

	// The fields below are used by the goroutine of Run alone.
	state     State
	reading   bool
	fetching  bool
	appending bool
	logDown   bool
	// caughtUpAt is when the follower first reached the end of the log.
	caughtUpAt time.Time
	// lastSnapshotAt is when a new snapshot was last read from the log or
	// written to it. It is zero until then.
	lastSnapshotAt time.Time
	reads          chan readResult
	fetches        chan fetchResult
	appends        chan error
}

type readResult struct {
	page    caplatform.Page
	started time.Time
	err     error
}

type fetchResult struct {
	vm       cawork.VMID
	snapshot Snapshot
	err      error
}

// NewFollower returns a follower. Run starts it.
func NewFollower(o Options) *Follower {
	f := &Follower{
		opts:        o.withDefaults(),
		done:        make(chan struct{}),
		changed:     make(chan struct{}),
		peers:       newPeerTable(),
		fetchSignal: make(chan struct{}, 1),
		confirm:     newConfirmation(o.Zone),
		state:       NewState(),
		reads:       make(chan readResult, 1),
		fetches:     make(chan fetchResult, 1),
		appends:     make(chan error, 1),
	}
	f.storeCurrent()
	return f
}

// Current returns the version in force on this entry, or version 0 if none is
// known. It is also what peers fetch from this entry.
func (f *Follower) Current() Snapshot { return *f.current.Load() }

// Changed returns a channel that is closed when the version in force changes.
// Callers must call it before Current, or they may miss a change.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Done returns a channel that is closed when Run returns.
func (f *Follower) Done() <-chan struct{} { return f.done }

// Offer records the version that a peer has in force. If it is higher than the
// own version, Run fetches it from the peer.
func (f *Follower) Offer(o Offer) {
	now := f.opts.Timer.Now()
	f.mu.Lock()
	f.peers.observe(o, now)
	if o.Version <= f.Current().Version {
		f.confirm.confirmByPeer(o.Zone, now)
	}
	f.mu.Unlock()
	if o.Version > f.Current().Version {
		f.signalFetch()
	}
}

// ConfirmedAt returns when the version in force on this entry was last
// confirmed as the newest, either by a read to the end of the log or by peers
// in a majority of the zones. It returns the zero time if it was never
// confirmed.
func (f *Follower) ConfirmedAt(zones []cawork.ZoneName) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirm.latest(zones, f.opts.Timer.Now())
}

// Run follows the log and the peers until the context is done. Calls to the log
// and the peers must return when their context is done.
func (f *Follower) Run(ctx context.Context) error {
	defer close(f.done)
	defer f.workers.Wait()
	poll := f.opts.Timer.Every(f.opts.PollPeriod)
	defer poll.Close()
	f.read(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-poll.C:
			f.startPeriod(ctx)
		case <-f.fetchSignal:
			f.fetch(ctx)
		case r := <-f.reads:
			f.handleRead(ctx, r)
		case r := <-f.fetches:
			f.handleFetch(ctx, r)
		case err := <-f.appends:
			f.handleAppend(err)
		}
	}
}

func (f *Follower) startPeriod(ctx context.Context) {
	now := f.opts.Timer.Now()
	f.mu.Lock()
	f.peers.startPeriod(now)
	f.mu.Unlock()
	f.read(ctx)
	f.fetch(ctx)
}

func (f *Follower) signalFetch() {
	select {
	case f.fetchSignal <- struct{}{}:
	default:
	}
}

// runAsync runs a call with a timeout in its own goroutine.
func (f *Follower) runAsync(ctx context.Context, call func(context.Context)) {
	f.workers.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, f.opts.CallTimeout)
		defer cancel()
		call(callCtx)
	})
}

func (f *Follower) read(ctx context.Context) {
	if f.reading {
		return
	}
	f.reading = true
	from, started := f.state.ReadFrom(), f.opts.Timer.Now()
	f.runAsync(ctx, func(ctx context.Context) {
		page, err := f.opts.Log.Read(ctx, f.opts.Topic, from, pageSize)
		f.reads <- readResult{page, started, err}
	})
}

func (f *Follower) handleRead(ctx context.Context, r readResult) {
	f.reading = false
	if r.err != nil {
		f.setLogError(r.err)
		return
	}
	before := f.state
	next, decisions, err := f.state.WithPage(r.page)
	if cakind.Of(err) == cakind.KindUnavailable {
		f.setLogError(err)
		return
	}
	f.state = next
	f.setUnsupported(next.Later())
	f.setLogError(nil)
	f.reportViolation(err)
	f.logRejections(decisions)
	f.adopt("log")
	if !f.caughtUpAt.IsZero() && next.snapshotOffset > before.snapshotOffset {
		f.lastSnapshotAt = f.opts.Timer.Now()
	}
	if next.CaughtUp() {
		f.markCaughtUp()
		f.confirmByLog(r.started)
		f.writeSnapshot(ctx)
	}
	progress := next.ReadFrom() != before.ReadFrom() || next.readSinceSnapshot != before.readSinceSnapshot
	if progress && next.More() {
		f.read(ctx)
	}
}

func (f *Follower) markCaughtUp() {
	if f.caughtUpAt.IsZero() {
		f.caughtUpAt = f.opts.Timer.Now()
	}
}

func (f *Follower) confirmByLog(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirm.confirmByLog(at)
}

// fetch requests the snapshot of a peer that has a higher version. While the
// state has a gap, a peer with the same version qualifies too, because its
// snapshot may be as of a later offset.
func (f *Follower) fetch(ctx context.Context) {
	if f.fetching || f.opts.Peers == nil {
		return
	}
	peer, ok := f.nextPeer()
	if !ok {
		return
	}
	f.fetching = true
	f.runAsync(ctx, func(ctx context.Context) {
		snapshot, err := f.opts.Peers.FetchConfig(ctx, peer.VM, peer.Version)
		f.fetches <- fetchResult{peer.VM, snapshot, err}
	})
}

func (f *Follower) nextPeer() (Offer, bool) {
	minVersion := f.state.Version() + 1
	if f.state.Gap() {
		minVersion = f.state.Version()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peers.pick(minVersion)
}

func (f *Follower) handleFetch(ctx context.Context, r fetchResult) {
	f.fetching = false
	if r.err != nil {
		f.opts.Scope.Counter("config_fetch_failures").Inc(1)
		f.fetch(ctx)
		return
	}
	next, used, err := f.state.WithSnapshot(r.snapshot)
	f.reportViolation(err)
	f.state = next
	f.adopt("peer " + string(r.vm))
	if used {
		f.read(ctx)
	}
	f.fetch(ctx)
}

// writeSnapshot appends a snapshot if the log may soon drop the last one. The
// state must have caught up with the log.
func (f *Follower) writeSnapshot(ctx context.Context) {
	if f.appending || f.state.Version() == 0 || !f.snapshotDue() {
		return
	}
	f.appending = true
	s := f.state.Snapshot()
	payload := record{Snapshot: &s}.encode()
	f.runAsync(ctx, func(ctx context.Context) {
		_, err := f.opts.Log.Append(ctx, f.opts.Topic, [][]byte{payload})
		f.appends <- err
	})
}

// snapshotDue reports whether this entry should write a snapshot. The elected
// entry does so once a period. The others do so once that is overdue, because
// the elected entry may be unable to reach the log while its peers still reach
// it. An elected entry that has read no new snapshot since it caught up does
// not know how old the last snapshot in the log is, and writes one.
func (f *Follower) snapshotDue() bool {
	now := f.opts.Timer.Now()
	lag, ok := f.state.SnapshotLag()
	if f.opts.Elected() {
		age := now.Sub(f.lastSnapshotAt)
		return !ok || lag >= f.opts.SnapshotRecords || age >= f.opts.SnapshotPeriod
	}
	since := f.caughtUpAt
	if f.lastSnapshotAt.After(since) {
		since = f.lastSnapshotAt
	}
	return lag >= standbySnapshotFactor*f.opts.SnapshotRecords || now.Sub(since) >= standbySnapshotFactor*f.opts.SnapshotPeriod
}

func (f *Follower) handleAppend(err error) {
	f.appending = false
	if err != nil {
		f.setLogError(err)
		return
	}
	f.lastSnapshotAt = f.opts.Timer.Now()
	caevent.Info(f.opts.Logger, caevent.ConfigSnapshot).Int64("version", int64(f.state.Version())).Send()
}

// adopt publishes the state's version as the current one.
func (f *Follower) adopt(source string) {
	if f.state.current.AsOf == f.Current().AsOf {
		return
	}
	if f.state.Version() < f.Current().Version {
		f.reportViolation(violation("version %d after version %d", f.state.Version(), f.Current().Version))
		return
	}
	versionRaised := f.state.Version() > f.Current().Version
	f.storeCurrent()
	if !versionRaised {
		return
	}
	caevent.Info(f.opts.Logger, caevent.ConfigApplied).
		Int64("version", int64(f.state.Version())).
		Str("change_id", string(f.state.current.ChangeID)).
		Str("hash", f.state.current.Hash.String()).
		Str("source", source).Send()
	f.opts.Scope.Gauge("config_version").Update(float64(f.state.Version()))
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Follower) storeCurrent() {
	s := f.state.Snapshot()
	f.current.Store(&s)
}

func (f *Follower) setLogError(err error) {
	switch {
	case err != nil && !f.logDown:
		caevent.Warn(f.opts.Logger, caevent.LogUnavailable).Str("topic", f.opts.Topic).Err(err).Send()
	case err == nil && f.logDown:
		caevent.Info(f.opts.Logger, caevent.LogRestored).Str("topic", f.opts.Topic).Send()
	}
	f.logDown = err != nil
}

// Later returns the format of the log record at which this follower has
// stopped, because only newer releases can read it. It returns zero if there is
// no such record.
func (f *Follower) Later() caversion.Format {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unsupported
}

func (f *Follower) setUnsupported(format caversion.Format) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if format != 0 && format != f.unsupported {
		caevent.Warn(f.opts.Logger, caevent.RecordLater).Str("topic", f.opts.Topic).Int("format", int(format)).
			Int64("offset", int64(f.state.ReadFrom())).Send()
	}
	f.unsupported = format
}

func (f *Follower) reportViolation(err error) {
	if err == nil {
		return
	}
	f.opts.Scope.Counter("config_violations").Inc(1)
	caevent.Warn(f.opts.Logger, caevent.ConfigRefused).Err(err).Send()
}

func (f *Follower) logRejections(decisions []Decision) {
	for _, d := range decisions {
		if d.Accepted {
			continue
		}
		caevent.Info(f.opts.Logger, caevent.ConfigConflict).
			Str("change_id", string(d.ID)).
			Int64("version", int64(d.Version)).
			Str("winner", string(d.Winner)).Send()
	}
}
