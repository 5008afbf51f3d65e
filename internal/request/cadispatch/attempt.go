package cadispatch

import (
	"context"
	"errors"
	"net/http"

	"github.com/rs/zerolog"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/request/caadmit"
	"celeryarch.example/celeryarch/internal/request/cadedupe"
	"celeryarch.example/celeryarch/internal/request/caforward"
	"celeryarch.example/celeryarch/internal/request/caroute"
)

// responseLogLevel keeps the log line of a response out of the default log,
// which already has the line of the routing decision.
const responseLogLevel = zerolog.DebugLevel

// retryError is the error of an attempt whose retry has already been charged to
// the retry budgets.
type retryError struct{ cause error }

// Error implements error.
func (e *retryError) Error() string { return e.cause.Error() }

// Unwrap returns the error of the attempt.
func (e *retryError) Unwrap() error { return e.cause }

// runAttempts runs attempts until the caller has a response. When no further
// attempt is allowed, the response is the error of the last one.
func (d *Dispatcher) runAttempts(ctx context.Context, w http.ResponseWriter, c *call) {
	for {
		err := d.startOrWait(ctx, w, c)
		if err == nil {
			return
		}
		c.trackAttemptError(err)
		var granted *retryError
		if !errors.As(err, &granted) && !d.mayRetry(ctx, c, err) {
			err = c.finalError(err)
			c.storeOutcome(OutcomeOf(cakind.Of(err)), cadedupe.StoredAnswer{Dropped: true})
			d.refuse(w, c.team, err)
			return
		}
		d.logRetry(c, err)
	}
}

// startOrWait runs one attempt, immediately or after waiting for a slot. Only
// the wait runs on the calling goroutine, which keeps its stack small.
func (d *Dispatcher) startOrWait(ctx context.Context, w http.ResponseWriter, c *call) error {
	var ticket *caadmit.Ticket
	err := runOnGoroutine(func() error {
		var route *caroute.Route
		var err error
		ticket, route, err = d.acquireSlotOrEnqueue(c)
		if route == nil {
			return err
		}
		return d.attempt(ctx, w, c, route)
	})
	if err != nil || ticket == nil {
		return err
	}
	route, err := d.waitForSlot(ctx, ticket)
	if err != nil {
		return err
	}
	return runOnGoroutine(func() error { return d.attempt(ctx, w, c, route) })
}

// attempt runs one attempt on the slot of the route and releases the slot. A
// nil error means that the response has been sent to the caller.
func (d *Dispatcher) attempt(ctx context.Context, w http.ResponseWriter, c *call, route *caroute.Route) error {
	mem := d.newAttemptMemory(c)
	defer mem.release()
	s := &slot{d: d, route: route, team: c.team}
	defer s.release(caroute.VerdictAbandoned)
	id := d.newAttemptID()
	if err := c.storeAttempt(ctx, id, route.Upstream); err != nil {
		return err
	}
	d.recordRouted(c, route, id)
	ctx, run := d.watch(ctx, c, route)
	defer run.end()
	reply, err := d.forwardAttempt(ctx, c, route, id)
	if err != nil {
		s.interrupted = cakind.Of(err) == cakind.KindUnknown
		s.release(run.verdict(ctx, err))
		return run.wrapError(err)
	}
	mem.addResponseBuffer()
	defer reply.Close()
	run.unwatch()
	if err := d.retryOnServerError(ctx, c, reply); err != nil {
		s.interrupted = !reply.Complete()
		s.release(caroute.VerdictFailed)
		return err
	}
	d.writeReply(ctx, w, c, s, reply)
	return nil
}

// retryOnServerError returns a retryError when the reply to an idempotent
// request has a 5xx status and the retry budgets allow a retry. Otherwise it
// returns nil, and the reply goes to the caller.
func (d *Dispatcher) retryOnServerError(ctx context.Context, c *call, reply *caforward.Relay) error {
	if verdictOfStatus(reply.Status()) != caroute.VerdictFailed || !c.idempotent {
		return nil
	}
	err := cakind.New(cakind.KindFailed, "the upstream responded with status %d", reply.Status())
	if !d.mayRetry(ctx, c, err) {
		return nil
	}
	return &retryError{err}
}

// recordRouted charges an attempt to the retry budgets, updates the metrics and
// logs the routing decision.
func (d *Dispatcher) recordRouted(c *call, route *caroute.Route, id cawork.AttemptID) {
	d.mu.Lock()
	if c.attempts == 0 {
		d.budgets.RecordRequest(c.team, route.Upstream)
	} else {
		d.budgets.RecordRetry(route.Upstream)
	}
	d.mu.Unlock()
	c.attempts++
	c.tried = append(c.tried, route.Upstream)
	d.metrics.routed.Inc(1)
	d.metrics.team(c.team).wait.Record(route.TakenAt.Sub(c.arrived))
	caevent.Info(d.config.Logger, caevent.RequestRouted).
		Str("team", string(c.team)).
		Str("attempt", string(id)).
		Str("upstream", string(route.Upstream)).
		Int("try", c.attempts).
		Dur("waited_ms", route.TakenAt.Sub(c.arrived)).
		Dur("expected_ms", route.ExpectedLatency).
		Bool("borrowed", route.Grant != "").
		Bool("probe", route.Probe).
		Send()
}

// forwardAttempt sends the request to the upstream of the route and reads the
// start of the response.
func (d *Dispatcher) forwardAttempt(ctx context.Context, c *call, route *caroute.Route, id cawork.AttemptID) (*caforward.Relay, error) {
	response, err := d.forwarder.Send(ctx, caforward.Attempt{
		ID:         id,
		Upstream:   route.Upstream,
		Address:    route.Address,
		Epoch:      route.Epoch,
		Deadline:   c.deadline,
		Idempotent: c.idempotent,
		Header:     c.header,
		Query:      c.query,
		BodyPrefix: c.prefix,
		BodyRest:   c.rest,
		Length:     c.length,
	}, route.Connections)
	if err != nil {
		return nil, err
	}
	reply, err := caforward.NewRelay(response)
	if err != nil {
		return nil, cakind.Wrap(cakind.KindUnknown, err, "the response of %s was truncated", route.Upstream)
	}
	return reply, nil
}

// writeReply writes the reply to the caller. If the reply is completely
// buffered, it releases the slot first, so that a slow caller does not occupy
// it.
func (d *Dispatcher) writeReply(ctx context.Context, w http.ResponseWriter, c *call, s *slot, reply *caforward.Relay) {
	verdict := verdictOfStatus(reply.Status())
	outcome := cawork.OutcomeDone
	if verdict == caroute.VerdictFailed {
		outcome = cawork.OutcomeFailed
	}
	if reply.Complete() {
		s.release(verdict)
		if c.session != nil {
			c.storeOutcome(outcome, storedAnswer(reply))
		}
	}
	reply.Header().Set(HeaderOutcome, outcome.String())
	if err := reply.Write(w); err != nil {
		s.interrupted = true
		s.release(verdictOfError(ctx, err))
		c.storeOutcome(cawork.OutcomeUnknown, cadedupe.StoredAnswer{Dropped: true})
		d.metrics.aborted.Inc(1)
		panic(http.ErrAbortHandler)
	}
	s.release(verdict)
	c.storeOutcome(outcome, cadedupe.StoredAnswer{Dropped: true})
	d.logResponse(c, outcome, reply.Status())
}

func (d *Dispatcher) logResponse(c *call, o cawork.Outcome, status int) {
	d.metrics.answered.Inc(1)
	elapsed := d.config.Timer.Now().Sub(c.arrived)
	d.metrics.team(c.team).latency.Record(elapsed)
	caevent.Log(d.config.Logger, responseLogLevel, caevent.RequestAnswered).
		Str("team", string(c.team)).
		Str("outcome", o.String()).
		Int("status", status).
		Dur("elapsed_ms", elapsed).
		Send()
}

// mayRetry reports whether the call may be retried after err, and charges the
// retry budgets when it may. Only idempotent requests and attempts known not to
// have started are retried.
func (d *Dispatcher) mayRetry(ctx context.Context, c *call, err error) bool {
	now := d.config.Timer.Now()
	if !now.Before(c.deadline) || ctx.Err() != nil || !c.retryableAfter(cakind.Of(err)) {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budgets.AllowRetry(c.team, d.router.EligibleUpstreams(now))
}

func (d *Dispatcher) logRetry(c *call, err error) {
	d.metrics.retried.Inc(1)
	caevent.Info(d.config.Logger, caevent.RequestRetried).
		Str("team", string(c.team)).
		Str("upstream", string(c.tried[len(c.tried)-1])).
		Str("reason", err.Error()).
		Send()
}

// slot is the slot of one attempt. Only the first call of release has an effect.
type slot struct {
	d        *Dispatcher
	route    *caroute.Route
	team     cawork.TeamName
	released bool
	// interrupted is set when the attempt ended here without a complete response,
	// while the upstream may still be running the request.
	interrupted bool
}

func (s *slot) release(v caroute.Verdict) {
	if s.released {
		return
	}
	s.released = true
	s.d.releaseSlot(s.route, v, s.team, s.interrupted)
}

// verdictOfError returns the verdict on an attempt that failed with err.
func verdictOfError(ctx context.Context, err error) caroute.Verdict {
	switch {
	case ctx.Err() == context.Canceled:
		return caroute.VerdictAbandoned
	case cakind.Of(err) == cakind.KindNotStarted:
		return caroute.VerdictRefused
	case cakind.Of(err) == cakind.KindCanceled:
		return caroute.VerdictAbandoned
	}
	return caroute.VerdictFailed
}

// verdictOfStatus returns the verdict on an attempt whose response has the
// status.
func verdictOfStatus(status int) caroute.Verdict {
	if status >= http.StatusInternalServerError {
		return caroute.VerdictFailed
	}
	return caroute.VerdictServed
}
