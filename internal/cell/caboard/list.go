package caboard

import (
	"math"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/cahealth"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// SetUpstreams applies the platform's list of upstreams as of now.
func (b *Planner) SetUpstreams(list []caspec.Upstream) { b.SetUpstreamsReadAt(list, b.now.Monotonic) }

// SetUpstreamsReadAt applies the platform's list of upstreams, whose reading began at readAt.
// Descriptions that no upstream can have count as not listed.
func (b *Planner) SetUpstreamsReadAt(list []caspec.Upstream, readAt time.Time) {
	if slices.ContainsFunc(list, isInvalid) {
		list = slices.DeleteFunc(slices.Clone(list), isInvalid)
	}
	for _, u := range b.sortedUpstreams {
		u.listed = false
	}
	b.poolSizes = make(map[caspec.PoolName]int)
	for _, info := range list {
		b.updateUpstream(info, readAt)
		b.poolSizes[info.Pool]++
	}
	b.listReadAt = readAt
	b.knownRooms.Add(list, b.now.Monotonic)
	b.forgetUpstreams()
	b.freeSlots()
}

func isInvalid(info caspec.Upstream) bool { return info.Check() != nil }

// updateUpstream applies the description of one upstream. A later incarnation runs nothing
// that an earlier one ran.
func (b *Planner) updateUpstream(info caspec.Upstream, readAt time.Time) {
	u, ok := b.upstreams[info.ID]
	if !ok {
		u = newUpstream(info)
		b.addUpstream(u)
	}
	if !ok || info.Capacity != u.info.Capacity || info.Draining != u.info.Draining {
		caevent.Info(b.log, caevent.UpstreamListed).Str("upstream", string(info.ID)).Str("pool", string(info.Pool)).
			Stringer("capacity", info.Capacity).Stringer("used", u.used).Int64("born", info.Incarnation).
			Bool("draining", info.Draining).Dur("stays", info.DrainRemaining).Send()
	}
	b.updateDeparture(u, info, readAt)
	u.listedIncarnation = info.Incarnation
	switch {
	case info.Incarnation > u.info.Incarnation:
		b.beginIncarnation(u, info.Incarnation)
	case info.Incarnation < u.info.Incarnation:
		info.Incarnation = u.info.Incarnation
	}
	b.resolveCrashes(info.ID, info.Incarnation)
	u.listed = true
	u.largestCapacity = u.largestCapacity.Most(info.Capacity)
	u.info = info
}

// beginIncarnation resets the state of an upstream that has started a later incarnation, and
// ends or stops the runs of the earlier one.
func (b *Planner) beginIncarnation(u *upstream, born int64) {
	endedBorn := u.info.Incarnation
	hadIncarnation := endedBorn != 0
	u.info.Incarnation = born
	u.clockAt, u.clockMS = time.Time{}, 0
	u.lastReportAt = time.Time{}
	u.suspectedSince = time.Time{}
	u.fenced, u.gone = false, false
	u.appliedEnd, u.storedEnd, u.acknowledgedEnd, u.answeredEnd = 0, 0, 0, 0
	delete(b.endsToStore, u)
	delete(b.records.heldEnds, u)
	u.health = cahealth.Counts{}
	if !hadIncarnation {
		return
	}
	u.calls.BeginIncarnation(b.now.Monotonic)
	u.awaitsToken = false
	b.raiseToken(u)
	b.countEarlierCalls(u)
	b.countCrash(u, endedBorn, "upstream restarted", false)
	abandoned := b.takeAbandonedStarts(u)
	caevent.Info(b.log, caevent.UpstreamReborn).Str("upstream", string(u.info.ID)).Int64("born", born).
		Int("runs", len(u.runs)).Int("late_starts", len(abandoned)).Int("late_calls", u.calls.Len()).
		Bool("may_acknowledge", !u.calls.LastAcknowledgement().IsZero()).Bool("may_extend", !u.calls.LastExtension().IsZero()).
		Dur("rests_for", max(u.mayForgetUntil.Sub(b.now.Monotonic), 0)).Int64("token", u.token).Send()
	for _, r := range u.runs {
		switch {
		case r.mayStillStart():
			r.stopAckedAt = time.Time{}
			b.stop(r)
		case r.reportedIncarnation == 0 && r.sent:
			// The new incarnation may have accepted the order. Its reports will show it.
		default:
			b.declareLost(r, "upstream restarted")
		}
	}
	for _, r := range abandoned {
		if _, present := u.runs[r.id]; present {
			continue
		}
		r.stopAckedAt, r.lastStopAt, r.stopInFlight = time.Time{}, time.Time{}, false
		b.charge(r)
		b.stop(r)
	}
}

// MarkIncarnationGone applies proof that an incarnation of an upstream is gone. The runs that it
// confirmed, to this leader or an earlier one, have ended. A start order without an answer may
// still take effect in a later incarnation.
func (b *Planner) MarkIncarnationGone(id cawork.UpstreamID, born int64) {
	u, ok := b.upstreams[id]
	if !ok || u.info.Incarnation != born {
		return
	}
	b.resolveCrashes(id, math.MaxInt64)
	u.endLeaseOfGone(b.now.Monotonic)
	if !u.gone {
		u.gone = true
		b.countCrash(u, u.info.Incarnation, "upstream no longer exists", false)
	}
	for _, r := range u.runs {
		if r.confirmed || r.isProvenBefore() {
			b.declareLost(r, "upstream no longer exists")
		}
	}
}
