package cadispatch

import (
	"net/http"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Headers of responses to callers.
const (
	// HeaderOutcome carries the outcome of the request. On a response with a
	// body it is valid only if the complete body arrives.
	HeaderOutcome = "X-Outcome"
	// HeaderReplayed marks a response that was stored under the idempotency key
	// by an earlier submission.
	HeaderReplayed = "X-Replayed"
)

// OutcomeOf returns the outcome of a request that ended with an error of kind k.
func OutcomeOf(k cakind.Kind) cawork.Outcome {
	switch cakind.ResponseTo(k).Execution {
	case cakind.ExecutionNotRun:
		return cawork.OutcomeNotRun
	case cakind.ExecutionRan:
		return cawork.OutcomeFailed
	default:
		return cawork.OutcomeUnknown
	}
}

// WriteError responds with an error. The table of kinds in package cakind
// determines the status and the body.
func WriteError(w http.ResponseWriter, err error) {
	w.Header().Set(HeaderOutcome, OutcomeOf(cakind.Of(err)).String())
	cakind.BodyOf(err).Write(w)
}
