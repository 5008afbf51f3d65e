package caroute

import "time"

// interruptDelay is how long a slot stays in use after this entry has
// interrupted an attempt. The request still runs at the upstream until the
// upstream notices that the connection is closed.
const interruptDelay = 20 * time.Millisecond

// interruptedSlot is the slot of an interrupted attempt.
type interruptedSlot struct {
	pool   *slotPool
	freeAt time.Time
}

// ReleaseInterrupted is Release for an attempt that was sent but whose end was not
// awaited. Expire frees the slot after a delay.
func (r *Router) ReleaseInterrupted(now time.Time, route *Route, v Verdict) []Change {
	route.pool.inUse++
	r.interrupted = append(r.interrupted, interruptedSlot{route.pool, now.Add(interruptDelay)})
	return r.Release(now, route, v)
}

// freeInterrupted frees the slots of interrupted attempts whose delay has
// passed. The slots are ordered by that time.
func (r *Router) freeInterrupted(now time.Time) {
	n := 0
	for _, slot := range r.interrupted {
		if now.Before(slot.freeAt) {
			break
		}
		slot.pool.inUse--
		assertSlots(slot.pool)
		r.removeIfUnused(slot.pool)
		n++
	}
	r.interrupted = r.interrupted[n:]
}
