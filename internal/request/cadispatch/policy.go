package cadispatch

import (
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/request/caadmit"
)

// Policy is what the configuration says to the request path.
type Policy struct {
	// Admission bounds and weighs the requests of the teams.
	Admission caadmit.Policy
	// MaxAttempts bounds the attempts of a request that may have run. Those
	// known not to have started are bounded by the retry budgets alone, and so
	// are all when it is zero.
	MaxAttempts int
	// Placement tells how an upstream is chosen.
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

// WithMaxAttempts returns a copy with the bound on attempts.
func (p Policy) WithMaxAttempts(n int) Policy {
	p.MaxAttempts = n
	return p
}

// WithPlacement returns a copy with the way of placement.
func (p Policy) WithPlacement(placement cawork.Placement) Policy {
	p.Placement = placement
	return p
}
