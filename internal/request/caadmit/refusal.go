package caadmit

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
)

// errOverloaded is made once, because refusals are many.
var errOverloaded = cakind.New(cakind.KindOverloaded, "overloaded")

// Refusal is the error of a request that is not admitted. It is of
// KindOverloaded and tells when to come back.
type Refusal struct {
	reason     string
	retryAfter time.Duration
}

// NewRefusal returns a refusal for a reason outside of the queues.
func NewRefusal(reason string, retryAfter time.Duration) *Refusal {
	return &Refusal{reason: reason, retryAfter: retryAfter}
}

// Error implements error.
func (r *Refusal) Error() string { return r.reason }

// Unwrap returns the error with its kind.
func (r *Refusal) Unwrap() error { return errOverloaded.WithRetryAfter(r.retryAfter) }
