// Package caticket keeps the answers of the advisor about one step: which upstreams may run it, and the tickets that
// permit it.
package caticket

import "time"

// Place is an upstream as answers name it: by the slot that the planner gave it, and by its incarnation.
type Place struct {
	Slot        int
	Incarnation int64
}

// Answers are the last answers about upstreams. An answer is valid for the incarnation of the upstream; only tickets
// expire. A plan looks up so many of them that a map is too slow.
type Answers struct {
	bySlot []answer
	// tickets are those of the approved upstreams.
	tickets []Ticket
}

// answer is the last answer about one upstream.
type answer struct {
	// incarnation is what the advisor decided about, if isDecided is set.
	incarnation int64
	isDecided   bool
	// ticket is the position of the ticket among those of the step, counted from 1, or zero.
	ticket int32
}

// Ticket permits one incarnation of an upstream to run the step.
type Ticket struct {
	// Place is set by Approve.
	Place   Place
	Value   string
	Expires time.Time
	// MaxMargin bounds how long before it expires the ticket is no longer used: where starts take about as long as
	// tickets are valid, new ones would come too late as well.
	MaxMargin time.Duration
}

// usableUntil returns until when a start with the ticket may be planned, given how long starts take.
func (t *Ticket) usableUntil(margin time.Duration) time.Time {
	return t.Expires.Add(-min(margin, t.MaxMargin))
}

// Tickets returns the tickets, expired ones among them, in no order. They must not be changed.
func (a *Answers) Tickets() []Ticket { return a.tickets }

// ticketOf returns the last ticket for a slot, nil if there is none.
func (a *Answers) ticketOf(slot int) *Ticket {
	if slot >= len(a.bySlot) || a.bySlot[slot].ticket == 0 {
		return nil
	}
	return &a.tickets[a.bySlot[slot].ticket-1]
}

// HasTicket reports whether there is a ticket for the slot, maybe an expired one or one of an earlier incarnation.
func (a *Answers) HasTicket(slot int) bool { return a.ticketOf(slot) != nil }

// IsDecided reports whether the advisor has decided about the incarnation.
func (a *Answers) IsDecided(p Place) bool {
	return p.Slot < len(a.bySlot) && a.bySlot[p.Slot].isDecided && a.bySlot[p.Slot].incarnation == p.Incarnation
}

// IsApproved reports whether the incarnation may run the step.
func (a *Answers) IsApproved(p Place) bool {
	t := a.ticketOf(p.Slot)
	return t != nil && t.Place.Incarnation == p.Incarnation
}

// Valid returns the ticket for the incarnation if it is still valid when a start arrives that is planned at the time,
// given how long starts take.
func (a *Answers) Valid(p Place, at time.Time, margin time.Duration) (string, bool) {
	t := a.ticketOf(p.Slot)
	if t == nil || t.Place.Incarnation != p.Incarnation || at.After(t.usableUntil(margin)) {
		return "", false
	}
	return t.Value, true
}

// Expiry returns when the last ticket for the slot expires, zero without one.
func (a *Answers) Expiry(slot int) time.Time {
	if t := a.ticketOf(slot); t != nil {
		return t.Expires
	}
	return time.Time{}
}

// Decide records that the advisor has decided about an upstream, of so many slots in all.
func (a *Answers) Decide(p Place, slots int) {
	answer := a.answerAt(p.Slot, slots)
	answer.incarnation, answer.isDecided = p.Incarnation, true
}

// Approve records a ticket for an upstream, of so many slots in all.
func (a *Answers) Approve(p Place, slots int, t Ticket) {
	answer := a.answerAt(p.Slot, slots)
	if answer.ticket == 0 {
		a.tickets = append(a.tickets, Ticket{})
		answer.ticket = int32(len(a.tickets))
	}
	t.Place = p
	a.tickets[answer.ticket-1] = t
}

func (a *Answers) answerAt(slot, slots int) *answer {
	if slot >= len(a.bySlot) {
		grown := make([]answer, max(slots, slot+1))
		copy(grown, a.bySlot)
		a.bySlot = grown
	}
	return &a.bySlot[slot]
}

// Expire marks the ticket for a slot as no longer valid.
func (a *Answers) Expire(slot int) {
	if t := a.ticketOf(slot); t != nil {
		t.Expires = time.Time{}
	}
}

// Forget drops the answer about the upstream that had the slot.
func (a *Answers) Forget(slot int) {
	if slot >= len(a.bySlot) {
		return
	}
	if at := a.bySlot[slot].ticket; at > 0 {
		last := len(a.tickets) - 1
		a.tickets[at-1] = a.tickets[last]
		a.bySlot[a.tickets[at-1].Place.Slot].ticket = at
		a.tickets = a.tickets[:last]
	}
	a.bySlot[slot] = answer{}
}
