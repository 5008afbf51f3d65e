package caboard

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/casilence"
)

// A new leader does not know which leases the one before it granted, so that it has to wait
// for the longest one before it gives up the runs of an upstream that does not answer. If
// leaders follow one another, each would begin that wait anew. Therefore a leader stores
// with each append which upstreams do not answer and for how long their leases can last,
// and its successor goes on from there. This only holds as long as the leader does not
// extend a lease that its log declares as running out: it extends it again once a later
// append without that declaration is stored.
//
// A leader that is lost together with an upstream declares nothing. Once another process has
// taken the place of its own, it is proved to grant no more leases, and those that it granted
// are shorter than that wait.

// firstAnswerTimeout is how long a new leader waits for the first answer of an upstream before
// it declares that the upstream is silent.
const firstAnswerTimeout = 500 * time.Millisecond

// silenceLog holds the upstreams that were declared silent.
type silenceLog struct {
	// inherited are those that the leader before declared, and leadingSince is when this one
	// took over.
	inherited    map[cawork.UpstreamID]casilence.Upstream
	leadingSince time.Time
	// taken and stored are those of the last batch that was taken, and stored.
	taken, stored map[cawork.UpstreamID]bool
	// declarations are the declarations of the last batch that was taken, and lastDeclaration is
	// the last one of this leader.
	declarations    map[cawork.UpstreamID]int64
	lastDeclaration int64
}

// declarationsPerLeader bounds the declarations of one leader, so that those of all leaders differ.
const declarationsPerLeader = 1 << 24

// InheritSilence applies the silent upstreams that the last append of the leader before
// declared. It is called before any job is restored.
func (b *Planner) InheritSilence(list []casilence.Upstream) {
	for _, s := range list {
		b.silence.inherited[s.Upstream] = s
		b.silence.stored[s.Upstream] = true
		b.silence.declarations[s.Upstream] = s.Declaration
	}
}

// inheritedLeaseEnd returns when the leases that an earlier leader granted to an incarnation
// of an upstream have expired.
func (b *Planner) inheritedLeaseEnd(id cawork.UpstreamID, incarnation int64) time.Time {
	s, ok := b.silence.inherited[id]
	if !ok || s.Incarnation != incarnation {
		return b.inheritedUntil
	}
	end := b.silence.leadingSince.Add(s.LeaseRemaining)
	if end.After(b.inheritedUntil) {
		return b.inheritedUntil
	}
	return end
}

// wasDraining reports whether the leader before declared that an incarnation of an upstream drained.
func (b *Planner) wasDraining(id cawork.UpstreamID, incarnation int64) bool {
	s, ok := b.silence.inherited[id]
	return ok && s.Incarnation == incarnation && s.Draining
}

// MarkPreviousLeaderGone applies proof that the leader before grants no leases any more: those
// that it granted expire within maxGranted, and inherited after this leader took over those of
// the leaders before that one. It concerns the upstreams that have not answered yet: this
// leader has granted them nothing.
func (b *Planner) MarkPreviousLeaderGone(maxGranted, inherited time.Duration) {
	until := b.now.Monotonic.Add(maxGranted)
	if earlier := b.silence.leadingSince.Add(inherited); earlier.After(until) {
		until = earlier
	}
	if !until.Before(b.inheritedUntil) {
		return
	}
	b.inheritedUntil = until
	for _, u := range b.sortedUpstreams {
		end := until
		if long := b.inheritedLongLeaseEnd(u.info.ID, u.info.Incarnation); long.After(end) {
			end = long
		}
		if u.lastAnswerAt.IsZero() && u.leaseExpires.After(end) {
			u.leaseExpires = end
		}
	}
}

func newSilenceLog(leadingSince time.Time, seed int64) silenceLog {
	return silenceLog{
		inherited: make(map[cawork.UpstreamID]casilence.Upstream), leadingSince: leadingSince,
		taken: make(map[cawork.UpstreamID]bool), stored: make(map[cawork.UpstreamID]bool),
		declarations: make(map[cawork.UpstreamID]int64), lastDeclaration: seed * declarationsPerLeader,
	}
}

// declarationOf returns the declaration that goes on with the next batch, or a new one.
func (l *silenceLog) declarationOf(id cawork.UpstreamID) int64 {
	if d := l.declarations[id]; d != 0 {
		return d
	}
	l.lastDeclaration++
	return l.lastDeclaration
}

// declareSilence returns the upstreams to declare as silent with the next batch.
func (b *Planner) declareSilence() []casilence.Upstream {
	b.silence.taken = make(map[cawork.UpstreamID]bool)
	declarations := make(map[cawork.UpstreamID]int64)
	var list []casilence.Upstream
	for _, u := range b.sortedUpstreams {
		if len(u.runs) == 0 || !b.isSilent(u) {
			continue
		}
		b.silence.taken[u.info.ID] = true
		declarations[u.info.ID] = b.silence.declarationOf(u.info.ID)
		list = append(list, casilence.Upstream{
			Upstream: u.info.ID, Incarnation: u.info.Incarnation, LeaseRemaining: max(u.leaseExpires.Sub(b.now.Monotonic), 0),
			Draining:    u.info.Draining && !u.isDescriptionOutdated(),
			Declaration: declarations[u.info.ID],
		})
	}
	b.silence.declarations = declarations
	return list
}

// isSilent reports whether an upstream does not answer this leader.
func (b *Planner) isSilent(u *upstream) bool {
	if !u.lastAnswerAt.IsZero() {
		return u.renewalUnanswered
	}
	_, wasSilent := b.silence.inherited[u.info.ID]
	return wasSilent || b.timeLeading() > firstAnswerTimeout
}

// mayExtendLease reports whether no append that is or may be the last one declares the
// upstream as silent.
func (b *Planner) mayExtendLease(u *upstream) bool {
	return !b.silence.taken[u.info.ID] && !b.silence.stored[u.info.ID]
}
