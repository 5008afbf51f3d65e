package caentry

import (
	"math"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/config/cacell"
	"celeryarch.example/celeryarch/internal/core/casched"
	"celeryarch.example/celeryarch/internal/request/caadmit"
	"celeryarch.example/celeryarch/internal/request/cadispatch"
)

// weightScale turns the share of a team, a fraction, into a whole weight.
const weightScale = 1000

// schedulerPolicy returns what the configuration says to the scheduler.
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

func kindPolicy(base casched.KindPolicy, c cacell.Policy) casched.KindPolicy {
	base.QueueBound = c.QueueBound
	base.MaxAttempts = c.MaxAttempts
	base.Aging = c.Aging
	base.WaitBound = c.WaitBound
	base.RefuseLate = c.RefuseLate
	base.Placement = c.Placement
	if c.Reservation > 0 {
		base.ReserveBound = c.Reservation
	}
	return base
}

// requestPolicy returns what the configuration says to the request path.
func requestPolicy(c cacell.Config) cadispatch.Policy {
	lookup := c.Policy(cawork.WorkKindLookup)
	admission := caadmit.DefaultPolicy().WithAging(lookup.Aging)
	for _, t := range c.Teams() {
		admission = admission.WithTeam(caadmit.TeamPolicy{Team: t.Name, Weight: t.Share, MaxQueued: lookup.QueueBound})
	}
	return cadispatch.DefaultPolicy().WithAdmission(admission).WithMaxAttempts(lookup.MaxAttempts).
		WithPlacement(lookup.Placement)
}
