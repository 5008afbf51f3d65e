package caadmit

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
)

// errOverloaded is allocated once, because refusals are frequent.
var errOverloaded = cakind.New(cakind.KindOverloaded, "overloaded")

// Refusal is the error of a request that is not admitted. It is of
// KindOverloaded and says after which time to retry.
type Refusal struct {
	reason     string
	retryAfter time.Duration
}

// NewRefusal returns a refusal for a reason other than full queues or long waits.
func NewRefusal(reason string, retryAfter time.Duration) *Refusal {
	return &Refusal{reason: reason, retryAfter: retryAfter}
}

// Error implements error.
func (r *Refusal) Error() string { return r.reason }

// Unwrap returns an error with the kind and the time after which to retry.
func (r *Refusal) Unwrap() error { return errOverloaded.WithRetryAfter(r.retryAfter) }
