// Package caadmit is the admission control of requests: one bounded queue for
// each team, served by weighted fair queueing of slot time. It reads no clock:
// the time is passed in, and the caller serialises the calls.
package caadmit

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

const (
	defaultWeight    = 1.0
	defaultMaxQueued = 256
	defaultMaxWait   = time.Second
	defaultMaxTotal  = 1024
	defaultAging     = time.Second
)

// TeamPolicy holds the limits and the weight of one team. A zero field takes
// its value from Policy.Default.
type TeamPolicy struct {
	Team cawork.TeamName
	// Weight is the share of slot time relative to other waiting teams.
	Weight float64
	// MaxQueued bounds the requests of the team that wait for a slot.
	MaxQueued int
	// MaxWait bounds the expected wait. A request that would wait longer is
	// refused at once.
	MaxWait time.Duration
}

// Policy holds the limits and the weights of all teams.
type Policy struct {
	// MaxTotalQueued bounds the waiting requests of all teams together.
	MaxTotalQueued int
	// Aging is the wait after which a request can no longer be overtaken: it
	// goes before those of its team that arrive later, however close their
	// deadlines are.
	Aging time.Duration
	// Default applies to teams that are not listed.
	Default TeamPolicy
	Teams   []TeamPolicy
}

// DefaultPolicy returns a policy that treats all teams alike.
func DefaultPolicy() Policy {
	return Policy{
		MaxTotalQueued: defaultMaxTotal,
		Aging:          defaultAging,
		Default: TeamPolicy{
			Weight:    defaultWeight,
			MaxQueued: defaultMaxQueued,
			MaxWait:   defaultMaxWait,
		},
	}
}

// WithTeam returns a copy in which t replaces the policy of the team, if there
// is one.
func (p Policy) WithTeam(t TeamPolicy) Policy {
	teams := make([]TeamPolicy, 0, len(p.Teams)+1)
	for _, other := range p.Teams {
		if other.Team != t.Team {
			teams = append(teams, other)
		}
	}
	p.Teams = append(teams, t)
	return p
}

// WithAging returns a copy with another aging time.
func (p Policy) WithAging(d time.Duration) Policy {
	p.Aging = d
	return p
}

// due returns the time by which a request that arrives now is due to start.
// The requests of a team are served in the order of their due times, which
// never change.
//
// Example: with an aging of 1 s and a service time of 10 ms, a request that
// arrives at 12:00:00 with a deadline of 30 s is due at 12:00:01. One with a
// deadline of 200 ms is due at 12:00:00.19 and overtakes it.
func (p Policy) due(now, deadline time.Time, service time.Duration) time.Time {
	aging := p.Aging
	if aging <= 0 {
		aging = defaultAging
	}
	due := now.Add(aging)
	if latest := deadline.Add(-service); latest.Before(due) {
		return latest
	}
	return due
}

// ForTeam returns the policy of the team with every field set.
func (p Policy) ForTeam(team cawork.TeamName) TeamPolicy {
	base := p.Default.withDefaults(DefaultPolicy().Default)
	for _, t := range p.Teams {
		if t.Team == team {
			return t.withDefaults(base)
		}
	}
	base.Team = team
	return base
}

func (t TeamPolicy) withDefaults(base TeamPolicy) TeamPolicy {
	if t.Weight <= 0 {
		t.Weight = base.Weight
	}
	if t.MaxQueued <= 0 {
		t.MaxQueued = base.MaxQueued
	}
	if t.MaxWait <= 0 {
		t.MaxWait = base.MaxWait
	}
	return t
}
