// Package caarchive copies the shards led here to the platform's log, and
// rebuilds shards of its own zone whose primary and backup are both lost.
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
	// topic is the log topic with the records of shards.
	topic = "shards"
	// appendPeriod is the time between two appends of records. Sixty entries
	// make at most 240 appends a second.
	appendPeriod = 250 * time.Millisecond
	// firstScanDelay is the time after the start of an entry before which it does
	// not scan for lost shards.
	firstScanDelay = 20 * time.Second
	// scanPeriod is the time between two scans for lost shards.
	scanPeriod = 5 * time.Second
	// maxReadBackoff is the maximum delay between two reads of the log while a
	// lost shard cannot be rebuilt yet.
	maxReadBackoff = time.Minute
	// orphanTimeout is how long a shard with a replica here must be without a
	// leader before the log is read. A takeover takes less.
	orphanTimeout = 15 * time.Second
	// minRecordRetention is how long the log keeps each record at least.
	minRecordRetention = 10 * time.Minute
	// readTimeout bounds one scan, which may read the whole topic.
	readTimeout = 30 * time.Second
)

// Replicas gives access to the replicas of this entry and rebuilds shards.
type Replicas interface {
	Snapshot(s cawork.ShardID) (cashard.View, cashard.Snapshot, error)
	MayAct(s cawork.ShardID) (int64, bool)
	Statuses() []cashard.Status
	RebuildFromLog(ctx context.Context, image cashard.LoggedState, isGone func(cashard.Member) bool) error
	HandleReplicaStatus(ctx context.Context, s cawork.ShardID) (cashard.ReplicaStatus, error)
	HaltPrimary(ctx context.Context, next cashard.View, isLost func(cawork.UpstreamID) bool) error
	StartElectedPrimary(ctx context.Context, next cashard.View, image cashard.LoggedState, rebuiltRecord []byte) error
	Discard(s cawork.ShardID)
}

// PeerClient queries the state of a shard's replica at other entries.
type PeerClient interface {
	Standing(ctx context.Context, to cawork.VMID, s cawork.ShardID) (cashard.ReplicaStatus, error)
}

// RegisterClient reads the registers of upstreams.
type RegisterClient interface {
	ReadRegister(ctx context.Context, u cawork.UpstreamID, name string) (caplatform.Register, error)
}

// Directory returns the known state of entries and upstreams.
type Directory interface {
	Upstream(id cawork.UpstreamID) (caplatform.VM, bool)
	Leader(s cawork.ShardID) (cawork.VMID, bool)
	// HasLowestIDInZone reports whether no live entry of the zone has a lower id.
	HasLowestIDInZone() bool
	// ZoneMembers returns the incarnations of the live entries of the zone, ordered.
	ZoneMembers() []cashard.Member
	// HasEnded reports whether an incarnation of an entry is known to have ended.
	HasEnded(vm cawork.VMID, incarnation int64) bool
	// IsGone reports whether an upstream will never run again. It also covers
	// upstreams that were never listed here.
	IsGone(u cawork.UpstreamID) bool
	// RunningEntries returns the other entries that are not known to have ended.
	RunningEntries() []cawork.VMID
	// ZoneUpstreams returns the upstreams of this entry's zone that are not gone.
	ZoneUpstreams() []caplatform.VM
	// ShardZone returns the zone of the entry that created a shard.
	ShardZone(s cawork.ShardID) (cawork.ZoneName, bool)
}

// Config holds the settings and dependencies of the archive.
type Config struct {
	Self      cashard.Member
	Zone      cawork.ZoneName
	Writer    string
	Log       caplatform.Log
	Shards    Replicas
	Directory Directory
	Peers     PeerClient
	Witnesses RegisterClient
	Timer     *catimer.Service
	Logger    zerolog.Logger
	Scope     tally.Scope
	// Format returns the format for new records.
	Format func() caversion.Format
}

// Archiver archives the led shards in the log and rebuilds lost shards from it.
type Archiver struct {
	Config
	writer *calog.Writer
	done   chan struct{}
	// completedScan holds the incarnations of the zone at the last scan that left
	// no shard unresolved. A shard can only be lost when an incarnation ends.
	completedScan atomic.Pointer[[]cashard.Member]
	// lastScanMembers holds the incarnations of the zone at the last scan.
	lastScanMembers []cashard.Member
	// nextReadAt is the earliest time of the next read of the log.
	nextReadAt  time.Time
	readBackoff *backoff.ExponentialBackOff
	// proposalCount counts the views that this entry has proposed as successors
	// of lost ones; proposed holds the last one for each shard.
	proposalCount int64
	proposed      map[cawork.ShardID]cashard.View
	// ledElections holds the numbers of the elected views that were led here.
	ledElections map[cawork.ShardID]int64
	// heldSince holds when a replica of each shard was first found here.
	heldSince map[cawork.ShardID]time.Time
	// leaderlessSince holds when each shard with a replica here was first found
	// without a leader.
	leaderlessSince map[cawork.ShardID]time.Time
	unreadable      unreadableShards
}

// NewArchiver returns an Archiver, whose work starts with Run.
func NewArchiver(c Config) (*Archiver, error) {
	p := &Archiver{
		Config: c, done: make(chan struct{}), readBackoff: backoff.NewExponentialBackOff(),
		proposed: make(map[cawork.ShardID]cashard.View), ledElections: make(map[cawork.ShardID]int64),
		leaderlessSince: make(map[cawork.ShardID]time.Time),
	}
	p.readBackoff.InitialInterval, p.readBackoff.MaxInterval = scanPeriod, maxReadBackoff
	options := calog.DefaultOptions()
	options.Period = appendPeriod
	options.Log, options.Topic, options.WriterID = c.Log, topic, c.Writer
	options.Snapshots, options.Timer, options.Logger, options.Scope = p, c.Timer, c.Logger, c.Scope
	var err error
	p.writer, err = calog.NewWriter(options)
	return p, err
}

// Run writes to the log and scans for lost shards until the context ends.
func (p *Archiver) Run(ctx context.Context) error {
	defer close(p.done)
	writerDone := make(chan error, 1)
	go func() { writerDone <- p.writer.Run(ctx) }()
	ticks := p.Timer.Every(scanPeriod)
	defer ticks.Close()
	started := p.Timer.Now()
	for {
		select {
		case <-ctx.Done():
			return <-writerDone
		case <-ticks.C:
			p.scan(ctx, p.Timer.Now().Sub(started) >= firstScanDelay)
		}
	}
}

// Done returns a channel that is closed when Run has returned.
func (p *Archiver) Done() <-chan struct{} { return p.done }

// MayNeedRebuild reports whether this entry still has to scan for lost shards of
// its zone, so that an unknown job may still be found in a rebuilt shard.
func (p *Archiver) MayNeedRebuild() bool {
	return p.Directory.HasLowestIDInZone() && !p.hasScanned(p.Directory.ZoneMembers())
}

// hasScanned reports whether the incarnations of the zone are the same as at the
// last complete scan.
func (p *Archiver) hasScanned(liveMembers []cashard.Member) bool {
	scanned := p.completedScan.Load()
	return scanned != nil && slices.Equal(*scanned, liveMembers)
}

// AppendRecord appends a committed record to the log.
func (p *Archiver) AppendRecord(s cawork.ShardID, index int64, record []byte) {
	view, _ := p.Shards.MayAct(s)
	p.writer.Add(calog.Entry{Type: calog.EntryRecord, Shard: s, View: view, Index: index, Body: record})
}

// ApplyShardEvent updates the log after a change of the leadership of a shard.
func (p *Archiver) ApplyShardEvent(e cashard.Event) {
	switch e.Type {
	case cashard.EventTakenOver, cashard.EventViewChanged:
		if entries, ok := p.ShardSnapshot(e.Shard); ok {
			for _, entry := range entries {
				p.writer.Add(entry)
			}
		}
	case cashard.EventDeposed:
		p.writer.RemoveShard(e.Shard)
	case cashard.EventRetired:
		p.writer.RemoveShard(e.Shard)
		p.writer.Add(calog.Entry{Type: calog.EntryRetired, Shard: e.Shard, View: e.View.Number})
	}
}

// ShardSnapshot implements calog.SnapshotSource.
func (p *Archiver) ShardSnapshot(s cawork.ShardID) ([]calog.Entry, bool) {
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

// scan rebuilds lost shards. The first entry of a zone does so after each change
// of the incarnations in the zone, because a restarted entry has lost the shards
// that its previous incarnation held. Other entries read the log only for their
// own stuck or orphaned replicas.
func (p *Archiver) scan(ctx context.Context, startupOver bool) {
	p.unreadable.drop(p.isLed)
	liveMembers := p.Directory.ZoneMembers()
	p.updateHeldSince()
	stuck := p.stuckReplicas()
	orphaned := p.orphanedShards()
	mustRebuild := p.Directory.HasLowestIDInZone() && !p.hasScanned(liveMembers)
	if !startupOver || !mustRebuild && len(stuck) == 0 && len(orphaned) == 0 {
		return
	}
	if !slices.Equal(p.lastScanMembers, liveMembers) {
		p.lastScanMembers, p.nextReadAt = liveMembers, time.Time{}
		p.readBackoff.Reset()
	}
	if p.Timer.Now().Before(p.nextReadAt) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	traces, err := calog.ScanAllShards(ctx, p.Log, topic)
	p.unreadable.reset()
	if err != nil {
		p.handleReadError(err)
		return
	}
	stuck = p.discardRetired(stuck, traces)
	fold, err := p.readLostShards(ctx, stuck, traces)
	if err != nil {
		p.handleReadError(err)
		return
	}
	complete := p.succeedAll(ctx, stuck, fold)
	if mustRebuild {
		complete = p.rebuildAll(ctx, fold) && complete
	}
	// A replica without a leader may be stale. It is dropped once its view turns
	// out not to be in force, and only then can the shard be rebuilt.
	complete = complete && len(p.leaderlessSince) == 0
	switch {
	case !complete:
		p.nextReadAt = p.Timer.Now().Add(p.readBackoff.NextBackOff())
	case mustRebuild:
		p.completedScan.Store(&liveMembers)
	}
}

// rebuildAll rebuilds the shards of the zone without a leader. It reports
// whether none is left.
func (p *Archiver) rebuildAll(ctx context.Context, fold *calog.Replay) bool {
	complete := true
	for _, image := range fold.Images() {
		complete = p.rebuild(ctx, image) && complete
	}
	return complete
}

// handleReadError logs a failed read. If the log has a payload of a later format,
// it also delays the next read.
func (p *Archiver) handleReadError(err error) {
	if _, later := caversion.AsUnsupportedFormat(err); later {
		p.recordUnreadable("", err)
		p.nextReadAt = p.Timer.Now().Add(p.readBackoff.NextBackOff())
		return
	}
	caevent.Warn(p.Logger, caevent.LogUnavailable).Str("topic", topic).AnErr("error", err).Send()
}

// readLostShards returns the images of the shards of the zone without a leader
// and of those whose replicas here are stuck. It reads the log from their
// snapshots on, and does not read it if there are no such shards.
func (p *Archiver) readLostShards(ctx context.Context, stuck []cashard.Status, traces []calog.ShardSummary) (*calog.Replay, error) {
	lost := slices.DeleteFunc(traces, func(t calog.ShardSummary) bool {
		isStuck := slices.ContainsFunc(stuck, func(s cashard.Status) bool { return s.Shard == t.Shard })
		return t.Retired || !isStuck && !p.isLeaderless(t)
	})
	return calog.ReadShards(ctx, p.Log, topic, lost)
}

// orphanedShards returns the shards with a backup here that have had no leader
// for orphanTimeout.
func (p *Archiver) orphanedShards() []cawork.ShardID {
	now := p.Timer.Now()
	leaderless := make(map[cawork.ShardID]time.Time)
	var orphaned []cawork.ShardID
	for _, s := range p.Shards.Statuses() {
		if _, led := p.Directory.Leader(s.Shard); led || s.Primary {
			continue
		}
		since, known := p.leaderlessSince[s.Shard]
		if !known {
			since = now
		}
		leaderless[s.Shard] = since
		if now.Sub(since) >= orphanTimeout {
			orphaned = append(orphaned, s.Shard)
		}
	}
	p.leaderlessSince = leaderless
	return orphaned
}

// discardRetired drops the leaderless replicas of retired shards and returns the
// stuck replicas of the other shards. The last leader of a shard does not announce
// its retirement to a replica that it did not know.
func (p *Archiver) discardRetired(stuck []cashard.Status, traces []calog.ShardSummary) []cashard.Status {
	retired := make(map[cawork.ShardID]bool)
	for _, t := range traces {
		retired[t.Shard] = t.Retired
	}
	for s := range p.leaderlessSince {
		if retired[s] {
			p.Shards.Discard(s)
			delete(p.leaderlessSince, s)
		}
	}
	return slices.DeleteFunc(stuck, func(s cashard.Status) bool { return retired[s.Shard] })
}

// updateHeldSince records the shards with a replica here.
func (p *Archiver) updateHeldSince() {
	held := make(map[cawork.ShardID]time.Time)
	for _, s := range p.Shards.Statuses() {
		since, known := p.heldSince[s.Shard]
		if !known {
			since = p.Timer.Now()
		}
		held[s.Shard] = since
	}
	p.heldSince = held
}

// mayBeUnlogged reports whether a shard that is missing from the log was
// certainly never written to it. If its replica is older than the retention of the
// log, the log may have dropped the record of its retirement.
func (p *Archiver) mayBeUnlogged(s cawork.ShardID) bool {
	since, held := p.heldSince[s]
	return held && p.Timer.Now().Sub(since) < minRecordRetention
}

// isLeaderless reports whether the shard is in this zone, has no replica here and
// no leader.
func (p *Archiver) isLeaderless(t calog.ShardSummary) bool {
	view, err := cashard.DecodeView(t.ViewBody)
	if err != nil || !p.isInZone(view) || p.isHeld(t.Shard) {
		return false
	}
	_, led := p.Directory.Leader(t.Shard)
	return !led
}

// rebuild rebuilds a lost shard. It reports whether the shard is resolved. If not,
// a later scan retries, since an unreachable member may have ended by then.
func (p *Archiver) rebuild(ctx context.Context, image calog.Image) bool {
	view, err := cashard.DecodeView(image.ViewBody)
	if err != nil || p.isHeld(image.Shard) {
		return true
	}
	if _, led := p.Directory.Leader(image.Shard); led {
		return true
	}
	if image.Later {
		p.recordUnreadable(image.Shard, errUnreadableEntry)
		return false
	}
	if p.Directory.IsGone(view.Witness) || image.Elected && !p.hasLed(ctx, view) {
		return p.succeed(ctx, view, image)
	}
	// The record makes every later primary recover the records that the log may
	// lack.
	rebuiltRecord, err := p.encodeRebuiltRecord()
	if err != nil {
		return false
	}
	err = p.Shards.RebuildFromLog(ctx, cashard.LoggedState{
		View:     view,
		Snapshot: cashard.Snapshot{Index: image.Base, State: image.State},
		Records:  append(slices.Clone(image.Records), rebuiltRecord),
	}, p.hasEnded)
	p.recordUnreadable(view.Shard, err)
	p.logRebuilt(view, image.Last(), err)
	return err == nil
}

func (p *Archiver) encodeRebuiltRecord() ([]byte, error) {
	return cajob.Record{Type: cajob.RecordRebuilt, At: p.Timer.Now(), Rebuilt: &cajob.Rebuilt{}}.WithFormat(p.Format()).Encode()
}

func (p *Archiver) logRebuilt(v cashard.View, last int64, err error) {
	caevent.Info(p.Logger, caevent.ShardRebuilt).Str("shard", string(v.Shard)).Int64("view", v.Number).
		Int64("index", last).AnErr("error", err).Send()
}

func (p *Archiver) hasEnded(m cashard.Member) bool { return p.Directory.HasEnded(m.VM, m.Incarnation) }

// isInZone reports whether the shard belongs to the zone of this entry.
func (p *Archiver) isInZone(v cashard.View) bool {
	if vm, ok := p.Directory.Upstream(v.Witness); ok {
		return vm.Zone == p.Zone
	}
	zone, ok := p.Directory.ShardZone(v.Shard)
	return ok && zone == p.Zone
}

func (p *Archiver) isHeld(s cawork.ShardID) bool {
	return slices.ContainsFunc(p.Shards.Statuses(), func(status cashard.Status) bool { return status.Shard == s })
}
