// Package cakind holds the closed list of error kinds and the one table that
// maps each kind to the answer that a caller receives.
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

// Kind classifies an error. The list is closed: a new kind needs a row in the
// answer table, which a test enforces.
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
	// KindMethodNotAllowed means that a path has no such method.
	KindMethodNotAllowed
	// KindAnswerNotKept means that a submission under the same idempotency key
	// ran, and that its answer is not stored any more.
	KindAnswerNotKept
)

// Execution tells whether the work behind an error ran.
type Execution int

// The execution states of the work behind an error.
const (
	// ExecutionNotRun means that the work is proved not to have run.
	ExecutionNotRun Execution = iota
	// ExecutionRan means that the work ran.
	ExecutionRan
	// ExecutionUnknown means that the work may or may not have run.
	ExecutionUnknown
)

// Answer is what a caller receives for an error of a kind.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Retryable reports whether the same submission may succeed later.
	Retryable bool
	// Execution tells whether the work ran.
	Execution Execution
}

var answers = map[Kind]Answer{
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
}

// AnswerTo returns the answer of the kind.
func AnswerTo(k Kind) Answer {
	a, ok := answers[k]
	if !ok {
		return answers[KindInternal]
	}
	return a
}

// Error is an error with a kind and an optional time to wait before a retry.
type Error struct {
	kind       Kind
	retryAfter time.Duration
	message    string
	cause      error
	// trace holds the stack of the call that made the error. It is nil when
	// the cause has one, and when the work has not run: refusals are many, and
	// their message says it all.
	trace error
}

// New returns an error of the kind with a formatted message.
func New(k Kind, format string, args ...any) *Error {
	return &Error{kind: k, message: fmt.Sprintf(format, args...), trace: newTrace(k)}
}

// Wrap returns an error of the kind that adds a message to the cause.
func Wrap(k Kind, cause error, format string, args ...any) *Error {
	e := &Error{kind: k, message: fmt.Sprintf(format, args...), cause: cause}
	if traced(cause) == nil {
		e.trace = newTrace(k)
	}
	return e
}

// errTraced stands for the traced error. To wrap it only records the stack,
// where eris.New would also look up the names of all its functions.
var errTraced = errors.New("made at")

func newTrace(k Kind) error {
	if AnswerTo(k).Execution == ExecutionNotRun {
		return nil
	}
	return eris.Wrap(errTraced, "")
}

// traced returns the innermost Error with a stack in the chain, nil when there
// is none.
func traced(err error) *Error {
	var found *Error
	for e := (*Error)(nil); errors.As(err, &e); err = e.cause {
		if e.trace != nil {
			found = e
		}
	}
	return found
}

// StackOf returns the stack of the call that made the innermost Error in the
// chain that has one, for logs. Refusals have none. It is costly.
func StackOf(err error) string {
	e := traced(err)
	if e == nil {
		return ""
	}
	return eris.ToString(e.trace, true)
}

// WithRetryAfter returns a copy that tells the caller when to come back.
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

// RetryAfterOf returns the time to wait named by the error, zero when none.
func RetryAfterOf(err error) time.Duration {
	if e := outermost(err); e != nil {
		return e.retryAfter
	}
	return 0
}

// outermost returns the outermost Error in the chain, nil when there is none.
func outermost(err error) *Error {
	// Most are not wrapped, which spares the reflection.
	if e, ok := err.(*Error); ok {
		return e
	}
	var e *Error
	errors.As(err, &e)
	return e
}
