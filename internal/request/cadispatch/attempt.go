package cadispatch

import (
	"context"
	"net/http"

	"github.com/rs/zerolog"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/request/caadmit"
	"celeryarch.example/celeryarch/internal/request/caforward"
	"celeryarch.example/celeryarch/internal/request/caroute"
)

// answeredLevel keeps the line of an answer out of the usual log: the line of
// its routing decision is there already.
const answeredLevel = zerolog.DebugLevel

// serve runs attempts until one answers or none may follow.
func (d *Dispatcher) serve(ctx context.Context, w http.ResponseWriter, c *call) {
	for {
		err := d.attempt(ctx, w, c)
		if err == nil {
			return
		}
		if !d.mayRetry(ctx, c, err) {
			d.refuse(w, c.team, err)
			return
		}
		d.logRetry(c, err)
	}
}

// attempt runs one attempt. A nil error means that the caller has been
// answered.
func (d *Dispatcher) attempt(ctx context.Context, w http.ResponseWriter, c *call) error {
	route, err := d.acquire(ctx, c)
	if err != nil {
		return err
	}
	s := &slot{d: d, route: route, team: c.team}
	defer s.release(caroute.VerdictAbandoned)
	id := d.newAttemptID()
	d.accountFor(c, route, id)
	reply, err := d.fetch(ctx, c, route, id)
	if err != nil {
		s.release(verdictOf(ctx, err))
		return err
	}
	defer reply.Close()
	if reply.Whole() {
		s.release(verdictOfStatus(reply.Status()))
	}
	d.answer(w, c, s, reply)
	return nil
}

func (d *Dispatcher) accountFor(c *call, route caroute.Route, id cawork.AttemptID) {
	if c.attempts == 0 {
		d.mu.Lock()
		d.budgets.Request(c.team, route.Upstream)
		d.mu.Unlock()
	}
	c.attempts++
	c.tried = append(c.tried, route.Upstream)
	d.metrics.routed.Inc(1)
	caevent.Info(d.config.Logger, caevent.RequestRouted).
		Str("team", string(c.team)).
		Str("attempt", string(id)).
		Str("upstream", string(route.Upstream)).
		Int("try", c.attempts).
		Dur("waited_ms", route.Taken.Sub(c.arrived)).
		Dur("expected_ms", route.Expected).
		Bool("borrowed", route.Grant != "").
		Bool("probe", route.Probe).
		Send()
}

func (d *Dispatcher) fetch(ctx context.Context, c *call, route caroute.Route, id cawork.AttemptID) (*caforward.Reply, error) {
	answer, err := d.forward.Send(ctx, caforward.Attempt{
		ID:         id,
		Upstream:   route.Upstream,
		Address:    route.Address,
		Epoch:      route.Epoch,
		Deadline:   c.deadline,
		Idempotent: c.idempotent,
		Header:     c.header,
		Query:      c.query,
		Body:       c.body(),
		Length:     c.length,
	}, route.Connections)
	if err != nil {
		return nil, err
	}
	reply, err := caforward.NewReply(answer)
	if err != nil {
		return nil, cakind.Wrap(cakind.KindUnknown, err, "the answer of %s was cut", route.Upstream)
	}
	return reply, nil
}

// answer writes the reply to the caller.
func (d *Dispatcher) answer(w http.ResponseWriter, c *call, s *slot, reply *caforward.Reply) {
	outcome := cawork.OutcomeDone
	if verdictOfStatus(reply.Status()) == caroute.VerdictFailed {
		outcome = cawork.OutcomeFailed
	}
	reply.Header().Set(HeaderOutcome, outcome.String())
	if err := reply.Write(w); err != nil {
		s.release(caroute.VerdictAbandoned)
		d.metrics.aborted.Inc(1)
		panic(http.ErrAbortHandler)
	}
	s.release(verdictOfStatus(reply.Status()))
	d.metrics.answered.Inc(1)
	caevent.Log(d.config.Logger, answeredLevel, caevent.RequestAnswered).
		Str("team", string(c.team)).
		Str("outcome", outcome.String()).
		Int("status", reply.Status()).
		Dur("elapsed_ms", d.config.Timer.Now().Sub(c.arrived)).
		Send()
}

// mayRetry reports whether the call may be tried again: only what is
// idempotent, or known not to have started, and within the budgets.
func (d *Dispatcher) mayRetry(ctx context.Context, c *call, err error) bool {
	if c.attempts == 0 || ctx.Err() != nil || !c.replayable() {
		return false
	}
	kind := cakind.Of(err)
	if kind != cakind.KindNotStarted && !(kind == cakind.KindUnknown && c.idempotent) {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budgets.Retry(c.team, c.tried[len(c.tried)-1])
}

func (d *Dispatcher) logRetry(c *call, err error) {
	d.metrics.retried.Inc(1)
	caevent.Info(d.config.Logger, caevent.RequestRetried).
		Str("team", string(c.team)).
		Str("upstream", string(c.tried[len(c.tried)-1])).
		Str("reason", err.Error()).
		Send()
}

// slot is the slot of one attempt, released once.
type slot struct {
	d        *Dispatcher
	route    caroute.Route
	team     cawork.TeamName
	released bool
}

func (s *slot) release(v caroute.Verdict) {
	if s.released {
		return
	}
	s.released = true
	s.d.release(s.route, v, &caadmit.Ticket{Team: s.team})
}

func verdictOf(ctx context.Context, err error) caroute.Verdict {
	if ctx.Err() == context.Canceled {
		return caroute.VerdictAbandoned
	}
	if cakind.Of(err) == cakind.KindNotStarted {
		return caroute.VerdictRefused
	}
	return caroute.VerdictFailed
}

func verdictOfStatus(status int) caroute.Verdict {
	if status >= http.StatusInternalServerError {
		return caroute.VerdictFailed
	}
	return caroute.VerdictServed
}
