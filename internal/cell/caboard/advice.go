package caboard

import (
	"time"

	"celeryarch.example/celeryarch/internal/cell/caorder"
	"celeryarch.example/celeryarch/internal/cell/caticket"
)

// approvals are the answers of the advisor about one step. An answer is valid for the
// incarnation of the upstream; only tickets expire.
type approvals struct {
	// hasAnswer is set once the advisor has decided about any upstream.
	hasAnswer bool
	// answers are the last answers about upstreams.
	answers caticket.Answers
	// noRoomSince is the position in the list of grown rooms up to which no upstream with a ticket
	// had room for a task, and allDecidedSince that up to which none without an answer had. Zero
	// means that this is not known.
	noRoomSince, allDecidedSince int64
	requestPending               bool
	lastRequestAt                time.Time
	// lastCost is the announced time of the last request, startsBefore how many tasks of the step had started
	// when it was sent, and fruitless how many requests before it brought no start, one after the other.
	lastCost                time.Duration
	startsBefore, fruitless int
	// noCandidatesAt is when last no upstream was found to request.
	noCandidatesAt time.Time
	// lastWidenedAt is when approval of further upstreams was last requested.
	lastWidenedAt time.Time
}

// place returns the upstream as answers of the advisor name it.
func (u *upstream) place() caticket.Place {
	return caticket.Place{Slot: u.slot, Incarnation: u.info.Incarnation}
}

// isDecided reports whether the advisor has decided about this incarnation of the upstream.
func (a *approvals) isDecided(u *upstream) bool { return a.answers.IsDecided(u.place()) }

// isApproved reports whether this incarnation of the upstream may run the step.
func (a *approvals) isApproved(u *upstream) bool { return a.answers.IsApproved(u.place()) }

// validTicket returns the ticket for the upstream if it is still valid when a start arrives that is
// planned at the time.
func (b *Planner) validTicket(s *step, u *upstream, at time.Time) (string, bool) {
	return s.approvals.answers.Valid(u.place(), at, b.ticketMargin)
}

// observeStart records how long an answered start took. One that was rejected for its ticket took at least
// as long as the ticket seemed to be valid when it was sent: the answer that brought the ticket was late, too.
func (b *Planner) observeStart(r *run, outcome caorder.StartOutcome, took time.Duration) {
	if outcome == caorder.StartNoTicket {
		took = max(took, r.ticketExpires.Sub(r.sentAt))
	}
	b.startLatency.Observe(took)
	b.ticketMargin = max(minTicketMargin, b.startLatency.Typical())
}

// takeSlot gives an upstream its slot: the one that it had before, a free one or a new one.
func (b *Planner) takeSlot(u *upstream) {
	slot, ok := b.slots[u.info.ID]
	switch {
	case ok:
	case len(b.unusedSlots) > 0:
		slot = b.unusedSlots[len(b.unusedSlots)-1]
		b.unusedSlots = b.unusedSlots[:len(b.unusedSlots)-1]
	default:
		slot = len(b.bySlot)
		b.bySlot = append(b.bySlot, nil)
	}
	b.slots[u.info.ID], b.bySlot[slot], u.slot = slot, u, slot
}

// freeSlots frees the slots of the upstreams that left long ago, and drops the answers about
// them. Until then an upstream that is back finds the answers about it.
func (b *Planner) freeSlots() {
	for id, slot := range b.slots {
		if b.knownRooms.Contains(id) || b.bySlot[slot] != nil {
			continue
		}
		delete(b.slots, id)
		b.unusedSlots = append(b.unusedSlots, slot)
		for _, s := range b.steps {
			s.approvals.answers.Forget(slot)
		}
	}
}
