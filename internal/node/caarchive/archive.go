// Package caarchive keeps copies of the led shards in the platform's log, and
// rebuilds shards of the own zone whose primary and backup are both lost.
package caarchive

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/cajob"
	"celeryarch.example/celeryarch/internal/coord/calog"
	"celeryarch.example/celeryarch/internal/coord/cashard"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

const (
	// topic is the topic of the log that holds the records of shards.
	topic = "shards"
	// appendPeriod is the time between two appends of records. Sixty entries
	// make 240 appends a second at most.
	appendPeriod = 250 * time.Millisecond
	// firstLook is the time after the start of an entry at which it looks for
	// lost shards whatever it has noticed.
	firstLook = 20 * time.Second
	// lookPeriod is the time between two looks at what is known of shards.
	lookPeriod = 5 * time.Second
	// maxLookPause is the longest pause between two reads of the log while a
	// shard waits for word of its members.
	maxLookPause = time.Minute
	// orphanedAfter is how long nobody must lead a shard with a replica here
	// before the log is asked about it. A takeover takes less.
	orphanedAfter = 15 * time.Second
	// recordsKept is the time for which the log keeps each record at least.
	recordsKept = 10 * time.Minute
	// readTimeout bounds the reading of the whole topic.
	readTimeout = 30 * time.Second
)

// Shards leads and rebuilds shards.
type Shards interface {
	Snapshot(s cawork.ShardID) (cashard.View, cashard.Snapshot, error)
	MayAct(s cawork.ShardID) (int64, bool)
	Statuses() []cashard.Status
	Rebuild(ctx context.Context, image cashard.Image, isGone func(cashard.Member) bool) error
	HandleStanding(ctx context.Context, s cawork.ShardID) (cashard.Standing, error)
	Halt(ctx context.Context, next cashard.View, isLost func(cawork.UpstreamID) bool) error
	Succeed(ctx context.Context, next cashard.View, image cashard.Image, mark []byte) error
	Discard(s cawork.ShardID)
}

// Peers asks other entries how a shard stands there.
type Peers interface {
	Standing(ctx context.Context, to cawork.VMID, s cawork.ShardID) (cashard.Standing, error)
}

// Witnesses reads the registers of upstreams.
type Witnesses interface {
	ReadRegister(ctx context.Context, u cawork.UpstreamID, name string) (caplatform.Register, error)
}

// Directory tells what is known of entries and upstreams.
type Directory interface {
	Upstream(id cawork.UpstreamID) (caplatform.VM, bool)
	Leader(s cawork.ShardID) (cawork.VMID, bool)
	// IsFirstOfZone reports whether no live entry of the zone has a lower id.
	IsFirstOfZone() bool
	// ZoneLives returns the lives of the entries of the zone that run, ordered.
	ZoneLives() []cashard.Member
	// HasEnded reports whether a life of an entry is known to be over.
	HasEnded(vm cawork.VMID, incarnation int64) bool
	// IsGone reports whether an upstream will never run again, also one that was
	// never listed here.
	IsGone(u cawork.UpstreamID) bool
	// RunningEntries returns the other entries that are not known to have ended.
	RunningEntries() []cawork.VMID
	// ZoneUpstreams returns the upstreams of the own zone that are not gone.
	ZoneUpstreams() []caplatform.VM
	// ShardZone returns the zone of the entry that founded a shard.
	ShardZone(s cawork.ShardID) (cawork.ZoneName, bool)
}

// Config wires a part.
type Config struct {
	Self      cashard.Member
	Zone      cawork.ZoneName
	Life      string
	Log       caplatform.Log
	Shards    Shards
	Directory Directory
	Peers     Peers
	Witnesses Witnesses
	Timer     *catimer.Service
	Logger    zerolog.Logger
	Scope     tally.Scope
	// Format returns the format of the records to come.
	Format func() caversion.Format
}

// Part archives and rebuilds.
type Part struct {
	Config
	writer *calog.Writer
	done   chan struct{}
	// looked holds the lives of the zone at the last look that left no shard
	// open. A shard is lost only when a life ends.
	looked atomic.Pointer[[]cashard.Member]
	// seen holds the lives of the zone at the last look of any kind.
	seen []cashard.Member
	// resting is the time before which the log is not read again.
	resting time.Time
	pause   *backoff.ExponentialBackOff
	// proposals counts the own proposals of successors of lost views, proposed
	// holds the last one of each shard.
	proposals int64
	proposed  map[cawork.ShardID]cashard.View
	// succeeded holds the numbers of the elected views that were led here.
	succeeded map[cawork.ShardID]int64
	// held holds since when there is a replica of a shard here.
	held map[cawork.ShardID]time.Time
	// leaderless holds since when nobody leads a shard with a replica here.
	leaderless map[cawork.ShardID]time.Time
	later      laterShards
}

// NewPart returns a part that runs once Run is called.
func NewPart(c Config) (*Part, error) {
	p := &Part{
		Config: c, done: make(chan struct{}), pause: backoff.NewExponentialBackOff(),
		proposed: make(map[cawork.ShardID]cashard.View), succeeded: make(map[cawork.ShardID]int64),
		leaderless: make(map[cawork.ShardID]time.Time),
	}
	p.pause.InitialInterval, p.pause.MaxInterval = lookPeriod, maxLookPause
	options := calog.DefaultOptions()
	options.Period = appendPeriod
	options.Log, options.Topic, options.Writer = c.Log, topic, c.Life
	options.Snapshots, options.Timer, options.Events, options.Scope = p, c.Timer, c.Logger, c.Scope
	var err error
	p.writer, err = calog.NewWriter(options)
	return p, err
}

// Run writes, and looks for lost shards, until the context ends.
func (p *Part) Run(ctx context.Context) error {
	defer close(p.done)
	written := make(chan error, 1)
	go func() { written <- p.writer.Run(ctx) }()
	ticks := p.Timer.Every(lookPeriod)
	defer ticks.Close()
	began := p.Timer.Now()
	for {
		select {
		case <-ctx.Done():
			return <-written
		case <-ticks.C:
			p.look(ctx, p.Timer.Now().Sub(began) >= firstLook)
		}
	}
}

// Done is closed when the part has ended.
func (p *Part) Done() <-chan struct{} { return p.done }

// MayLack reports whether this entry has yet to look for lost shards of its
// zone, so that a job that nobody knows may still turn up.
func (p *Part) MayLack() bool {
	return p.Directory.IsFirstOfZone() && !p.hasLooked(p.Directory.ZoneLives())
}

// hasLooked reports whether no life of the zone has begun or ended since the
// last look that left no shard open.
func (p *Part) hasLooked(lives []cashard.Member) bool {
	looked := p.looked.Load()
	return looked != nil && slices.Equal(*looked, lives)
}

// Committed archives a record that took effect.
func (p *Part) Committed(s cawork.ShardID, index int64, record []byte) {
	view, _ := p.Shards.MayAct(s)
	p.writer.Add(calog.Entry{Type: calog.EntryRecord, Shard: s, View: view, Index: index, Body: record})
}

// Changed archives a change of the lead of a shard.
func (p *Part) Changed(e cashard.Event) {
	switch e.Type {
	case cashard.EventTakenOver, cashard.EventViewChanged:
		if entries, ok := p.ShardSnapshot(e.Shard); ok {
			for _, entry := range entries {
				p.writer.Add(entry)
			}
		}
	case cashard.EventDeposed:
		p.writer.Forget(e.Shard)
	case cashard.EventRetired:
		p.writer.Forget(e.Shard)
		p.writer.Add(calog.Entry{Type: calog.EntryRetired, Shard: e.Shard, View: e.View.Number})
	}
}

// ShardSnapshot implements calog.Snapshots.
func (p *Part) ShardSnapshot(s cawork.ShardID) ([]calog.Entry, bool) {
	view, snapshot, err := p.Shards.Snapshot(s)
	if err != nil {
		return nil, false
	}
	body, err := view.Encode()
	if err != nil {
		return nil, false
	}
	return []calog.Entry{
		{Type: calog.EntryView, Shard: s, View: view.Number, Body: body},
		{Type: calog.EntrySnapshot, Shard: s, View: view.Number, Index: snapshot.Index, Body: snapshot.State},
	}, true
}

// look rebuilds lost shards. The first entry of a zone does so after each change
// of the lives in the zone: a new life of an entry knows nothing of the shards
// that the former one held.
func (p *Part) look(ctx context.Context, settled bool) {
	p.later.drop(p.isLed)
	lives := p.Directory.ZoneLives()
	p.noteHeld()
	stuck := p.stuck()
	orphaned := p.orphaned()
	first := p.Directory.IsFirstOfZone() && !p.hasLooked(lives)
	if !settled || !first && len(stuck) == 0 && len(orphaned) == 0 {
		return
	}
	if !slices.Equal(p.seen, lives) {
		p.seen, p.resting = lives, time.Time{}
		p.pause.Reset()
	}
	if p.Timer.Now().Before(p.resting) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	traces, err := calog.SurveyAll(ctx, p.Log, topic)
	p.later.reset()
	if err != nil {
		p.noteUnread(err)
		return
	}
	stuck = p.discardRetired(stuck, traces)
	fold, err := p.readLost(ctx, stuck, traces)
	if err != nil {
		p.noteUnread(err)
		return
	}
	complete := p.succeedAll(ctx, stuck, fold)
	if first {
		complete = p.rebuildAll(ctx, fold) && complete
	}
	// A replica here may be of no use: it is dropped when its view turns out not
	// to be in force.
	complete = complete && len(p.leaderless) == 0
	switch {
	case !complete:
		p.resting = p.Timer.Now().Add(p.pause.NextBackOff())
	case first:
		p.looked.Store(&lives)
	}
}

// rebuildAll rebuilds the shards of the zone that nobody leads. It reports
// whether none is left.
func (p *Part) rebuildAll(ctx context.Context, fold *calog.Fold) bool {
	complete := true
	for _, image := range fold.Images() {
		complete = p.rebuild(ctx, image) && complete
	}
	return complete
}

// noteUnread notes that the log could not be read.
func (p *Part) noteUnread(err error) {
	if _, later := caversion.Later(err); later {
		p.noteLater("", err)
		p.resting = p.Timer.Now().Add(p.pause.NextBackOff())
		return
	}
	caevent.Warn(p.Logger, caevent.LogUnavailable).Str("topic", topic).AnErr("error", err).Send()
}

// readLost returns the images of the shards of the zone that nobody leads, and
// of those whose replicas here cannot go on. It reads the log from their
// snapshots on, and only if there are any.
func (p *Part) readLost(ctx context.Context, stuck []cashard.Status, traces []calog.Trace) (*calog.Fold, error) {
	lost := slices.DeleteFunc(traces, func(t calog.Trace) bool {
		isStuck := slices.ContainsFunc(stuck, func(s cashard.Status) bool { return s.Shard == t.Shard })
		return t.Retired || !isStuck && !p.isLeaderless(t)
	})
	return calog.ReadShards(ctx, p.Log, topic, lost)
}

// orphaned returns the shards with a backup here that nobody has led for a
// while.
func (p *Part) orphaned() []cawork.ShardID {
	now := p.Timer.Now()
	leaderless := make(map[cawork.ShardID]time.Time)
	var orphaned []cawork.ShardID
	for _, s := range p.Shards.Statuses() {
		if _, led := p.Directory.Leader(s.Shard); led || s.Primary {
			continue
		}
		since, known := p.leaderless[s.Shard]
		if !known {
			since = now
		}
		leaderless[s.Shard] = since
		if now.Sub(since) >= orphanedAfter {
			orphaned = append(orphaned, s.Shard)
		}
	}
	p.leaderless = leaderless
	return orphaned
}

// discardRetired drops the replicas of retired shards and returns the rest of
// those that are stuck. The end of a shard is not told to a replica that the
// last leader did not know.
func (p *Part) discardRetired(stuck []cashard.Status, traces []calog.Trace) []cashard.Status {
	retired := make(map[cawork.ShardID]bool)
	for _, t := range traces {
		retired[t.Shard] = t.Retired
	}
	for s := range p.leaderless {
		if retired[s] {
			p.Shards.Discard(s)
			delete(p.leaderless, s)
		}
	}
	return slices.DeleteFunc(stuck, func(s cashard.Status) bool { return retired[s.Shard] })
}

// noteHeld notes the shards with a replica here.
func (p *Part) noteHeld() {
	held := make(map[cawork.ShardID]time.Time)
	for _, s := range p.Shards.Statuses() {
		since, known := p.held[s.Shard]
		if !known {
			since = p.Timer.Now()
		}
		held[s.Shard] = since
	}
	p.held = held
}

// mayBeUnlogged reports whether a shard that the log does not tell of was never
// written. The log may have forgotten the end of one that is held for longer.
func (p *Part) mayBeUnlogged(s cawork.ShardID) bool {
	since, held := p.held[s]
	return held && p.Timer.Now().Sub(since) < recordsKept
}

// isLeaderless reports whether the shard is of the own zone and nobody leads it.
func (p *Part) isLeaderless(t calog.Trace) bool {
	view, err := cashard.DecodeView(t.ViewBody)
	if err != nil || !p.isOurs(view) || p.isHeld(t.Shard) {
		return false
	}
	_, led := p.Directory.Leader(t.Shard)
	return !led
}

// rebuild rebuilds a shard that is lost. It reports whether the shard needs no
// further look: a member that is silent now may turn out to have ended later.
func (p *Part) rebuild(ctx context.Context, image calog.Image) bool {
	view, err := cashard.DecodeView(image.ViewBody)
	if err != nil || p.isHeld(image.Shard) {
		return true
	}
	if _, led := p.Directory.Leader(image.Shard); led {
		return true
	}
	if image.Later {
		p.noteLater(image.Shard, errLaterEntry)
		return false
	}
	if p.Directory.IsGone(view.Witness) || image.Elected && !p.hasLed(ctx, view) {
		return p.succeed(ctx, view, image)
	}
	// The mark makes every later primary take in what the log may lack.
	mark, err := p.mark()
	if err != nil {
		return false
	}
	err = p.Shards.Rebuild(ctx, cashard.Image{
		View:     view,
		Snapshot: cashard.Snapshot{Index: image.Base, State: image.State},
		Records:  append(slices.Clone(image.Records), mark),
	}, p.hasEnded)
	p.noteLater(view.Shard, err)
	p.logRebuilt(view, image.Last(), err)
	return err == nil
}

func (p *Part) mark() ([]byte, error) {
	return cajob.Record{Type: cajob.RecordRebuilt, At: p.Timer.Now(), Rebuilt: &cajob.Rebuilt{}}.WithFormat(p.Format()).Encode()
}

func (p *Part) logRebuilt(v cashard.View, last int64, err error) {
	caevent.Info(p.Logger, caevent.ShardRebuilt).Str("shard", string(v.Shard)).Int64("view", v.Number).
		Int64("index", last).AnErr("error", err).Send()
}

func (p *Part) hasEnded(m cashard.Member) bool { return p.Directory.HasEnded(m.VM, m.Incarnation) }

// isOurs reports whether the shard is of the own zone.
func (p *Part) isOurs(v cashard.View) bool {
	if vm, ok := p.Directory.Upstream(v.Witness); ok {
		return vm.Zone == p.Zone
	}
	zone, ok := p.Directory.ShardZone(v.Shard)
	return ok && zone == p.Zone
}

func (p *Part) isHeld(s cawork.ShardID) bool {
	return slices.ContainsFunc(p.Shards.Statuses(), func(status cashard.Status) bool { return status.Shard == s })
}
