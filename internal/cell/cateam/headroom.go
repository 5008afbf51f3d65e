package cateam

import (
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// overcommitShare is the fraction of its upper limit by which a team may have approval
// requests in flight beyond the limit: about what ends while the advisor answers.
const overcommitShare = 0.15

// Headroom divides the work that teams may still start among the steps that wait for the
// advisor, in their order. No approval is requested for the other steps: their tickets
// would expire before they may be used, and steps of other teams would wait longer for
// the advisor.
type Headroom struct {
	accounts *Accounts
	// claimed is what may start once the requests in flight are answered, by account.
	claimed map[cawork.TeamName]cawork.Resources
	// overLimit holds the accounts with a request in flight for a step that does not fit
	// below their limit.
	overLimit map[cawork.TeamName]bool
}

// NewHeadroom returns the headroom of all teams while no request is in flight.
func (a *Accounts) NewHeadroom() Headroom {
	return Headroom{accounts: a, claimed: make(map[cawork.TeamName]cawork.Resources), overLimit: make(map[cawork.TeamName]bool)}
}

// Fits reports whether so much can start soon within the limit of a team.
func (h Headroom) Fits(team cawork.TeamName, required cawork.Resources) bool {
	account := h.accounts.Of(team)
	if account.limit.IsZero() {
		return true
	}
	used := account.used.Plus(h.claimed[h.accounts.NameOf(team)])
	return Fits(used.Plus(required), overcommittedLimit(account.limit))
}

// Admits reports whether approval should be requested for so much: it can start soon
// within the limit of the team, or it would be the team's only request beyond the limit.
func (h Headroom) Admits(team cawork.TeamName, required cawork.Resources) bool {
	return h.Fits(team, required) || !h.overLimit[h.accounts.NameOf(team)]
}

// Claim records that a request for so much is in flight.
func (h Headroom) Claim(team cawork.TeamName, required cawork.Resources) {
	name := h.accounts.NameOf(team)
	if !h.Fits(team, required) {
		h.overLimit[name] = true
		return
	}
	h.claimed[name] = h.claimed[name].Plus(required)
}

// overcommittedLimit returns the upper limit of a team plus what is expected to end soon.
func overcommittedLimit(limit cawork.Resources) cawork.Resources {
	return cawork.Resources{
		CPU:          limit.CPU + cawork.MilliCPU(overcommitShare*float64(limit.CPU)),
		Memory:       limit.Memory + cawork.Bytes(overcommitShare*float64(limit.Memory)),
		Accelerators: limit.Accelerators + int64(overcommitShare*float64(limit.Accelerators)),
	}
}
