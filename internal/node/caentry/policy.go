package caentry

import (
	"math"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/config/cacell"
	"celeryarch.example/celeryarch/internal/core/casched"
	"celeryarch.example/celeryarch/internal/request/caadmit"
	"celeryarch.example/celeryarch/internal/request/cadispatch"
)

// weightScale converts the fractional share of a team to an integer weight.
const weightScale = 1000

// schedulerPolicy returns the scheduler policy for a configuration.
func schedulerPolicy(c cacell.Config) casched.Policy {
	p := casched.DefaultPolicy()
	for _, t := range c.Teams() {
		weight := max(1, int(math.Round(t.Share*weightScale)))
		p = p.WithTeam(t.Name, casched.TeamPolicy{Weight: weight, Limit: t.Limit.Resources()})
	}
	for _, kind := range cawork.WorkKindValues() {
		p = p.WithKind(kind, kindPolicy(p.Kind(kind), c.Policy(kind)))
	}
	return p
}

func kindPolicy(policy casched.KindPolicy, c cacell.Policy) casched.KindPolicy {
	policy.QueueBound = c.QueueBound
	policy.MaxAttempts = c.MaxAttempts
	policy.Aging = c.Aging
	policy.WaitBound = c.WaitBound
	policy.RefuseLate = c.RefuseLate
	policy.Placement = c.Placement
	if c.Reservation > 0 {
		policy.ReserveBound = c.Reservation
	}
	return policy
}

// requestPolicy returns the dispatcher policy for a configuration.
func requestPolicy(c cacell.Config) cadispatch.Policy {
	lookup := c.Policy(cawork.WorkKindLookup)
	admission := caadmit.DefaultPolicy().WithAging(lookup.Aging)
	for _, t := range c.Teams() {
		admission = admission.WithTeam(caadmit.TeamPolicy{Team: t.Name, Weight: t.Share, MaxQueued: lookup.QueueBound})
	}
	return cadispatch.DefaultPolicy().WithAdmission(admission).WithMaxAttempts(lookup.MaxAttempts).
		WithPlacement(lookup.Placement)
}
