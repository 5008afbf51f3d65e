package caboard

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
)

// SetListValidUntil sets when the list of upstreams becomes too old to start anything by it.
// Zero means never.
func (b *Planner) SetListValidUntil(at time.Time) { b.listValidUntil = at }

// isListExpired reports whether the list of upstreams is too old to start anything.
func (b *Planner) isListExpired() bool {
	return !b.listValidUntil.IsZero() && b.now.Monotonic.After(b.listValidUntil)
}

// isViewExpired reports whether the view of the drained zones and of the policy, or the list of
// upstreams, is too old to start anything.
func (b *Planner) isViewExpired() bool {
	return b.isListExpired() || b.drains.isExpired(b.now.Monotonic)
}

// HoldsStartsBack reports whether the last plan started nothing because a view was too old.
func (b *Planner) HoldsStartsBack() bool { return !b.heldBackSince.IsZero() }

// noteViewExpiry logs when starts begin and cease to be held back because a view is too old.
func (b *Planner) noteViewExpiry() {
	isExpired := b.isViewExpired()
	if isExpired == b.HoldsStartsBack() {
		return
	}
	if isExpired {
		b.heldBackSince = b.now.Monotonic
		caevent.Warn(b.log, caevent.StartsHeldBack).Bool("list", b.isListExpired()).Bool("records", b.drains.isExpired(b.now.Monotonic)).
			Dur("list_age", b.now.Monotonic.Sub(b.listReadAt)).Int("steps", len(b.steps)).Send()
		return
	}
	caevent.Info(b.log, caevent.StartsResumed).Dur("after", b.now.Monotonic.Sub(b.heldBackSince)).Send()
	b.heldBackSince = time.Time{}
}
