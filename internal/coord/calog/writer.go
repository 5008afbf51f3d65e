package calog

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// MinPeriod is the minimum time between two appends, which limits them to ten a
// second.
const MinPeriod = 100 * time.Millisecond

// findPageSize is the maximum number of records in one read of findBatch.
const findPageSize = 500

// SnapshotSource returns the entries from which a reader restores a shard without any
// older entries: an EntryView and an EntrySnapshot. It returns false if this
// process does not lead the shard. The writer sets the IDs.
type SnapshotSource interface {
	ShardSnapshot(s cawork.ShardID) ([]Entry, bool)
}

// Options configures a Writer.
type Options struct {
	Log       caplatform.Log
	Topic     string
	WriterID  string
	Snapshots SnapshotSource
	Timer     *catimer.Service
	Logger    zerolog.Logger
	Scope     tally.Scope
	// Period is the time between two appends, at least MinPeriod.
	Period time.Duration
	// SnapshotPeriod is the time between snapshots of a shard. It must be well
	// below the log's retention time.
	SnapshotPeriod time.Duration
	CallTimeout    time.Duration
	// MaxBatch bounds the entries in one append, and MaxBuffered those in the
	// buffer. If the buffer exceeds MaxBuffered, the records of each shard in it
	// are replaced by one snapshot.
	MaxBatch    int
	MaxBuffered int
}

// DefaultOptions returns options for a log that retains records for hours.
func DefaultOptions() Options {
	return Options{
		Period:         MinPeriod,
		SnapshotPeriod: 10 * time.Minute,
		CallTimeout:    2 * time.Second,
		MaxBatch:       256,
		MaxBuffered:    10_000,
	}
}

// Writer writes entries in batches. Only one append is in flight at a time, and
// the next batch is appended only after the previous one is known to be in the
// log, so that the first copies of entries are in order of their sequences.
type Writer struct {
	opts Options
	done chan struct{}
	// wake signals to Run that the buffer is no longer empty.
	wake chan struct{}

	mu     sync.Mutex
	buffer []Entry
	// queuedSince is when an entry was last added to the empty buffer.
	queuedSince time.Time
	snapshotDue map[cawork.ShardID]time.Time
	sequence    int64
	logDown     bool

	// The fields below are used by the goroutine of Run alone. batch holds the
	// entries of the append in flight. inDoubt is set while it is unknown whether
	// an append of batch took effect, and findFrom is the offset from which to
	// search the log for it.
	batch    []Entry
	encoder  Encoder
	decoder  batchDecoder
	inDoubt  bool
	findFrom caplatform.Offset
	retry    *backoff.ExponentialBackOff
	retryAt  time.Time
	// lastAppendAt is when an append was last sent.
	lastAppendAt time.Time
}

// NewWriter returns a writer. Run starts it.
func NewWriter(o Options) (*Writer, error) {
	if o.Period < MinPeriod || o.SnapshotPeriod <= 0 || o.MaxBatch <= 0 || o.MaxBuffered < o.MaxBatch || o.CallTimeout <= 0 {
		return nil, cakind.New(cakind.KindInvalid, "invalid periods or bounds of the log writer: %v, %v, %d, %d",
			o.Period, o.SnapshotPeriod, o.MaxBatch, o.MaxBuffered)
	}
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = o.Period
	retry.MaxInterval = 5 * time.Second
	retry.RandomizationFactor = 0
	return &Writer{opts: o, done: make(chan struct{}), wake: make(chan struct{}, 1), snapshotDue: map[cawork.ShardID]time.Time{}, retry: retry}, nil
}

// Done returns a channel that is closed when Run returns.
func (w *Writer) Done() <-chan struct{} { return w.done }

// Add adds an entry to the buffer. It never blocks. The first entry of a shard
// starts the periodic snapshots of that shard.
func (w *Writer) Add(e Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.snapshotDue[e.Shard]; !ok {
		w.snapshotDue[e.Shard] = w.opts.Timer.Now().Add(w.opts.SnapshotPeriod)
	}
	if len(w.buffer) == 0 {
		w.queuedSince = w.opts.Timer.Now()
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	w.buffer = append(w.buffer, e)
	if len(w.buffer) > w.opts.MaxBuffered {
		w.compact()
	}
}

// RemoveShard ends the periodic snapshots of a shard that this process no longer
// leads.
func (w *Writer) RemoveShard(s cawork.ShardID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.snapshotDue, s)
}

// compact replaces the buffered records of shards with periodic snapshots by one
// snapshot each, due at once. If other entries still exceed MaxBuffered, it
// drops the oldest.
func (w *Writer) compact() {
	now := w.opts.Timer.Now()
	kept := w.buffer[:0]
	for _, e := range w.buffer {
		if _, led := w.snapshotDue[e.Shard]; led && e.Type == EntryRecord {
			w.snapshotDue[e.Shard] = now
			continue
		}
		kept = append(kept, e)
	}
	w.buffer = kept[max(0, len(kept)-w.opts.MaxBuffered):]
}

// Run writes entries until the context is done, then makes one last attempt to
// append a batch.
func (w *Writer) Run(ctx context.Context) error {
	defer close(w.done)
	w.opts.Timer.Recur(ctx, w.wake, func(ctx context.Context) time.Duration {
		if w.nextDelay() <= 0 {
			w.step(ctx)
		}
		return w.nextDelay()
	})
	w.step(context.WithoutCancel(ctx))
	return nil
}

// nextDelay returns the time until the next append. An entry waits one period in
// the buffer so that others can share its append.
func (w *Writer) nextDelay() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.opts.Timer.Now()
	at := now.Add(w.opts.SnapshotPeriod)
	for _, due := range w.snapshotDue {
		at = earlierOf(at, due)
	}
	if len(w.batch) > 0 {
		at = now
	}
	if len(w.buffer) > 0 {
		at = earlierOf(at, w.queuedSince.Add(w.opts.Period))
	}
	for _, earliest := range []time.Time{w.retryAt, w.lastAppendAt.Add(w.opts.Period)} {
		if at.Before(earliest) {
			at = earliest
		}
	}
	return at.Sub(now)
}

func earlierOf(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// step makes at most one append, unless it is too early for one.
func (w *Writer) step(ctx context.Context) {
	now := w.opts.Timer.Now()
	if now.Before(w.retryAt) || now.Sub(w.lastAppendAt) < w.opts.Period {
		return
	}
	w.addSnapshots()
	w.fillBatch()
	if len(w.batch) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, w.opts.CallTimeout)
	defer cancel()
	w.finishAppend(w.appendBatch(ctx))
}

// addSnapshots adds the snapshots that are due to the buffer.
func (w *Writer) addSnapshots() {
	for _, s := range w.takeDueShards() {
		entries, ok := w.opts.Snapshots.ShardSnapshot(s)
		if !ok {
			w.RemoveShard(s)
			continue
		}
		for _, e := range entries {
			w.Add(e)
		}
	}
}

func (w *Writer) takeDueShards() []cawork.ShardID {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.opts.Timer.Now()
	var out []cawork.ShardID
	for s, at := range w.snapshotDue {
		if !now.Before(at) {
			out = append(out, s)
			w.snapshotDue[s] = now.Add(w.opts.SnapshotPeriod)
		}
	}
	return out
}

// fillBatch takes the next batch from the buffer if no batch is in flight.
func (w *Writer) fillBatch() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.batch) > 0 {
		return
	}
	n := min(len(w.buffer), w.opts.MaxBatch)
	w.batch = append([]Entry(nil), w.buffer[:n]...)
	w.buffer = append([]Entry(nil), w.buffer[n:]...)
	for i := range w.batch {
		w.sequence++
		w.batch[i].ID = EntryID{Writer: w.opts.WriterID, Sequence: w.sequence}
	}
}

// appendBatch appends the batch, unless an earlier append of it took effect.
func (w *Writer) appendBatch(ctx context.Context) error {
	if w.inDoubt {
		found, err := w.findBatch(ctx)
		if err != nil || found {
			return err
		}
	}
	body, err := w.encoder.Encode(w.batch)
	if err != nil {
		return err
	}
	w.opts.Scope.Counter("log_appends").Inc(1)
	w.lastAppendAt = w.opts.Timer.Now()
	at, err := w.opts.Log.Append(ctx, w.opts.Topic, [][]byte{body})
	if err != nil {
		w.inDoubt = w.inDoubt || !hadNoEffect(err)
		return err
	}
	w.findFrom = at + 1
	return nil
}

// findBatch searches the log for the batch, from findFrom on.
func (w *Writer) findBatch(ctx context.Context) (bool, error) {
	for {
		page, err := w.opts.Log.Read(ctx, w.opts.Topic, w.findFrom, findPageSize)
		if err != nil {
			return false, err
		}
		for _, r := range page.Records {
			if w.isBatch(r.Payload) {
				return true, nil
			}
			w.findFrom = r.Offset + 1
		}
		if len(page.Records) == 0 || w.findFrom >= page.Next {
			return false, nil
		}
	}
}

// isBatch reports whether the payload holds the batch in flight.
func (w *Writer) isBatch(body []byte) bool {
	found := false
	err := w.decoder.decode(body, func(e Entry) { found = found || e.ID == w.batch[0].ID })
	return err == nil && found
}

func hadNoEffect(err error) bool {
	k := cakind.Of(err)
	return k == cakind.KindUnavailable || k == cakind.KindNotStarted || k == cakind.KindOverloaded
}

// finishAppend clears the batch after success, or schedules the next attempt.
func (w *Writer) finishAppend(err error) {
	w.setLogStatus(err)
	if err != nil {
		w.retryAt = w.opts.Timer.Now().Add(w.retry.NextBackOff())
		return
	}
	w.opts.Scope.Counter("log_entries").Inc(int64(len(w.batch)))
	w.retry.Reset()
	w.retryAt = time.Time{}
	w.batch = nil
	w.inDoubt = false
}

func (w *Writer) setLogStatus(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	down := err != nil
	if down && !w.logDown {
		caevent.Warn(w.opts.Logger, caevent.LogUnavailable).Err(err).Str("topic", w.opts.Topic).Send()
	}
	if !down && w.logDown {
		caevent.Info(w.opts.Logger, caevent.LogRestored).Str("topic", w.opts.Topic).Send()
	}
	w.logDown = down
	w.opts.Scope.Gauge("log_buffered").Update(float64(len(w.buffer)))
}

// LastAppendSucceeded reports whether the last append is known to have succeeded. It is
// also true before the first append.
func (w *Writer) LastAppendSucceeded() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.logDown
}
