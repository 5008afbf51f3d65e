// Package cacheck reports violated invariants of the coordination components.
// The checks stay enabled in production, where each violation is logged and
// counted. Tests fail on violations.
package cacheck

import (
	"fmt"
	"sync"

	"github.com/rs/zerolog"
	tally "github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/caevent"
)

//go:generate go tool enumer -type=Rule -trimprefix=Rule -transform=snake -text -output=rule_names.go

// Rule identifies an invariant.
type Rule int

// The invariants.
const (
	// RuleMemberMonotonic means that the known incarnation and version of a
	// member never decrease.
	RuleMemberMonotonic Rule = iota
	// RuleSelfStanding means that an entry never considers itself dead.
	RuleSelfStanding
	// RuleEpochGrows means that every granted claim has a higher epoch than all
	// previous ones at that upstream.
	RuleEpochGrows
	// RuleLeaseBounded means that a lease is never considered valid for longer
	// than its TTL less the margin, counted from when its renewal was sent.
	RuleLeaseBounded
	// RuleOneCall means that at most one call to an upstream is in progress.
	RuleOneCall
	// RuleDrainedIdle means that a drained owner holds no lease.
	RuleDrainedIdle
)

// Violation is a violated invariant.
type Violation struct {
	Rule   Rule
	Detail string
}

// Error implements error.
func (v Violation) Error() string { return fmt.Sprintf("%s: %s", v.Rule, v.Detail) }

// maxRecorded bounds the memory for recorded violations.
const maxRecorded = 64

// Checker logs, counts and records violations.
type Checker struct {
	mu       sync.Mutex
	log      zerolog.Logger
	scope    tally.Scope
	recorded []Violation
}

// New returns a checker that logs to log and counts violations in scope.
func New(log zerolog.Logger, scope tally.Scope) *Checker {
	return &Checker{log: log, scope: scope}
}

// Assert reports a violation of the rule unless ok is true, and returns ok.
func (c *Checker) Assert(ok bool, r Rule, format string, args ...any) bool {
	if ok {
		return true
	}
	v := Violation{Rule: r, Detail: fmt.Sprintf(format, args...)}
	caevent.Warn(c.log, caevent.PartFailed).
		Str("violation", v.Rule.String()).Str("detail", v.Detail).Send()
	c.scope.Counter("violations").Inc(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.recorded) < maxRecorded {
		c.recorded = append(c.recorded, v)
	}
	return false
}

// Violations returns a copy of the recorded violations, which are at most the
// first 64.
func (c *Checker) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Violation(nil), c.recorded...)
}
