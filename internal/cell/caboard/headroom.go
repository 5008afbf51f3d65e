package caboard

import (
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// aheadShare is the part of its upper limit by which a team may have questions under
// way beyond the limit: about what ends while the advisor answers.
const aheadShare = 0.15

// headroom shares out what teams may still start among the steps that are asked about,
// in their order. The advisor is not asked about the others: their tickets would run
// out before they may be used, while steps of other teams wait for the advisor.
type headroom struct {
	board *Board
	// claimed is what the questions under way may let start first, by team.
	claimed map[cawork.TeamName]cawork.Resources
	// beyond holds the teams with a question about a step that their limit holds back.
	beyond map[cawork.TeamName]bool
}

func (b *Board) newHeadroom() headroom {
	return headroom{
		board: b, claimed: make(map[cawork.TeamName]cawork.Resources), beyond: make(map[cawork.TeamName]bool),
	}
}

// needed returns what has to fit below the limit for the step to start: one task, or the
// whole gang.
func (h headroom) needed(s *step) cawork.Resources {
	if s.spec.Gang {
		return s.spec.Size().Times(int64(s.waiting))
	}
	return s.spec.Size()
}

// fits reports whether the limit of its team lets the step start soon.
func (h headroom) fits(s *step) bool {
	name := s.job.Submission.Team
	team, ok := h.board.policy.Team(name)
	if !ok {
		return true
	}
	use := h.board.teamOf(name).used.Plus(h.claimed[name])
	return fitsLimit(use.Plus(h.needed(s)), withAhead(team))
}

// admits reports whether the advisor is to be asked about a step: its team's limit lets
// it start soon, or it is the only one beyond the limit.
func (h headroom) admits(s *step) bool {
	return h.fits(s) || !h.beyond[s.job.Submission.Team]
}

// claim notes that a question about the step is under way.
func (h headroom) claim(s *step) {
	name := s.job.Submission.Team
	if !h.fits(s) {
		h.beyond[name] = true
		return
	}
	h.claimed[name] = h.claimed[name].Plus(h.needed(s))
}

// withAhead returns the upper limit of a team with what is expected to end soon.
func withAhead(t caspec.Team) cawork.Resources {
	return cawork.Resources{
		CPU:          t.Limit.CPU + cawork.MilliCPU(aheadShare*float64(t.Limit.CPU)),
		Memory:       t.Limit.Memory + cawork.Bytes(aheadShare*float64(t.Limit.Memory)),
		Accelerators: t.Limit.Accelerators + int64(aheadShare*float64(t.Limit.Accelerators)),
	}
}
