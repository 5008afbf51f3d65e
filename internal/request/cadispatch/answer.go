package cadispatch

import (
	"net/http"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Headers of the answers to callers.
const (
	// HeaderOutcome names the outcome of the request. On an answer with a body
	// it holds only if the body arrives whole.
	HeaderOutcome = "X-Outcome"
	// HeaderReplayed marks an answer that was stored under the idempotency key.
	HeaderReplayed = "X-Replayed"
)

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
func WriteError(w http.ResponseWriter, err error) {
	w.Header().Set(HeaderOutcome, OutcomeOf(cakind.Of(err)).String())
	cakind.BodyOf(err).Write(w)
}
