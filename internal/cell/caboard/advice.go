package caboard

import (
	"time"

	"celeryarch.example/celeryarch/internal/cell/caorder"
)

// approvals are the answers of the advisor about one step. An answer is valid for the
// incarnation of the upstream; only tickets expire.
type approvals struct {
	// hasAnswer is set once the advisor has decided about any upstream.
	hasAnswer bool
	// answers are the last answers by the slots of the upstreams, and tickets those of the
	// approved ones. A plan looks up so many of them that a map is too slow.
	answers []answer
	tickets []ticket
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

// answer is the last answer of the advisor about one upstream.
type answer struct {
	// born is the incarnation that the advisor decided about, if isDecided is set.
	born      int64
	isDecided bool
	// ticket is the position of the ticket among those of the step, counted from 1, or zero.
	ticket int32
}

// ticket permits one incarnation of an upstream to run the step.
type ticket struct {
	slot    int
	born    int64
	value   string
	expires time.Time
	// maxMargin bounds how long before it expires the ticket is no longer used: where starts take
	// about as long as tickets are valid, new ones would come too late as well.
	maxMargin time.Duration
}

// usableUntil returns until when a start with the ticket may be planned, given how long starts take.
func (t *ticket) usableUntil(margin time.Duration) time.Time {
	return t.expires.Add(-min(margin, t.maxMargin))
}

// ticketOf returns the last ticket for an upstream, nil if there is none.
func (a *approvals) ticketOf(u *upstream) *ticket {
	if u.slot >= len(a.answers) || a.answers[u.slot].ticket == 0 {
		return nil
	}
	return &a.tickets[a.answers[u.slot].ticket-1]
}

// isDecided reports whether the advisor has decided about this incarnation of the upstream.
func (a *approvals) isDecided(u *upstream) bool {
	return u.slot < len(a.answers) && a.answers[u.slot].isDecided && a.answers[u.slot].born == u.info.Incarnation
}

// decide records that the advisor has decided about an upstream, of so many slots in all.
func (a *approvals) decide(u *upstream, slots int) {
	a.hasAnswer = true
	answer := a.answerAt(u.slot, slots)
	answer.born, answer.isDecided = u.info.Incarnation, true
}

// approve records a ticket for an upstream, of so many slots in all.
func (a *approvals) approve(u *upstream, slots int, t ticket) {
	a.noRoomSince = 0
	answer := a.answerAt(u.slot, slots)
	if answer.ticket == 0 {
		a.tickets = append(a.tickets, ticket{})
		answer.ticket = int32(len(a.tickets))
	}
	t.slot, t.born = u.slot, u.info.Incarnation
	a.tickets[answer.ticket-1] = t
}

func (a *approvals) answerAt(slot, slots int) *answer {
	if slot >= len(a.answers) {
		grown := make([]answer, max(slots, slot+1))
		copy(grown, a.answers)
		a.answers = grown
	}
	return &a.answers[slot]
}

// expire marks the ticket for an upstream as no longer valid.
func (a *approvals) expire(u *upstream) {
	if t := a.ticketOf(u); t != nil {
		t.expires = time.Time{}
	}
}

// ticketExpiry returns when the last ticket for the upstream expires, zero without one.
func (a *approvals) ticketExpiry(u *upstream) time.Time {
	if t := a.ticketOf(u); t != nil {
		return t.expires
	}
	return time.Time{}
}

// isApproved reports whether this incarnation of the upstream may run the step.
func (a *approvals) isApproved(u *upstream) bool {
	t := a.ticketOf(u)
	return t != nil && t.born == u.info.Incarnation
}

// validTicket returns the ticket for the upstream if it is still valid when a start arrives that is
// planned at the time.
func (b *Planner) validTicket(s *step, u *upstream, at time.Time) (string, bool) {
	t := s.approvals.ticketOf(u)
	if t == nil || t.born != u.info.Incarnation || at.After(t.usableUntil(b.ticketMargin)) {
		return "", false
	}
	return t.value, true
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

// forget drops the answer about the upstream that had the slot.
func (a *approvals) forget(slot int) {
	if slot >= len(a.answers) {
		return
	}
	if at := a.answers[slot].ticket; at > 0 {
		last := len(a.tickets) - 1
		a.tickets[at-1] = a.tickets[last]
		a.answers[a.tickets[at-1].slot].ticket = at
		a.tickets = a.tickets[:last]
	}
	a.answers[slot] = answer{}
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
			s.approvals.forget(slot)
		}
	}
}
