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

// KeyClaimer claims idempotency keys.
type KeyClaimer interface {
	// Begin claims a key for a request. The digest identifies the request, to
	// detect a different one under the same key.
	Begin(ctx context.Context, k cadedupe.Key, digest uint64, idempotent bool) (*cadedupe.Session, error)
}

// digest returns a hash of the query, the body length and the buffered part of
// the body. It detects different requests under the same idempotency key.
func (c *call) digest() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(c.query)
	_, _ = h.WriteString("\x00" + strconv.FormatInt(c.length, 10) + "\x00")
	_, _ = h.Write(c.prefix)
	return h.Sum64()
}

// claimKey claims the idempotency key of the call, if it has one. It returns
// false if the response has been sent: an error, or the stored outcome of an
// earlier submission.
func (d *Dispatcher) claimKey(ctx context.Context, w http.ResponseWriter, c *call) bool {
	if c.key == "" {
		return true
	}
	if d.config.IdempotencyKeys == nil {
		d.refuse(w, c.team, cakind.New(cakind.KindUnavailable, "this entry does not support idempotency keys"))
		return false
	}
	if err := d.checkAdmission(c); err != nil {
		d.refuse(w, c.team, err)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, c.deadline.Sub(d.config.Timer.Now()))
	defer cancel()
	s, err := d.config.IdempotencyKeys.Begin(ctx, cadedupe.Key{Team: c.team, Name: c.key}, c.digest(), c.idempotent)
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

// storeAttempt records an attempt under the idempotency key before the attempt
// is sent, if the request runs at most once.
func (c *call) storeAttempt(ctx context.Context, id cawork.AttemptID, up cawork.UpstreamID) error {
	if c.session == nil || c.idempotent {
		return nil
	}
	if err := c.session.RecordAttempt(ctx, id, up); err != nil {
		return cakind.Wrap(cakind.KindUnavailable, err, "the attempt could not be recorded")
	}
	return nil
}

// storeOutcome records the outcome under the idempotency key of the call, if it
// has one. Only the first outcome is recorded.
func (c *call) storeOutcome(o cawork.Outcome, a cadedupe.StoredAnswer) {
	if c.session == nil {
		return
	}
	c.session.Settle(o, a)
	c.session = nil
}

func storedAnswer(reply *caforward.Relay) cadedupe.StoredAnswer {
	return cadedupe.StoredAnswer{
		Status:      reply.Status(),
		ContentType: reply.Header().Get("Content-Type"),
		Body:        append([]byte(nil), reply.Bytes()...),
	}
}

// replayRecord responds with the stored outcome of the first submission.
func replayRecord(w http.ResponseWriter, r cadedupe.Record) {
	h := w.Header()
	h.Set(HeaderReplayed, "true")
	switch {
	case r.Outcome == cawork.OutcomeNotRun:
		WriteError(w, cakind.New(cakind.KindNotStarted, "the first submission did not run"))
		return
	case r.Outcome == cawork.OutcomeUnknown:
		WriteError(w, cakind.New(cakind.KindUnknown, "the outcome of the first submission is unknown"))
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

// writeOutcomeOnly responds with the outcome of a request whose response was not
// stored. It uses an error status, so that callers do not take it for the
// response of the request.
func writeOutcomeOnly(w http.ResponseWriter, o cawork.Outcome) {
	w.Header().Set(HeaderOutcome, o.String())
	cakind.BodyOf(cakind.New(cakind.KindAnswerNotKept, "the first submission ended; its response was not stored")).Write(w)
}
