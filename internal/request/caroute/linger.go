package caroute

import "time"

// interruptDelay is how long a slot stays in use after an attempt that was
// interrupted here. Until the upstream notices that the connection is closed,
// the request still runs there.
const interruptDelay = 20 * time.Millisecond

// interruptedSlot is a slot of an interrupted attempt.
type interruptedSlot struct {
	pool   *slotPool
	freeAt time.Time
}

// Interrupt is Release for an attempt that was sent and not waited for. The
// slot is free a little later, see Expire.
func (r *Router) Interrupt(now time.Time, route *Route, v Verdict) []Change {
	route.pool.inUse++
	r.interrupted = append(r.interrupted, interruptedSlot{route.pool, now.Add(interruptDelay)})
	return r.Release(now, route, v)
}

// freeInterrupted frees the slots of interrupted attempts. They lie in the
// order of their ends.
func (r *Router) freeInterrupted(now time.Time) {
	n := 0
	for _, s := range r.interrupted {
		if now.Before(s.freeAt) {
			break
		}
		s.pool.inUse--
		assertSlots(s.pool)
		r.removeIfUnused(s.pool)
		n++
	}
	r.interrupted = r.interrupted[n:]
}
