// Package cakind defines the error kinds and the table that maps each kind to
// the response that a caller receives.
package cakind

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

//go:generate go tool enumer -type=Kind -trimprefix=Kind -transform=snake -text -output=kind_names.go
//go:generate go tool enumer -type=Execution -trimprefix=Execution -transform=snake -text -output=execution_names.go

// Kind classifies an error. Every kind needs a row in the table responses, which
// a test enforces.
type Kind int

// The error kinds.
const (
	KindInternal Kind = iota
	KindInvalid
	KindUnauthenticated
	KindForbidden
	KindNotFound
	KindConflict
	KindTooLarge
	KindNeverFits
	KindOverloaded
	KindLimitReached
	KindDraining
	KindUnavailable
	KindKeyUnconfirmed
	KindNotStarted
	KindDeadlineBeforeStart
	KindCanceled
	KindFailed
	KindUnknown
	KindFenced
	KindStaleVersion
	// KindMethodNotAllowed means that the path does not support the HTTP method.
	KindMethodNotAllowed
	// KindAnswerNotKept means that a submission with the same idempotency key
	// ran, and that its response is no longer stored.
	KindAnswerNotKept
	// KindUnstorable means that the store refuses a record, however often it gets it.
	KindUnstorable
)

// Execution states whether the work that an error refers to ran.
type Execution int

// The execution states.
const (
	// ExecutionNotRun means that the work certainly did not run.
	ExecutionNotRun Execution = iota
	// ExecutionRan means that the work ran.
	ExecutionRan
	// ExecutionUnknown means that the work may or may not have run.
	ExecutionUnknown
)

// Response describes the response that a caller receives for a kind of error.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Retryable reports whether the same submission may succeed later.
	Retryable bool
	// Execution states whether the work ran.
	Execution Execution
}

var responses = map[Kind]Response{
	KindInternal:            {http.StatusInternalServerError, false, ExecutionUnknown},
	KindInvalid:             {http.StatusBadRequest, false, ExecutionNotRun},
	KindUnauthenticated:     {http.StatusUnauthorized, false, ExecutionNotRun},
	KindForbidden:           {http.StatusForbidden, false, ExecutionNotRun},
	KindNotFound:            {http.StatusNotFound, false, ExecutionNotRun},
	KindConflict:            {http.StatusConflict, false, ExecutionNotRun},
	KindTooLarge:            {http.StatusRequestEntityTooLarge, false, ExecutionNotRun},
	KindNeverFits:           {http.StatusUnprocessableEntity, false, ExecutionNotRun},
	KindOverloaded:          {http.StatusTooManyRequests, true, ExecutionNotRun},
	KindLimitReached:        {http.StatusTooManyRequests, true, ExecutionNotRun},
	KindDraining:            {http.StatusServiceUnavailable, true, ExecutionNotRun},
	KindUnavailable:         {http.StatusServiceUnavailable, true, ExecutionNotRun},
	KindKeyUnconfirmed:      {http.StatusServiceUnavailable, true, ExecutionNotRun},
	KindNotStarted:          {http.StatusServiceUnavailable, true, ExecutionNotRun},
	KindDeadlineBeforeStart: {http.StatusGatewayTimeout, true, ExecutionNotRun},
	KindCanceled:            {http.StatusConflict, false, ExecutionNotRun},
	KindFailed:              {http.StatusBadGateway, false, ExecutionRan},
	KindUnknown:             {http.StatusGatewayTimeout, false, ExecutionUnknown},
	KindFenced:              {http.StatusConflict, true, ExecutionNotRun},
	KindStaleVersion:        {http.StatusConflict, true, ExecutionNotRun},
	KindMethodNotAllowed:    {http.StatusMethodNotAllowed, false, ExecutionNotRun},
	KindAnswerNotKept:       {http.StatusGone, false, ExecutionRan},
	KindUnstorable:          {http.StatusUnprocessableEntity, false, ExecutionNotRun},
}

// ResponseTo returns the response for the kind, that for KindInternal when the kind
// is not defined.
func ResponseTo(k Kind) Response {
	a, ok := responses[k]
	if !ok {
		return responses[KindInternal]
	}
	return a
}

// Error is an error with a kind and an optional time to wait before a retry.
type Error struct {
	kind       Kind
	retryAfter time.Duration
	message    string
	cause      error
	// trace holds the stack of the call that created the error. It is nil when
	// the cause has one, and when the work has not run: rejections are frequent,
	// and their message is sufficient.
	trace error
}

// New returns an error of the kind with a formatted message.
func New(k Kind, format string, args ...any) *Error {
	return &Error{kind: k, message: fmt.Sprintf(format, args...), trace: newTrace(k)}
}

// Wrap returns an error of the kind that adds a message to the cause.
func Wrap(k Kind, cause error, format string, args ...any) *Error {
	e := &Error{kind: k, message: fmt.Sprintf(format, args...), cause: cause}
	if innermostTraced(cause) == nil {
		e.trace = newTrace(k)
	}
	return e
}

// errTraceBase is the error that newTrace wraps to record a stack. Wrapping only
// records the stack, while eris.New would also resolve the function names.
var errTraceBase = errors.New("made at")

func newTrace(k Kind) error {
	if ResponseTo(k).Execution == ExecutionNotRun {
		return nil
	}
	return eris.Wrap(errTraceBase, "")
}

// innermostTraced returns the innermost Error with a stack in the chain, nil when
// there is none.
func innermostTraced(err error) *Error {
	var found *Error
	for e := (*Error)(nil); errors.As(err, &e); err = e.cause {
		if e.trace != nil {
			found = e
		}
	}
	return found
}

// StackOf returns the recorded stack of the innermost Error in the chain that
// has one, for logs. It returns an empty string when there is none, as for errors
// whose work did not run. Formatting the stack is expensive.
func StackOf(err error) string {
	e := innermostTraced(err)
	if e == nil {
		return ""
	}
	return eris.ToString(e.trace, true)
}

// WithRetryAfter returns a copy with the given time to wait before a retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.retryAfter = d
	return &c
}

// Error implements error.
func (e *Error) Error() string {
	if e.cause == nil {
		return e.message
	}
	return e.message + ": " + e.cause.Error()
}

// Unwrap returns the cause, nil when there is none.
func (e *Error) Unwrap() error { return e.cause }

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// RetryAfter returns the time to wait before a retry, zero when none is set.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// Of returns the kind of the outermost Error in the chain, KindInternal when
// there is none.
func Of(err error) Kind {
	if e := outermost(err); e != nil {
		return e.kind
	}
	return KindInternal
}

// RetryAfterOf returns the time to wait before a retry from the outermost Error
// in the chain, zero when none is set.
func RetryAfterOf(err error) time.Duration {
	if e := outermost(err); e != nil {
		return e.retryAfter
	}
	return 0
}

// outermost returns the outermost Error in the chain, nil when there is none.
func outermost(err error) *Error {
	// Most errors are not wrapped; the type assertion avoids the reflection of
	// errors.As for them.
	if e, ok := err.(*Error); ok {
		return e
	}
	var e *Error
	errors.As(err, &e)
	return e
}
