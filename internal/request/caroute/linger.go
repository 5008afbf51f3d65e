package caroute

import "time"

// lingerTime is how long a slot stays in use after an attempt that was
// interrupted here. Until the upstream notices that the connection is closed,
// the request still runs there.
const lingerTime = 20 * time.Millisecond

// lingering is a slot of an interrupted attempt.
type lingering struct {
	source *source
	until  time.Time
}

// Interrupt is Release for an attempt that was sent and not waited for. The
// slot is free a little later, see Expire.
func (r *Router) Interrupt(now time.Time, t *Route, v Verdict) []Change {
	t.source.inUse++
	r.lingering = append(r.lingering, lingering{t.source, now.Add(lingerTime)})
	return r.Release(now, t, v)
}

// expireLingering frees the slots of interrupted attempts. They lie in the
// order of their ends.
func (r *Router) expireLingering(now time.Time) {
	n := 0
	for _, l := range r.lingering {
		if now.Before(l.until) {
			break
		}
		l.source.inUse--
		assertSlots(l.source)
		r.forget(l.source)
		n++
	}
	r.lingering = r.lingering[n:]
}
