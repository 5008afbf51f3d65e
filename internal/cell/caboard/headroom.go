package caboard

import (
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/cateam"
)

// overcommitShare is the fraction of its upper limit by which a team may have approval
// requests in flight beyond the limit: about what ends while the advisor answers.
const overcommitShare = 0.15

// headroom divides the work that teams may still start among the steps that wait for the
// advisor, in their order. No approval is requested for the other steps: their tickets
// would expire before they may be used, and steps of other teams would wait longer for
// the advisor.
type headroom struct {
	planner *Planner
	// claimed is what may start once the requests in flight are answered, by team.
	claimed map[cawork.TeamName]cawork.Resources
	// overLimit holds the teams with a request in flight for a step that does not fit
	// below their limit.
	overLimit map[cawork.TeamName]bool
}

func (b *Planner) newHeadroom() headroom {
	return headroom{
		planner: b, claimed: make(map[cawork.TeamName]cawork.Resources), overLimit: make(map[cawork.TeamName]bool),
	}
}

// required returns what must fit below the limit for the step to start: one task, or the
// whole gang, or nothing for tasks that only move.
func (h headroom) required(s *step) cawork.Resources {
	if s.waitingTasks == 0 {
		return cawork.Resources{}
	}
	if s.spec.Gang {
		return s.spec.Size().Times(int64(s.waitingTasks))
	}
	return s.spec.Size()
}

// fits reports whether the step can start soon within the limit of its team.
func (h headroom) fits(s *step) bool {
	name := h.planner.accountOf(s.job.Submission.Team)
	team := h.planner.usageOf(name)
	if team.Limit().IsZero() {
		return true
	}
	used := team.Used().Plus(h.claimed[name])
	return cateam.Fits(used.Plus(h.required(s)), overcommittedLimit(team.Limit()))
}

// admits reports whether approval should be requested for a step: it can start soon
// within the limit of its team, or it would be the team's only request beyond the limit.
func (h headroom) admits(s *step) bool {
	return h.fits(s) || !h.overLimit[h.planner.accountOf(s.job.Submission.Team)]
}

// claim records that a request for the step is in flight.
func (h headroom) claim(s *step) {
	name := h.planner.accountOf(s.job.Submission.Team)
	if !h.fits(s) {
		h.overLimit[name] = true
		return
	}
	h.claimed[name] = h.claimed[name].Plus(h.required(s))
}

// overcommittedLimit returns the upper limit of a team plus what is expected to end soon.
func overcommittedLimit(limit cawork.Resources) cawork.Resources {
	return cawork.Resources{
		CPU:          limit.CPU + cawork.MilliCPU(overcommitShare*float64(limit.CPU)),
		Memory:       limit.Memory + cawork.Bytes(overcommitShare*float64(limit.Memory)),
		Accelerators: limit.Accelerators + int64(overcommitShare*float64(limit.Accelerators)),
	}
}
