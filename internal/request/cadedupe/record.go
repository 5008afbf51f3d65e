// Package cadedupe deduplicates requests by idempotency key. The record of a
// key is stored at two entries of the availability zone, its replicas, which
// rendezvous hashing chooses: the primary and its backup. A request runs only
// after both have stored its record.
package cadedupe

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Key is an idempotency key chosen by a team.
type Key struct {
	Team cawork.TeamName `cbor:"team"`
	Name string          `cbor:"name"`
}

// Member is one incarnation of an entry. A restart increases the number.
type Member struct {
	ID          cawork.VMID `cbor:"id"`
	Incarnation int64       `cbor:"incarnation"`
}

// ClaimID identifies one claim to execute the request of a key. Recording an
// attempt and settling the record take the ID of the current claim.
type ClaimID string

// StoredAnswer is the answer to later submissions of the same request. Dropped
// is set when the body is not stored, for example because it was too large.
type StoredAnswer struct {
	Status      int    `cbor:"status"`
	ContentType string `cbor:"content_type"`
	Body        []byte `cbor:"body"`
	Dropped     bool   `cbor:"dropped"`
}

// Record is the state of the request of a key.
type Record struct {
	Key Key `cbor:"key"`
	// Digest is the hash of the request. It detects another request under the
	// same key.
	Digest     uint64  `cbor:"digest"`
	Claim      ClaimID `cbor:"claim"`
	Executor   Member  `cbor:"executor"`
	Idempotent bool    `cbor:"idempotent"`
	// Generation counts the claims of the key.
	Generation int64 `cbor:"generation"`
	// Serial counts the changes under one claim.
	Serial int64 `cbor:"serial"`
	// Attempt and Upstream identify the last attempt that may have been sent.
	// Both are empty before the first one.
	Attempt  cawork.AttemptID  `cbor:"attempt"`
	Upstream cawork.UpstreamID `cbor:"upstream"`
	// Outcome is pending while the request is in progress.
	Outcome cawork.Outcome `cbor:"outcome"`
	Answer  StoredAnswer   `cbor:"answer"`
	// Remaining is the time until the record expires, relative to the time at
	// which a message with the record is sent.
	Remaining time.Duration `cbor:"remaining_ns"`
}

// Settled reports whether the outcome is known.
func (r Record) Settled() bool { return r.Outcome != cawork.OutcomePending }

// WithAttempt returns a copy with an attempt that is about to be sent.
func (r Record) WithAttempt(id cawork.AttemptID, up cawork.UpstreamID) Record {
	r.Attempt = id
	r.Upstream = up
	r.Serial++
	return r
}

// WithOutcome returns a settled copy.
func (r Record) WithOutcome(o cawork.Outcome, a StoredAnswer) Record {
	r.Outcome = o
	r.Answer = a
	r.Serial++
	return r
}

// WithoutBody returns a copy without the body of the answer.
func (r Record) WithoutBody() Record {
	r.Answer.Body = nil
	r.Answer.Dropped = true
	return r
}

// claimable reports whether a new submission may execute the request: the
// previous one is proved not to have run, or its outcome is unknown and the
// request is idempotent.
func (r Record) claimable() bool {
	return r.Outcome == cawork.OutcomeNotRun || (r.Outcome == cawork.OutcomeUnknown && r.Idempotent)
}

// newerThan orders two states of the same claim or of successive claims.
func (r Record) newerThan(o Record) bool {
	if r.Generation != o.Generation {
		return r.Generation > o.Generation
	}
	if r.Settled() != o.Settled() {
		return r.Settled()
	}
	return r.Serial > o.Serial
}
