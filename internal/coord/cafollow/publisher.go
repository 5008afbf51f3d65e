package cafollow

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// Bounds of the wait between two tries of a publisher.
const (
	minPublishWait = 50 * time.Millisecond
	maxPublishWait = 2 * time.Second
)

// Publisher appends changes and learns how they were decided.
type Publisher struct {
	Log   caplatform.Log
	Topic string
	// CallTimeout bounds a call to the log, zero stands for the default.
	CallTimeout time.Duration
}

// Result is how a change was decided.
type Result struct {
	Accepted bool
	// Version is the version in force after the decision, Winner the change
	// that made it.
	Version Version
	Winner  ChangeID
}

// publication follows one change until it is decided.
type publication struct {
	publisher Publisher
	state     State
	decided   map[ChangeID]Decision
	// sent means that a copy of the change may be in the log.
	sent bool
}

// Current returns the version in force according to the log.
func (p Publisher) Current(ctx context.Context) (Snapshot, error) {
	w, err := p.start(ctx)
	if err != nil {
		return Snapshot{}, err
	}
	if w.state.Gap() {
		return Snapshot{}, errNoVersion()
	}
	return w.state.Snapshot(), nil
}

// Publish appends a change and reads the log until the change is decided. It
// repeats an append whose answer was lost under the same id, which is
// harmless. When the context ends first, an error of KindUnknown says that
// the change may yet be accepted, one of KindUnavailable that it was not sent.
func (p Publisher) Publish(ctx context.Context, c Change) (Result, error) {
	if len(c.Body) > MaxBodySize {
		return Result{}, cakind.New(cakind.KindTooLarge, "the configuration has %d bytes, more than %d", len(c.Body), MaxBodySize)
	}
	w, err := p.start(ctx)
	if err != nil {
		return Result{}, err
	}
	if d, ok := w.decided[c.ID]; ok {
		return resultOf(d), nil
	}
	if w.state.Gap() {
		return Result{}, errNoVersion()
	}
	if now := w.state.Snapshot(); c.Base != now.Version {
		return Result{Version: now.Version, Winner: now.ChangeID}, nil
	}
	return w.finish(ctx, c.ID, record{Change: &c}.encode())
}

// Reset appends a reset and reads the log until it is in force.
func (p Publisher) Reset(ctx context.Context, r Reset) (Result, error) {
	if len(r.Body) > MaxBodySize {
		return Result{}, cakind.New(cakind.KindTooLarge, "the configuration has %d bytes, more than %d", len(r.Body), MaxBodySize)
	}
	w, err := p.start(ctx)
	if err != nil {
		return Result{}, err
	}
	return w.finish(ctx, r.ID, record{Reset: &r}.encode())
}

func errNoVersion() error {
	return cakind.New(cakind.KindUnavailable,
		"the log has dropped the last snapshot: wait until an entry writes one, or reset the configuration")
}

func resultOf(d Decision) Result {
	return Result{Accepted: d.Accepted, Version: d.Version, Winner: d.Winner}
}

func (p Publisher) start(ctx context.Context) (*publication, error) {
	w := &publication{publisher: p, state: NewState(), decided: map[ChangeID]Decision{}}
	if err := w.catchUp(ctx); err != nil {
		return nil, cakind.Wrap(cakind.KindUnavailable, err, "the log cannot be read")
	}
	return w, nil
}

func (w *publication) finish(ctx context.Context, id ChangeID, payload []byte) (Result, error) {
	try := func() (Result, error) { return w.try(ctx, id, payload) }
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = minPublishWait
	waits.MaxInterval = maxPublishWait
	result, err := backoff.Retry(ctx, try, backoff.WithBackOff(waits), backoff.WithMaxElapsedTime(0))
	if err == nil {
		return result, nil
	}
	if w.sent {
		return Result{}, cakind.Wrap(cakind.KindUnknown, err, "change %s was sent but not seen decided; publish it again with the same id", id)
	}
	return Result{}, cakind.Wrap(cakind.KindUnavailable, err, "change %s was not sent", id)
}

// try appends once and reads to the end of the log.
func (w *publication) try(ctx context.Context, id ChangeID, payload []byte) (Result, error) {
	appendErr := w.append(ctx, payload)
	if err := w.catchUp(ctx); err != nil {
		return Result{}, err
	}
	if d, ok := w.decided[id]; ok {
		return resultOf(d), nil
	}
	if appendErr != nil {
		return Result{}, appendErr
	}
	return Result{}, cakind.New(cakind.KindUnavailable, "the appended change is not in the log yet")
}

func (w *publication) append(ctx context.Context, payload []byte) error {
	limited, cancel := w.limit(ctx)
	defer cancel()
	_, err := w.publisher.Log.Append(limited, w.publisher.Topic, [][]byte{payload})
	if err == nil || cakind.Of(err) != cakind.KindUnavailable {
		w.sent = true
	}
	return err
}

// catchUp reads to the end of the log. A record of a later format is an error,
// since this program cannot tell which version is in force after it. It keeps the first decision for each
// change: a later copy never fares better.
func (w *publication) catchUp(ctx context.Context) error {
	for {
		page, err := w.readPage(ctx)
		if err != nil {
			return err
		}
		before := w.state.ReadFrom()
		next, decisions, err := w.state.WithPage(page)
		if cakind.Of(err) == cakind.KindUnavailable {
			return err
		}
		w.state = next
		for _, d := range decisions {
			if _, ok := w.decided[d.ID]; !ok {
				w.decided[d.ID] = d
			}
		}
		if err := caversion.CheckFormat("a record of the topic", next.Later(), caversion.FormatNewest); err != nil {
			return err
		}
		if !next.More() || next.ReadFrom() == before {
			return nil
		}
	}
}

func (w *publication) readPage(ctx context.Context) (caplatform.Page, error) {
	limited, cancel := w.limit(ctx)
	defer cancel()
	return w.publisher.Log.Read(limited, w.publisher.Topic, w.state.ReadFrom(), pageSize)
}

func (w *publication) limit(ctx context.Context) (context.Context, context.CancelFunc) {
	timeout := w.publisher.CallTimeout
	if timeout == 0 {
		timeout = DefaultCallTimeout
	}
	return context.WithTimeout(ctx, timeout)
}
