package cacommand

import (
	"errors"
	"fmt"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

//go:generate go tool enumer -type=ExitCode -trimprefix=Exit -transform=snake -output=exitcode_names.go

// ExitCode is the exit status of the program.
type ExitCode int

// The exit codes. Scripts rely on the numbers, which never change.
const (
	// ExitOK means that the command succeeded.
	ExitOK ExitCode = iota
	// ExitInternal means that the program failed because of an internal error.
	ExitInternal
	// ExitUsage means that the arguments are wrong.
	ExitUsage
	// ExitInvalid means that a file or a submission was refused.
	ExitInvalid
	// ExitConflict means that another change took precedence.
	ExitConflict
	// ExitDenied means that the key is missing, unknown, withdrawn or belongs
	// to another team.
	ExitDenied
	// ExitUnavailable means that the command had no effect and a retry may
	// succeed.
	ExitUnavailable
	// ExitNotFound means that the named object does not exist.
	ExitNotFound
	// ExitFailed means that the work ran and failed.
	ExitFailed
	// ExitNotRun means that the work certainly did not run.
	ExitNotRun
	// ExitUnknown means that it is unknown whether the command took effect.
	ExitUnknown
	// ExitCanceled means that the job was canceled; some of it may have run.
	ExitCanceled
	// ExitPending means that the wait timed out before the job ended.
	ExitPending
)

var exitCodesByKind = map[cakind.Kind]ExitCode{
	cakind.KindInternal:            ExitInternal,
	cakind.KindInvalid:             ExitInvalid,
	cakind.KindUnauthenticated:     ExitDenied,
	cakind.KindForbidden:           ExitDenied,
	cakind.KindNotFound:            ExitNotFound,
	cakind.KindConflict:            ExitConflict,
	cakind.KindTooLarge:            ExitInvalid,
	cakind.KindNeverFits:           ExitInvalid,
	cakind.KindUnstorable:          ExitInvalid,
	cakind.KindOverloaded:          ExitUnavailable,
	cakind.KindLimitReached:        ExitUnavailable,
	cakind.KindDraining:            ExitUnavailable,
	cakind.KindUnavailable:         ExitUnavailable,
	cakind.KindKeyUnconfirmed:      ExitUnavailable,
	cakind.KindNotStarted:          ExitUnavailable,
	cakind.KindDeadlineBeforeStart: ExitNotRun,
	cakind.KindCanceled:            ExitNotRun,
	cakind.KindFailed:              ExitFailed,
	cakind.KindUnknown:             ExitUnknown,
	cakind.KindFenced:              ExitConflict,
	cakind.KindStaleVersion:        ExitConflict,
	cakind.KindMethodNotAllowed:    ExitInvalid,
	cakind.KindAnswerNotKept:       ExitFailed,
}

// ExitCodeOf returns the exit code for an error.
func ExitCodeOf(err error) ExitCode {
	if err == nil {
		return ExitOK
	}
	var outcomeErr outcomeError
	if errors.As(err, &outcomeErr) {
		return outcomeErr.code
	}
	return exitCodesByKind[cakind.Of(err)]
}

var exitCodesByOutcome = map[cawork.Outcome]ExitCode{
	cawork.OutcomePending:  ExitPending,
	cawork.OutcomeDone:     ExitOK,
	cawork.OutcomeFailed:   ExitFailed,
	cawork.OutcomeNotRun:   ExitNotRun,
	cawork.OutcomeUnknown:  ExitUnknown,
	cawork.OutcomeCanceled: ExitCanceled,
}

// outcomeError carries the exit code for the outcome of a job. The outcome was
// printed already, so that the error itself is not.
type outcomeError struct {
	job  cawork.JobID
	code ExitCode
}

// Error implements error.
func (o outcomeError) Error() string { return fmt.Sprintf("job %s: %s", o.job, o.code) }
