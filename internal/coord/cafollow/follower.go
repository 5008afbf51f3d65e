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

// Defaults of the options.
const (
	// DefaultPollPeriod is the time between two reads of the log.
	DefaultPollPeriod = time.Second
	// DefaultCallTimeout bounds a call to the log or to a peer.
	DefaultCallTimeout = 2 * time.Second
	// DefaultSnapshotPeriod is the time after which a snapshot is written
	// again. It must stay below a third of the retention of the log.
	DefaultSnapshotPeriod = 10 * time.Minute
	// DefaultSnapshotRecords is the number of records after which a snapshot
	// is written again.
	DefaultSnapshotRecords = 256
)

// stepInAfter is the number of periods, or of multiples of the records, after
// which an entry that is not elected writes a snapshot.
const stepInAfter = 2

// pageSize is the number of records that one read asks for.
const pageSize = 64

// Peers fetches snapshots from other entries.
type Peers interface {
	// FetchConfig returns the snapshot of the VM. It may return another
	// version than the one asked for.
	FetchConfig(ctx context.Context, vm cawork.VMID, version Version) (Snapshot, error)
}

// Options are what a follower needs. Zero values of the periods stand for the
// defaults.
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
	// must not block. Two entries that both do are harmless, and the others step
	// in when none does. Without it the entry is always elected.
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

// Offer tells the version that a peer has in force. It must come from the
// peer itself, not relayed, because it confirms that its zone is reachable.
type Offer struct {
	VM      cawork.VMID
	Zone    cawork.ZoneName
	Version Version
}

// Follower keeps the version in force of one topic. Its methods never block
// on the log or on peers.
type Follower struct {
	opts    Options
	current atomic.Pointer[Snapshot]
	done    chan struct{}
	workers sync.WaitGroup

	mu      sync.Mutex
	changed chan struct{}
	offers  offerBook
	wake    chan struct{}
	confirm confirmation
	later   caversion.Format

	// The fields below belong to the goroutine of Run.
	state     State
	reading   bool
	fetching  bool
	appending bool
	logDown   bool
	// caughtUpAt is when the follower first reached the end of the log.
	caughtUpAt   time.Time
	snapshotSeen time.Time
	reads        chan readResult
	fetches      chan fetchResult
	appends      chan error
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

// NewFollower returns a follower that starts with Run.
func NewFollower(o Options) *Follower {
	f := &Follower{
		opts:    o.withDefaults(),
		done:    make(chan struct{}),
		changed: make(chan struct{}),
		offers:  newOfferBook(),
		wake:    make(chan struct{}, 1),
		confirm: newConfirmation(o.Zone),
		state:   NewState(),
		reads:   make(chan readResult, 1),
		fetches: make(chan fetchResult, 1),
		appends: make(chan error, 1),
	}
	f.publish()
	return f
}

// Current returns the version in force here, version 0 when none is known.
// Peers are served with it.
func (f *Follower) Current() Snapshot { return *f.current.Load() }

// Changed returns a channel that is closed when the version in force changes.
// Take it before Current, so that no change is missed.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Done returns a channel that is closed when Run has ended.
func (f *Follower) Done() <-chan struct{} { return f.done }

// Offer takes note of the version of a peer. A higher one is fetched.
func (f *Follower) Offer(o Offer) {
	now := f.opts.Timer.Now()
	f.mu.Lock()
	f.offers.note(o, now)
	if o.Version <= f.Current().Version {
		f.confirm.byPeer(o.Zone, now)
	}
	f.mu.Unlock()
	if o.Version > f.Current().Version {
		f.wakeUp()
	}
}

// ConfirmedAt returns the last time at which the version in force here was
// confirmed to be the newest: by a read to the end of the log, or by peers in
// a majority of the zones. It is zero when it never was.
func (f *Follower) ConfirmedAt(zones []cawork.ZoneName) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirm.at(zones, f.opts.Timer.Now())
}

// Run follows the log and the peers until the context ends. The log and the
// peers must return when the context of a call ends.
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
		case <-f.wake:
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
	f.offers.startPeriod(now)
	f.mu.Unlock()
	f.read(ctx)
	f.fetch(ctx)
}

func (f *Follower) wakeUp() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// work runs a call in a goroutine of its own with a timeout.
func (f *Follower) work(ctx context.Context, call func(context.Context)) {
	f.workers.Go(func() {
		limited, cancel := context.WithTimeout(ctx, f.opts.CallTimeout)
		defer cancel()
		call(limited)
	})
}

func (f *Follower) read(ctx context.Context) {
	if f.reading {
		return
	}
	f.reading = true
	from, started := f.state.ReadFrom(), f.opts.Timer.Now()
	f.work(ctx, func(ctx context.Context) {
		page, err := f.opts.Log.Read(ctx, f.opts.Topic, from, pageSize)
		f.reads <- readResult{page, started, err}
	})
}

func (f *Follower) handleRead(ctx context.Context, r readResult) {
	f.reading = false
	if r.err != nil {
		f.noteLog(r.err)
		return
	}
	before := f.state
	next, decisions, err := f.state.WithPage(r.page)
	if cakind.Of(err) == cakind.KindUnavailable {
		f.noteLog(err)
		return
	}
	f.state = next
	f.noteLater(next.Later())
	f.noteLog(nil)
	f.noteViolation(err)
	f.noteDecisions(decisions)
	f.adopt("log")
	if !f.caughtUpAt.IsZero() && next.anchor > before.anchor {
		f.snapshotSeen = f.opts.Timer.Now()
	}
	if next.CaughtUp() {
		f.noteCaughtUp()
		f.confirmByLog(r.started)
		f.writeSnapshot(ctx)
	}
	progress := next.ReadFrom() != before.ReadFrom() || next.fresh != before.fresh
	if progress && next.More() {
		f.read(ctx)
	}
}

func (f *Follower) noteCaughtUp() {
	if f.caughtUpAt.IsZero() {
		f.caughtUpAt = f.opts.Timer.Now()
	}
}

func (f *Follower) confirmByLog(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirm.byLog(at)
}

// fetch asks a peer for its snapshot when it has a higher version, or when
// the state misses records and any peer may know more.
func (f *Follower) fetch(ctx context.Context) {
	if f.fetching || f.opts.Peers == nil {
		return
	}
	offer, ok := f.nextOffer()
	if !ok {
		return
	}
	f.fetching = true
	f.work(ctx, func(ctx context.Context) {
		snapshot, err := f.opts.Peers.FetchConfig(ctx, offer.VM, offer.Version)
		f.fetches <- fetchResult{offer.VM, snapshot, err}
	})
}

func (f *Follower) nextOffer() (Offer, bool) {
	least := f.state.Version() + 1
	if f.state.Gap() {
		least = f.state.Version()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.offers.next(least)
}

func (f *Follower) handleFetch(ctx context.Context, r fetchResult) {
	f.fetching = false
	if r.err != nil {
		f.opts.Scope.Counter("config_fetch_failures").Inc(1)
		f.fetch(ctx)
		return
	}
	next, used, err := f.state.WithSnapshot(r.snapshot)
	f.noteViolation(err)
	f.state = next
	f.adopt("peer " + string(r.vm))
	if used {
		f.read(ctx)
	}
	f.fetch(ctx)
}

// writeSnapshot appends a snapshot when the last one may soon be dropped by
// the log. The state has just caught up.
func (f *Follower) writeSnapshot(ctx context.Context) {
	if f.appending || f.state.Version() == 0 || !f.snapshotDue() {
		return
	}
	f.appending = true
	s := f.state.Snapshot()
	payload := record{Snapshot: &s}.encode()
	f.work(ctx, func(ctx context.Context) {
		_, err := f.opts.Log.Append(ctx, f.opts.Topic, [][]byte{payload})
		f.appends <- err
	})
}

// snapshotDue reports whether this entry should write. The elected entry
// keeps the period; the others step in when it was missed, since the elected
// one may be cut off from the log alone. An elected entry that has not yet
// seen a snapshot being written cannot tell the age of the one that it found,
// and writes one.
func (f *Follower) snapshotDue() bool {
	now := f.opts.Timer.Now()
	lag, ok := f.state.SnapshotLag()
	if f.opts.Elected() {
		age := now.Sub(f.snapshotSeen)
		return !ok || lag >= f.opts.SnapshotRecords || age >= f.opts.SnapshotPeriod
	}
	since := f.caughtUpAt
	if f.snapshotSeen.After(since) {
		since = f.snapshotSeen
	}
	return lag >= stepInAfter*f.opts.SnapshotRecords || now.Sub(since) >= stepInAfter*f.opts.SnapshotPeriod
}

func (f *Follower) handleAppend(err error) {
	f.appending = false
	if err != nil {
		f.noteLog(err)
		return
	}
	f.snapshotSeen = f.opts.Timer.Now()
	caevent.Info(f.opts.Logger, caevent.ConfigSnapshot).Int64("version", int64(f.state.Version())).Send()
}

// adopt makes the version of the state the current one.
func (f *Follower) adopt(source string) {
	if f.state.at.AsOf == f.Current().AsOf {
		return
	}
	if f.state.Version() < f.Current().Version {
		f.noteViolation(violation("version %d after version %d", f.state.Version(), f.Current().Version))
		return
	}
	raised := f.state.Version() > f.Current().Version
	f.publish()
	if !raised {
		return
	}
	caevent.Info(f.opts.Logger, caevent.ConfigApplied).
		Int64("version", int64(f.state.Version())).
		Str("change_id", string(f.state.at.ChangeID)).
		Str("hash", f.state.at.Hash.String()).
		Str("source", source).Send()
	f.opts.Scope.Gauge("config_version").Update(float64(f.state.Version()))
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Follower) publish() {
	s := f.state.Snapshot()
	f.current.Store(&s)
}

func (f *Follower) noteLog(err error) {
	switch {
	case err != nil && !f.logDown:
		caevent.Warn(f.opts.Logger, caevent.LogUnavailable).Str("topic", f.opts.Topic).Err(err).Send()
	case err == nil && f.logDown:
		caevent.Info(f.opts.Logger, caevent.LogRestored).Str("topic", f.opts.Topic).Send()
	}
	f.logDown = err != nil
}

// Later returns the format of the record of the log that stops this follower,
// because only later programs read it; zero when none does.
func (f *Follower) Later() caversion.Format {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.later
}

func (f *Follower) noteLater(format caversion.Format) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if format != 0 && format != f.later {
		caevent.Warn(f.opts.Logger, caevent.RecordLater).Str("topic", f.opts.Topic).Int("format", int(format)).
			Int64("offset", int64(f.state.ReadFrom())).Send()
	}
	f.later = format
}

func (f *Follower) noteViolation(err error) {
	if err == nil {
		return
	}
	f.opts.Scope.Counter("config_violations").Inc(1)
	caevent.Warn(f.opts.Logger, caevent.ConfigRefused).Err(err).Send()
}

func (f *Follower) noteDecisions(decisions []Decision) {
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
