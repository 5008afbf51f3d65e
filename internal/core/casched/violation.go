package casched

import "fmt"

//go:generate go tool enumer -type=Invariant -trimprefix=Invariant -transform=snake -text -output=invariant_names.go

// Invariant identifies a property that must always hold.
type Invariant int

// The invariants.
const (
	// InvariantNoOvercommit: no placement commits an upstream beyond its capacity.
	InvariantNoOvercommit Invariant = iota
	// InvariantWithinAllowance: no placement charges a team beyond its
	// allowance.
	InvariantWithinAllowance
	// InvariantPlacedOnce: no task has more than one open attempt.
	InvariantPlacedOnce
	// InvariantGangWhole: a gang starts with all its tasks or with none.
	InvariantGangWhole
	// InvariantAccounts: running totals agree with the entries that they sum up.
	InvariantAccounts
	// InvariantQueueBound: no submission makes a queue longer than its bound.
	InvariantQueueBound
	// InvariantShareKept: no preemption on behalf of one team takes another team
	// below its share.
	InvariantShareKept
)

// Violation is the error for a broken invariant, which is a bug in the program.
type Violation struct {
	Invariant Invariant
	Detail    string
}

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("invariant %s is broken: %s", v.Invariant, v.Detail)
}

// Violationf returns a Violation with a formatted detail.
func Violationf(i Invariant, format string, args ...any) *Violation {
	return &Violation{Invariant: i, Detail: fmt.Sprintf(format, args...)}
}
