package cafollow

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// Bounds of the delay between two attempts of a publisher.
const (
	minPublishBackoff = 50 * time.Millisecond
	maxPublishBackoff = 2 * time.Second
)

// Publisher appends changes and reads from the log whether they were accepted.
type Publisher struct {
	Log   caplatform.Log
	Topic string
	// CallTimeout bounds a call to the log. Zero selects DefaultCallTimeout.
	CallTimeout time.Duration
}

// Result is the outcome of a change.
type Result struct {
	Accepted bool
	// Version is the version in force after the decision. Winner is the change
	// that created it.
	Version Version
	Winner  ChangeID
}

// publication tracks one change until the log shows its outcome.
type publication struct {
	publisher Publisher
	state     State
	decided   map[ChangeID]Decision
	// maybeAppended is set once a copy of the change may be in the log.
	maybeAppended bool
}

// Current returns the version in force according to the log.
func (p Publisher) Current(ctx context.Context) (Snapshot, error) {
	pub, err := p.start(ctx)
	if err != nil {
		return Snapshot{}, err
	}
	if pub.state.Gap() {
		return Snapshot{}, errVersionUnknown()
	}
	return pub.state.Snapshot(), nil
}

// Publish appends a change and reads the log until the change is decided. If
// the answer to an append is lost, it appends the change again under the same
// ID, which is harmless. If the context ends first, the error is of KindUnknown
// if the change may still be accepted, and of KindUnavailable if it was not
// sent.
func (p Publisher) Publish(ctx context.Context, c Change) (Result, error) {
	if len(c.Body) > MaxBodySize {
		return Result{}, cakind.New(cakind.KindTooLarge, "the configuration has %d bytes, more than %d", len(c.Body), MaxBodySize)
	}
	pub, err := p.start(ctx)
	if err != nil {
		return Result{}, err
	}
	if d, ok := pub.decided[c.ID]; ok {
		return resultOf(d), nil
	}
	if pub.state.Gap() {
		return Result{}, errVersionUnknown()
	}
	if current := pub.state.Snapshot(); c.Base != current.Version {
		return Result{Version: current.Version, Winner: current.ChangeID}, nil
	}
	return pub.publish(ctx, c.ID, record{Change: &c}.encode())
}

// Reset appends a reset and reads the log until the reset is in force.
func (p Publisher) Reset(ctx context.Context, r Reset) (Result, error) {
	if len(r.Body) > MaxBodySize {
		return Result{}, cakind.New(cakind.KindTooLarge, "the configuration has %d bytes, more than %d", len(r.Body), MaxBodySize)
	}
	pub, err := p.start(ctx)
	if err != nil {
		return Result{}, err
	}
	return pub.publish(ctx, r.ID, record{Reset: &r}.encode())
}

func errVersionUnknown() error {
	return cakind.New(cakind.KindUnavailable,
		"the log has dropped the last snapshot: wait until an entry writes one, or reset the configuration")
}

func resultOf(d Decision) Result {
	return Result{Accepted: d.Accepted, Version: d.Version, Winner: d.Winner}
}

func (p Publisher) start(ctx context.Context) (*publication, error) {
	pub := &publication{publisher: p, state: NewState(), decided: map[ChangeID]Decision{}}
	if err := pub.catchUp(ctx); err != nil {
		return nil, cakind.Wrap(cakind.KindUnavailable, err, "the log cannot be read")
	}
	return pub, nil
}

func (pub *publication) publish(ctx context.Context, id ChangeID, payload []byte) (Result, error) {
	attempt := func() (Result, error) { return pub.attempt(ctx, id, payload) }
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = minPublishBackoff
	delays.MaxInterval = maxPublishBackoff
	result, err := backoff.Retry(ctx, attempt, backoff.WithBackOff(delays), backoff.WithMaxElapsedTime(0))
	if err == nil {
		return result, nil
	}
	if pub.maybeAppended {
		return Result{}, cakind.Wrap(cakind.KindUnknown, err, "change %s was sent but its outcome is unknown; publish it again with the same id", id)
	}
	return Result{}, cakind.Wrap(cakind.KindUnavailable, err, "change %s was not sent", id)
}

// attempt appends the payload once and reads to the end of the log.
func (pub *publication) attempt(ctx context.Context, id ChangeID, payload []byte) (Result, error) {
	appendErr := pub.append(ctx, payload)
	if err := pub.catchUp(ctx); err != nil {
		return Result{}, err
	}
	if d, ok := pub.decided[id]; ok {
		return resultOf(d), nil
	}
	if appendErr != nil {
		return Result{}, appendErr
	}
	return Result{}, cakind.New(cakind.KindUnavailable, "the appended change is not in the log yet")
}

func (pub *publication) append(ctx context.Context, payload []byte) error {
	callCtx, cancel := pub.withCallTimeout(ctx)
	defer cancel()
	_, err := pub.publisher.Log.Append(callCtx, pub.publisher.Topic, [][]byte{payload})
	if err == nil || cakind.Of(err) != cakind.KindUnavailable {
		pub.maybeAppended = true
	}
	return err
}

// catchUp reads to the end of the log. A record of a newer format is an error,
// because the version in force after it cannot be determined. catchUp keeps the
// first decision of each change: if the first copy of a change is rejected, a
// later copy is never accepted.
func (pub *publication) catchUp(ctx context.Context) error {
	for {
		page, err := pub.readPage(ctx)
		if err != nil {
			return err
		}
		before := pub.state.ReadFrom()
		next, decisions, err := pub.state.WithPage(page)
		if cakind.Of(err) == cakind.KindUnavailable {
			return err
		}
		pub.state = next
		for _, d := range decisions {
			if _, ok := pub.decided[d.ID]; !ok {
				pub.decided[d.ID] = d
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

func (pub *publication) readPage(ctx context.Context) (caplatform.Page, error) {
	callCtx, cancel := pub.withCallTimeout(ctx)
	defer cancel()
	return pub.publisher.Log.Read(callCtx, pub.publisher.Topic, pub.state.ReadFrom(), pageSize)
}

func (pub *publication) withCallTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	timeout := pub.publisher.CallTimeout
	if timeout == 0 {
		timeout = DefaultCallTimeout
	}
	return context.WithTimeout(ctx, timeout)
}
