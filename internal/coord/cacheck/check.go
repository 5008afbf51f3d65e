// Package cacheck reports broken invariants of the coordination parts. The
// checks stay active in production: a violation is logged and counted, and
// tests fail on it.
package cacheck

import (
	"fmt"
	"sync"

	"github.com/rs/zerolog"
	tally "github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/caevent"
)

//go:generate go tool enumer -type=Rule -trimprefix=Rule -transform=snake -text -output=rule_names.go

// Rule names an invariant.
type Rule int

// The invariants.
const (
	// RuleMemberMonotonic means that the known incarnation and version of a
	// member never step back.
	RuleMemberMonotonic Rule = iota
	// RuleSelfStanding means that an entry never takes itself for dead.
	RuleSelfStanding
	// RuleEpochGrows means that every granted claim carries an epoch above all
	// epochs seen before at that upstream.
	RuleEpochGrows
	// RuleLeaseBounded means that a lease is never taken for valid longer than
	// its TTL, less the margin, from the sending of its renewal.
	RuleLeaseBounded
	// RuleOneCall means that at most one call to an upstream is open.
	RuleOneCall
	// RuleDrainedIdle means that a drained owner holds no lease.
	RuleDrainedIdle
)

// Violation is a broken invariant.
type Violation struct {
	Rule   Rule
	Detail string
}

// Error implements error.
func (v Violation) Error() string { return fmt.Sprintf("%s: %s", v.Rule, v.Detail) }

// maxKept bounds the memory that violations take.
const maxKept = 64

// Checker collects violations.
type Checker struct {
	mu    sync.Mutex
	log   zerolog.Logger
	scope tally.Scope
	kept  []Violation
}

// New returns a checker that logs and counts violations.
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
	if len(c.kept) < maxKept {
		c.kept = append(c.kept, v)
	}
	return false
}

// Violations returns the violations so far, at most the first 64.
func (c *Checker) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Violation(nil), c.kept...)
}
