package cadispatch

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Headers of the answers to callers.
const (
	// HeaderOutcome names the outcome of the request. On an answer with a body
	// it holds only if the body arrives whole.
	HeaderOutcome = "X-Outcome"
	// HeaderRetryAfter is the time to wait before a retry in milliseconds,
	// beside the standard Retry-After in seconds.
	HeaderRetryAfter = "X-Retry-After-Ms"
	// HeaderReplayed marks an answer that was stored under the idempotency key.
	HeaderReplayed = "X-Replayed"
)

const defaultRetryAfter = 200 * time.Millisecond

// errorBody is the body of an answer that reports an error.
type errorBody struct {
	Kind         string `json:"kind"`
	Outcome      string `json:"outcome"`
	Message      string `json:"message"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// OutcomeOf returns the outcome of a request that ended with an error of the
// kind.
func OutcomeOf(k cakind.Kind) cawork.Outcome {
	switch cakind.AnswerTo(k).Execution {
	case cakind.ExecutionNotRun:
		return cawork.OutcomeNotRun
	case cakind.ExecutionRan:
		return cawork.OutcomeFailed
	default:
		return cawork.OutcomeUnknown
	}
}

// WriteError answers with an error, after the table of kinds.
func WriteError(w http.ResponseWriter, err error) { writeError(w, err, err.Error()) }

// writeError takes the message of the error, which is costly to make.
func writeError(w http.ResponseWriter, err error, message string) {
	kind := cakind.Of(err)
	answer := cakind.AnswerTo(kind)
	body := errorBody{
		Kind:    kind.String(),
		Outcome: OutcomeOf(kind).String(),
		Message: message,
	}
	h := w.Header()
	if answer.Retryable || cakind.RetryAfterOf(err) > 0 {
		after := retryAfter(err)
		body.RetryAfterMS = after.Milliseconds()
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
		h.Set(HeaderRetryAfter, strconv.FormatInt(body.RetryAfterMS, 10))
	}
	writeBody(w, answer.Status, body)
}

func writeBody(w http.ResponseWriter, status int, body errorBody) {
	payload, _ := json.Marshal(body)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(payload)))
	h.Set(HeaderOutcome, body.Outcome)
	w.WriteHeader(status)
	_, _ = w.Write(payload)
}

func retryAfter(err error) time.Duration {
	if d := cakind.RetryAfterOf(err); d > 0 {
		return d
	}
	return defaultRetryAfter
}
