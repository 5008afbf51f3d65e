package cakind

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// HeaderRetryAfterMS is the header with the time to wait before a retry in
// milliseconds. The standard header Retry-After gives it in seconds.
const HeaderRetryAfterMS = "X-Retry-After-Ms"

// DefaultRetryAfter is the time to wait before a retry when a retryable error
// sets none.
const DefaultRetryAfter = 200 * time.Millisecond

// ErrorBody is the body of every HTTP response that reports an error.
type ErrorBody struct {
	Kind      Kind      `json:"kind"`
	Execution Execution `json:"execution"`
	// Retryable reports whether a retry is safe and may succeed.
	Retryable bool   `json:"retryable"`
	Message   string `json:"message"`
	// RetryAfterMS is the time to wait in milliseconds, zero unless retryable.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// BodyOf returns the response body for an error, based on the table of kinds. An
// error with a time to wait is retryable, whatever its kind.
func BodyOf(err error) ErrorBody {
	kind := Of(err)
	answer := ResponseTo(kind)
	b := ErrorBody{Kind: kind, Execution: answer.Execution, Message: err.Error()}
	after := RetryAfterOf(err)
	if after <= 0 && answer.Retryable {
		after = DefaultRetryAfter
	}
	if after > 0 {
		b.Retryable = true
		b.RetryAfterMS = max(after.Milliseconds(), 1)
	}
	return b
}

// Write sends the response: the status of the kind, the retry headers and the
// body.
func (b ErrorBody) Write(w http.ResponseWriter) {
	payload, _ := json.Marshal(b)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(payload)))
	if b.RetryAfterMS > 0 {
		wait := time.Duration(b.RetryAfterMS) * time.Millisecond
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
		h.Set(HeaderRetryAfterMS, strconv.FormatInt(b.RetryAfterMS, 10))
	}
	w.WriteHeader(ResponseTo(b.Kind).Status)
	_, _ = w.Write(payload)
}
