package cadispatch

import (
	"context"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/request/cadedupe"
	"celeryarch.example/celeryarch/internal/request/caforward"
)

// Keys claims idempotency keys.
type Keys interface {
	Begin(ctx context.Context, k cadedupe.Key, digest uint64, idempotent bool) (*cadedupe.Session, error)
}

// digest tells requests under the same key apart: by query, length and the
// kept part of the body.
func (c *call) digest() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(c.query)
	_, _ = h.WriteString("\x00" + strconv.FormatInt(c.length, 10) + "\x00")
	_, _ = h.Write(c.prefix)
	return h.Sum64()
}

// claimKey claims the key of the call, if it has one. It reports false when
// the caller has been answered.
func (d *Dispatcher) claimKey(ctx context.Context, w http.ResponseWriter, c *call) bool {
	if c.key == "" {
		return true
	}
	if d.config.Keys == nil {
		d.refuse(w, c.team, cakind.New(cakind.KindUnavailable, "idempotency keys are not kept here"))
		return false
	}
	if err := d.checkAdmission(c); err != nil {
		d.refuse(w, c.team, err)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, c.deadline.Sub(d.config.Timer.Now()))
	defer cancel()
	s, err := d.config.Keys.Begin(ctx, cadedupe.Key{Team: c.team, Name: c.key}, c.digest(), c.idempotent)
	if err != nil {
		d.refuse(w, c.team, err)
		return false
	}
	if !s.Execute {
		replayRecord(w, s.Record)
		return false
	}
	c.session = s
	return true
}

// storeAttempt records an attempt of a request that runs at most once.
func (c *call) storeAttempt(ctx context.Context, id cawork.AttemptID, up cawork.UpstreamID) error {
	if c.session == nil || c.idempotent {
		return nil
	}
	if err := c.session.Intend(ctx, id, up); err != nil {
		return cakind.Wrap(cakind.KindUnavailable, err, "the attempt could not be recorded")
	}
	return nil
}

// storeOutcome records the outcome under the key of the call, if it has one.
func (c *call) storeOutcome(o cawork.Outcome, a cadedupe.StoredAnswer) {
	if c.session == nil {
		return
	}
	c.session.Settle(o, a)
	c.session = nil
}

func storedAnswer(reply *caforward.Reply) cadedupe.StoredAnswer {
	return cadedupe.StoredAnswer{
		Status:      reply.Status(),
		ContentType: reply.Header().Get("Content-Type"),
		Body:        append([]byte(nil), reply.Bytes()...),
	}
}

// replayRecord answers with the outcome of the first submission.
func replayRecord(w http.ResponseWriter, r cadedupe.Record) {
	h := w.Header()
	h.Set(HeaderReplayed, "true")
	switch {
	case r.Outcome == cawork.OutcomeNotRun:
		WriteError(w, cakind.New(cakind.KindNotStarted, "the first submission did not run"))
		return
	case r.Outcome == cawork.OutcomeUnknown:
		WriteError(w, cakind.New(cakind.KindUnknown, "the outcome of the first submission is not known"))
		return
	case r.Answer.Dropped:
		writeOutcomeOnly(w, r.Outcome)
		return
	}
	if r.Answer.ContentType != "" {
		h.Set("Content-Type", r.Answer.ContentType)
	}
	h.Set(HeaderOutcome, r.Outcome.String())
	h.Set("Content-Length", strconv.Itoa(len(r.Answer.Body)))
	w.WriteHeader(r.Answer.Status)
	_, _ = w.Write(r.Answer.Body)
}

// writeOutcomeOnly tells an outcome whose answer is not kept. The status keeps
// it from being taken for the answer.
func writeOutcomeOnly(w http.ResponseWriter, o cawork.Outcome) {
	w.Header().Set(HeaderOutcome, o.String())
	cakind.BodyOf(cakind.New(cakind.KindAnswerNotKept, "the first submission ended; its answer is not kept")).Write(w)
}
