// Package coordination lets other programs embed the components by which
// celeryarch entries coordinate: membership, leases with fencing, escrowed
// limits and an ordered configuration. docs/LIBRARY.md describes the guarantees
// of each and what it requires.
//
// The components perform no I/O of their own: the embedding program implements
// small interfaces for calls to other instances, a log and a clock. Each running
// component has a method Run, which returns when its context ends, and a method
// Done. Errors carry a Kind.
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

// Types that the components share.
type (
	// VMID identifies a VM, or an instance of the embedding program.
	VMID = cawork.VMID
	// UpstreamID identifies an upstream.
	UpstreamID = cawork.UpstreamID
	// ZoneName names an availability zone.
	ZoneName = cawork.ZoneName
	// TeamName names a team. A limit applies to a team.
	TeamName = cawork.TeamName
	// Resources is an amount of processors, memory and accelerators.
	Resources = cawork.Resources
	// MilliCPU is an amount of processor time in thousandths of a core.
	MilliCPU = cawork.MilliCPU
	// Bytes is an amount of memory.
	Bytes = cawork.Bytes
	// Timers provides the current time and ticks.
	Timers = catimer.Service
	// Clock is the source of time of Timers.
	Clock = catimer.Clock
	// TickSubscription delivers the ticks of Timers.
	TickSubscription = catimer.Subscription
	// Checker records violations of invariants.
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

// The kinds of errors that the components return, and those that they expect
// from the interfaces that the embedding program implements.
const (
	// KindInternal is the kind of all other errors.
	KindInternal = cakind.KindInternal
	// KindInvalid means that an argument is invalid.
	KindInvalid = cakind.KindInvalid
	// KindNotFound means that the named object does not exist.
	KindNotFound = cakind.KindNotFound
	// KindConflict means that the call conflicts with the current state.
	KindConflict = cakind.KindConflict
	// KindTooLarge means that a body is too large.
	KindTooLarge = cakind.KindTooLarge
	// KindLimitReached means that the holder has too little allowance.
	KindLimitReached = cakind.KindLimitReached
	// KindUnavailable means that a call did not take effect.
	KindUnavailable = cakind.KindUnavailable
	// KindUnknown means that a call may have taken effect.
	KindUnknown = cakind.KindUnknown
	// KindFenced means that the epoch is no longer in force.
	KindFenced = cakind.KindFenced
	// KindStaleVersion means that a newer version is already in force.
	KindStaleVersion = cakind.KindStaleVersion
)

// Subscription delivers the events of a component in order.
type Subscription[T any] = cafeed.Subscription[T]

// KindOf returns the kind of the outermost Error in the chain, or KindInternal
// if there is none.
func KindOf(err error) Kind { return cakind.Of(err) }

// NewError returns an error of the kind with a formatted message.
func NewError(k Kind, format string, args ...any) *Error { return cakind.New(k, format, args...) }

// Cores returns an amount of n whole processor cores.
func Cores(n int64) Resources { return Resources{CPU: cawork.Cores(n)} }

// NewTimers returns Timers that use the clock of the machine.
func NewTimers() *Timers { return catimer.NewService() }

// NewTimersOf returns Timers that use the clock.
func NewTimersOf(c Clock) *Timers { return catimer.NewServiceWithClock(c) }

// NewChecker returns a checker that logs and counts violations.
func NewChecker(log zerolog.Logger, scope tally.Scope) *Checker { return cacheck.New(log, scope) }
