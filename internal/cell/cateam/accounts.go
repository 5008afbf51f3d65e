package cateam

import (
	"cmp"
	"iter"
	"maps"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Run is what one run of a team has.
type Run struct {
	Team cawork.TeamName
	Size cawork.Resources
}

// Accounts holds what all teams have running. A team that a version of the policy has given another name runs on the
// account of its successor. Accounts is not safe for concurrent use.
type Accounts struct {
	usages map[cawork.TeamName]*Usage
	// limitOf returns the upper limit of a team.
	limitOf func(cawork.TeamName) cawork.Resources
	// successors are the listed teams that continue teams which are no longer listed.
	successors map[cawork.TeamName]cawork.TeamName
}

// NewAccounts returns Accounts without any use, within the limits that limitOf returns.
func NewAccounts(limitOf func(cawork.TeamName) cawork.Resources) *Accounts {
	return &Accounts{usages: make(map[cawork.TeamName]*Usage), limitOf: limitOf}
}

// Of returns what a team, and those that it continues, have running.
func (a *Accounts) Of(team cawork.TeamName) *Usage { return a.usage(a.NameOf(team)) }

// NameOf returns the team on whose account a team runs: its successor, or the team itself.
func (a *Accounts) NameOf(team cawork.TeamName) cawork.TeamName {
	return cmp.Or(a.successors[team], team)
}

// SuccessorOf returns the team that continues a team, empty if there is none.
func (a *Accounts) SuccessorOf(team cawork.TeamName) cawork.TeamName { return a.successors[team] }

// usage returns the usage of an account.
func (a *Accounts) usage(name cawork.TeamName) *Usage {
	u, ok := a.usages[name]
	if !ok {
		u = &Usage{limit: a.limitOf(name)}
		a.usages[name] = u
	}
	return u
}

// ApplyLimits looks up the limits of all teams again.
func (a *Accounts) ApplyLimits() {
	for name, u := range a.usages {
		u.limit = a.limitOf(name)
	}
}

// SetSuccessors sets which teams continue others. The runs, all that are counted, move to the accounts of the successors.
func (a *Accounts) SetSuccessors(successors map[cawork.TeamName]cawork.TeamName, runs iter.Seq[Run]) {
	if maps.Equal(a.successors, successors) {
		return
	}
	before := a.successors
	a.successors = successors
	for r := range runs {
		from, to := cmp.Or(before[r.Team], r.Team), a.NameOf(r.Team)
		if from != to {
			a.usage(from).Release(r.Size)
			a.usage(to).Acquire(r.Size)
		}
	}
}

// Used returns what each account has running.
func (a *Accounts) Used() map[cawork.TeamName]cawork.Resources {
	used := make(map[cawork.TeamName]cawork.Resources, len(a.usages))
	for name, u := range a.usages {
		used[name] = u.used
	}
	return used
}
