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

// MinPeriod is the shortest time between two appends: ten a second.
const MinPeriod = 100 * time.Millisecond

// readPage is the number of records read at once when an append is settled.
const readPage = 500

// Snapshots returns what a reader needs of a shard that is led here when all
// older entries are gone: an EntryView and an EntrySnapshot. It returns false
// when the shard is not led here. The writer sets the IDs.
type Snapshots interface {
	ShardSnapshot(s cawork.ShardID) ([]Entry, bool)
}

// Options are what a Writer needs.
type Options struct {
	Log       caplatform.Log
	Topic     string
	Writer    string
	Snapshots Snapshots
	Timer     *catimer.Service
	Events    zerolog.Logger
	Scope     tally.Scope
	// Period is the time between two appends, at least MinPeriod.
	Period time.Duration
	// SnapshotPeriod is the time between snapshots of a shard. It must be well
	// below the time for which the log keeps a record.
	SnapshotPeriod time.Duration
	CallTimeout    time.Duration
	// MaxBatch bounds the entries of one append, MaxBuffered those that wait.
	// Beyond it a shard's entries give way to one snapshot.
	MaxBatch    int
	MaxBuffered int
}

// DefaultOptions returns the bounds for a log that keeps records for hours.
func DefaultOptions() Options {
	return Options{
		Period:         MinPeriod,
		SnapshotPeriod: 10 * time.Minute,
		CallTimeout:    2 * time.Second,
		MaxBatch:       256,
		MaxBuffered:    10_000,
	}
}

// Writer writes entries in batches. One append is under way at a time, and
// the next batch follows only when the former is known to be in the log, so
// that the order of first copies is that of the sequences.
type Writer struct {
	opts Options
	done chan struct{}
	// wake tells Run that an entry waits.
	wake chan struct{}

	mu     sync.Mutex
	buffer []Entry
	// waiting is when the buffer was last empty.
	waiting  time.Time
	due      map[cawork.ShardID]time.Time
	sequence int64
	down     bool

	// batch is the append under way, next the offset up to which it was looked
	// for. Only Run uses them.
	batch   []Entry
	encoder Encoder
	decoder batchDecoder
	inDoubt bool
	next    caplatform.Offset
	retry   *backoff.ExponentialBackOff
	notTill time.Time
	// appended is when the last append was sent.
	appended time.Time
}

// NewWriter returns a writer that runs once Run is called.
func NewWriter(o Options) (*Writer, error) {
	if o.Period < MinPeriod || o.SnapshotPeriod <= 0 || o.MaxBatch <= 0 || o.MaxBuffered < o.MaxBatch || o.CallTimeout <= 0 {
		return nil, cakind.New(cakind.KindInvalid, "log writer periods or bounds: %v, %v, %d, %d",
			o.Period, o.SnapshotPeriod, o.MaxBatch, o.MaxBuffered)
	}
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = o.Period
	retry.MaxInterval = 5 * time.Second
	retry.RandomizationFactor = 0
	return &Writer{opts: o, done: make(chan struct{}), wake: make(chan struct{}, 1), due: map[cawork.ShardID]time.Time{}, retry: retry}, nil
}

// Done is closed when Run has ended.
func (w *Writer) Done() <-chan struct{} { return w.done }

// Add queues an entry. It never blocks. A shard that is seen for the first
// time gets its snapshots from then on.
func (w *Writer) Add(e Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.due[e.Shard]; !ok {
		w.due[e.Shard] = w.opts.Timer.Now().Add(w.opts.SnapshotPeriod)
	}
	if len(w.buffer) == 0 {
		w.waiting = w.opts.Timer.Now()
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

// Forget ends the snapshots of a shard that is no longer led here.
func (w *Writer) Forget(s cawork.ShardID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.due, s)
}

// compact drops all waiting records in favor of snapshots.
func (w *Writer) compact() {
	now := w.opts.Timer.Now()
	kept := w.buffer[:0]
	for _, e := range w.buffer {
		if _, led := w.due[e.Shard]; led && e.Type == EntryRecord {
			w.due[e.Shard] = now
			continue
		}
		kept = append(kept, e)
	}
	w.buffer = kept[max(0, len(kept)-w.opts.MaxBuffered):]
}

// Run writes until the context ends, then tries once more to write the rest.
func (w *Writer) Run(ctx context.Context) error {
	defer close(w.done)
	w.opts.Timer.Recur(ctx, w.wake, func(ctx context.Context) time.Duration {
		if w.pause() <= 0 {
			w.step(ctx)
		}
		return w.pause()
	})
	w.step(context.WithoutCancel(ctx))
	return nil
}

// pause returns the time until something is to be written. An entry waits a
// period for others to share its append.
func (w *Writer) pause() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.opts.Timer.Now()
	at := now.Add(w.opts.SnapshotPeriod)
	for _, due := range w.due {
		at = earlier(at, due)
	}
	if len(w.batch) > 0 {
		at = now
	}
	if len(w.buffer) > 0 {
		at = earlier(at, w.waiting.Add(w.opts.Period))
	}
	for _, rest := range []time.Time{w.notTill, w.appended.Add(w.opts.Period)} {
		if at.Before(rest) {
			at = rest
		}
	}
	return at.Sub(now)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// step makes at most one append.
func (w *Writer) step(ctx context.Context) {
	now := w.opts.Timer.Now()
	if now.Before(w.notTill) || now.Sub(w.appended) < w.opts.Period {
		return
	}
	w.addSnapshots()
	w.fill()
	if len(w.batch) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, w.opts.CallTimeout)
	defer cancel()
	w.settle(w.write(ctx))
}

// addSnapshots queues the snapshots that are due.
func (w *Writer) addSnapshots() {
	for _, s := range w.dueShards() {
		entries, ok := w.opts.Snapshots.ShardSnapshot(s)
		if !ok {
			w.Forget(s)
			continue
		}
		for _, e := range entries {
			w.Add(e)
		}
	}
}

func (w *Writer) dueShards() []cawork.ShardID {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.opts.Timer.Now()
	var out []cawork.ShardID
	for s, at := range w.due {
		if !now.Before(at) {
			out = append(out, s)
			w.due[s] = now.Add(w.opts.SnapshotPeriod)
		}
	}
	return out
}

// fill takes the next batch when the former is settled.
func (w *Writer) fill() {
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
		w.batch[i].ID = EntryID{Writer: w.opts.Writer, Sequence: w.sequence}
	}
}

// write appends the batch, unless a former append of it turns out to have
// taken effect.
func (w *Writer) write(ctx context.Context) error {
	if w.inDoubt {
		found, err := w.find(ctx)
		if err != nil || found {
			return err
		}
	}
	body, err := w.encoder.Encode(w.batch)
	if err != nil {
		return err
	}
	w.opts.Scope.Counter("log_appends").Inc(1)
	w.appended = w.opts.Timer.Now()
	at, err := w.opts.Log.Append(ctx, w.opts.Topic, [][]byte{body})
	if err != nil {
		w.inDoubt = w.inDoubt || !knownWithoutEffect(err)
		return err
	}
	w.next = at + 1
	return nil
}

// find looks for the batch in what was appended since the last known offset.
func (w *Writer) find(ctx context.Context) (bool, error) {
	for {
		page, err := w.opts.Log.Read(ctx, w.opts.Topic, w.next, readPage)
		if err != nil {
			return false, err
		}
		for _, r := range page.Records {
			if w.isBatch(r.Payload) {
				return true, nil
			}
			w.next = r.Offset + 1
		}
		if len(page.Records) == 0 || w.next >= page.Next {
			return false, nil
		}
	}
}

// isBatch reports whether the payload is that of the append under way.
func (w *Writer) isBatch(body []byte) bool {
	found := false
	err := w.decoder.decode(body, func(e Entry) { found = found || e.ID == w.batch[0].ID })
	return err == nil && found
}

func knownWithoutEffect(err error) bool {
	k := cakind.Of(err)
	return k == cakind.KindUnavailable || k == cakind.KindNotStarted || k == cakind.KindOverloaded
}

// settle ends the batch, or sets the time of the next try.
func (w *Writer) settle(err error) {
	w.setDown(err)
	if err != nil {
		w.notTill = w.opts.Timer.Now().Add(w.retry.NextBackOff())
		return
	}
	w.opts.Scope.Counter("log_entries").Inc(int64(len(w.batch)))
	w.retry.Reset()
	w.notTill = time.Time{}
	w.batch = nil
	w.inDoubt = false
}

func (w *Writer) setDown(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	down := err != nil
	if down && !w.down {
		caevent.Warn(w.opts.Events, caevent.LogUnavailable).Err(err).Str("topic", w.opts.Topic).Send()
	}
	if !down && w.down {
		caevent.Info(w.opts.Events, caevent.LogRestored).Str("topic", w.opts.Topic).Send()
	}
	w.down = down
	w.opts.Scope.Gauge("log_buffered").Update(float64(len(w.buffer)))
}

// IsConfirming reports whether the last append is known to have succeeded.
func (w *Writer) IsConfirming() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.down
}
