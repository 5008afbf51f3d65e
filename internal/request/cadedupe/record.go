// Package cadedupe keeps the outcomes of requests under their idempotency
// keys. The record of a key lives at two entries of the availability zone,
// chosen by rendezvous hashing: the keeper and its backup. A request runs only
// after both hold its record.
package cadedupe

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Key is an idempotency key, which a team chooses.
type Key struct {
	Team cawork.TeamName `cbor:"team"`
	Name string          `cbor:"name"`
}

// Member is one run of an entry. A restarted entry has a higher incarnation.
type Member struct {
	ID          cawork.VMID `cbor:"id"`
	Incarnation int64       `cbor:"incarnation"`
}

// ClaimID identifies one claim to execute the request of a key. Only its
// holder may intend attempts and settle the record.
type ClaimID string

// StoredAnswer is the answer that is given again. Dropped is set when the body
// was too large to be kept.
type StoredAnswer struct {
	Status      int    `cbor:"status"`
	ContentType string `cbor:"content_type"`
	Body        []byte `cbor:"body"`
	Dropped     bool   `cbor:"dropped"`
}

// Record is what is known of the request of a key.
type Record struct {
	Key Key `cbor:"key"`
	// Digest is the hash of the request, by which another request under the
	// same key is noticed.
	Digest     uint64  `cbor:"digest"`
	Claim      ClaimID `cbor:"claim"`
	Executor   Member  `cbor:"executor"`
	Idempotent bool    `cbor:"idempotent"`
	// Generation counts the claims of the key.
	Generation int64 `cbor:"generation"`
	// Serial counts the changes under one claim.
	Serial int64 `cbor:"serial"`
	// Attempt and Upstream tell the last attempt that may have been sent.
	// Both are empty when none was.
	Attempt  cawork.AttemptID  `cbor:"attempt"`
	Upstream cawork.UpstreamID `cbor:"upstream"`
	// Outcome is pending while the request is in progress.
	Outcome cawork.Outcome `cbor:"outcome"`
	Answer  StoredAnswer   `cbor:"answer"`
	// Remaining is the time for which the record is kept from the sending of
	// a message on.
	Remaining time.Duration `cbor:"remaining_ns"`
}

// Settled reports whether the outcome is known.
func (r Record) Settled() bool { return r.Outcome != cawork.OutcomePending }

// WithAttempt returns a copy that names an attempt about to be sent.
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

// WithoutBody returns a copy whose stored body is dropped.
func (r Record) WithoutBody() Record {
	r.Answer.Body = nil
	r.Answer.Dropped = true
	return r
}

// claimable reports whether a new submission may execute: the former one is
// proved not to have run, or is idempotent and its outcome cannot be told.
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
