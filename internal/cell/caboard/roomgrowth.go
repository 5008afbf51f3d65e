package caboard

import "celeryarch.example/celeryarch/internal/base/cawork"

// In a full pool many steps wait for room at the few upstreams where they may run, and each plan
// would look through all of these again for each step. Room appears at few upstreams between two
// plans, though. Therefore the planner lists these, and a step that has found no room looks at
// them only.

// maxRoomGrowth bounds the list. Steps that last looked at entries before those that are kept look
// at all upstreams again.
const maxRoomGrowth = 4096

// roomGrowth lists the upstreams where a step may find room or an answer of the advisor that it
// did not find there before, in the order in which plans noticed them.
type roomGrowth struct {
	upstreams []*upstream
	// dropped counts the entries that are not kept any more.
	dropped int64
}

// seenRoom is what the last plan saw of an upstream.
type seenRoom struct {
	available   bool
	incarnation int64
	pool        string
	free        cawork.Resources
}

// end returns the position after the last entry. It is never zero.
func (g *roomGrowth) end() int64 { return g.dropped + int64(len(g.upstreams)) + 1 }

// since returns the entries from a position on, and whether all of them are kept. Zero is no position.
func (g *roomGrowth) since(position int64) ([]*upstream, bool) {
	if position <= g.dropped {
		return nil, false
	}
	return g.upstreams[position-g.dropped-1:], true
}

// notice adds an upstream if a step may find there what it did not find in the last plan.
func (g *roomGrowth) notice(u *upstream) {
	now := seenRoom{available: u.available, incarnation: u.info.Incarnation, pool: string(u.info.Pool), free: u.free()}
	isSame := u.seen.available && u.seen.incarnation == now.incarnation && u.seen.pool == now.pool && now.free.Fits(u.seen.free)
	u.seen = now
	if u.available && !isSame {
		g.upstreams = append(g.upstreams, u)
	}
}

// trim drops the oldest entries of a long list.
func (g *roomGrowth) trim() {
	excess := len(g.upstreams) - maxRoomGrowth
	if excess <= 0 {
		return
	}
	g.dropped += int64(excess)
	g.upstreams = append(g.upstreams[:0], g.upstreams[excess:]...)
}

// hasRoomAtApproved reports whether any upstream with a ticket, maybe an expired one, has room for one
// task of the step.
func (b *Planner) hasRoomAtApproved(s *step) bool {
	size, a := s.spec.Size(), &s.approvals
	grown, isKept := b.growth.since(a.noRoomSince)
	a.noRoomSince = 0
	if !isKept {
		for _, t := range a.answers.Tickets() {
			b.visits++
			if u := b.bySlot[t.Place.Slot]; u != nil && u.available && size.Fits(u.free()) {
				return true
			}
		}
	}
	for _, u := range grown {
		b.visits++
		if u.available && size.Fits(u.free()) && a.answers.HasTicket(u.slot) {
			return true
		}
	}
	a.noRoomSince = b.growth.end()
	return false
}

// hasRoomAtUndecided reports whether any upstream of the pool that the advisor has not decided about has
// room for one task of the step.
func (b *Planner) hasRoomAtUndecided(s *step, p *poolPlan) bool {
	size, a := s.spec.Size(), &s.approvals
	grown, isKept := b.growth.since(a.allDecidedSince)
	a.allDecidedSince = 0
	if !isKept {
		for i, u := range p.upstreams {
			b.visits++
			if size.Fits(p.rooms[i]) && !a.isDecided(u) {
				return true
			}
		}
	}
	for _, u := range grown {
		b.visits++
		if u.available && size.Fits(u.free()) && !a.isDecided(u) {
			return true
		}
	}
	a.allDecidedSince = b.growth.end()
	return false
}
