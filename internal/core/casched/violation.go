package casched

import "fmt"

//go:generate go tool enumer -type=Invariant -trimprefix=Invariant -transform=snake -text -output=invariant_names.go

// Invariant names a property that always holds.
type Invariant int

// The invariants.
const (
	// InvariantNoOvercommit: no upstream is committed beyond its capacity by a
	// placement.
	InvariantNoOvercommit Invariant = iota
	// InvariantWithinAllowance: no placement charges a team beyond its
	// allowance.
	InvariantWithinAllowance
	// InvariantPlacedOnce: no task has two open attempts.
	InvariantPlacedOnce
	// InvariantGangWhole: a gang starts with all its tasks or none.
	InvariantGangWhole
	// InvariantAccounts: sums that are kept agree with what they sum.
	InvariantAccounts
	// InvariantQueueBound: no queue is longer than its bound by a submission.
	InvariantQueueBound
	// InvariantShareKept: no preemption for the share of a team takes another
	// below its own.
	InvariantShareKept
)

// Violation is a broken invariant. It is a defect of the program.
type Violation struct {
	Invariant Invariant
	Detail    string
}

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("invariant %s is broken: %s", v.Invariant, v.Detail)
}

// Violated returns a violation with a formatted detail.
func Violated(i Invariant, format string, args ...any) *Violation {
	return &Violation{Invariant: i, Detail: fmt.Sprintf(format, args...)}
}
