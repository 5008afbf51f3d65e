package cacommand

import (
	"errors"
	"fmt"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

//go:generate go tool enumer -type=ExitCode -trimprefix=Exit -transform=snake -output=exitcode_names.go

// ExitCode is the status with which the program ends.
type ExitCode int

// The exit codes. Scripts rely on the numbers, which never change.
const (
	// ExitOK means that the command did what it was asked to.
	ExitOK ExitCode = iota
	// ExitInternal means that the program failed for a reason of its own.
	ExitInternal
	// ExitUsage means that the arguments are wrong.
	ExitUsage
	// ExitInvalid means that a file or a submission was refused.
	ExitInvalid
	// ExitConflict means that another change won.
	ExitConflict
	// ExitDenied means that the key is missing, unknown, withdrawn or of
	// another team.
	ExitDenied
	// ExitUnavailable means that nothing happened and a later try may succeed.
	ExitUnavailable
	// ExitNotFound means that what was named does not exist.
	ExitNotFound
	// ExitFailed means that the work ran and failed.
	ExitFailed
	// ExitNotRun means that the work is proved not to have run.
	ExitNotRun
	// ExitUnknown means that it cannot be told whether it took effect.
	ExitUnknown
	// ExitCanceled means that the job was canceled; some of it may have run.
	ExitCanceled
	// ExitPending means that the wait is over and the job is not.
	ExitPending
)

var exitCodes = map[cakind.Kind]ExitCode{
	cakind.KindInternal:            ExitInternal,
	cakind.KindInvalid:             ExitInvalid,
	cakind.KindUnauthenticated:     ExitDenied,
	cakind.KindForbidden:           ExitDenied,
	cakind.KindNotFound:            ExitNotFound,
	cakind.KindConflict:            ExitConflict,
	cakind.KindTooLarge:            ExitInvalid,
	cakind.KindNeverFits:           ExitInvalid,
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
	var told outcome
	if errors.As(err, &told) {
		return told.code
	}
	return exitCodes[cakind.Of(err)]
}

var outcomeCodes = map[cawork.Outcome]ExitCode{
	cawork.OutcomePending:  ExitPending,
	cawork.OutcomeDone:     ExitOK,
	cawork.OutcomeFailed:   ExitFailed,
	cawork.OutcomeNotRun:   ExitNotRun,
	cawork.OutcomeUnknown:  ExitUnknown,
	cawork.OutcomeCanceled: ExitCanceled,
}

// outcome ends the program with the code for the outcome of a job, which was
// printed already.
type outcome struct {
	job  cawork.JobID
	code ExitCode
}

// Error implements error.
func (o outcome) Error() string { return fmt.Sprintf("job %s: %s", o.job, o.code) }
