package caboard

import (
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// aheadShare is the part of its upper limit by which a team may have questions under
// way beyond the limit: about what ends while the advisor answers.
const aheadShare = 0.15

// headroom shares out what teams may still start among the steps that wait, in their
// order. The advisor is not asked about the others: their tickets would run out
// before they may be used, while steps of other teams wait for the advisor.
type headroom struct {
	board *Board
	// claimed is what steps that came before may start, by team.
	claimed map[cawork.TeamName]cawork.Resources
	// first holds the teams of which a step was let through whatever its size.
	first map[cawork.TeamName]bool
}

func (b *Board) newHeadroom() headroom {
	return headroom{
		board: b, claimed: make(map[cawork.TeamName]cawork.Resources), first: make(map[cawork.TeamName]bool),
	}
}

// admits reports whether the limit of its team lets a step start soon, and claims what
// waits of the step if so. The first step of each team always is admitted.
func (h headroom) admits(s *step) bool {
	name := s.job.Submission.Team
	team, ok := h.board.policy.Team(name)
	if !ok {
		return true
	}
	needed := s.spec.Size()
	whole := needed.Times(int64(s.waiting))
	if s.spec.Gang {
		needed = whole
	}
	use := h.board.teamOf(name).used.Plus(h.claimed[name])
	if h.first[name] && !fitsLimit(use.Plus(needed), withAhead(team)) {
		return false
	}
	h.first[name] = true
	h.claimed[name] = h.claimed[name].Plus(whole)
	return true
}

// withAhead returns the upper limit of a team with what is expected to end soon.
func withAhead(t caspec.Team) cawork.Resources {
	return cawork.Resources{
		CPU:          t.Limit.CPU + cawork.MilliCPU(aheadShare*float64(t.Limit.CPU)),
		Memory:       t.Limit.Memory + cawork.Bytes(aheadShare*float64(t.Limit.Memory)),
		Accelerators: t.Limit.Accelerators + int64(aheadShare*float64(t.Limit.Accelerators)),
	}
}
