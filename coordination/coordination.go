// Package coordination offers the parts by which celeryarch entries act
// together, for other programs to embed: membership, leases with fencing,
// escrowed limits and an ordered configuration. docs/LIBRARY.md tells what each
// promises and what it asks of its surroundings.
//
// A part performs no I/O of its own: the embedder implements the small
// interfaces by which it calls others, appends to a log and reads a clock. A
// part has Run, which ends with its context, and Done. Errors carry a Kind.
package coordination

import (
	"github.com/rs/zerolog"
	tally "github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/cacheck"
	"celeryarch.example/celeryarch/internal/coord/cafeed"
)

// The vocabulary that the parts share.
type (
	// VMID identifies a VM, or an instance of the embedding program.
	VMID = cawork.VMID
	// UpstreamID identifies an upstream.
	UpstreamID = cawork.UpstreamID
	// ZoneName names an availability zone.
	ZoneName = cawork.ZoneName
	// TeamName names a team, for which a limit holds.
	TeamName = cawork.TeamName
	// Resources is an amount of processors, memory and accelerators.
	Resources = cawork.Resources
	// MilliCPU is an amount of processor time in thousandths of a core.
	MilliCPU = cawork.MilliCPU
	// Bytes is an amount of memory.
	Bytes = cawork.Bytes
	// Timers hands out the time and ticks.
	Timers = catimer.Service
	// Clock is a source of time for Timers.
	Clock = catimer.Clock
	// TickSubscription delivers the ticks of Timers.
	TickSubscription = catimer.Subscription
	// Checker collects violations of invariants.
	Checker = cacheck.Checker
	// CheckerRule names an invariant.
	CheckerRule = cacheck.Rule
	// CheckerViolation is a violation of an invariant.
	CheckerViolation = cacheck.Violation
	// Kind classifies an error.
	Kind = cakind.Kind
	// Error is an error with a kind.
	Error = cakind.Error
)

// The kinds of errors that the parts return or expect of the embedder.
const (
	// KindInternal is the kind of any other error.
	KindInternal = cakind.KindInternal
	// KindInvalid means that an argument is wrong.
	KindInvalid = cakind.KindInvalid
	// KindNotFound means that what is named is not there.
	KindNotFound = cakind.KindNotFound
	// KindConflict means that the state contradicts the call.
	KindConflict = cakind.KindConflict
	// KindTooLarge means that a body is too large.
	KindTooLarge = cakind.KindTooLarge
	// KindLimitReached means that too little allowance is held here.
	KindLimitReached = cakind.KindLimitReached
	// KindUnavailable means that a call did not take effect.
	KindUnavailable = cakind.KindUnavailable
	// KindUnknown means that a call may have taken effect.
	KindUnknown = cakind.KindUnknown
	// KindFenced means that an epoch is not in force any more.
	KindFenced = cakind.KindFenced
	// KindStaleVersion means that a newer version is known.
	KindStaleVersion = cakind.KindStaleVersion
)

// Subscription delivers the events of a part in order.
type Subscription[T any] = cafeed.Subscription[T]

// KindOf returns the kind of the outermost Error in the chain, KindInternal
// when there is none.
func KindOf(err error) Kind { return cakind.Of(err) }

// NewError returns an error of the kind with a formatted message.
func NewError(k Kind, format string, args ...any) *Error { return cakind.New(k, format, args...) }

// Cores returns an amount of n whole processor cores.
func Cores(n int64) Resources { return Resources{CPU: cawork.Cores(n)} }

// NewTimers returns a timer service that follows the clock of the machine.
func NewTimers() *Timers { return catimer.NewService() }

// NewTimersOf returns a timer service that follows the clock.
func NewTimersOf(c Clock) *Timers { return catimer.NewServiceOf(c) }

// NewChecker returns a checker that logs and counts violations.
func NewChecker(log zerolog.Logger, scope tally.Scope) *Checker { return cacheck.New(log, scope) }
