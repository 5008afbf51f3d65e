package cadispatch

import (
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/request/caadmit"
)

// Policy holds the configurable rules of the request path.
type Policy struct {
	// Admission holds the queue bounds and weights of the teams.
	Admission caadmit.Policy
	// MaxAttempts bounds the attempts of a request that may have run. Zero means
	// no bound. Attempts known not to have started do not count; only the retry
	// budgets bound them.
	MaxAttempts int
	// Placement selects how an upstream is chosen.
	Placement cawork.Placement
}

// DefaultPolicy returns a policy that treats all teams alike.
func DefaultPolicy() Policy {
	return Policy{Admission: caadmit.DefaultPolicy(), Placement: cawork.PlacementSpread}
}

// WithAdmission returns a copy with the admission policy.
func (p Policy) WithAdmission(a caadmit.Policy) Policy {
	p.Admission = a
	return p
}

// WithMaxAttempts returns a copy with the maximum number of attempts.
func (p Policy) WithMaxAttempts(n int) Policy {
	p.MaxAttempts = n
	return p
}

// WithPlacement returns a copy with the placement strategy.
func (p Policy) WithPlacement(placement cawork.Placement) Policy {
	p.Placement = placement
	return p
}
