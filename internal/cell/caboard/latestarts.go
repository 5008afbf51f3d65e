package caboard

import (
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/cell/cacalls"
	"celeryarch.example/celeryarch/internal/cell/caorder"
)

// A start order without an answer may be carried out seconds later. A stop makes its
// upstream reject it, but a later incarnation under the same ID has no record of that stop
// and may carry the order out before the leader has noticed the incarnation. Therefore an
// upstream that has become silent gets these stops again and again, so that one of them is
// among the first calls that the later incarnation receives. Its answer shows the
// incarnation to the leader, which then sends the other stops.

// lateStopInterval is the time between two such stops at the same upstream.
const lateStopInterval = 100 * time.Millisecond

// lateStops returns the stop orders that are due at silent upstreams, one for each, in
// turn for the starts that may be carried out late there.
func (b *Planner) lateStops() []caorder.StopOrder {
	var orders []caorder.StopOrder
	for _, u := range b.sortedUpstreams {
		if !b.mayRestartUnnoticed(u) || b.now.Monotonic.Sub(u.lastLateStopAt) < lateStopInterval {
			continue
		}
		u.lastLateStopAt = b.now.Monotonic
		u.lateStops++
		r := u.abandonedStarts[u.lateStops%len(u.abandonedStarts)]
		orders = append(orders, caorder.StopOrder{Run: r.id, Upstream: u.info.ID, Address: u.info.Address, Born: u.info.Incarnation, ToSilent: true, Token: u.token})
	}
	return orders
}

// mayRestartUnnoticed reports whether an upstream that may carry out a start late does not
// answer, but did so recently enough to be restarting.
func (b *Planner) mayRestartUnnoticed(u *upstream) bool {
	return len(u.abandonedStarts) > 0 && !u.gone && u.info.Address != "" && (u.renewalUnanswered || u.isSuspected()) &&
		b.timeSinceAnswer(u) < LeaseDuration
}

// isLateStop reports whether a stop order is one of lateStops.
func (u *upstream) isLateStop(id caorder.RunID) bool {
	for _, r := range u.abandonedStarts {
		if r.id == id {
			return true
		}
	}
	return false
}

// takeAbandonedStarts returns the starts that were abandoned and may still take effect, and
// clears the list. A later incarnation has no record of their stops.
func (b *Planner) takeAbandonedStarts(u *upstream) []*run {
	b.pruneAbandonedStarts(u)
	abandoned := u.abandonedStarts
	u.abandonedStarts = nil
	return abandoned
}

// keepAbandonedStart records a start that is abandoned without an answer, if it may still
// take effect.
func (b *Planner) keepAbandonedStart(r *run) {
	if r.mayStillStart() {
		r.upstream.abandonedStarts = append(r.upstream.abandonedStarts, r)
		b.pruneAbandonedStarts(r.upstream)
	}
}

// pruneAbandonedStarts drops the starts that can no longer take effect.
func (b *Planner) pruneAbandonedStarts(u *upstream) {
	u.abandonedStarts = slices.DeleteFunc(u.abandonedStarts, func(r *run) bool { return b.now.Monotonic.Sub(r.assignedAt) > cacalls.MaxDelay })
}
