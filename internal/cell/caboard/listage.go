package caboard

import "time"

// SetListValidUntil sets when the list of upstreams becomes too old to start anything by it,
// since the leader has not tried to read it again. Zero means never.
func (b *Planner) SetListValidUntil(at time.Time) { b.listValidUntil = at }

// isViewExpired reports whether the view of the drained zones or the list of upstreams is too
// old to start anything.
func (b *Planner) isViewExpired() bool {
	isListExpired := !b.listValidUntil.IsZero() && b.now.Monotonic.After(b.listValidUntil)
	return isListExpired || b.drains.isExpired(b.now.Monotonic)
}
